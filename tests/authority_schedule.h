#ifndef FOXTAILSPREAD_TESTS_AUTHORITY_SCHEDULE_H_
#define FOXTAILSPREAD_TESTS_AUTHORITY_SCHEDULE_H_

/// @file
/// Random schedules of the promise protocol among the hosts of one range, in
/// virtual time and from one seed: message delays and losses, paused, restarted
/// and disconnected hosts, network partitions and drifting clocks.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "foxtailspread/authority.h"
#include "foxtailspread/roster_policy.h"

namespace foxtailspread::testing {

/// A fault injected into the protocol, to prove that the check detects it.
enum class protocol_fault {
  kNone,
  kCountFromReceipt,   ///< A promise counts from the answer's arrival.
  kForgetOnRestart,    ///< A restart drops promises but keeps the life number.
  kSkipJointMajority,  ///< Roster changes need no majority of the old one.
};

/// One random run of the protocol.
class authority_schedule {
 public:
  authority_schedule(uint64_t seed, int hosts, protocol_fault fault)
      : random_(seed), fault_(fault), hosts_(hosts) {
    std::vector<member> members;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].drift_ppm = static_cast<int64_t>(RandomBelow(900)) - 450;
      hosts_[i].offset_us = static_cast<int64_t>(RandomBelow(1'000'000'000));
      StartHost(i);
      members.push_back(MemberOf(i));
    }
    record_ = *InitialRecord(members, RandomBelow(members.size()));
    record_.revision = 1;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Schedule(RandomBelow(kMaxDelayUs),
               [this, i] { SetHostRecord(i, record_); });
    }
  }

