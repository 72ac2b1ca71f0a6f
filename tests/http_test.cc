#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "run_until.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;

// Listens on a bare socket and does with each connection what the test says,
// so that misbehaviour below HTTP can be brought about.
class raw_server {
 public:
  // `reply` is written once a whole request (by "\r\n\r\n") has arrived, then
  // the connection is closed.
  explicit raw_server(std::vector<std::string> replies)
      : replies_(std::move(replies)) {
    service_.reset(g_socket_listener_new());
    port_ =
        g_socket_listener_add_any_inet_port(service_.get(), nullptr, nullptr);
    Accept();
  }
  ~raw_server() { g_socket_listener_close(service_.get()); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }
  int Requests() const { return requests_; }

 private:
  struct raw_connection {
    gobject_ptr<GSocketConnection> stream;
    timer readable;
  };

  void Accept() {
    g_socket_listener_accept_async(
        service_.get(), nullptr,
        [](GObject* source, GAsyncResult* result, gpointer self) {
          gobject_ptr<GSocketConnection> stream{g_socket_listener_accept_finish(
              G_SOCKET_LISTENER(source), result, nullptr, nullptr)};
          if (stream) {
            static_cast<raw_server*>(self)->Serve(std::move(stream));
          }
        },
        this);
  }

  void Serve(gobject_ptr<GSocketConnection> stream) {
    GSocket* socket = g_socket_connection_get_socket(stream.get());
    g_socket_set_blocking(socket, FALSE);
    connections_.push_back({std::move(stream), {}});
    connections_.back().readable = RunOnDescriptor(
        g_socket_get_fd(socket), G_IO_IN, [this, socket] { Read(socket); });
    Accept();
  }

  void Read(GSocket* socket) {
    char buffer[4096];
    const gssize size =
        g_socket_receive(socket, buffer, sizeof(buffer), nullptr, nullptr);
    const std::string_view text{buffer, size > 0 ? size_t(size) : 0};
    if (size > 0 && text.find("\r\n\r\n") == std::string_view::npos) {
      return;
    }
    if (size <= 0) {
      Close(socket);
      return;
    }
    const size_t turn = static_cast<size_t>(requests_++);
    if (turn >= replies_.size() || replies_[turn].empty()) {
      Close(socket);
      return;
    }
    const std::string& reply = replies_[turn];
    g_socket_send(socket, reply.data(), reply.size(), nullptr, nullptr);
    if (turn + 1 == replies_.size()) {
      Close(socket);
    }
  }

  void Close(GSocket* socket) {
    for (raw_connection& connection : connections_) {
      if (connection.stream &&
          g_socket_connection_get_socket(connection.stream.get()) == socket) {
        connection.readable.Cancel();
        connection.stream.reset();
      }
    }
  }

  std::vector<std::string> replies_;
  gobject_ptr<GSocketListener> service_;
  int port_ = 0;
  int requests_ = 0;
  std::vector<raw_connection> connections_;
};

class HttpTest : public testing::Test {
 protected:
  void Listen(http_server_limits limits = {}) {
    server_.emplace(limits);
    server_->Route("/echo", [](const http_request& request,
                               const responder_ptr& to) {
      to->Answer({.body = std::string{request.Body()},
                  .headers = {{"X-Query", request.Query("q").value_or("none")},
                              {"X-Method", std::string{request.Method()}}}});
    });
    server_->Route("/later", [this](const http_request&, responder_ptr to) {
      to->OnGone([this] { ++gone_; });
      waiting_ = std::move(to);
    });
    server_->Route("/half", [](const http_request&, const responder_ptr& to) {
      to->AnswerTruncated({.body = "0123456789"});
    });
    server_->Route("/abort", [](const http_request&, const responder_ptr& to) {
      to->Abort();
    });
    server_->Route("/drop", [](const http_request&, const responder_ptr&) {});
    const result<std::string> bound = server_->Listen("127.0.0.1:0");
    ASSERT_TRUE(bound) << bound.error().Message();
    address_ = bound.value();
  }

