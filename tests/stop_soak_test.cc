// Seeded schedules of whole entry hosts that stop and start again under callers
// that keep their connections, while work at targets lasts from milliseconds to
// longer than the stop. Judged by what callers got and what targets ran.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "edge_daemon_fixture.h"
#include "foxtailspread/graceful_stop.h"
#include "support/kept_connection.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 4;
constexpr size_t kCallers = 14;
constexpr uint64_t kSeeds = 3;

constexpr duration kGrace{seconds{3}};
/// Of the first life of one host: long enough for a stop to end by itself.
constexpr duration kLongGrace{seconds{6}};
/// A stop without work takes no longer.
constexpr duration kIdleStop{seconds{4}};
/// A stop ends so soon after its last connection.
constexpr duration kIdleStopDelay{milliseconds{500}};
/// The balancer sends no connections to a host so long after its stop began.
constexpr duration kBalancerDelay{milliseconds{2300}};
/// Requests that cross the end of their connection were sent so late.
constexpr duration kLossSlack{milliseconds{200}};
/// Timers of whole milliseconds may be early by this.
constexpr duration kTimerSlack{milliseconds{10}};
constexpr duration kLastStop{seconds{8}};

constexpr std::array<soak_service, 4> kServices{{
    {"keyed", true, true, seconds{9}},
    {"pooled", false, true, seconds{9}},
    {"brief", false, true, milliseconds{1500}},
    {"orders", false, false, seconds{9}},
}};

