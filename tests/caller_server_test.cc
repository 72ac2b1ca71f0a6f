// Callers' connections over loopback, in orders that only a busy host sees.

#include "net/caller_server.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "foxtailspread/address.h"
#include "net/poller.h"
#include "net/tcp_stream.h"
#include "run_until.h"

namespace foxtailspread {
namespace {

/// A caller that keeps what it gets.
class test_caller {
 public:
  explicit test_caller(poller& events)
      : stream_(events, HandlerFor<&test_caller::OnReady>(this)) {}

  bool Connect(uint16_t port) {
    const auto address = ParseAddress("127.0.0.1:" + std::to_string(port));
    return address && stream_.Connect(address.value());
  }
  void Send(std::string_view bytes) { stream_.Write(bytes); }
  bool is_connected() const { return stream_.is_connected(); }
  bool HasLeft() const { return ended_; }
  const std::string& got() const { return got_; }

 private:
  void OnReady(uint32_t events) {
    if (!stream_.is_open() || !stream_.OnWritable(events)) {
      ended_ = true;
      return;
    }
    const read_result read = stream_.Read();
    got_.append(read.bytes);
    if (read.end == read_end::kClosed || read.end == read_end::kBroken) {
      ended_ = true;
      stream_.Close();
    }
  }

  tcp_stream stream_;
  std::string got_;
  bool ended_ = false;
};

/// How a caller ends its side.
enum class caller_end { kClose, kHalfClose, kReset };

/// A caller whose bytes have arrived when Send() returns, whether the loop runs
/// or not.
class blocking_caller {
 public:
  explicit blocking_caller(uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ =
        connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
  }
  ~blocking_caller() { Leave(); }
  blocking_caller(const blocking_caller&) = delete;
  blocking_caller& operator=(const blocking_caller&) = delete;