  std::string Url(std::string_view path) const {
    return "http://" + address_ + std::string{path};
  }

  http_call_result Call(http_call_request request) {
    std::optional<http_call_result> answer;
    client_.Send(std::move(request),
                 [&](http_call_result result) { answer = std::move(result); });
    EXPECT_TRUE(RunUntil([&] { return answer.has_value(); }));
    return answer.value_or(http_call_result{});
  }

  // Writes `text` on a connection of its own, ends that side if `ends`, and
  // returns all that comes back until the server closes.
  std::string Raw(std::string_view text, bool ends = false) {
    const gobject_ptr<GSocketClient> connector{g_socket_client_new()};
    const gobject_ptr<GSocketConnection> stream{g_socket_client_connect_to_host(
        connector.get(), address_.c_str(), 0, nullptr, nullptr)};
    GSocket* socket = g_socket_connection_get_socket(stream.get());
    g_socket_send(socket, text.data(), text.size(), nullptr, nullptr);
    if (ends) {
      g_socket_shutdown(socket, FALSE, TRUE, nullptr);
    }
    g_socket_set_blocking(socket, FALSE);
    std::string received;
    bool closed = false;
    const timer readable =
        RunOnDescriptor(g_socket_get_fd(socket), G_IO_IN, [&] {
          char buffer[4096];
          const gssize size = g_socket_receive(socket, buffer, sizeof(buffer),
                                               nullptr, nullptr);
          closed = size <= 0;
          received.append(buffer, size > 0 ? size_t(size) : 0);
        });
    EXPECT_TRUE(RunUntil([&] { return closed; }));
    return received;
  }

  std::optional<http_server> server_;
  http_client client_;
  std::string address_;
  responder_ptr waiting_;
  int gone_ = 0;
};

