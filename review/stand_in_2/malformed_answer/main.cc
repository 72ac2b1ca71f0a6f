// One target of a service spoils one in fifty of its answers: the bytes are no
// response of the protocol. Callers must get none of them: the entry host is
// to answer for itself, or to ask another target.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../stand_in.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

namespace foxtailspread::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartUp{seconds{5}};
constexpr duration kLoadTime{seconds{12}};
/// Answers are spoilt for so long, as on the users' days.
constexpr duration kSpoilTime{seconds{5}};
constexpr duration kHeartbeat{milliseconds{870}};
constexpr duration kSendEvery{milliseconds{10}};
/// One answer in so many is spoilt: x = 0.02.
constexpr uint64_t kSpoiltEvery = 50;
constexpr std::string_view kBody = "the whole answer";

/// A target that writes its answers byte by byte as it likes.
class spoiling_target {
 public:
  explicit spoiling_target(small_deployment& deployment)
      : deployment_(deployment),
        listener_(deployment.events(), [this](int fd) { OnAccepted(fd); }),
        self_({.life = {.id = "signing-spoiling", .started = 2000000},
               .service = "signing",
               .zone = "trnje"}) {}

  bool Start() {
    if (!listener_.Listen("127.0.0.1:0")) {
      return false;
    }
    WriteEntry();
    heartbeat_ = RunEvery(kHeartbeat, [this] { WriteEntry(); });
    return true;
  }
  void SpoilUntil(time_point end) { spoils_until_ = end; }
  uint64_t spoilt() const { return spoilt_; }

 private:
  struct connection {
    connection(spoiling_target& owner, int fd)
        : owner(owner),
          stream(owner.deployment_.events(),
                 HandlerFor<&connection::OnReady>(this)),
          reader(HTTP_REQUEST, {}) {
      stream.Adopt(fd);
    }
    void OnReady(uint32_t events) {
      if (!stream.OnWritable(events)) {
        stream.Close();
        return;
      }
      const read_result read = stream.Read();
      if (read.end == read_end::kData && reader.Feed(read.bytes)) {
        while (const auto request = reader.Take()) {
          stream.Write(owner.AnswerTo(*request));
        }
      } else if (read.end != read_end::kNothing) {
        stream.Close();
      }
    }

    spoiling_target& owner;
    tcp_stream stream;
    http_reader reader;
  };

  void OnAccepted(int fd) { connections_.emplace_back(*this, fd); }

  void WriteEntry() {
    deployment_.store().Put(
        std::string{platform::kTargetKind}, self_.options().life.id,
        self_.Entry("127.0.0.1:" + std::to_string(listener_.port()),
                    ++sequence_));
  }

  std::string AnswerTo(const http_message& request) {
    const std::string id{platform::AttemptId(request)};
    if (id.empty()) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string made_by_target =
        std::string{platform::kAttemptId} + ": " + id + "\r\n" +
        std::string{platform::kSignature} + ": made-for-" + id + "\r\n";
    const std::string length =
        "Content-Length: " + std::to_string(kBody.size()) + "\r\n\r\n";
    const bool spoils = Now() < spoils_until_ && ++answers_ % kSpoiltEvery == 0;
    if (!spoils) {
      deployment_.Note("run " + id + " at the spoiling target");
      return "HTTP/1.1 200 OK\r\n" + made_by_target + length +
             std::string{kBody};
    }
    deployment_.Note("run " + id + " at the spoiling target, answer spoilt");
    if (++spoilt_ % 2 == 0) {
      return "HTTP/1.1 000 OK\r\n" + made_by_target + length +
             std::string{kBody};
    }
    return "HTTP/1.1 200 OK\r\n" + made_by_target +
           "Transfer-Encoding : chunked\r\n\r\n10\r\n" + std::string{kBody} +
           "\r\n0\r\n\r\n";
  }

  small_deployment& deployment_;
  time_point spoils_until_{};
  tcp_listener listener_;
  stand_in::platform_target self_;
  std::list<connection> connections_;
  timer heartbeat_;
  uint64_t sequence_ = 0;
  uint64_t answers_ = 0;
  uint64_t spoilt_ = 0;
};

bool IsTokenCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kOthers.find(c) != std::string_view::npos;
}