  bool is_connected() const { return connected_; }
  void Send(std::string_view bytes) const {
    EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  /// Takes what has come. True once the server has ended the connection.
  bool HasEnded() {
    std::array<char, 4096> buffer;
    ssize_t size = 0;
    while ((size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      got_.append(buffer.data(), static_cast<size_t>(size));
    }
    return size == 0 || (size < 0 && errno != EAGAIN);
  }
  /// Whether the server ended the connection with bytes that it had not read.
  /// Tells it once.
  bool WasReset() const {
    int problem = 0;
    socklen_t size = sizeof(problem);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &problem, &size);
    return problem != 0;
  }
  const std::string& got() const { return got_; }
  void Leave(caller_end end = caller_end::kClose) {
    if (end == caller_end::kHalfClose) {
      shutdown(fd_, SHUT_WR);
      return;
    }
    if (end == caller_end::kReset) {
      const linger at_once{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_;
  bool connected_ = false;
  std::string got_;
};

std::string Get(std::string_view target, std::string_view headers = {}) {
  return std::string{"GET "}
      .append(target)
      .append(" HTTP/1.1\r\nHost: h\r\n")
      .append(headers)
      .append("\r\n");
}

/// What a caller sees of one answer.
struct seen_answer {
  int status = 0;
  std::string body{};
  bool closes = false;
  bool operator==(const seen_answer&) const = default;
};

void PrintTo(const seen_answer& seen, std::ostream* out) {
  *out << seen.status << " " << seen.body << (seen.closes ? " (closes)" : "");
}

std::vector<seen_answer> Answers(std::string_view bytes) {
  http_reader reader(HTTP_RESPONSE, {});
  EXPECT_TRUE(reader.Feed(bytes)) << bytes;
  std::vector<seen_answer> all;
  while (const auto answer = reader.Take()) {
    all.push_back({.status = answer->status,
                   .body = answer->body,
                   .closes = !answer->keep_alive});
  }
  return all;
}

class CallerServerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(server_.Listen("127.0.0.1:0"));
    ASSERT_TRUE(caller_.Connect(server_.port()));
    ASSERT_TRUE(RunUntil(
        [&] { return caller_.is_connected() && server_.connections() == 1; }));
  }

  struct asked_request {
    exchange_id id = 0;
    std::string target{};
  };

  void OnRequest(exchange_id id, const http_message& request) {
    asked_ = id;
    requests_.push_back({.id = id, .target = request.target});
    if (at_once_) {
      at_once_(request.target);
    }
  }

  bool WasAsked(std::string_view target) const {
    return std::any_of(
        requests_.begin(), requests_.end(),
        [&](const asked_request& each) { return each.target == target; });
  }

  /// Answers the request with its target as the body.
  void AnswerRequest(std::string_view target) {
    for (const asked_request& each : requests_) {
      if (each.target == target) {
        http_message answer;
        answer.status = 200;
        answer.body = target;
        server_.Answer(each.id, answer);
      }
    }
  }

  /// Sends a request for "/a/" and answers it with `size` bytes.
  void AnswerAtLength(const blocking_caller& caller, size_t size,
                      std::string_view headers = {}) {
    caller.Send(Get("/a/", headers));
    ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/"); }));
    http_message answer;
    answer.status = 200;
    answer.body = std::string(size, 'x');
    server_.Answer(*asked_, answer);
  }

  static void Wait(duration time) {
    bool over = false;
    const timer end = RunAfter(time, [&] { over = true; });
    ASSERT_TRUE(RunUntil([&] { return over; }));
  }

  /// Lets the loop take what has arrived.
  static void Turn() {
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  /// Lets the loop stand still and runs `arrive` between its last reading and
  /// the server's next check of the times of connections.
  static void StallUntilTheNextCheck(const std::function<void()>& arrive) {
    bool arrived = false;
    bool checked = false;
    const timer arrival = RunAfter(kCheckPeriod + kCheckPeriod / 2, [&] {
      arrive();
      arrived = true;
    });
    const timer first_check =
        RunAfter(kCheckPeriod + kCheckPeriod / 10, [&] { checked = true; });
    ASSERT_TRUE(RunUntil([&] { return checked; }));
    std::this_thread::sleep_for(kCheckPeriod);
    ASSERT_TRUE(RunUntil([&] { return arrived; }));
  }

  static constexpr std::chrono::milliseconds kCheckPeriod{500};
  /// An answer that the kernel takes at once and the caller's side in parts.
  static constexpr size_t kOneSendAnswer = 500'000;
  /// One that waits in the server until the caller takes it.
  static constexpr size_t kLongAnswer = 20'000'000;

  poller events_;
  std::optional<exchange_id> asked_;
  std::vector<asked_request> requests_;
  std::vector<exchange_id> gone_;
  std::function<void(const std::string& target)> at_once_;
  caller_server server_{
      events_,
      {.on_request =
           [this](exchange_id id, const http_message& request) {
             OnRequest(id, request);
           },
       .on_gone = [this](exchange_id id) { gone_.push_back(id); }}};
  test_caller caller_{events_};
};

// A busy host is asked to stop while a whole request lies unread on a kept
// connection. The caller sent it before anything told it of the stop; closing
// the connection without an answer loses the request.
TEST_F(CallerServerTest, RequestThatLiesUnreadAtAStopIsAnswered) {
  caller_.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  server_.BeginClosing();
  ASSERT_TRUE(RunUntil([&] { return asked_ || caller_.HasLeft(); }));
  ASSERT_TRUE(asked_);
  http_message answer;
  answer.status = 200;
  server_.Answer(*asked_, answer);
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_TRUE(caller_.got().starts_with("HTTP/1.1 200")) << caller_.got();
}

// Guards against the body of an own answer to HEAD, which stands where the next
// answer on the connection is due.
TEST_F(CallerServerTest, OwnAnswerToHeadHasNoBody) {
  caller_.Send("HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\n" + Get("/b/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/"); }));
  AnswerRequest("/a/");
  AnswerRequest("/b/");
  ASSERT_TRUE(RunUntil([&] { return caller_.got().ends_with("/b/"); }));
  const size_t end = caller_.got().find("\r\n\r\n") + 4;
  const std::string head = caller_.got().substr(0, end);
  EXPECT_NE(head.find("Content-Length: 3\r\n"), std::string::npos) << head;
  EXPECT_EQ(Answers(caller_.got().substr(end)),
            (std::vector<seen_answer>{{.status = 200, .body = "/b/"}}));
}

// Guards against a length of 0 that a passed-on answer to HEAD did not state.
TEST_F(CallerServerTest, AnswerToHeadOfUnknownLengthStatesNone) {
  caller_.Send("HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/"); }));
  http_message answer;
  answer.status = 200;
  server_.Answer(*asked_, answer);
  ASSERT_TRUE(RunUntil([&] { return caller_.got().ends_with("\r\n\r\n"); }));
  EXPECT_EQ(caller_.got().find("Content-Length"), std::string::npos);
}

