// A target's process stands still for some seconds and goes on as if nothing
// had happened. Its keys have another owner by then. It finds in its
// connections what arrived meanwhile, renewals among it, and must not hold the
// keys of the other one again.

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "../stand_in.h"
#include "net/http_message.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

namespace foxtailspread::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartUp{seconds{8}};
constexpr duration kFreeze{seconds{5}};
constexpr duration kAfter{seconds{4}};
constexpr duration kHeartbeat{milliseconds{870}};
constexpr int kHeartbeatsUntilRemoved = 3;
constexpr duration kTurn{milliseconds{2}};
constexpr duration kPoll{milliseconds{5}};
constexpr int kRequestsPerSecond = 100;
constexpr int kReadWrite = 0644;
constexpr const char* kId = "history-frozen";

stand_in::target_options Options() {
  return {.life = {.id = kId, .started = 3000000},
          .service = "history",
          .zone = "dubrava",
          .keyed = true,
          .work = milliseconds{40}};
}

/// The target's own process: sound, and tells in a file what it takes and runs.
int RunTarget(const std::string& address, const std::string& tells) {
  std::FILE* file = std::fopen(tells.c_str(), "a");
  poller events;
  event_loop loop;
  stand_in::platform_target target(Options());
  caller_server* server = nullptr;
  const auto on_request = [&](exchange_id id, const http_message& request) {
    const time_point now = Now();
    if (request.target == "/healthz") {
      http_message good;
      good.status = kHttpOk;
      server->Answer(id, good);
      return;
    }
    auto answer = target.Handle(id, request, now);
    const bool is_order = request.target == platform::kGrantPath ||
                          request.target == platform::kReleasePath;
    if (is_order && !request.body.empty()) {
      const auto body = nlohmann::json::parse(request.body, nullptr, false);
      const bool is_taken =
          request.target == platform::kGrantPath && answer->status == kHttpOk;
      std::fprintf(file, "%s %u %u %lu\n", is_taken ? "grant" : "order",
                   body.value("from", 0U), body.value("target", 0U),
                   body.value("fence", uint64_t{0}));
    } else if (!answer) {
      const auto key = request.Header(platform::kShardKey);
      std::fprintf(file, "run %s 0 0\n",
                   std::string{key.value_or("0")}.c_str());
    }
    std::fflush(file);
    if (answer) {
      if (!is_order) {
        answer->headers.push_back({std::string{platform::kAttemptId},
                                   std::string{platform::AttemptId(request)}});
      }
      server->Answer(id, *answer);
    }
  };
  caller_server listening(
      events, {.on_request = on_request,
               .on_gone = [&](exchange_id id) { target.Cancel(id); }});
  server = &listening;
  if (file == nullptr || !listening.Listen(address)) {
    return kExitNotRun;
  }
  const timer turn = RunEvery(kTurn, [&] {
    for (const auto& [id, answer] : target.TakeDone(Now())) {
      listening.Answer(id, answer);
    }
  });
  loop.Run();
  return kExitHeld;
}

/// The target's process as the others see it.
class frozen_target {
 public:
  explicit frozen_target(small_deployment& deployment)
      : deployment_(deployment), self_(Options()) {}
  ~frozen_target() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  frozen_target(const frozen_target&) = delete;
  frozen_target& operator=(const frozen_target&) = delete;