/// What is wrong with the head of an answer; empty if it is one of HTTP/1.1.
std::string HeadProblem(std::string_view head) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr size_t kDigits = 3;
  const std::string_view line = head.substr(0, head.find("\r\n"));
  const std::string_view status = line.substr(0, kVersion.size() + kDigits);
  const std::string_view digits =
      status.substr(std::min(kVersion.size(), status.size()));
  const bool is_status =
      line.starts_with(kVersion) && digits.size() == kDigits &&
      digits[0] >= '1' && digits[0] <= '5' &&
      digits.find_first_not_of("0123456789") == std::string_view::npos;
  if (!is_status) {
    return "status line \"" + std::string{line} + "\"";
  }
  for (size_t at = line.size() + 2; at < head.size();) {
    const std::string_view field = head.substr(at, head.find("\r\n", at) - at);
    at += field.size() + 2;
    const std::string_view name = field.substr(0, field.find(':'));
    bool is_name = !name.empty() && name.size() < field.size();
    for (const char c : name) {
      is_name = is_name && IsTokenCharacter(c);
    }
    if (!is_name) {
      return "header \"" + std::string{field} + "\"";
    }
  }
  return {};
}

/// A caller that sends one request on a connection of its own and keeps the
/// bytes that come back.
class plain_caller {
 public:
  plain_caller(small_deployment& deployment, const entry_process& host,
               std::string id)
      : deployment_(deployment),
        id_(std::move(id)),
        stream_(deployment.events(), HandlerFor<&plain_caller::OnReady>(this)) {
    http_message request;
    request.method = "POST";
    request.target = "/" + id_;
    request.body = "order " + id_;
    request.headers = {{"Host", "signing.example"},
                       {std::string{platform::kAttemptId}, id_},
                       {std::string{platform::kDeadline}, "1500"}};
    const auto address = ParseAddress(host.callers);
    if (address && stream_.Connect(address.value())) {
      deployment_.Note("send " + id_ + " to " + host.name);
      stream_.Write(FormatRequest(request));
    }
  }

  const std::string& id() const { return id_; }
  const std::string& received() const { return received_; }
  std::string Head() const {
    return received_.substr(0, received_.find("\r\n\r\n") + 2);
  }

 private:
  void OnReady(uint32_t events) {
    if (!stream_.OnWritable(events)) {
      stream_.Close();
      return;
    }
    const read_result read = stream_.Read();
    if (read.end == read_end::kData) {
      received_ += read.bytes;
      const size_t end = received_.find('\r');
      if (received_.size() == read.bytes.size()) {
        deployment_.Note("end " + id_ + " " + received_.substr(0, end));
      }
    } else if (read.end != read_end::kNothing) {
      stream_.Close();
    }
  }

  small_deployment& deployment_;
  std::string id_;
  tcp_stream stream_;
  std::string received_;
};

int Run(const case_paths& paths, bool has_trouble) {
  small_deployment deployment(paths, 1);
  bool good = deployment.WriteDeclarations();
  for (const char* id : {"signing-0", "signing-1", "signing-2"}) {
    good = good && deployment.AddTarget("signing", id, "dubrava", false);
  }
  good = good && deployment.AddTarget("history", "history-0", "trnje", true);
  spoiling_target spoiling(deployment);
  good = good && spoiling.Start();
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
  std::list<plain_caller> callers;
  timer load = RunEvery(kSendEvery, [&] {
    const auto& hosts = deployment.hosts();
    callers.emplace_back(deployment, hosts[callers.size() % hosts.size()],
                         "try-" + std::to_string(callers.size()));
  });
  deployment.RunFor(seconds{2});
  if (has_trouble) {
    spoiling.SpoilUntil(Now() + kSpoilTime);
  }
  deployment.RunFor(kLoadTime);
  load.Cancel();
  deployment.RunFor(seconds{2});
  if (!deployment.AllHostsRun() || (has_trouble && spoiling.spoilt() == 0)) {
    return kExitNotRun;
  }
  size_t answered = 0;
  size_t malformed = 0;
  for (const plain_caller& caller : callers) {
    answered += caller.received().empty() ? 0 : 1;
    const std::string problem =
        caller.received().empty() ? "" : HeadProblem(caller.Head());
    if (!problem.empty()) {
      ++malformed;
      deployment.Note("MIXED: " + caller.id() +
                      " got bytes that are no answer: " + problem);
    }
  }
  std::printf(
      "%zu sent, %zu answered, %lu spoilt by the target, %zu of those "
      "reached callers\n",
      callers.size(), answered, spoiling.spoilt(), malformed);
  if (answered == 0) {
    return kExitNotRun;
  }
  return malformed > 0 ? kExitBroken : kExitHeld;
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