// Guards against requests that this host and a target would frame differently:
// the target ends its connection, and the caller gets no 400.
TEST_F(CallerServerTest, RequestOfUnclearLengthIsRefusedUnread) {
  const std::string chunks = "\r\n0\r\n\r\n";
  for (const std::string& fields : {
           "Transfer-Encoding : chunked\r\n" + chunks,
           "Content-Length : 5\r\n" + chunks,
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + chunks,
           "Content-Length: 5\r\nContent-Length: 5\r\n" + chunks,
           "A: b\r\n Transfer-Encoding: chunked\r\n" + chunks,
           "Host: other\r\nContent-Length: 0\r\n\r\n" + chunks,
           std::string{"Transfer-Encoding: chunked\r\n\r\n2\r\nhiXY"} +
               "0\r\n\r\n",
       }) {
    blocking_caller caller(server_.port());
    caller.Send("POST /a/ HTTP/1.1\r\nHost: h\r\n" + fields);
    ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
    EXPECT_EQ(Answers(caller.got()),
              (std::vector<seen_answer>{{.status = 400, .closes = true}}))
        << fields;
  }
  EXPECT_TRUE(requests_.empty());
}

TEST_F(CallerServerTest, RequestInAnUnknownCodingIsAnswered501) {
  blocking_caller caller(server_.port());
  caller.Send(Get("/a/", "Transfer-Encoding: gzip, chunked\r\n"));
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_EQ(Answers(caller.got()),
            (std::vector<seen_answer>{{.status = 501, .closes = true}}));
}

TEST_F(CallerServerTest, IdleConnectionIsClosedAtAStop) {
  server_.BeginClosing();
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_EQ(caller_.got(), "");
}

// Guards against a request that is read after its connection was closed, and so
// lost: its caller must be told by a reset that it was not read.
TEST_F(CallerServerTest, RequestAfterTheCloseIsResetUnread) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(server_.port());
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  server_.BeginClosing();
  char byte = 0;
  ASSERT_TRUE(RunUntil([&] { return recv(fd, &byte, 1, MSG_DONTWAIT) == 0; }));
  const std::string_view request = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(request.size()));
  EXPECT_TRUE(RunUntil([&] { return server_.connections() == 0; }));
  int problem = 0;
  socklen_t size = sizeof(problem);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size);
  EXPECT_NE(problem, 0) << "closed in order, as if the request had been read";
  EXPECT_FALSE(asked_);
  close(fd);
}