class StopSoakTest : public EdgeDaemonTest,
                     public ::testing::WithParamInterface<uint64_t> {
 protected:
  StopSoakTest()
      : EdgeDaemonTest(SoakPlan()),
        schedule_random_(GetParam()),
        random_(~GetParam()) {}

  static stand_in::fleet_plan SoakPlan() {
    stand_in::fleet_plan plan{.zones = {"north", "south"}, .services = {}};
    for (const soak_service& each : kServices) {
      plan.services.push_back({.name = each.name,
                               .targets = 5,
                               .keyed = each.is_keyed,
                               .idempotent = each.is_safe,
                               .timeout = each.timeout});
    }
    return plan;
  }

  void SetUp() override {
    const status started = fleet_.Start("127.0.0.1:0");
    ASSERT_TRUE(started) << started.error().Message();
    hosts_.resize(kHosts);
    lives_of_.resize(kHosts);
    restarts_.resize(kHosts);
    for (size_t host = 0; host < kHosts; ++host) {
      ASSERT_NO_FATAL_FAILURE(StartHost(host));
    }
    ASSERT_TRUE(RunUntil([&] { return Call(0, "keyed").status == 200; }));
  }

  platform::edge_settings SettingsOf(size_t host) const {
    platform::edge_settings settings;
    settings.zone = plan_.zones[host % plan_.zones.size()];
    settings.name = "edge-" + settings.zone + "-" + std::to_string(host);
    settings.callers = "127.0.0.1:0";
    settings.readiness = "127.0.0.1:0";
    settings.hosts = "127.0.0.1:0";
    settings.target_heartbeat = plan_.report_period;
    settings.store = "127.0.0.1:" + std::to_string(fleet_.store_port());
    return settings;
  }

  void StartHost(size_t host) {
    const int number =
        lives_of_[host] == nullptr ? 1 : lives_of_[host]->number + 1;
    host_life& life = lives_.emplace_back(
        host_life{.host = host,
                  .number = number,
                  .grace = host == 0 && number == 1 ? kLongGrace : kGrace});
    lives_of_[host] = &life;
    platform::edge_settings settings = SettingsOf(host);
    settings.stop_grace = life.grace;
    hosts_[host] = std::make_unique<edge_daemon>(
        settings, [&life] { life.is_done = true; });
    const status listening = hosts_[host]->Start();
    ASSERT_TRUE(listening) << listening.error().Message();
  }

  void Leave(size_t host) {
    if (!hosts_[host]) {
      return;
    }
    host_life& life = *lives_of_[host];
    if (!life.stopped_at) {
      life.stopped_at = Now();
      life.fair_stop = clock_.WithoutStalls();
    }
    hosts_[host]->Leave();
  }

  void LeaveAll() {
    is_ending_ = true;
    for (size_t host = 0; host < kHosts; ++host) {
      Leave(host);
    }
  }

  void ReloadHost(size_t host) {
    if (hosts_[host]) {
      platform::edge_settings settings = SettingsOf(host);
      settings.memory_mb = 128;
      hosts_[host]->Reload(settings);
    }
  }

  void KillTarget(size_t target) {
    fleet_.Kill(target);
    killed_.push_back(target);
  }

  static uint64_t Below(std::mt19937_64& random, uint64_t bound) {
    return random() % bound;
  }
  static duration Between(std::mt19937_64& random, milliseconds least,
                          milliseconds most) {
    const auto span = static_cast<uint64_t>((most - least).count());
    return least + milliseconds{static_cast<int64_t>(Below(random, span + 1))};
  }

  void PlanSchedule() {
    std::mt19937_64& random = schedule_random_;
    std::array<size_t, kHosts> order{};
    for (size_t host = 0; host < kHosts; ++host) {
      order[host] = host;
    }
    std::shuffle(order.begin(), order.end(), random);
    // One after the other, or some of them at once.
    duration at{milliseconds{300}};
    for (const size_t host : order) {
      schedule_.emplace(at, [this, host] { Leave(host); });
      at += Below(random, 2) == 0
                ? Between(random, milliseconds{0}, milliseconds{50})
                : Between(random, milliseconds{300}, milliseconds{1200});
    }
    // Several at once, some of which may be stopping.
    at = Between(random, milliseconds{3800}, milliseconds{5000});
    const size_t several = 2 + Below(random, kHosts - 1);
    for (size_t i = 0; i < several; ++i) {
      schedule_.emplace(at, [this, host = order[i]] { Leave(host); });
    }
    for (int i = 0; i < 10; ++i) {
      PlanDisturbance(Between(random, milliseconds{200}, milliseconds{9500}));
    }
    const size_t target = Below(random, fleet_.targets());
    if (Below(random, 2) == 0) {
      schedule_.emplace(Between(random, milliseconds{200}, milliseconds{9500}),
                        [this, target] { KillTarget(target); });
    }
    schedule_.emplace(kLastStop, [this] { LeaveAll(); });
  }

  void PlanDisturbance(duration at) {
    std::mt19937_64& random = schedule_random_;
    const size_t host = Below(random, kHosts);
    const size_t target = Below(random, fleet_.targets());
    switch (Below(random, 8)) {
      case 0:
      case 1:
        schedule_.emplace(at, [this] { fleet_.WriteConfig(++version_); });
        break;
      case 2:
        schedule_.emplace(at, [this, target] { fleet_.Leave(target); });
        break;
      case 3:
      case 4:
        schedule_.emplace(at, [this, host] { ReloadHost(host); });
        break;
      default:
        schedule_.emplace(at, [this, host] {
          if (lives_of_[host]->stopped_at) {
            Leave(host);
          }
        });
    }
  }

  void MakeCallers() {
    callers_.resize(kCallers);
    for (size_t i = 0; i < kCallers; ++i) {
      soak_caller& caller = callers_[i];
      caller.is_pipelining = i % 3 != 0;
      caller.ignores_end = i % 4 == 1;
      caller.depth = caller.is_pipelining ? 2 + Below(random_, 7) : 1;
      caller.longest_pause = milliseconds{i % 5 == 0 ? 1500 : 120};
    }
  }

  /// Lets the hosts whose stop is over end, and starts them again.
  void EndAndRestart() {
    const time_point now = Now();
    for (size_t host = 0; host < kHosts; ++host) {
      host_life& life = *lives_of_[host];
      if (hosts_[host] && life.is_done) {
        life.fair_end = clock_.WithoutStalls();
        hosts_[host].reset();
        restarts_[host] =
            now + Between(random_, milliseconds{20}, milliseconds{500});
      }
      if (!hosts_[host] && !is_ending_ && now >= restarts_[host]) {
        StartHost(host);
      }
    }
  }

  /// The host to which the balancer sends a connection.
  std::optional<size_t> PickHost() {
    std::vector<size_t> ready;
    for (size_t host = 0; host < kHosts; ++host) {
      const auto& stopped_at = lives_of_[host]->stopped_at;
      if (hosts_[host] &&
          (!stopped_at || Now() < *stopped_at + kBalancerDelay)) {
        ready.push_back(host);
      }
    }
    if (ready.empty()) {
      return std::nullopt;
    }
    return ready[Below(random_, ready.size())];
  }

  duration AnyWork() {
    const uint64_t kind = Below(random_, 100);
    if (kind < 60) {
      return Between(random_, milliseconds{2}, milliseconds{30});
    }
    if (kind < 85) {
      return Between(random_, milliseconds{30}, milliseconds{800});
    }
    return kind < 95
               ? Between(random_, milliseconds{800}, milliseconds{3000})
               : Between(random_, milliseconds{3000}, milliseconds{10000});
  }

  void SendAny(soak_caller& caller) {
    const bool may_be_unsafe =
        !caller.is_pipelining && !caller.connection->heard_end();
    const size_t kinds = kServices.size() - (may_be_unsafe ? 0 : 1);
    const soak_service& service = kServices[Below(random_, kinds)];
    const std::string path = "/" + std::to_string(++requests_);
    fleet_.SetWork(service.name, path, AnyWork());
    caller.connection->Send(service, path,
                            std::to_string(Below(random_, 65536)));
  }

  void UseConnection(soak_caller& caller) {
    const time_point now = Now();
    kept_connection*& connection = caller.connection;
    if (now < caller.next_at) {
      return;
    }
    caller.next_at =
        now +
        Between(random_, milliseconds{2},
                std::chrono::duration_cast<milliseconds>(caller.longest_pause));
    if (connection == nullptr || connection->has_ended()) {
      const auto host = PickHost();
      if (!host) {
        return;
      }
      connection = &connections_.emplace_back(
          events_, clock_, *lives_of_[*host], caller.ignores_end);
      caller.sent_after_end = 0;
      connection->Connect(hosts_[*host]->callers_port());
    }
    if (connection->heard_end() && ++caller.sent_after_end > 3) {
      connection->End();
      return;
    }
    const size_t most = 1 + Below(random_, 3);
    for (size_t i = 0; i < most && !connection->has_ended(); ++i) {
      if (connection->unanswered() < caller.depth || connection->heard_end()) {
        SendAny(caller);
      }
    }
  }

  /// Returns whether all is over.
  bool Turn() {
    clock_.OnTurn();
    EndAndRestart();
    while (!schedule_.empty() &&
           Now() >= began_at_ + schedule_.begin()->first) {
      const auto action = schedule_.extract(schedule_.begin());
      action.mapped()();
    }
    bool is_over = is_ending_;
    for (soak_caller& caller : callers_) {
      UseConnection(caller);
      is_over = is_over && (caller.connection == nullptr ||
                            caller.connection->has_ended());
    }
    return is_over &&
           std::none_of(hosts_.begin(), hosts_.end(),
                        [](const auto& host) { return host != nullptr; });
  }

  static int64_t ToMilliseconds(duration time) {
    return time / milliseconds{1};
  }

  void Report(const kept_connection& on, size_t index,
              const std::string& problem) {
    const sent_request& request = on.requests()[index];
    const host_life& life = on.life();
    std::ostringstream text;
    text << problem << ": " << request.service->name << request.path
         << " at host " << life.host << " life " << life.number << ", ran "
         << fleet_.RunsOf(request.path) << ", " << index << " of "
         << on.requests().size() << " with " << on.answers().size()
         << " answers";
    if (index < on.answers().size()) {
      const received_answer& answer = on.answers()[index];
      text << ", answered " << answer.message.status << " after "
           << ToMilliseconds(answer.at - request.sent_at) << " ms";
    }
    if (life.stopped_at) {
      text << ", sent " << ToMilliseconds(request.sent_at - *life.stopped_at)
           << " ms after the stop began";
    }
    problems_.push_back(text.str());
  }

  bool RanAtKilledTarget(const std::string& path) const {
    return std::any_of(killed_.begin(), killed_.end(), [&](size_t target) {
      return fleet_.target(target).runs().contains(path);
    });
  }

  /// Whether an answer of the host's own may take the place of the target's.
  bool MayBreakOff(const sent_request& request, const host_life& life,
                   time_point answered_at) const {
    time_point due = request.sent_at + request.service->timeout;
    if (life.stopped_at) {
      graceful_stop stop(life.grace);
      stop.Begin(*life.stopped_at);
      due = std::min(due, *stop.AnswerBy());
    }
    return answered_at >= due - kTimerSlack || RanAtKilledTarget(request.path);
  }

  void JudgeAnswer(const kept_connection& on, size_t index) {
    const sent_request& request = on.requests()[index];
    const received_answer& answer = on.answers()[index];
    const int runs = fleet_.RunsOf(request.path);
    const int status = answer.message.status;
    ++answered_[status];
    if (status == kHttpOk) {
      if (answer.message.body != request.path) {
        Report(on, index, "answer of " + answer.message.body);
      }
      return;
    }
    const bool is_promise =
        status == kHttpUnavailable || status == kHttpTooManyRequests ||
        status == platform::kMisdirectedStatus || status == 408;
    if (!request.service->is_safe && is_promise && runs > 0) {
      Report(on, index, "REFUSED");
    }
    if (runs > 0 && !MayBreakOff(request, on.life(), answer.at)) {
      Report(on, index, "broken off too soon");
    }
  }

  void JudgeUnanswered(const kept_connection& on, size_t index) {
    const sent_request& request = on.requests()[index];
    const bool was_closed =
        !on.answers().empty() && !on.answers().back().message.keep_alive;
    const bool crossed = on.fair_end() <= request.fair_sent_at + kLossSlack;
    ++unanswered_;
    if (fleet_.RunsOf(request.path) > 0) {
      Report(on, index, "LOST, ran");
    } else if (!was_closed && !request.is_behind_other && !crossed) {
      Report(on, index, "LOST, not run");
    }
  }

  void JudgeConnection(const kept_connection& connection) {
    const size_t answers = connection.answers().size();
    for (size_t i = 0; i < connection.requests().size(); ++i) {
      const sent_request& request = connection.requests()[i];
      if (!request.service->is_safe && fleet_.RunsOf(request.path) > 1) {
        Report(connection, i, "TWICE");
      }
      if (i < answers) {
        JudgeAnswer(connection, i);
      } else {
        JudgeUnanswered(connection, i);
      }
    }
    if (answers > connection.requests().size() || connection.is_malformed() ||
        connection.is_cut()) {
      problems_.push_back(
          "surplus, malformed or cut answer on a connection to host " +
          std::to_string(connection.life().host));
    }
  }

  void JudgeStop(const host_life& life) {
    const duration took = life.fair_end - life.fair_stop;
    longest_stop_ = std::max(longest_stop_, took);
    const duration connected = life.fair_last_connection - life.fair_stop;
    if (took > life.grace) {
      problems_.push_back("stop of host " + std::to_string(life.host) +
                          " outlasts its grace period: " +
                          std::to_string(ToMilliseconds(took)) + " ms");
    }
    if (took > std::max(kIdleStop, connected + kIdleStopDelay)) {
      problems_.push_back("stop of host " + std::to_string(life.host) +
                          " without work takes " +
                          std::to_string(ToMilliseconds(took)) + " ms");
    }
  }

  void Judge() {
    for (const kept_connection& connection : connections_) {
      JudgeConnection(connection);
    }
    for (const host_life& life : lives_) {
      JudgeStop(life);
    }
    EXPECT_GT(answered_[kHttpOk], 0);
    for (const std::string& problem : problems_) {
      ADD_FAILURE() << "seed " << GetParam() << ": " << problem;
    }
  }

  void PrintSummary() const {
    std::cout << "seed " << GetParam() << ": " << requests_ << " requests on "
              << connections_.size() << " connections;";
    for (const auto& [status, count] : answered_) {
      std::cout << ' ' << status << " x" << count;
    }
    std::cout << ", unanswered x" << unanswered_ << "; " << lives_.size()
              << " stops, longest " << ToMilliseconds(longest_stop_)
              << " ms; loop stalled " << ToMilliseconds(clock_.stalled())
              << " ms; problems " << problems_.size() << '\n';
  }

  std::mt19937_64 schedule_random_;
  std::mt19937_64 random_;
  loop_clock clock_;
  time_point began_at_{};
  std::multimap<duration, std::function<void()>> schedule_;
  std::deque<host_life> lives_;
  std::vector<host_life*> lives_of_;  ///< The present or last life, by host.
  std::vector<time_point> restarts_;
  std::vector<soak_caller> callers_;
  std::deque<kept_connection> connections_;
  std::vector<size_t> killed_;
  uint64_t version_ = 1;
  uint64_t requests_ = 0;
  bool is_ending_ = false;
  std::map<int, int> answered_;
  int unanswered_ = 0;
  duration longest_stop_{};
  std::vector<std::string> problems_;
};

// Guards against requests that stops lose, repeat or break off, in orders of
// events that no other test forces.
TEST_P(StopSoakTest, StoppingHostsAnswerWhatTheyPassedOn) {
  PlanSchedule();
  MakeCallers();
  clock_ = loop_clock{};
  began_at_ = Now();
  const bool is_over = RunUntil([&] { return Turn(); });
  EXPECT_TRUE(is_over);
  if (is_over) {
    Judge();
  }
  PrintSummary();
}

INSTANTIATE_TEST_SUITE_P(
    Seed, StopSoakTest,
    ::testing::Range(EnvironmentNumber("FOXTAIL_FIRST_SEED", 1),
                     EnvironmentNumber("FOXTAIL_FIRST_SEED", 1) +
                         EnvironmentNumber("FOXTAIL_SEEDS", kSeeds)),
    [](const auto& info) { return std::to_string(info.param); });

}  // namespace
}  // namespace foxtailspread