  bool Start(const char* program, const std::string& work) {
    address_ = deployment_.FreeAddress();
    tells_ = work + "/frozen-target";
    std::ofstream(tells_).flush();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execl(program, program, address_.c_str(), tells_.c_str(), nullptr);
      _exit(kExitNotRun);
    }
    WriteEntry();
    heartbeat_ = RunEvery(kHeartbeat, [this] { WriteEntry(); });
    poll_ = RunEvery(kPoll, [this] { ReadTold(); });
    return pid_ > 0;
  }

  void Freeze() {
    deployment_.Note("the target's process stands still");
    kill(pid_, SIGSTOP);
    is_frozen_ = true;
  }
  void GoOn() {
    deployment_.Note("the target's process goes on");
    is_frozen_ = false;
    has_woken_ = true;
    kill(pid_, SIGCONT);
  }
  size_t taken() const { return taken_; }
  size_t runs() const { return runs_; }

  /// Another target begins a request while this one holds its key.
  void OnOtherBegins(const std::string& other, key_point key) {
    const time_point now = Now();
    for (const stale_grant& each : stale_) {
      if (key >= each.first && key <= each.last && now < each.until) {
        deployment_.Note(other + " begins a request on key " +
                         std::to_string(key) + ", which " + kId +
                         " holds as well");
        other_began_ = true;
      }
    }
  }
  /// What is broken of rule OWNER; empty if nothing is.
  std::string Problem() const {
    if (stale_.empty()) {
      return {};
    }
    std::string text = std::to_string(stale_.size()) +
                       " grants taken with a lower fence than another owner's";
    if (self_began_ && other_began_) {
      text += ", and both began requests on their keys";
    }
    return text;
  }

 private:
  struct stale_grant {
    uint32_t first = 0;
    uint32_t last = 0;
    time_point until{};
  };

  void WriteEntry() {
    const std::string kind{platform::kTargetKind};
    ++sequence_;
    if (!is_frozen_) {
      silent_ = 0;
      deployment_.store().Put(kind, kId, self_.Entry(address_, sequence_));
    } else if (++silent_ == kHeartbeatsUntilRemoved) {
      deployment_.Note("the store removes its entry");
      deployment_.store().Remove(kind, kId);
    }
  }

  bool IsHeldElsewhere(uint32_t key, std::string* holder) const {
    for (const target_process& each : deployment_.targets()) {
      if (each.target->options().keyed &&
          each.target->Holds(static_cast<key_point>(key), Now())) {
        *holder = each.target->options().life.id;
        return true;
      }
    }
    return false;
  }

  /// Reads what the target's process has told since.
  void ReadTold() {
    std::ifstream file(tells_);
    file.seekg(read_);
    for (std::string line; std::getline(file, line) && !file.eof();) {
      read_ += static_cast<std::streamoff>(line.size()) + 1;
      std::istringstream words(line);
      std::string kind;
      uint32_t first = 0;
      uint32_t last = 0;
      uint64_t fence = 0;
      words >> kind >> first >> last >> fence;
      deployment_.Note(std::string{kId} + ": " + line);
      taken_ += kind == "grant" ? 1 : 0;
      runs_ += kind == "run" ? 1 : 0;
      std::string holder;
      if (kind == "grant" && has_woken_ && IsHeldElsewhere(first, &holder)) {
        deployment_.Note("OWNER: " + std::string{kId} + " takes keys " +
                         std::to_string(first) + " to " + std::to_string(last) +
                         " with fence " + std::to_string(fence) + ", " +
                         holder + " holds the first of them");
        // A renewal is good for three seconds.
        stale_.push_back({first, last, Now() + seconds{3}});
      } else if (kind == "run" && has_woken_ &&
                 IsHeldElsewhere(first, &holder)) {
        deployment_.Note(std::string{kId} + " began a request on key " +
                         std::to_string(first) + ", which " + holder +
                         " holds as well");
        self_began_ = true;
      }
    }
  }

  small_deployment& deployment_;
  stand_in::platform_target self_;
  std::string address_;
  std::string tells_;
  pid_t pid_ = 0;
  std::streamoff read_ = 0;
  uint64_t sequence_ = 0;
  int silent_ = 0;
  bool is_frozen_ = false;
  bool has_woken_ = false;
  size_t taken_ = 0;
  size_t runs_ = 0;
  std::vector<stale_grant> stale_;
  bool self_began_ = false;
  bool other_began_ = false;
  timer heartbeat_;
  timer poll_;
};

int Run(const char* self, const case_paths& paths, bool has_trouble) {
  small_deployment deployment(paths, 1);
  bool good = deployment.WriteDeclarations();
  for (const char* id : {"history-0", "history-1", "history-2"}) {
    good = good && deployment.AddTarget("history", id, "trnje", true);
  }
  good = good && deployment.AddTarget("signing", "signing-0", "trnje", false);
  frozen_target target(deployment);
  good = good && target.Start(self, paths.work);
  for (const char* name : {"edge-dubrava-1", "edge-trnje-1", "edge-trnje-2"}) {
    good = good && deployment.AddHost(name, std::string{name}.substr(5, 5));
  }
  for (entry_process& host : deployment.hosts()) {
    good = good && deployment.StartHost(host);
  }
  if (!good) {
    return kExitNotRun;
  }
  deployment.OnEachBegin([&](const std::string& other, key_point key) {
    target.OnOtherBegins(other, key);
  });
  deployment.RunFor(kStartUp);
  deployment.StartLoad(kRequestsPerSecond);
  deployment.RunFor(seconds{3});
  if (target.taken() == 0 || target.runs() == 0) {
    deployment.Note("the target got no keys or no requests");
    return kExitNotRun;
  }
  if (has_trouble) {
    target.Freeze();
  }
  deployment.RunFor(kFreeze);
  if (has_trouble) {
    target.GoOn();
  }
  deployment.RunFor(kAfter);
  deployment.StopLoad();
  deployment.RunFor(seconds{2});
  if (!deployment.AllHostsRun()) {
    return kExitNotRun;
  }
  const std::string problem = target.Problem();
  std::printf("%s\n",
              problem.empty() ? "held" : ("broken: " + problem).c_str());
  return problem.empty() ? kExitHeld : kExitBroken;
}

}  // namespace
}  // namespace foxtailspread::review

int main(int argc, char** argv) {
  constexpr int kCaseArguments = 5;
  constexpr int kTargetArguments = 3;
  if (argc == kTargetArguments) {
    return foxtailspread::review::RunTarget(argv[1], argv[2]);
  }
  if (argc != kCaseArguments) {
    std::fprintf(stderr, "usage: %s PROGRAM DECLARATIONS WORK RECORD\n",
                 argv[0]);
    return foxtailspread::review::kExitNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string{trouble} != "0";
  return foxtailspread::review::Run(argv[0],
                                    {.program = argv[1],
                                     .declarations = argv[2],
                                     .work = argv[3],
                                     .record = argv[4]},
                                    has_trouble);
}