// Several callers send large bodies, slowly. Kept all at once they would take
// the process over its memory, and it would be killed with the requests of
// everybody. The one that goes beyond is told that it was not run and when to
// come back; the others are served.
TEST_F(CallerServerTest, BodiesBeyondTheMemoryAreRefusedAsNotRun) {
  constexpr size_t kBody = 60'000;
  const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(kBody) + "\r\n\r\n";
  const std::string most_of_body(kBody - 1, 'x');
  server_.SetMostBuffered(100'000);
  caller_.Send(head + most_of_body);
  ASSERT_TRUE(RunUntil([&] { return server_.buffered() >= kBody; }));

  test_caller second{events_};
  ASSERT_TRUE(second.Connect(server_.port()));
  ASSERT_TRUE(RunUntil([&] { return second.is_connected(); }));
  second.Send(head + most_of_body);
  ASSERT_TRUE(RunUntil([&] { return second.got().ends_with("\r\n\r\n"); }));
  EXPECT_TRUE(second.got().starts_with("HTTP/1.1 503")) << second.got();
  EXPECT_NE(second.got().find("Retry-After: "), std::string::npos);
  EXPECT_FALSE(asked_);

  caller_.Send("x");
  ASSERT_TRUE(RunUntil([&] { return asked_.has_value(); }));
  http_message answer;
  answer.status = 200;
  server_.Answer(*asked_, answer);
  ASSERT_TRUE(RunUntil([&] { return !caller_.got().empty(); }));
  EXPECT_TRUE(caller_.got().starts_with("HTTP/1.1 200")) << caller_.got();
  ASSERT_TRUE(RunUntil([&] { return server_.buffered() == 0; }));
}

// Guards against the loss of requests in work: the first answer after a stop
// closed the connection and cancelled those behind it.
TEST_F(CallerServerTest, PipelinedRequestsInWorkAtAStopAreAllAnswered) {
  caller_.Send(Get("/a/") + Get("/b/"));
  ASSERT_TRUE(RunUntil([&] { return requests_.size() == 2; }));
  server_.BeginClosing();
  AnswerRequest("/a/");
  Turn();
  EXPECT_TRUE(gone_.empty());
  AnswerRequest("/b/");
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_EQ(
      Answers(caller_.got()),
      (std::vector<seen_answer>{{200, "/a/", false}, {200, "/b/", true}}));
}

// Guards against a close that nothing announced: the last answer was made
// before the stop, and waits for the one ahead of it.
TEST_F(CallerServerTest, AnswerThatWaitsAtAStopTellsOfTheClose) {
  caller_.Send(Get("/a/") + Get("/b/"));
  ASSERT_TRUE(RunUntil([&] { return requests_.size() == 2; }));
  AnswerRequest("/b/");
  server_.BeginClosing();
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_EQ(
      Answers(caller_.got()),
      (std::vector<seen_answer>{{200, "/a/", false}, {200, "/b/", true}}));
}

// Guards against a request that is handed on behind the one that closes the
// connection, and cancelled by its answer.
TEST_F(CallerServerTest, RequestReadBehindOneInWorkAfterAStopIsNotHandedOn) {
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  caller.Send(Get("/a/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/"); }));
  server_.BeginClosing();
  caller.Send(Get("/b/"));
  Turn();
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_EQ(Answers(caller.got()),
            (std::vector<seen_answer>{{200, "/a/", true}}));
  EXPECT_FALSE(WasAsked("/b/"));
  EXPECT_TRUE(gone_.empty());
}

// Guards against the same loss among requests that end the wait of a stop for
// one that was arriving.
TEST_F(CallerServerTest, RequestsReadTogetherAfterAStopAreAllAnswered) {
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  const std::string both = Get("/a/") + Get("/b/");
  caller.Send(both.substr(0, 5));
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  Turn();
  server_.BeginClosing();
  caller.Send(both.substr(5));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/"); }));
  caller.Send(Get("/late/"));
  Turn();
  AnswerRequest("/a/");
  AnswerRequest("/b/");
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_EQ(
      Answers(caller.got()),
      (std::vector<seen_answer>{{200, "/a/", false}, {200, "/b/", true}}));
  EXPECT_FALSE(WasAsked("/late/"));
  EXPECT_TRUE(gone_.empty());
}

