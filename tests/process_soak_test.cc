// Seeded schedules of signals to hosts that run as processes of their own, some
// on one core, under callers that keep their connections. Judged by how the
// processes end, by what callers got and by what targets ran.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sched.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

#include "net/loop.h"
#include "net/tcp_stream.h"
#include "platform/stand_in/fleet.h"
#include "run_until.h"
#include "support/host_process.h"
#include "support/kept_connection.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 4;
constexpr size_t kCallers = 14;
constexpr uint64_t kFirstSeed = 5;
constexpr uint64_t kSeeds = 2;

constexpr duration kTurn{milliseconds{2}};
/// The balancer sends no connections to a host so long after its stop began.
constexpr duration kBalancerDelay{milliseconds{2300}};
/// Requests that cross the end of their connection were sent so late.
constexpr duration kLossSlack{milliseconds{200}};
/// Only a stop that hangs takes so long; its grace period is 6 s.
constexpr duration kHungStop{seconds{10}};
constexpr duration kLastStop{seconds{8}};

constexpr std::array<soak_service, 4> kServices{{
    {"keyed", true, true, seconds{9}},
    {"pooled", false, true, seconds{9}},
    {"brief", false, true, milliseconds{1500}},
    {"orders", false, false, seconds{9}},
}};

/// Returns a port below those that the system picks by itself.
uint16_t FreePort(poller& events) {
  // Tests that run at the same time get ports of their own.
  static int next = 20000 + getpid() * 8 % 12000;
  tcp_listener listener(events, [](int fd) { close(fd); });
  while (!listener.Listen("127.0.0.1:" + std::to_string(next++))) {
  }
  return listener.port();
}

std::string LastLines(const std::string& path) {
  constexpr size_t kLines = 3;
  std::ifstream file{path};
  std::deque<std::string> last;
  for (std::string line; std::getline(file, line);) {
    last.push_back(line);
    if (last.size() > kLines) {
      last.pop_front();
    }
  }
  std::string text;
  for (const std::string& line : last) {
    text += "\n  " + line;
  }
  return text;
}

/// Of a process that a test prepares.
void StayOnOneCore() {
  cpu_set_t cores;
  sched_getaffinity(0, sizeof(cores), &cores);
  int first = 0;
  while (!CPU_ISSET(first, &cores)) {
    ++first;
  }
  CPU_ZERO(&cores);
  CPU_SET(first, &cores);
  sched_setaffinity(0, sizeof(cores), &cores);
}

/// Until then it is a copy of the test, with its descriptors.
bool RunsProgram(const host_process& process) {
  std::error_code ignored;
  const auto program = std::filesystem::read_symlink(
      "/proc/" + std::to_string(process.pid()) + "/exe", ignored);
  return program.filename() == "foxtail-edge";
}

struct soaked_host {
  uint16_t port = 0;
  settings_file settings;
  std::unique_ptr<host_process> process;
  host_life* life = nullptr;  ///< The present or last one.
  bool has_begun = false;     ///< Its program runs, not only its loader.
  time_point restart_at{};

  std::string log() const { return settings.path() + ".log"; }
};

