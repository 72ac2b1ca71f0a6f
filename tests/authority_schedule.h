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
      hosts_[i].drift_ppm = static_cast<int64_t>(Below(900)) - 450;
      hosts_[i].offset_us = static_cast<int64_t>(Below(1'000'000'000));
      Start(i);
      members.push_back(Self(i));
    }
    record_ = *FirstRecord(members, Below(members.size()));
    record_.revision = 1;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Later(Below(kLongDelayUs), [this, i] { Learn(i, record_); });
    }
  }

  /// Runs until the given virtual time, or until a violation is found.
  void Run(int64_t until_us) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Later(Below(kTickUs), [this, i] { TickHost(i); });
    }
    for (int i = 0; i < 12; ++i) {
      Later(Below(until_us), [this] { Disturb(); });
    }
    while (!queue_.empty() && violation_.empty()) {
      auto first = queue_.begin();
      if (first->first > until_us) {
        break;
      }
      now_us_ = first->first;
      const std::function<void()> action = std::move(first->second);
      queue_.erase(first);
      action();
      Check();
    }
  }

  /// Ends all faults, so that the range must get a steward again.
  void Heal() {
    healed_ = true;
    platform_up_ = true;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].paused_until = 0;
      hosts_[i].cut_until = 0;
      hosts_[i].side = 0;
      Later(Below(kTickUs), [this, i] { Learn(i, record_); });
    }
  }

  const std::string& violation() const { return violation_; }
  int takeovers() const { return takeovers_; }
  /// Returns the host that currently acts as steward, or -1.
  int Acting() const {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (Acts(i)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }
  int64_t now_us() const { return now_us_; }

 private:
  static constexpr int64_t kTickUs = 10'000;
  static constexpr int64_t kLongDelayUs = 600'000;
  static constexpr const char* kRange = "history@trnje";

  struct host {
    uint64_t life = 0;
    int64_t drift_ppm = 0;
    int64_t offset_us = 0;
    int64_t paused_until = 0;
    int64_t cut_until = 0;
    int side = 0;  ///< Messages between different sides are lost.
    bool read_record = false;
    std::unique_ptr<promise_ledger> ledger;
    std::unique_ptr<range_authority> authority;
  };

  uint64_t Below(uint64_t bound) { return random_() % bound; }

  void Later(uint64_t delay_us, std::function<void()> action) {
    queue_.emplace(now_us_ + static_cast<int64_t>(delay_us), std::move(action));
  }

  time_point Clock(size_t i) const {
    const host& h = hosts_[i];
    const int64_t us =
        now_us_ + now_us_ * h.drift_ppm / 1'000'000 + h.offset_us;
    return time_point{duration{us}};
  }

  member Self(size_t i) const {
    return member{"host-" + std::to_string(i), hosts_[i].life};
  }

  void Start(size_t i) {
    host& h = hosts_[i];
    const bool keeps_life =
        fault_ == protocol_fault::kForgetOnRestart && h.life != 0;
    h.life = keeps_life ? h.life : ++lives_;
    h.ledger = std::make_unique<promise_ledger>(h.life, timing_);
    h.authority = std::make_unique<range_authority>(kRange, Self(i), timing_);
  }

  void Learn(size_t i, const range_record& record) {
    hosts_[i].authority->SetRecord(record, Clock(i));
  }

  bool Paused(size_t i) const { return now_us_ < hosts_[i].paused_until; }
  bool Cut(size_t i) const { return now_us_ < hosts_[i].cut_until; }

  void TickHost(size_t i) {
    Later(kTickUs, [this, i] { TickHost(i); });
    if (Paused(i)) {
      return;
    }
    host& h = hosts_[i];
    std::vector<addressed_ask> requests;
    h.authority->Tick(Clock(i), *h.ledger, requests);
    for (const addressed_ask& request : requests) {
      SendAsk(i, request);
    }
    WriteRecord(i);
  }

  uint64_t Delay() {
    if (healed_ || Below(10) != 0) {
      return 100 + Below(2'000);
    }
    return Below(kLongDelayUs);
  }

  bool Lost(size_t from, size_t to) {
    return Cut(from) || Cut(to) || hosts_[from].side != hosts_[to].side ||
           (!healed_ && Below(20) == 0);
  }

  void SendAsk(size_t from, const addressed_ask& ask) {
    const size_t to = std::stoul(ask.to.host.substr(5));
    if (Lost(from, to)) {
      return;
    }
    const member requester = Self(from);
    Later(Delay(), [this, from, to, requester, ask] {
      Deliver(to, [this, from, to, requester, ask] {
        const promise_answer answer =
            hosts_[to].ledger->Answer(requester, ask.ask, Clock(to));
        SendAnswer(to, from, requester.life, answer);
      });
    });
  }

  void SendAnswer(size_t from, size_t to, uint64_t to_life,
                  const promise_answer& answer) {
    if (Lost(from, to)) {
      return;
    }
    const member witness = Self(from);
    Later(Delay(), [this, to, to_life, witness, answer] {
      Deliver(to, [this, to, to_life, witness, answer] {
        if (hosts_[to].life != to_life) {
          return;
        }
        promise_answer received = answer;
        if (fault_ == protocol_fault::kCountFromReceipt) {
          received.asked_at_us = Clock(to).time_since_epoch().count();
        }
        hosts_[to].authority->OnAnswer(witness, received, Clock(to));
      });
    });
  }

  /// Runs the action now, or when the host's pause ends.
  void Deliver(size_t to, const std::function<void()>& action) {
    if (!Paused(to)) {
      action();
      return;
    }
    const int64_t delay_us = hosts_[to].paused_until - now_us_;
    Later(delay_us, [this, to, action] { Deliver(to, action); });
  }

  void WriteRecord(size_t i) {
    host& h = hosts_[i];
    if (!SeesPlatform(i) || Below(4) != 0) {
      return;
    }
    if (!h.read_record) {
      h.read_record = true;
      Learn(i, record_);
      return;
    }
    roster_facts facts;
    facts.self = Self(i);
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (Hears(i, j)) {
        facts.candidates.push_back(Self(j));
      }
    }
    facts.latest_life = [this](const std::string& name) {
      return hosts_[std::stoul(name.substr(5))].life;
    };
    facts.gone = [this, i](const member& who) {
      return !Hears(i, std::stoul(who.host.substr(5)));
    };
    facts.all_saw_record = h.authority->AllSawRecord();
    facts.outranked = h.authority->outranked();
    const range_record& known = h.authority->record();
    auto next_record =
        Acts(i) ? RepairedRecord(known, facts) : ResetRecord(known, facts);
    if (!next_record && h.authority->Blocked(Clock(i), *h.ledger)) {
      next_record = RenumberedRecord(known, facts);
    }
    if (!next_record || known.revision != record_.revision) {
      return;
    }
    if (fault_ == protocol_fault::kSkipJointMajority) {
      next_record->previous.clear();
    }
    next_record->revision = record_.revision + 1;
    record_ = *next_record;
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (SeesPlatform(j)) {
        const range_record record = record_;
        Later(j == i ? 0 : Delay(), [this, j, record] {
          Deliver(j, [this, j, record] { Learn(j, record); });
        });
      }
    }
  }

  bool SeesPlatform(size_t i) const {
    return platform_up_ && !Cut(i) && !Paused(i) &&
           hosts_[i].side <= platform_side_;
  }

  bool Hears(size_t i, size_t j) const {
    return !Paused(j) && !Cut(j) && hosts_[i].side == hosts_[j].side;
  }

  /// Splits the hosts in two sides. The platform is reachable from one side or
  /// from both.
  void Partition() {
    for (host& h : hosts_) {
      h.side = static_cast<int>(Below(2));
    }
    platform_side_ = static_cast<int>(Below(2));
  }

  void Disturb() {
    if (healed_) {
      return;
    }
    const size_t i = Below(hosts_.size());
    const int64_t length_us = 50'000 + static_cast<int64_t>(Below(900'000));
    switch (Below(7)) {
      case 0:
        hosts_[i].paused_until = now_us_ + length_us;
        break;
      case 1:
        hosts_[i].cut_until = now_us_ + length_us;
        break;
      case 2:
        Start(i);
        hosts_[i].read_record = false;
        hosts_[i].paused_until = now_us_ + static_cast<int64_t>(Below(200'000));
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

  void PauseSteward(int64_t length) {
    const int acting = Acting();
    if (acting >= 0) {
      hosts_[acting].paused_until = now_us_ + length;
    }
  }

  /// Returns whether the host considers itself the steward. A paused host
  /// counts too: on waking, it would act if its authority had not expired.
  bool Acts(size_t i) const {
    return Clock(i) < hosts_[i].authority->ActingUntil();
  }

  void Check() {
    int acting = -1;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (!Acts(i)) {
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
    const member who = Self(acting);
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
  int platform_side_ = 1;
  bool healed_ = false;
  int64_t now_us_ = 0;
  uint64_t lives_ = 0;
  std::multimap<int64_t, std::function<void()>> queue_;
  std::string violation_;
  member last_steward_;
  uint64_t last_epoch_ = 0;
  int takeovers_ = 0;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_AUTHORITY_SCHEDULE_H_