// Guards against the loss of what lies unread behind a request that is answered
// as soon as it is read.
TEST_F(CallerServerTest, RequestBehindOneAnsweredAtOnceAfterAStopIsAnswered) {
  at_once_ = [&](const std::string& target) {
    if (target == "/a/") {
      AnswerRequest(target);
    }
  };
  caller_.Send(Get("/a/") + Get("/b/"));
  server_.BeginClosing();
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/") || caller_.HasLeft(); }));
  AnswerRequest("/b/");
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_EQ(
      Answers(caller_.got()),
      (std::vector<seen_answer>{{200, "/a/", false}, {200, "/b/", true}}));
}

// Guards against a close that nothing announced: what a stop reads on one
// connection leads to an answer on another that the stop comes to later.
TEST_F(CallerServerTest, AnswerGivenWhileAStopBeginsTellsOfTheClose) {
  test_caller second{events_};
  ASSERT_TRUE(second.Connect(server_.port()));
  ASSERT_TRUE(RunUntil([&] { return second.is_connected(); }));
  second.Send(Get("/b/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/"); }));
  at_once_ = [&](const std::string&) { AnswerRequest("/b/"); };
  caller_.Send(Get("/a/"));
  server_.BeginClosing();
  ASSERT_TRUE(RunUntil([&] { return second.HasLeft(); }));
  EXPECT_EQ(Answers(second.got()),
            (std::vector<seen_answer>{{200, "/b/", true}}));
}

// Guards against the loss of requests of a caller that sends more at once than
// are worked on before reading pauses.
TEST_F(CallerServerTest, ManyPipelinedRequestsAtAStopAreAllAnswered) {
  constexpr size_t kMany = 40;
  std::string bytes;
  for (size_t i = 0; i < kMany; ++i) {
    bytes += Get("/" + std::to_string(i));
  }
  caller_.Send(bytes);
  ASSERT_TRUE(RunUntil([&] { return requests_.size() == kMany; }));
  server_.BeginClosing();
  for (size_t i = kMany; i > 0; --i) {
    AnswerRequest("/" + std::to_string(i - 1));
  }
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  const std::vector<seen_answer> seen = Answers(caller_.got());
  ASSERT_EQ(seen.size(), kMany);
  for (size_t i = 0; i < kMany; ++i) {
    EXPECT_EQ(seen[i],
              (seen_answer{200, "/" + std::to_string(i), i + 1 == kMany}));
  }
  EXPECT_TRUE(gone_.empty());
}

// Guards against an answer to bytes behind a request that closes the
// connection, and against that request's loss.
TEST_F(CallerServerTest, NothingBehindARequestThatClosesIsHandedOn) {
  caller_.Send(Get("/a/") + Get("/b/", "Connection: close\r\n") + Get("/c/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/"); }));
  server_.BeginClosing();
  AnswerRequest("/b/");
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return caller_.HasLeft(); }));
  EXPECT_EQ(
      Answers(caller_.got()),
      (std::vector<seen_answer>{{200, "/a/", false}, {200, "/b/", true}}));
  EXPECT_FALSE(WasAsked("/c/"));
  EXPECT_TRUE(gone_.empty());
}