class ProcessSoakTest : public ::testing::TestWithParam<uint64_t> {
 protected:
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
    began_at_ = Now();
    ASSERT_GT(fcntl(unread_.writer(), F_SETPIPE_SZ, 1), 0);
    for (size_t i = 0; i < kHosts; ++i) {
      hosts_[i].port = FreePort(events_);
      WriteSettings(i);
      StartHost(i);
    }
  }

  uint64_t Below(uint64_t bound) { return random_() % bound; }
  duration Between(int64_t least, int64_t most) {
    return milliseconds{least + static_cast<int64_t>(Below(
                                    static_cast<uint64_t>(most - least + 1)))};
  }

  std::string SettingsOf(size_t index) {
    const std::string zone = index % 2 == 0 ? "north" : "south";
    return R"({"name": "edge-)" + zone + "-" + std::to_string(index) +
           R"(", "zone": ")" + zone + R"(", "callers": "127.0.0.1:)" +
           std::to_string(hosts_[index].port) +
           R"(", "readiness": "127.0.0.1:0", "hosts": "127.0.0.1:0",
               "store": "127.0.0.1:)" +
           std::to_string(fleet_.store_port()) +
           R"(", "stop_grace": "6s", "target_heartbeat": "500ms",
               "memory_mb": )" +
           std::to_string(128 + Below(128)) + "}";
  }

  void WriteSettings(size_t index) {
    hosts_[index].settings.Write(SettingsOf(index));
  }

  void At(duration time, std::function<void()> action) {
    schedule_.emplace(time, std::move(action));
  }
  duration Elapsed() const { return Now() - began_at_; }

  void StartHost(size_t index) {
    soaked_host& host = hosts_[index];
    const int number = host.life == nullptr ? 1 : host.life->number + 1;
    host.life = &lives_.emplace_back(host_life{
        .host = index, .number = number, .grace = duration{seconds{6}}});
    host.process =
        std::make_unique<host_process>(host.settings.path(), [this, index] {
          OpenOutput(index);
          if (GetParam() % 2 == 0) {
            StayOnOneCore();
          }
        });
    host.has_begun = false;
  }

  void NoticeBegin(size_t index) {
    soaked_host& host = hosts_[index];
    if (host.process && !host.has_begun && RunsProgram(*host.process) &&
        host.process->HasSocket()) {
      host.has_begun = true;
      if (Below(2) == 0) {
        HangUp(index, Between(0, 15), 3);
      }
    }
  }

  /// Nobody reads what the last host writes.
  void OpenOutput(size_t index) const {
    const std::string path = hosts_[index].log();
    const int output =
        index + 1 == kHosts
            ? unread_.writer()
            : open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
  }

  /// Sends SIGHUP `count` times from `delay` on.
  void HangUp(size_t index, duration delay, int count) {
    for (int i = 0; i < count; ++i) {
      At(Elapsed() + delay + i * kTurn,
         [this, index] { Signal(index, SIGHUP); });
    }
  }

  void Signal(size_t index, int number) {
    soaked_host& host = hosts_[index];
    if (host.process && host.has_begun && !host.process->HasEnded()) {
      host.process->Signal(number);
    }
  }

  void Stop(size_t index) {
    soaked_host& host = hosts_[index];
    if (host.process && !host.has_begun) {
      At(Elapsed() + kTurn, [this, index] { Stop(index); });
      return;
    }
    if (host.process && !host.life->stopped_at) {
      host.life->stopped_at = Now();
    }
    Signal(index, SIGTERM);
  }

  void Kill(size_t index) {
    soaked_host& host = hosts_[index];
    if (host.process && !host.process->HasEnded()) {
      host.life->is_excused = true;
      host.process->Signal(SIGKILL);
    }
  }

  /// A freeze of a host whose stop runs would take its time away.
  void Freeze(size_t index) {
    if (!hosts_[index].life->stopped_at) {
      Signal(index, SIGSTOP);
      At(Elapsed() + Between(100, 1500),
         [this, index] { Signal(index, SIGCONT); });
    }
  }

  /// Lets the host read settings of which half is written.
  void ChangeSettings(size_t index) {
    const std::string text = SettingsOf(index);
    hosts_[index].settings.Write(text.substr(0, Below(text.size())));
    Signal(index, SIGHUP);
    At(Elapsed() + Between(0, 100), [this, index] {
      WriteSettings(index);
      Signal(index, SIGHUP);
    });
  }

  void PlanSchedule() {
    duration at = Between(500, 1500);
    for (size_t host = 0; host < kHosts; ++host) {
      PlanStop(host, at);
      PlanStop(host, at + Between(3000, 5500));
      at += Below(2) == 0 ? Between(0, 50) : Between(300, 1200);
    }
    for (int i = 0; i < 12; ++i) {
      PlanDisturbance(Between(200, 7500));
    }
    At(kLastStop, [this] {
      is_ending_ = true;
      for (size_t host = 0; host < kHosts; ++host) {
        Stop(host);
      }
    });
  }

  void PlanStop(size_t host, duration at) {
    At(at, [this, host] { Stop(host); });
    switch (Below(4)) {
      case 0:  // Until long after its end.
        At(at, [this, host] { HangUp(host, duration{0}, 2000); });
        break;
      case 1:
        At(at, [this, host] { HangUp(host, Between(0, 4), 3); });
        break;
      case 2:
        At(at + Between(1, 3000), [this, host] { Signal(host, SIGTERM); });
        break;
      default:
        break;
    }
  }

  void PlanDisturbance(duration at) {
    const size_t host = Below(kHosts);
    const size_t target = Below(fleet_.targets());
    switch (Below(9)) {
      case 0:
      case 1:
        At(at, [this] { fleet_.WriteConfig(++version_); });
        break;
      case 2:
        At(at, [this, target] { fleet_.Leave(target); });
        break;
      case 3:
      case 4:
        At(at, [this, host] { Freeze(host); });
        break;
      case 5:
        At(at, [this, host] { Kill(host); });
        break;
      case 6:
      case 7:
        At(at, [this, host] { ChangeSettings(host); });
        break;
      default:
        At(at, [this, host] { HangUp(host, duration{0}, 100); });
    }
  }

  void ReportEnd(size_t index, const std::string& how) {
    const host_life& life = *hosts_[index].life;
    faults_[&life] = "FAULT, host " + std::to_string(index) + " life " +
                     std::to_string(life.number) + " " + how + " at " +
                     std::to_string(Elapsed() / milliseconds{1}) + " ms" +
                     (life.stopped_at ? ", after a SIGTERM" : "") + ":" +
                     LastLines(hosts_[index].log());
  }

  void EndAndRestart(size_t index) {
    soaked_host& host = hosts_[index];
    host_life& life = *host.life;
    if (host.process && !life.is_excused && life.stopped_at &&
        Now() >= *life.stopped_at + kHungStop) {
      ReportEnd(index, "does not end");
      Kill(index);
    }
    if (host.process && host.process->HasEnded()) {
      const int code = host.process->Wait();
      const bool is_killed = life.is_excused && code == -SIGKILL;
      if (!is_killed && (!life.stopped_at || code != 0)) {
        life.is_excused = true;
        ReportEnd(index, "ended with " + std::to_string(code));
      }
      host.process.reset();
      host.restart_at = Now() + Between(0, 500);
    }
    if (!host.process && !is_ending_ && Now() >= host.restart_at) {
      StartHost(index);
    }
  }

  void MakeCallers() {
    callers_.resize(kCallers);
    for (size_t i = 0; i < kCallers; ++i) {
      soak_caller& caller = callers_[i];
      caller.is_pipelining = i % 3 != 0;
      caller.ignores_end = i % 4 == 1;
      caller.depth = caller.is_pipelining ? 2 + Below(7) : 1;
      caller.longest_pause = milliseconds{i % 5 == 0 ? 1500 : 120};
    }
  }

  duration AnyWork() {
    const uint64_t kind = Below(100);
    if (kind < 60) {
      return Between(2, 30);
    }
    return kind < 90 ? Between(30, 800) : Between(800, 2500);
  }

  void SendAny(soak_caller& caller) {
    const bool may_be_unsafe =
        !caller.is_pipelining && !caller.connection->heard_end();
    const soak_service& service =
        kServices[Below(kServices.size() - (may_be_unsafe ? 0 : 1))];
    const std::string path = "/" + std::to_string(++requests_);
    fleet_.SetWork(service.name, path, AnyWork());
    caller.connection->Send(service, path, std::to_string(Below(65536)));
  }

  /// False if there is none.
  bool Connect(soak_caller& caller) {
    soaked_host& host = hosts_[Below(kHosts)];
    const auto& stopped_at = host.life->stopped_at;
    if (!host.process || is_ending_ ||
        (stopped_at && Now() >= *stopped_at + kBalancerDelay)) {
      return false;
    }
    caller.connection = &connections_.emplace_back(events_, clock_, *host.life,
                                                   caller.ignores_end);
    caller.sent_after_end = 0;
    caller.connection->Connect(host.port);
    return true;
  }

  void UseConnection(soak_caller& caller) {
    if (Now() < caller.next_at) {
      return;
    }
    caller.next_at = Now() + Between(2, caller.longest_pause / milliseconds{1});
    if ((caller.connection == nullptr || caller.connection->has_ended()) &&
        !Connect(caller)) {
      return;
    }
    kept_connection& connection = *caller.connection;
    if (connection.heard_end() && ++caller.sent_after_end > 3) {
      connection.End();
    }
    const size_t most = 1 + Below(3);
    for (size_t i = 0; i < most && !connection.has_ended(); ++i) {
      if (connection.unanswered() < caller.depth || connection.heard_end()) {
        SendAny(caller);
      }
    }
  }

  /// Returns whether all is over.
  bool Turn() {
    clock_.OnTurn();
    for (size_t host = 0; host < kHosts; ++host) {
      EndAndRestart(host);
      NoticeBegin(host);
    }
    while (!schedule_.empty() && Elapsed() >= schedule_.begin()->first) {
      const auto action = schedule_.extract(schedule_.begin());
      action.mapped()();
    }
    for (soak_caller& caller : callers_) {
      UseConnection(caller);
    }
    return is_ending_ &&
           std::ranges::none_of(hosts_,
                                [](const soaked_host& host) {
                                  return host.process != nullptr;
                                }) &&
           std::ranges::all_of(callers_, [](const soak_caller& caller) {
             return caller.connection == nullptr ||
                    caller.connection->has_ended();
           });
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
         << " answers, sent at "
         << (request.sent_at - began_at_) / milliseconds{1} << " ms, end heard "
         << (on.fair_end() - request.fair_sent_at) / milliseconds{1}
         << " ms later";
    if (life.stopped_at) {
      text << ", stop begun "
           << (request.sent_at - *life.stopped_at) / milliseconds{1}
           << " ms before it";
    }
    text << LastLines(hosts_[life.host].log());
    problems_.push_back(text.str());
  }

  void JudgeAnswer(const kept_connection& on, size_t index) {
    const sent_request& request = on.requests()[index];
    const http_message& answer = on.answers()[index].message;
    ++answered_[answer.status];
    if (answer.status == kHttpOk && answer.body != request.path) {
      Report(on, index, "MIXED, answer of " + answer.body);
    }
    const bool is_promise = answer.status == kHttpUnavailable ||
                            answer.status == kHttpTooManyRequests;
    if (!request.service->is_safe && is_promise &&
        fleet_.RunsOf(request.path) > 0) {
      Report(on, index, "REFUSED");
    }
  }

  void JudgeUnanswered(const kept_connection& on, size_t index) {
    const sent_request& request = on.requests()[index];
    if (on.life().is_excused) {
      ++excused_;
      ++owed_[&on.life()];
      passed_on_[&on.life()] += fleet_.RunsOf(request.path) > 0 ? 1 : 0;
      return;
    }
    ++unanswered_;
    const bool was_closed =
        !on.answers().empty() && !on.answers().back().message.keep_alive;
    const bool crossed = on.fair_end() <= request.fair_sent_at + kLossSlack;
    if (fleet_.RunsOf(request.path) > 0) {
      Report(on, index, "LOST, ran");
    } else if (!was_closed && !request.is_behind_other && !crossed) {
      Report(on, index, "LOST, not run");
    }
  }

  void JudgeConnection(const kept_connection& on) {
    for (size_t i = 0; i < on.requests().size(); ++i) {
      const sent_request& request = on.requests()[i];
      if (!request.service->is_safe && fleet_.RunsOf(request.path) > 1) {
        Report(on, i, "TWICE");
      }
      if (i < on.answers().size()) {
        JudgeAnswer(on, i);
      } else {
        JudgeUnanswered(on, i);
      }
    }
    const bool is_cut = on.is_cut() && !on.life().is_excused;
    if (on.answers().size() > on.requests().size() || on.is_malformed() ||
        is_cut) {
      problems_.push_back("MIXED, surplus, malformed or cut answer of host " +
                          std::to_string(on.life().host));
    }
  }

  void Judge() {
    for (const kept_connection& connection : connections_) {
      JudgeConnection(connection);
    }
    for (const auto& [life, text] : faults_) {
      problems_.push_back(text + "\n  owed " + std::to_string(owed_[life]) +
                          " answers, " + std::to_string(passed_on_[life]) +
                          " of them to requests that ran");
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
    std::cout << ", unanswered x" << unanswered_ << ", by unplanned ends x"
              << excused_ << "; " << lives_.size() << " processes, "
              << faults_.size() << " faults of theirs; problems "
              << problems_.size() << '\n';
  }

  std::mt19937_64 random_{GetParam()};
  poller events_;
  stand_in::fleet fleet_{events_, SoakPlan()};
  loop_clock clock_;
  test_pipe unread_;
  time_point began_at_{};
  std::multimap<duration, std::function<void()>> schedule_;
  std::deque<host_life> lives_;
  std::array<soaked_host, kHosts> hosts_;
  std::vector<soak_caller> callers_;
  std::deque<kept_connection> connections_;
  uint64_t version_ = 1;
  uint64_t requests_ = 0;
  bool is_ending_ = false;
  std::map<int, int> answered_;
  int unanswered_ = 0;
  int excused_ = 0;
  std::map<const host_life*, std::string> faults_;
  std::map<const host_life*, int> owed_;       ///< By unplanned ends.
  std::map<const host_life*, int> passed_on_;  ///< Of these.
  std::vector<std::string> problems_;
};

// Guards against processes that end by themselves, and against requests lost
// between signals, freezes, restarts and kept connections of real sockets.
TEST_P(ProcessSoakTest, SignalledProcessesEndInOrderAndLoseNothing) {
  PlanSchedule();
  MakeCallers();
  clock_ = loop_clock{};
  const timer turns = RunEvery(kTurn, [] {});
  const bool is_over = RunUntil([&] { return Turn(); });
  EXPECT_TRUE(is_over);
  if (is_over) {
    Judge();
  }
  PrintSummary();
}

INSTANTIATE_TEST_SUITE_P(
    Seed, ProcessSoakTest,
    ::testing::Range(EnvironmentNumber("FOXTAIL_FIRST_SEED", kFirstSeed),
                     EnvironmentNumber("FOXTAIL_FIRST_SEED", kFirstSeed) +
                         EnvironmentNumber("FOXTAIL_SEEDS", kSeeds)),
    [](const auto& info) { return std::to_string(info.param); });

}  // namespace
}  // namespace foxtailspread