  /// Runs until the given virtual time, or until a violation is found.
  void Run(int64_t until_us) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Schedule(RandomBelow(kTickUs), [this, i] { TickHost(i); });
    }
    for (int i = 0; i < 12; ++i) {
      Schedule(RandomBelow(until_us), [this] { InjectRandomFault(); });
    }
    while (!events_.empty() && violation_.empty()) {
      auto first = events_.begin();
      if (first->first > until_us) {
        break;
      }
      now_us_ = first->first;
      const std::function<void()> action = std::move(first->second);
      events_.erase(first);
      action();
      CheckInvariants();
    }
  }

  /// Ends all faults, so that the range must get a steward again.
  void EndFaults() {
    faults_ended_ = true;
    platform_up_ = true;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].paused_until_us = 0;
      hosts_[i].disconnected_until_us = 0;
      hosts_[i].partition_side = 0;
      Schedule(RandomBelow(kTickUs), [this, i] { SetHostRecord(i, record_); });
    }
  }

  const std::string& violation() const { return violation_; }
  int takeovers() const { return takeovers_; }
  /// Returns the host that currently acts as steward, or -1.
  int ActingHost() const {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (IsActing(i)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }
  int64_t now_us() const { return now_us_; }

 private:
  static constexpr int64_t kTickUs = 10'000;
  static constexpr int64_t kMaxDelayUs = 600'000;
  static constexpr const char* kRangeName = "history@trnje";

  struct host {
    uint64_t life = 0;
    int64_t drift_ppm = 0;
    int64_t offset_us = 0;
    int64_t paused_until_us = 0;
    int64_t disconnected_until_us = 0;
    int partition_side = 0;  ///< Messages between different sides are lost.
    bool has_read_record = false;
    std::unique_ptr<promise_ledger> ledger;
    std::unique_ptr<range_authority> authority;
  };

  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }

  void Schedule(uint64_t delay_us, std::function<void()> action) {
    events_.emplace(now_us_ + static_cast<int64_t>(delay_us),
                    std::move(action));
  }

  time_point ReadClock(size_t i) const {
    const host& h = hosts_[i];
    const int64_t us =
        now_us_ + now_us_ * h.drift_ppm / 1'000'000 + h.offset_us;
    return time_point{duration{us}};
  }

  member MemberOf(size_t i) const {
    return member{"host-" + std::to_string(i), hosts_[i].life};
  }

  void StartHost(size_t i) {
    host& h = hosts_[i];
    const bool keeps_life =
        fault_ == protocol_fault::kForgetOnRestart && h.life != 0;
    h.life = keeps_life ? h.life : ++last_life_;
    h.ledger = std::make_unique<promise_ledger>(h.life, timing_);
    h.authority =
        std::make_unique<range_authority>(kRangeName, MemberOf(i), timing_);
  }

  void SetHostRecord(size_t i, const range_record& record) {
    hosts_[i].authority->SetRecord(record, ReadClock(i));
  }

  bool IsPaused(size_t i) const { return now_us_ < hosts_[i].paused_until_us; }
  bool IsDisconnected(size_t i) const {
    return now_us_ < hosts_[i].disconnected_until_us;
  }

  void TickHost(size_t i) {
    Schedule(kTickUs, [this, i] { TickHost(i); });
    if (IsPaused(i)) {
      return;
    }
    host& h = hosts_[i];
    std::vector<addressed_promise_request> requests;
    h.authority->Tick(ReadClock(i), *h.ledger, requests);
    for (const addressed_promise_request& request : requests) {
      SendRequest(i, request);
    }
    MaybeUpdateRecord(i);
  }

  uint64_t RandomDelayUs() {
    if (faults_ended_ || RandomBelow(10) != 0) {
      return 100 + RandomBelow(2'000);
    }
    return RandomBelow(kMaxDelayUs);
  }

  bool IsMessageLost(size_t from, size_t to) {
    return IsDisconnected(from) || IsDisconnected(to) ||
           hosts_[from].partition_side != hosts_[to].partition_side ||
           (!faults_ended_ && RandomBelow(20) == 0);
  }

  void SendRequest(size_t from, const addressed_promise_request& request) {
    const size_t to = std::stoul(request.witness.host.substr(5));
    if (IsMessageLost(from, to)) {
      return;
    }
    const member requester = MemberOf(from);
    Schedule(RandomDelayUs(), [this, from, to, requester, request] {
      RunWhenAwake(to, [this, from, to, requester, request] {
        const promise_answer answer = hosts_[to].ledger->AnswerRequest(
            requester, request.request, ReadClock(to));
        SendAnswer(to, from, requester.life, answer);
      });
    });
  }

  void SendAnswer(size_t from, size_t to, uint64_t to_life,
                  const promise_answer& answer) {
    if (IsMessageLost(from, to)) {
      return;
    }
    const member witness = MemberOf(from);
    Schedule(RandomDelayUs(), [this, to, to_life, witness, answer] {
      RunWhenAwake(to, [this, to, to_life, witness, answer] {
        if (hosts_[to].life != to_life) {
          return;
        }
        promise_answer received = answer;
        if (fault_ == protocol_fault::kCountFromReceipt) {
          received.asked_at_us = ReadClock(to).time_since_epoch().count();
        }
        hosts_[to].authority->OnAnswer(witness, received, ReadClock(to));
      });
    });
  }

  /// Runs the action now, or when the host's pause ends.
  void RunWhenAwake(size_t to, const std::function<void()>& action) {
    if (!IsPaused(to)) {
      action();
      return;
    }
    const int64_t delay_us = hosts_[to].paused_until_us - now_us_;
    Schedule(delay_us, [this, to, action] { RunWhenAwake(to, action); });
  }

  void MaybeUpdateRecord(size_t i) {
    host& h = hosts_[i];
    if (!CanReachPlatform(i) || RandomBelow(4) != 0) {
      return;
    }
    if (!h.has_read_record) {
      h.has_read_record = true;
      SetHostRecord(i, record_);
      return;
    }
    roster_facts facts;
    facts.self = MemberOf(i);
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (CanHear(i, j)) {
        facts.candidates.push_back(MemberOf(j));
      }
    }
    facts.latest_life = [this](const std::string& name) {
      return hosts_[std::stoul(name.substr(5))].life;
    };
    facts.is_unavailable = [this, i](const member& who) {
      return !CanHear(i, std::stoul(who.host.substr(5)));
    };
    facts.all_saw_record = h.authority->AllSawRecord();
    facts.outranked = h.authority->outranked();
    const range_record& known = h.authority->record();
    auto next_record =
        IsActing(i) ? RepairedRecord(known, facts) : ResetRecord(known, facts);
    if (!next_record && h.authority->IsBlocked(ReadClock(i), *h.ledger)) {
      next_record = RenumberedRecord(known, facts);
    }
    if (!next_record || known.revision != record_.revision) {
      return;
    }
    if (fault_ == protocol_fault::kSkipJointMajority) {
      next_record->previous_members.clear();
    }
    next_record->revision = record_.revision + 1;
    record_ = *next_record;
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (CanReachPlatform(j)) {
        const range_record record = record_;
        Schedule(j == i ? 0 : RandomDelayUs(), [this, j, record] {
          RunWhenAwake(j, [this, j, record] { SetHostRecord(j, record); });
        });
      }
    }
  }

  bool CanReachPlatform(size_t i) const {
    return platform_up_ && !IsDisconnected(i) && !IsPaused(i) &&
           hosts_[i].partition_side <= max_side_with_platform_;
  }

  bool CanHear(size_t i, size_t j) const {
    return !IsPaused(j) && !IsDisconnected(j) &&
           hosts_[i].partition_side == hosts_[j].partition_side;
  }

  /// Splits the hosts in two sides. The platform is reachable from one side or
  /// from both.
  void Partition() {
    for (host& h : hosts_) {
      h.partition_side = static_cast<int>(RandomBelow(2));
    }
    max_side_with_platform_ = static_cast<int>(RandomBelow(2));
  }

  void InjectRandomFault() {
    if (faults_ended_) {
      return;
    }
    const size_t i = RandomBelow(hosts_.size());
    const int64_t length_us =
        50'000 + static_cast<int64_t>(RandomBelow(900'000));
    switch (RandomBelow(7)) {
      case 0:
        hosts_[i].paused_until_us = now_us_ + length_us;
        break;
      case 1:
        hosts_[i].disconnected_until_us = now_us_ + length_us;
        break;
      case 2:
        StartHost(i);
        hosts_[i].has_read_record = false;
        hosts_[i].paused_until_us =
            now_us_ + static_cast<int64_t>(RandomBelow(200'000));
        break;
      case 3:
        platform_up_ = !platform_up_;
        break;
      case 4:
      case 5:
        Partition();
        break;
      default:
        PauseSteward(length_us);
        break;
    }
  }

  void PauseSteward(int64_t length_us) {
    const int acting = ActingHost();
    if (acting >= 0) {
      hosts_[acting].paused_until_us = now_us_ + length_us;
    }
  }

  /// Returns whether the host considers itself the steward. A paused host
  /// counts too: on waking, it would act if its authority had not expired.
  bool IsActing(size_t i) const {
    return ReadClock(i) < hosts_[i].authority->ActingUntil();
  }

  void CheckInvariants() {
    int acting = -1;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (!IsActing(i)) {
        continue;
      }
      if (acting >= 0) {
        violation_ = "hosts " + std::to_string(acting) + " and " +
                     std::to_string(i) + " both act at " +
                     std::to_string(now_us_) + " us";
      }
      acting = static_cast<int>(i);
    }
    if (acting < 0) {
      return;
    }
    const uint64_t epoch = hosts_[acting].authority->epoch();
    const member who = MemberOf(acting);
    if (who != last_steward_) {
      takeovers_ += 1;
      if (epoch <= last_epoch_) {
        violation_ = "new steward's epoch " + std::to_string(epoch) +
                     " is not above the former epoch " +
                     std::to_string(last_epoch_);
      }
    }
    last_steward_ = who;
    last_epoch_ = epoch;
  }

  std::mt19937_64 random_;
  protocol_fault fault_;
  authority_timing timing_;
  std::vector<host> hosts_;
  range_record record_;
  bool platform_up_ = true;
  int max_side_with_platform_ = 1;
  bool faults_ended_ = false;
  int64_t now_us_ = 0;
  uint64_t last_life_ = 0;
  std::multimap<int64_t, std::function<void()>> events_;
  std::string violation_;
  member last_steward_;
  uint64_t last_epoch_ = 0;
  int takeovers_ = 0;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_AUTHORITY_SCHEDULE_H_