// Guards against a refusal that closes the connection before the answers ahead
// of it, with a stop or without.
TEST_F(CallerServerTest, RefusalBehindRequestsInWorkComesAfterTheirAnswers) {
  for (const bool stops : {false, true}) {
    SCOPED_TRACE(stops);
    requests_.clear();
    test_caller caller{events_};
    ASSERT_TRUE(caller.Connect(server_.port()));
    ASSERT_TRUE(RunUntil([&] { return caller.is_connected(); }));
    caller.Send(Get("/a/") + Get("/b/") + "NONSENSE\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return requests_.size() == 2; }));
    if (stops) {
      server_.BeginClosing();
    }
    AnswerRequest("/a/");
    AnswerRequest("/b/");
    ASSERT_TRUE(RunUntil([&] { return caller.HasLeft(); }));
    EXPECT_EQ(Answers(caller.got()),
              (std::vector<seen_answer>{
                  {200, "/a/", false}, {200, "/b/", false}, {400, "", true}}));
    EXPECT_TRUE(gone_.empty());
  }
}

// Guards against the loss of a request that comes in several readings, the
// first of them by the stop itself.
TEST_F(CallerServerTest, LongRequestThatLiesUnreadAtAStopIsAnswered) {
  const std::string body(100'000, 'x');
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  caller.Send("PUT /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  server_.BeginClosing();
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/") || caller.HasEnded(); }));
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_EQ(Answers(caller.got()),
            (std::vector<seen_answer>{{200, "/a/", true}}));
}

// Guards against the loss of a request that a busy host has not read when its
// connection's idle time is over.
TEST_F(CallerServerTest, RequestThatLiesUnreadAtTheIdleTimeIsAnswered) {
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  StallUntilTheNextCheck([&] {
    server_.SetLimits({.idle_timeout = std::chrono::milliseconds{1}});
    caller.Send(Get("/a/"));
  });
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/") || caller.HasEnded(); }));
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil(
      [&] { return caller.HasEnded() || caller.got().ends_with("/a/"); }));
  EXPECT_EQ(Answers(caller.got()),
            (std::vector<seen_answer>{{200, "/a/", false}}));
}

// Guards against the refusal of a request of which a busy host has not read the
// end when the time for its headers is over.
TEST_F(CallerServerTest, RequestWhoseEndLiesUnreadAtTheHeaderTimeIsAnswered) {
  const std::string request = Get("/a/");
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  caller.Send(request.substr(0, 5));
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  StallUntilTheNextCheck([&] {
    server_.SetLimits({.header_timeout = std::chrono::milliseconds{1}});
    caller.Send(request.substr(5));
  });
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/") || caller.HasEnded(); }));
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil(
      [&] { return caller.HasEnded() || caller.got().ends_with("/a/"); }));
  EXPECT_EQ(Answers(caller.got()),
            (std::vector<seen_answer>{{200, "/a/", false}}));
}

// Guards against a request that is read after its connection was closed as
// idle, and so lost.
TEST_F(CallerServerTest, RequestAfterTheIdleCloseIsResetUnread) {
  blocking_caller caller(server_.port());
  ASSERT_TRUE(caller.is_connected());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  server_.SetLimits({.idle_timeout = std::chrono::milliseconds{1}});
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  caller.Send(Get("/a/"));
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 0; }));
  EXPECT_TRUE(caller.WasReset());
  EXPECT_TRUE(requests_.empty());
}

// Guards against the end of a connection as idle while a request is in work.
TEST_F(CallerServerTest, RequestInWorkBeyondAllTimesIsAnswered) {
  caller_.Send(Get("/a/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/"); }));
  server_.SetLimits({.header_timeout = std::chrono::milliseconds{1},
                     .idle_timeout = std::chrono::milliseconds{1}});
  bool checked = false;
  const timer check = RunAfter(2 * kCheckPeriod, [&] { checked = true; });
  ASSERT_TRUE(RunUntil([&] { return checked; }));
  EXPECT_FALSE(caller_.HasLeft());
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return caller_.got().ends_with("/a/"); }));
}

// Guards against work for a caller that has left, and against the same report
// twice.
TEST_F(CallerServerTest, CallerThatLeavesEndsAllItsRequestsOnce) {
  for (const bool stops : {false, true}) {
    SCOPED_TRACE(stops);
    requests_.clear();
    gone_.clear();
    blocking_caller caller(server_.port());
    ASSERT_TRUE(caller.is_connected());
    caller.Send(Get("/a/") + Get("/b/"));
    ASSERT_TRUE(RunUntil([&] { return requests_.size() == 2; }));
    if (stops) {
      server_.BeginClosing();
    }
    caller.Leave();
    ASSERT_TRUE(RunUntil([&] { return gone_.size() == 2; }));
    EXPECT_EQ(gone_[0], requests_[0].id);
    EXPECT_EQ(gone_[1], requests_[1].id);
    EXPECT_EQ(server_.pending(), 0U);
    AnswerRequest("/a/");
  }
}