TEST_F(HttpTest, RequestReachesItsHandlerAndAnswerComesBackWhole) {
  Listen();
  const std::string body(100'000, 'x');
  const http_call_result answer =
      Call({.method = "PUT", .url = Url("/echo?q=a%20b"), .body = body});
  EXPECT_EQ(answer.outcome, http_outcome::kAnswered) << answer.reason;
  EXPECT_EQ(answer.status, kHttpOk);
  EXPECT_EQ(answer.body, body);
  EXPECT_EQ(answer.Header("x-query"), "a b");
  EXPECT_EQ(answer.Header("X-METHOD"), "PUT");
}

TEST_F(HttpTest, PathWithoutRouteIsNotFound) {
  Listen();
  EXPECT_EQ(Call({.url = Url("/nowhere")}).status, kHttpNotFound);
}

TEST_F(HttpTest, DroppedResponderAnswersWithServerError) {
  Listen();
  EXPECT_EQ(Call({.url = Url("/drop")}).status, kHttpInternalError);
}

TEST_F(HttpTest, BodyOverTheLimitIsRefused) {
  Listen({.max_body = 1000});
  const std::string body(10'000, 'x');
  EXPECT_EQ(Call({.method = "POST", .url = Url("/echo"), .body = body}).status,
            kHttpTooLarge);
}

// A caller sends part of a request and goes silent, by fault or on purpose.
// Without a limit its connection would stay taken until the server runs out
// of them and nobody else gets in.
TEST_F(HttpTest, RequestThatNeverEndsIsClosedWithTimeout) {
  Listen({.max_request_time = milliseconds{30}});
  EXPECT_TRUE(
      Raw("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
          .starts_with("HTTP/1.1 408"));
  EXPECT_TRUE(Raw("POST /ec").starts_with("HTTP/1.1 408"));
}

TEST_F(HttpTest, IdleConnectionIsClosedWithoutAWord) {
  Listen({.max_idle_time = milliseconds{30}});
  EXPECT_EQ(Raw(""), "");
}

TEST_F(HttpTest, MalformedRequestIsRefused) {
  Listen();
  for (const std::string_view text : {
           "NONSENSE\r\n\r\n",
           "GET /echo\r\n\r\n",
           "\x16\x03\x01\x02\r\n\r\n",
           "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n",
           "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1e3\r\n\r\n",
           "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: "
           "99999999999999999999\r\n\r\n",
           "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
           "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       }) {
    EXPECT_THAT(Raw(text), HasSubstr(" 400 Bad Request")) << text;
  }
}

// Guards against a request that runs without the condition that stood behind
// the end of its connection.
TEST_F(HttpTest, RequestCutShortAnywhereIsNotHandled) {
  Listen();
  int handled = 0;
  server_->Route("/count",
                 [&](const http_request&, const responder_ptr& answer) {
                   ++handled;
                   answer->Answer({});
                 });
  for (const std::string_view whole : {
           "DELETE /count HTTP/1.1\r\nHost: a\r\nIf-Match: 7\r\n\r\n",
           "DELETE /count HTTP/1.0\r\nIf-Match: 7\r\nA: b\r\n\r\n",
           "POST /count HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
           "If-Match: 7\r\n\r\nhi",
           "POST /count HTTP/1.1\r\nHost: a\r\n"
           "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
       }) {
    for (size_t size = 0; size < whole.size(); ++size) {
      const int before = handled;
      const std::string answer = Raw(whole.substr(0, size), true);
      EXPECT_EQ(handled, before) << whole.substr(0, size) << "\n" << answer;
    }
  }
}

TEST_F(HttpTest, BodyDeclaredFarOverTheLimitIsRefusedUnread) {
  Listen({.max_body = 1000});
  EXPECT_THAT(
      Raw("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"),
      HasSubstr(" 413 "));
}

// More callers connect than the server may hold. The extra one sees its
// connection closed at once and can turn to another server.
TEST_F(HttpTest, ConnectionOverTheLimitIsClosedAtOnce) {
  Listen({.max_connections = 1});
  ASSERT_EQ(Call({.url = Url("/echo")}).status, kHttpOk);  // Kept open.
  EXPECT_EQ(Raw("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n"), "");
}

// A surveyor gives up and closes the page while the request waits. The work
// for it must be given up as well, or it takes a slot for nobody.
TEST_F(HttpTest, CancelledCallTellsTheHandlerThatCallerIsGone) {
  Listen();
  bool called_back = false;
  const http_call_ptr call =
      client_.Send({.url = Url("/later")},
                   [&](const http_call_result&) { called_back = true; });
  ASSERT_TRUE(RunUntil([&] { return waiting_ != nullptr; }));
  EXPECT_EQ(server_->RequestsInFlight(), 1U);
  call->Cancel();
  ASSERT_TRUE(RunUntil([&] { return gone_ == 1; }));
  EXPECT_FALSE(waiting_->Open());
  waiting_->Answer({.body = "late"});
  ASSERT_TRUE(RunUntil([&] { return server_->ConnectionCount() == 0; }));
  EXPECT_EQ(server_->RequestsInFlight(), 0U);
  EXPECT_FALSE(called_back);
}

TEST_F(HttpTest, AnswerGivenLaterReachesItsCaller) {
  Listen();
  std::optional<http_call_result> answer;
  client_.Send({.url = Url("/later")},
               [&](http_call_result result) { answer = std::move(result); });
  ASSERT_TRUE(RunUntil([&] { return waiting_ != nullptr; }));
  waiting_->Answer({.body = "now"});
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->body, "now");
  EXPECT_EQ(gone_, 0);
}

// A target accepts few connections. If each POST took a new one, they would be
// used up by idle ones and callers would be turned away.
TEST_F(HttpTest, PostsInTurnShareOneConnection) {
  Listen();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Call({.method = "POST", .url = Url("/echo"), .body = "x"}).body,
              "x");
  }
  EXPECT_EQ(server_->ConnectionCount(), 1U);
  Call({.url = Url("/echo"), .connection = http_connection_use::kNew});
  EXPECT_EQ(server_->ConnectionCount(), 2U);
}

// The server takes the request and never answers. The caller hears within its
// own limit that the outcome is open, and the connection is not used again.
TEST_F(HttpTest, SilentServerIsReportedAsTimeoutThatMayHaveRun) {
  Listen();
  const http_call_result answer = Call(
      {.method = "POST", .url = Url("/later"), .timeout = milliseconds{500}});
  EXPECT_EQ(answer.outcome, http_outcome::kTimedOut);
  EXPECT_EQ(answer.delivery, http_delivery::kMaybeWritten);
  ASSERT_TRUE(RunUntil([&] { return server_->ConnectionCount() == 0; }));
  EXPECT_EQ(gone_, 1);
}

// All connections to a host are taken. A call that waited for one in vain was
// never written, and its caller may safely try elsewhere.
TEST_F(HttpTest, CallWithoutAFreeConnectionTimesOutUnwritten) {
  Listen();
  http_client narrow{{.max_connections_per_host = 1}};
  narrow.Send({.url = Url("/later")}, [](const http_call_result&) {});
  ASSERT_TRUE(RunUntil([&] { return waiting_ != nullptr; }));
  std::optional<http_call_result> second;
  narrow.Send({.url = Url("/echo"), .timeout = milliseconds{50}},
              [&](http_call_result result) { second = std::move(result); });
  ASSERT_TRUE(RunUntil([&] { return second.has_value(); }));
  EXPECT_EQ(second->outcome, http_outcome::kTimedOut);
  EXPECT_EQ(second->delivery, http_delivery::kNotWritten);
  waiting_->Answer({});
}

// Nothing listens where the target stood. The request was not written, so
// that even a booking may be sent to another target.
TEST_F(HttpTest, RefusedConnectionIsProvablyNotWritten) {
  Listen();
  server_.reset();
  const http_call_result answer =
      Call({.method = "POST", .url = Url("/echo"), .body = "x"});
  EXPECT_EQ(answer.outcome, http_outcome::kConnectFailed);
  EXPECT_EQ(answer.delivery, http_delivery::kNotWritten);
}

TEST_F(HttpTest, InvalidUrlFailsWithoutConnection) {
  const http_call_result answer = Call({.url = "http://"});
  EXPECT_EQ(answer.outcome, http_outcome::kConnectFailed);
}

// The other side dies in the middle of its answer. A surveyor who got the
// first half of a report as if it were the whole would decide on it.
TEST_F(HttpTest, TruncatedAnswerIsBrokenAndNeverShort) {
  Listen();
  const http_call_result answer = Call({.url = Url("/half")});
  EXPECT_EQ(answer.outcome, http_outcome::kBroken);
  EXPECT_EQ(answer.body, "");
}

TEST_F(HttpTest, AnswerWithoutStatedLengthIsBroken) {
  const raw_server raw{{"HTTP/1.1 200 OK\r\n\r\nmaybe all"}};
  EXPECT_EQ(Call({.url = raw.Url()}).outcome, http_outcome::kBroken);
}

TEST_F(HttpTest, TruncatedChunkedAnswerIsBroken) {
  const raw_server raw{
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"}};
  EXPECT_EQ(Call({.url = raw.Url()}).outcome, http_outcome::kBroken);
}

// Guards against an answer that is taken for whole though its connection ended
// within its head or body.
TEST_F(HttpTest, AnswerCutShortAnywhereIsBroken) {
  for (const std::string_view whole : {
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\nhi",
           "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\n"
           "hi and again",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\nhi\r\n0\r\n\r\n",
       }) {
    for (size_t size = 1; size < whole.size(); ++size) {
      const raw_server raw{{std::string{whole.substr(0, size)}}};
      EXPECT_EQ(Call({.url = raw.Url()}).outcome, http_outcome::kBroken)
          << whole.substr(0, size);
    }
  }
}

// The same of an answer without a body: its last fields would be missing.
TEST_F(HttpTest, EmptyAnswerCutShortAnywhereIsBroken) {
  for (const std::string_view whole : {
           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n\r\n",
           "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
       }) {
    for (size_t size = 1; size < whole.size(); ++size) {
      const raw_server raw{{std::string{whole.substr(0, size)}}};
      EXPECT_EQ(Call({.url = raw.Url()}).outcome, http_outcome::kBroken)
          << whole.substr(0, size);
    }
  }
}

TEST_F(HttpTest, AnswerOverTheLimitIsNotTaken) {
  Listen();
  const std::string body(100'000, 'x');
  EXPECT_EQ(Call({.method = "POST",
                  .url = Url("/echo"),
                  .body = body,
                  .max_body = 50'000})
                .outcome,
            http_outcome::kTooLarge);
}

TEST_F(HttpTest, AbortedAnswerIsBrokenAndMayHaveRun) {
  Listen();
  const http_call_result answer =
      Call({.method = "POST", .url = Url("/abort"), .body = "x"});
  EXPECT_EQ(answer.outcome, http_outcome::kBroken);
  EXPECT_EQ(answer.delivery, http_delivery::kMaybeWritten);
}

// A target reads a fabrication order on a kept connection and dies before it
// answers. If the library sent the order again by itself, the letters would
// be cut twice.
class HttpResendTest : public HttpTest,
                       public testing::WithParamInterface<const char*> {};

TEST_P(HttpResendTest, RequestOnKeptConnectionThatClosesArrivesOnce) {
  const raw_server raw{{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""}};
  ASSERT_EQ(Call({.url = raw.Url()}).status, kHttpOk);
  const http_call_result answer =
      Call({.method = GetParam(), .url = raw.Url()});
  EXPECT_EQ(answer.outcome, http_outcome::kBroken);
  EXPECT_EQ(answer.delivery, http_delivery::kMaybeWritten);
  EXPECT_EQ(raw.Requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(Methods, HttpResendTest,
                         testing::Values("POST", "PUT", "DELETE", "GET"));

// An entry host is restarted while calls are in flight. Each of them still
// gets its answer; only connections without a request are closed.
TEST_F(HttpTest, DrainLetsRequestsInFlightFinish) {
  Listen();
  std::optional<http_call_result> answer;
  client_.Send({.url = Url("/later")},
               [&](http_call_result result) { answer = std::move(result); });
  ASSERT_TRUE(RunUntil([&] { return waiting_ != nullptr; }));
  server_->Drain();
  waiting_->Answer({.body = "whole"});
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->body, "whole");
  ASSERT_TRUE(RunUntil([&] { return server_->ConnectionCount() == 0; }));
  EXPECT_EQ(Call({.url = Url("/echo")}).outcome, http_outcome::kConnectFailed);
}

// A program that stops ends once nothing is in flight. An answer that was given
// but not yet written would then be lost with it, and its caller would see a
// connection that ends without an answer.
TEST_F(HttpTest, AnswerIsInFlightUntilItIsWritten) {
  Listen();
  std::optional<http_call_result> answer;
  client_.Send({.url = Url("/later")},
               [&](http_call_result result) { answer = std::move(result); });
  ASSERT_TRUE(RunUntil([&] { return waiting_ != nullptr; }));
  waiting_->Answer({.body = "whole"});
  EXPECT_EQ(server_->RequestsInFlight(), 1U);
  ASSERT_TRUE(RunUntil([&] { return server_->RequestsInFlight() == 0; }));
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->body, "whole");
}

}  // namespace
}  // namespace foxtailspread
