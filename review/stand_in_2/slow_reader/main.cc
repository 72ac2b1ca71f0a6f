// Callers pull from the archive and read the beginning of the answer, then
// nothing for 3.6 seconds, as on a link that stands still for a moment, then
// the rest. They stay inside the time that they announced. The answer must come
// whole.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "../stand_in.h"
#include "foxtailspread/address.h"
#include "net/http_message.h"
#include "net/socket_address.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

namespace foxtailspread::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartUp{seconds{4}};
constexpr duration kTime{seconds{12}};
constexpr duration kHeartbeat{milliseconds{870}};
constexpr milliseconds kPause{3600};
constexpr int kPatienceMs = 4000;
/// The longest answer of the site's kinds of request.
constexpr size_t kAnswerBytes = 30000;
/// A caller with a small window.
constexpr int kReceiveBuffer = 4096;
constexpr int kCallers = 8;
/// Rule LOST allows three.
constexpr int kMostLost = 3;
constexpr size_t kFirstRead = 512;

/// A sound target with answers of that size.
class plain_target {
 public:
  explicit plain_target(small_deployment& deployment)
      : deployment_(deployment),
        server_(deployment.events(),
                {.on_request =
                     [this](exchange_id id, const http_message& request) {
                       OnRequest(id, request);
                     },
                 .on_gone = [](exchange_id) {}}),
        self_({.life = {.id = "archive-long", .started = 2000000},
               .service = "archive",
               .zone = "trnje"}) {}

  bool Start() {
    if (!server_.Listen("127.0.0.1:0")) {
      return false;
    }
    WriteEntry();
    heartbeat_ = RunEvery(kHeartbeat, [this] { WriteEntry(); });
    return true;
  }

 private:
  void WriteEntry() {
    deployment_.store().Put(
        std::string{platform::kTargetKind}, self_.options().life.id,
        self_.Entry("127.0.0.1:" + std::to_string(server_.port()),
                    ++sequence_));
  }
  void OnRequest(exchange_id id, const http_message& request) {
    const std::string attempt{platform::AttemptId(request)};
    if (!attempt.empty()) {
      deployment_.Note("run " + attempt);
    }
    http_message answer;
    answer.status = kHttpOk;
    answer.headers = {{std::string{platform::kAttemptId}, attempt},
                      {std::string{platform::kSignature}, "made"}};
    answer.body.assign(kAnswerBytes, 'x');
    server_.Answer(id, std::move(answer));
  }

  small_deployment& deployment_;
  caller_server server_;
  stand_in::platform_target self_;
  timer heartbeat_;
  uint64_t sequence_ = 0;
};

/// What one caller got, in a thread of its own.
struct call {
  std::string id;
  std::string received;
  bool is_first_whole = false;  ///< The first answer on the connection.
  std::thread thread;
};

bool IsWhole(const std::string& received) {
  const size_t head = received.find("\r\n\r\n");
  return head != std::string::npos &&
         received.size() - head - 4 >= kAnswerBytes;
}

std::string Request(const std::string& id) {
  http_message request;
  request.method = "GET";
  request.target = "/" + id;
  request.headers = {
      {"Host", "archive.example"},
      {std::string{platform::kAttemptId}, id},
      {std::string{platform::kDeadline}, std::to_string(kPatienceMs)}};
  return FormatRequest(request);
}

/// Reads until the answer is whole, the connection ends or nothing comes for a
/// second.
void ReadAnswer(int fd, std::string& received, size_t at_most) {
  std::array<char, 4096> buffer{};
  while (!IsWhole(received) && received.size() < at_most) {
    const ssize_t got = recv(fd, buffer.data(), buffer.size(), 0);
    if (got <= 0) {
      return;
    }
    received.append(buffer.data(), static_cast<size_t>(got));
  }
}

void RunCall(call& made, const std::string& address, bool pauses) {
  const auto parsed = ParseAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int size = kReceiveBuffer;
  const timeval patience{.tv_sec = 1, .tv_usec = 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  const auto native = NativeAddress(parsed.value());
  const sockaddr_in& to = native.value();
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    const std::string first = Request(made.id + "-before");
    const std::string second = Request(made.id);
    std::string before;
    send(fd, first.data(), first.size(), MSG_NOSIGNAL);
    ReadAnswer(fd, before, kAnswerBytes * 2);
    made.is_first_whole = IsWhole(before);
    send(fd, second.data(), second.size(), MSG_NOSIGNAL);
    ReadAnswer(fd, made.received, kFirstRead);
    if (pauses) {
      std::this_thread::sleep_for(kPause);
    }
    ReadAnswer(fd, made.received, kAnswerBytes * 2);
  }
  close(fd);
}

int Run(const case_paths& paths, bool has_trouble) {
  small_deployment deployment(paths, 1);
  plain_target target(deployment);
  bool good = deployment.WriteDeclarations() && target.Start();
  good = good &&
         deployment.AddTarget("history", "history-0", "trnje", true) != nullptr;
  for (const char* name : {"edge-dubrava-1", "edge-trnje-1"}) {
    good = good && deployment.AddHost(name, std::string{name}.substr(5, 5));
  }
  for (entry_process& host : deployment.hosts()) {
    good = good && deployment.StartHost(host);
  }
  if (!good) {
    return kExitNotRun;
  }
  deployment.RunFor(kStartUp);
  std::list<call> calls;
  for (int i = 0; i < kCallers; ++i) {
    const entry_process& host =
        deployment.hosts()[static_cast<size_t>(i) % deployment.hosts().size()];
    call& made = calls.emplace_back();
    made.id = "pull-" + std::to_string(i);
    deployment.Note("send " + made.id + " to " + host.name);
    made.thread = std::thread([&made, address = host.callers, has_trouble] {
      RunCall(made, address, has_trouble);
    });
  }
  deployment.RunFor(kTime);
  int lost = 0;
  int kept = 0;
  for (call& made : calls) {
    made.thread.join();
    kept += made.is_first_whole ? 1 : 0;
    const bool is_lost = made.is_first_whole && !IsWhole(made.received);
    lost += is_lost ? 1 : 0;
    deployment.Note("end " + made.id + (is_lost ? " LOST" : "") + " with " +
                    std::to_string(made.received.size()) + " bytes");
  }
  if (!deployment.AllHostsRun() || kept <= kMostLost) {
    return kExitNotRun;
  }
  std::printf("%d pulls on kept connections, %d answers cut off\n", kept, lost);
  return lost > kMostLost ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace foxtailspread::review

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::fprintf(stderr, "usage: %s PROGRAM DECLARATIONS WORK RECORD\n",
                 argv[0]);
    return foxtailspread::review::kExitNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string{trouble} != "0";
  return foxtailspread::review::Run({.program = argv[1],
                                     .declarations = argv[2],
                                     .work = argv[3],
                                     .record = argv[4]},
                                    has_trouble);
}