// Guards against callers whose requests break off without a word in the log.
TEST_F(CallerServerTest, RequestCutShortIsLogged) {
  blocking_caller caller(server_.port());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  ::testing::internal::CaptureStderr();
  caller.Send("GET /a/ HTTP/1.1\r\nHost: h");
  caller.Leave();
  EXPECT_TRUE(RunUntil([&] { return server_.connections() == 1; }));
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(log.find("\"name\":\"request-cut-short\""), std::string::npos)
      << log;
}

// Guards against a request that is handed on though its caller left within it,
// and against what is held for it.
TEST_F(CallerServerTest, RequestCutShortAnywhereIsNotHandedOn) {
  for (const std::string_view whole : {
           "GET /a/ HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n",
           "GET /a/ HTTP/1.0\r\nA: b\r\n\r\n",
           "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n"
           "hi and again",
           "POST /a/ HTTP/1.1\r\nHost: h\r\n"
           "Transfer-Encoding: chunked\r\n\r\n"
           "2;a=b\r\nhi\r\n0\r\nA: b\r\n\r\n",
       }) {
    for (size_t size = 0; size < whole.size(); ++size) {
      for (const caller_end end :
           {caller_end::kClose, caller_end::kHalfClose, caller_end::kReset}) {
        SCOPED_TRACE(whole.substr(0, size));
        blocking_caller caller(server_.port());
        ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
        caller.Send(whole.substr(0, size));
        caller.Leave(end);
        ASSERT_TRUE(RunUntil([&] { return server_.connections() == 1; }));
        ASSERT_TRUE(requests_.empty());
      }
    }
  }
  EXPECT_TRUE(gone_.empty());
  EXPECT_EQ(server_.pending(), 0U);
}

// Guards against a connection that a stop has missed: the load balancer sends
// new ones until it has seen the host unready.
TEST_F(CallerServerTest, RequestsOnAConnectionMadeAfterAStopAreAllAnswered) {
  server_.BeginClosing();
  test_caller late{events_};
  ASSERT_TRUE(late.Connect(server_.port()));
  ASSERT_TRUE(RunUntil([&] { return late.is_connected(); }));
  late.Send(Get("/a/") + Get("/b/"));
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/b/"); }));
  AnswerRequest("/a/");
  AnswerRequest("/b/");
  ASSERT_TRUE(RunUntil([&] { return late.HasLeft(); }));
  EXPECT_EQ(Answers(late.got()), (std::vector<seen_answer>{
                                     {200, "/a/", false}, {200, "/b/", true}}));
}

// Guards against a reset that destroys a closing answer on its way because the
// caller has sent another request.
TEST_F(CallerServerTest, ClosingAnswerOnItsWayArrivesDespiteALaterRequest) {
  blocking_caller caller(server_.port());
  AnswerAtLength(caller, kOneSendAnswer, "Connection: close\r\n");
  caller.Send(Get("/b/"));
  Wait(std::chrono::milliseconds{800});
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_GT(caller.got().size(), kOneSendAnswer);
  EXPECT_FALSE(WasAsked("/b/"));
}

// Guards against a closing answer that is cut off because its caller takes it
// slowly.
TEST_F(CallerServerTest, LargeClosingAnswerToASlowCallerArrivesWhole) {
  blocking_caller caller(server_.port());
  AnswerAtLength(caller, kLongAnswer, "Connection: close\r\n");
  Wait(std::chrono::milliseconds{2000});
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_GT(caller.got().size(), kLongAnswer);
}

// Guards against an answer that the end of the process destroys on its way
// because the caller has sent another request.
TEST_F(CallerServerTest, AnswerOnItsWayOutlivesTheServerDespiteALaterRequest) {
  std::unique_ptr<caller_server> server;
  const auto answer_at_length = [&](exchange_id id, const http_message&) {
    http_message answer;
    answer.status = 200;
    answer.body = std::string(kOneSendAnswer, 'x');
    server->Answer(id, answer);
  };
  server = std::make_unique<caller_server>(
      events_, caller_events{.on_request = answer_at_length,
                             .on_gone = [](exchange_id) {}});
  ASSERT_TRUE(server->Listen("127.0.0.1:0"));
  blocking_caller caller(server->port());
  caller.Send(Get("/a/", "Connection: close\r\n"));
  ASSERT_TRUE(RunUntil([&] { return server->UnreceivedBytes() > 0; }));
  caller.Send(Get("/b/"));
  server.reset();
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_GT(caller.got().size(), kOneSendAnswer);
}

// Guards against an answer that is cut off because the idle time runs out while
// it is being sent.
TEST_F(CallerServerTest, AnswerThatTakesLongerThanTheIdleTimeArrivesWhole) {
  server_.SetLimits({.idle_timeout = std::chrono::milliseconds{200}});
  blocking_caller caller(server_.port());
  AnswerAtLength(caller, kLongAnswer);
  Wait(std::chrono::milliseconds{2000});
  ASSERT_TRUE(RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_GT(caller.got().size(), kLongAnswer);
}

// Guards against the close of a kept connection as idle right after a long
// answer: the time that its sending took counted as idle.
TEST_F(CallerServerTest, ConnectionIsKeptForTheIdleTimeAfterALongAnswer) {
  server_.SetLimits({.idle_timeout = std::chrono::milliseconds{1500}});
  blocking_caller caller(server_.port());
  AnswerAtLength(caller, kLongAnswer);
  Wait(std::chrono::milliseconds{2000});
  ASSERT_TRUE(RunUntil(
      [&] { return caller.HasEnded() || caller.got().size() > kLongAnswer; }));
  Wait(kCheckPeriod + kCheckPeriod / 5);
  ASSERT_FALSE(caller.HasEnded());
  caller.Send(Get("/b/"));
  EXPECT_TRUE(RunUntil([&] { return WasAsked("/b/") || caller.HasEnded(); }));
  EXPECT_TRUE(WasAsked("/b/"));
}

// Guards against a connection that is kept for ever because its caller takes
// nothing of its answer.
TEST_F(CallerServerTest, ConnectionWhoseAnswerIsNotTakenIsGivenUp) {
  server_.SetLimits({.idle_timeout = std::chrono::milliseconds{200}});
  blocking_caller caller(server_.port());
  AnswerAtLength(caller, kLongAnswer);
  EXPECT_TRUE(RunUntil([&] { return server_.connections() == 0; }));
}

// Guards against a walk over connections of which a callback has ended one.
TEST_F(CallerServerTest, StopThatBeginsInACheckOfTimesEndsOtherConnections) {
  blocking_caller first(server_.port());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 2; }));
  blocking_caller second(server_.port());
  ASSERT_TRUE(RunUntil([&] { return server_.connections() == 3; }));
  at_once_ = [&](const std::string&) { server_.BeginClosing(); };
  StallUntilTheNextCheck([&] {
    server_.SetLimits({.idle_timeout = std::chrono::milliseconds{1}});
    first.Send(Get("/a/"));
    second.Leave();
  });
  ASSERT_TRUE(RunUntil([&] { return WasAsked("/a/"); }));
  AnswerRequest("/a/");
  ASSERT_TRUE(RunUntil([&] { return first.HasEnded(); }));
  EXPECT_EQ(Answers(first.got()),
            (std::vector<seen_answer>{{200, "/a/", true}}));
}

}  // namespace
}  // namespace foxtailspread
