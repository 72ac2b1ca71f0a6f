// Calls to a peer that misbehaves below HTTP. Each test says what the peer
// writes; the watchdog only ends a test that hangs.

#include "net/connection_pool.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "run_until.h"
#include "support/descriptor_limit.h"
#include "support/endless_peer.h"
#include "support/lost_power.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the peer does with one connection, request by request.
struct peer_script {
  std::deque<std::string> replies{};  ///< Written after each request.
  bool close_after = false;           ///< After the last reply.
  bool reset_after = false;
};

/// A peer that counts requests by their blank lines and replies by script.
class scripted_peer {
 public:
  explicit scripted_peer(poller& events)
      : events_(events), listener_(events, [this](int fd) { OnAccepted(fd); }) {
    EXPECT_TRUE(listener_.Listen("127.0.0.1:0"));
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  void Close() { listener_.Close(); }
  void PauseAccepting(bool paused) { listener_.PauseAccepting(paused); }
  int connections() const { return accepted_; }
  int requests() const { return requests_; }
  int resets() const { return resets_; }

  std::deque<peer_script> scripts;

 private:
  struct connection {
    connection(scripted_peer& owner, int fd, peer_script its_script)
        : peer(owner),
          stream(owner.events_, HandlerFor<&connection::OnReady>(this)),
          script(std::move(its_script)) {
      stream.Adopt(fd);
    }

    void OnReady(uint32_t events) {
      if (!stream.is_open() || !stream.OnWritable(events)) {
        return;
      }
      const read_result read = stream.Read();
      if (read.end == read_end::kClosed || read.end == read_end::kBroken) {
        peer.resets_ += read.end == read_end::kBroken ? 1 : 0;
        stream.Close();
        return;
      }
      received.append(read.bytes);
      size_t end = 0;
      while ((end = received.find("\r\n\r\n")) != std::string::npos) {
        received.erase(0, end + 4);
        Reply();
      }
    }

    void Reply() {
      ++peer.requests_;
      if (!script.replies.empty()) {
        stream.Write(script.replies.front());
        script.replies.pop_front();
      }
      if (script.replies.empty() && script.reset_after) {
        stream.Abort();
      } else if (script.replies.empty() && script.close_after) {
        stream.Close();
      }
    }

    scripted_peer& peer;
    tcp_stream stream;
    peer_script script;
    std::string received;
  };

  void OnAccepted(int fd) {
    ++accepted_;
    peer_script script;
    if (!scripts.empty()) {
      script = std::move(scripts.front());
      scripts.pop_front();
    }
    connections_.push_back(
        std::make_unique<connection>(*this, fd, std::move(script)));
  }

  poller& events_;
  tcp_listener listener_;
  std::deque<std::unique_ptr<connection>> connections_;
  int accepted_ = 0;
  int requests_ = 0;
  int resets_ = 0;
};

class ConnectionPoolTest : public ::testing::Test {
 protected:
  call_result Call(const std::string& echo, const std::string& address = "") {
    std::optional<call_result> ended;
    const std::string to = address.empty() ? peer_.address() : address;
    pool_call call;
    call.address = to;
    call.request = "GET /" + echo + " HTTP/1.1\r\nHost: a\r\n\r\n";
    call.echo = echo;
    pool_.Send(std::move(call),
               [&](const call_result& result) { ended = result; });
    EXPECT_TRUE(RunUntil([&] { return ended.has_value(); }));
    return ended.value_or(call_result{});
  }

  /// A call whose success has the header "Mark" if it is `marked`.
  call_result CallMarked(connection_pool& pool, bool marked) {
    std::optional<call_result> ended;
    const std::string to = peer_.address();
    pool.Send({.address = to,
               .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
               .mark = "Mark",
               .marked = marked},
              [&](const call_result& result) { ended = result; });
    EXPECT_TRUE(RunUntil([&] { return ended.has_value(); }));
    return ended.value_or(call_result{});
  }

  static std::string Ok(const std::string& echo,
                        const std::string& body = "fine") {
    return "HTTP/1.1 200 OK\r\nEcho: " + echo +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  poller events_;
  scripted_peer peer_{events_};
  connection_pool pool_{
      events_, {.echo_header = "Echo", .echo_exempt_header = "Refused"}};
};

/// A large request to a peer that reads only when the test says so.
class UnreadRequestTest : public ConnectionPoolTest {
 protected:
  static constexpr size_t kBody = 8'000'000;
  /// Longer than a silent peer is waited for.
  static constexpr duration kPause{milliseconds{3500}};

  void SetUp() override { ASSERT_TRUE(listener_.Listen("127.0.0.1:0")); }
  void TearDown() override { close(fd_); }

  void Send() {
    const std::string to = "127.0.0.1:" + std::to_string(listener_.port());
    pool_.Send({.address = to,
                .request = FormatRequest({.method = "POST",
                                          .target = "/",
                                          .headers = {{"Host", "a"}},
                                          .body = std::string(kBody, 'x')})},
               [this](const call_result& result) { ended_ = result; });
    ASSERT_TRUE(RunUntil([&] { return fd_ >= 0; }));
  }

  /// Reads what has come. True once the whole body has.
  bool ReadAll() {
    std::vector<char> buffer(65536);
    for (;;) {
      const ssize_t size =
          recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size <= 0) {
        return read_ > kBody;
      }
      read_ += static_cast<size_t>(size);
    }
  }

  int fd_ = -1;
  size_t read_ = 0;
  std::optional<call_result> ended_;
  tcp_listener listener_{events_, [this](int fd) { fd_ = fd; }};
};

/// Calls that go only over connections on which the peer has answered.
class OpeningCallTest : public ConnectionPoolTest {
 protected:
  static constexpr duration kWriteTimeout{milliseconds{100}};

  /// Sends a call; its result is appended to `ended_`.
  call_id Send(const std::string& echo) { return Send(echo, peer_); }
  call_id Send(const std::string& echo, const scripted_peer& peer) {
    pool_call call;
    const std::string to = peer.address();
    call.address = to;
    call.request = "GET /" + echo + " HTTP/1.1\r\nHost: a\r\n\r\n";
    call.echo = echo;
    call.opening = "GET /opening HTTP/1.1\r\nHost: a\r\n\r\n";
    return opening_pool_.Send(
        std::move(call),
        [this](const call_result& result) { ended_.push_back(result); });
  }

  static std::string Rejected() {
    return "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n";
  }

  std::deque<call_result> ended_;
  connection_pool opening_pool_{
      events_, {.echo_header = "Echo", .write_timeout = kWriteTimeout}};
};

TEST_F(ConnectionPoolTest, KeptConnectionCarriesTheNextCall) {
  peer_.scripts = {{.replies = {Ok("a"), Ok("b")}}};
  EXPECT_EQ(Call("a").end, call_end::kAnswered);
  const call_result second = Call("b");
  EXPECT_EQ(second.end, call_end::kAnswered);
  EXPECT_FALSE(second.fresh_connection);
  EXPECT_EQ(peer_.connections(), 1);
}

// Guards against a call that is held until its deadline though its answer is
// known to be none.
TEST_F(ConnectionPoolTest, MalformedAnswerEndsTheCallWithItsProblem) {
  peer_.scripts = {{.replies = {"HTTP/1.1 200 OK\r\nEcho : a"}},
                   {.replies = {"HTTP/1.1 000 OK\r\n"}}};
  for (const char* problem : {"field-name", "status-code"}) {
    const call_result ended = Call("a");
    EXPECT_EQ(ended.end, call_end::kBroken);
    EXPECT_EQ(ended.malformed, problem);
  }
}

// Guards against an answer that the peer broke off and that counts as
// malformed.
TEST_F(ConnectionPoolTest, AnswerCutShortIsNotMalformed) {
  peer_.scripts = {{.replies = {Ok("a").substr(0, 40)}, .close_after = true}};
  const call_result ended = Call("a");
  EXPECT_EQ(ended.end, call_end::kBroken);
  EXPECT_EQ(ended.malformed, "");
}

// Guards against a target that lives and is taken for gone because it does not
// read a large request while it works on others.
TEST_F(UnreadRequestTest, ByAPeerThatLivesIsWaitedFor) {
  Send();
  RunFor(kPause);
  ASSERT_FALSE(ended_);
  ASSERT_TRUE(RunUntil([&] {
    RunFor(milliseconds{1});
    return ReadAll();
  }));
  const std::string answer = Ok("");
  ASSERT_EQ(send(fd_, answer.data(), answer.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(RunUntil([&] { return ended_.has_value(); }));
  EXPECT_EQ(ended_->end, call_end::kAnswered);
}

// Guards against a target that is gone and holds its call until the deadline.
TEST_F(UnreadRequestTest, ByAPeerThatIsGoneEndsBroken) {
  Send();
  RunFor(milliseconds{700});
  ASSERT_FALSE(ended_);
  ASSERT_TRUE(testing::LosePower(fd_));
  ASSERT_TRUE(RunUntil([&] { return ended_.has_value(); }));
  EXPECT_EQ(ended_->end, call_end::kBroken);
}

// Guards against connections that end by unanswered probes under an order,
// whose request the network would still deliver.
TEST_F(ConnectionPoolTest, StreamWithoutProbesHasNoKeepAlive) {
  for (const int probes : {0, 1}) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    tcp_stream stream{events_, {}, {.probes = probes}};
    stream.Adopt(fd);
    int on = -1;
    socklen_t size = sizeof(on);
    ASSERT_EQ(getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, &size), 0);
    EXPECT_EQ(on, probes);
  }
}

// A second answer to the first request comes where the answer to the second
// one is due. Its reader would get another's answer.
TEST_F(ConnectionPoolTest, LateSecondAnswerIsNotTakenForTheNext) {
  peer_.scripts = {{.replies = {Ok("a"), Ok("a", "late") + Ok("b", "mine")}}};
  Call("a");
  const call_result second = Call("b");
  EXPECT_EQ(second.end, call_end::kAnswered);
  EXPECT_EQ(second.answer.body, "mine");
}

// Guards against a second copy of a rejection that is taken for the answer to
// the next send of the same request, which runs.
TEST_F(ConnectionPoolTest, CopyOfARejectionDoesNotAnswerTheNextSend) {
  const std::string rejection =
      "HTTP/1.1 503 No\r\nEcho: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";
  peer_.scripts = {{.replies = {rejection, rejection + Ok("a")}},
                   {.replies = {Ok("a")}}};
  EXPECT_EQ(Call("a").answer.status, 503);
  EXPECT_EQ(Call("a").answer.status, 200);
}

// Guards against the same copy where other calls came between the two sends.
TEST_F(ConnectionPoolTest, CopyOfAnEarlierRejectionDoesNotAnswerTheNextSend) {
  const std::string rejection =
      "HTTP/1.1 503 No\r\nEcho: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";
  peer_.scripts = {
      {.replies = {rejection, Ok("b"), Ok("c"), rejection + Ok("a")}},
      {.replies = {Ok("a")}}};
  for (const char* const echo : {"a", "b", "c"}) {
    Call(echo);
  }
  EXPECT_EQ(Call("a").answer.status, 200);
  EXPECT_EQ(peer_.connections(), 2);
}

// Guards against a copy of a rejection without an identifier, which could be
// the answer to anything, that is taken for the answer to the next call.
TEST_F(ConnectionPoolTest, CopyOfARejectionWithoutEchoAnswersNoOtherCall) {
  const std::string rejection =
      "HTTP/1.1 503 No\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";
  peer_.scripts = {{.replies = {Ok("a"), rejection, rejection + Ok("c")}},
                   {.replies = {Ok("c")}}};
  Call("a");
  EXPECT_EQ(Call("b").answer.status, 503);
  EXPECT_EQ(Call("c").answer.status, 200);
}

// Guards against a call without an identifier that is given the answer to an
// earlier one that had one.
TEST_F(ConnectionPoolTest, CopyOfAnAnswerWithEchoAnswersNoCallWithoutOne) {
  const std::string own = "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n";
  peer_.scripts = {{.replies = {Ok("a"), Ok("a", "late") + own}}};
  Call("a");
  EXPECT_EQ(Call("").answer.status, 400);
}

// Guards against a list of earlier calls that grows as long as its connection
// lives.
TEST_F(ConnectionPoolTest, ConnectionIsReplacedAfterManyCalls) {
  constexpr int kCalls = 1000;
  peer_script long_lived;
  for (int i = 0; i < kCalls; ++i) {
    long_lived.replies.push_back(Ok(std::to_string(i)));
  }
  peer_.scripts = {long_lived, {.replies = {Ok("next")}}};
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_EQ(Call(std::to_string(i)).end, call_end::kAnswered);
  }
  EXPECT_EQ(peer_.connections(), 1);
  EXPECT_TRUE(Call("next").fresh_connection);
}

// Guards against a late second answer that is taken for the success of a call
// of another kind, where the peer echoes nothing.
TEST_F(ConnectionPoolTest, SuccessWithoutItsMarkIsNotTakenForTheNext) {
  connection_pool pool{events_, {}};
  const std::string marked = "HTTP/1.1 200 OK\r\nMark: m\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  peer_.scripts = {{.replies = {"HTTP/1.1 200 OK\r\n" + end,
                                "HTTP/1.1 200 OK\r\n" + end + marked + end}}};
  EXPECT_EQ(CallMarked(pool, false).end, call_end::kAnswered);
  const call_result second = CallMarked(pool, true);
  EXPECT_EQ(second.end, call_end::kAnswered);
  EXPECT_TRUE(second.answer.Header("Mark"));
  EXPECT_EQ(peer_.connections(), 1);
}

// Guards against answers that disappear without a trace when a peer sends more
// of them than it got calls.
TEST_F(ConnectionPoolTest, SurplusAnswersAreReported) {
  std::deque<std::string> reported;
  connection_pool pool{
      events_,
      {.echo_header = "Echo", .on_surplus = [&](const surplus_answer& surplus) {
         reported.push_back(std::string{surplus.echo} + " for " +
                            std::string{surplus.awaited} +
                            (surplus.is_idle ? " idle" : ""));
       }}};
  peer_.scripts = {
      {.replies = {Ok("a"), Ok("a", "late") + Ok("b") + Ok("b", "late")}}};
  for (const std::string echo : {"a", "b"}) {
    const std::string to = peer_.address();
    bool has_ended = false;
    pool.Send({.address = to,
               .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
               .echo = echo},
              [&](const call_result&) { has_ended = true; });
    ASSERT_TRUE(RunUntil([&] { return has_ended; }));
  }
  EXPECT_THAT(reported, ::testing::ElementsAre("a for b", "b for  idle"));
}

// Guards against a copy of one release's answer that is taken for the answer to
// the next release, whose keys are still at work.
TEST_F(ConnectionPoolTest, CopyOfAMarkedSuccessDoesNotAnswerTheNextMarkedCall) {
  connection_pool pool{events_, {}};
  const auto success = [](const std::string& token) {
    return "HTTP/1.1 200 OK\r\nMark: " + token +
           "\r\nContent-Length: 0\r\n\r\n";
  };
  peer_.scripts = {{.replies = {success("1"), success("1") + success("2")}},
                   {.replies = {success("2")}}};
  EXPECT_EQ(CallMarked(pool, true).answer.Header("Mark"), "1");
  EXPECT_EQ(CallMarked(pool, true).end, call_end::kBroken);
  EXPECT_EQ(CallMarked(pool, true).answer.Header("Mark"), "2");
}

TEST_F(ConnectionPoolTest, MarkedSuccessesThatDifferAreTaken) {
  connection_pool pool{events_, {}};
  peer_script two;
  for (const char* const token : {"1", "2"}) {
    two.replies.push_back("HTTP/1.1 200 OK\r\nMark: " + std::string{token} +
                          "\r\nContent-Length: 0\r\n\r\n");
  }
  peer_.scripts = {two};
  EXPECT_EQ(CallMarked(pool, true).answer.Header("Mark"), "1");
  EXPECT_EQ(CallMarked(pool, true).answer.Header("Mark"), "2");
}

TEST_F(ConnectionPoolTest, BytesBehindAnAnswerSpoilTheConnection) {
  peer_.scripts = {{.replies = {Ok("a") + "HTTP/1.1 200 OK\r\nEcho: a\r\n"}},
                   {.replies = {Ok("b")}}};
  EXPECT_EQ(Call("a").end, call_end::kAnswered);
  EXPECT_EQ(Call("b").end, call_end::kAnswered);
  EXPECT_EQ(peer_.connections(), 2);
}

// The peer breaks off in the middle of a body. What has come looks like an
// answer and is none.
TEST_F(ConnectionPoolTest, TruncatedAnswerIsBroken) {
  const std::string whole = Ok("a", std::string(1000, 'x'));
  peer_.scripts = {
      {.replies = {whole.substr(0, whole.size() - 10)}, .close_after = true}};
  EXPECT_EQ(Call("a").end, call_end::kBroken);
}

TEST_F(ConnectionPoolTest, AnswerWithoutLengthEndsWithItsConnection) {
  peer_.scripts = {{.replies = {"HTTP/1.1 200 OK\r\nEcho: a\r\n\r\nwhole"},
                    .close_after = true}};
  const call_result result = Call("a");
  EXPECT_EQ(result.end, call_end::kAnswered);
  EXPECT_EQ(result.answer.body, "whole");
}

// The same, but the connection is reset: part of the body may be missing.
TEST_F(ConnectionPoolTest, AnswerWithoutLengthThatIsResetIsBroken) {
  peer_.scripts = {{.replies = {"HTTP/1.1 200 OK\r\nEcho: a\r\n\r\npart"},
                    .reset_after = true}};
  EXPECT_EQ(Call("a").end, call_end::kBroken);
}

/// A sound answer to a call with the echo "a".
struct whole_answer {
  std::string bytes;
  bool head = false;        ///< It answers HEAD.
  size_t open_from = 1000;  ///< From this size on only its end tells of more.
};

class CutAnswerTest : public ConnectionPoolTest,
                      public ::testing::WithParamInterface<whole_answer> {
 protected:
  /// Lets the peer answer the call with `bytes` and end the connection.
  call_end AnswerWith(std::string_view bytes, bool resets) {
    peer_.scripts = {{.replies = {std::string{bytes}},
                      .close_after = !resets,
                      .reset_after = resets}};
    std::optional<call_end> ended;
    const std::string to = peer_.address();
    pool_.Send({.address = to,
                .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                .head = GetParam().head,
                .echo = "a"},
               [&](const call_result& result) { ended = result.end; });
    EXPECT_TRUE(RunUntil([&] { return ended.has_value(); }));
    return ended.value_or(call_end::kUnreachable);
  }
};

// Guards against part of an answer that passes for a whole one because the peer
// closed in order. Where an answer has no length, the end is all that HTTP
// says.
TEST_P(CutAnswerTest, ByACloseIsBroken) {
  const std::string_view whole = GetParam().bytes;
  for (size_t size = 0; size < whole.size(); ++size) {
    EXPECT_EQ(
        AnswerWith(whole.substr(0, size), false),
        size < GetParam().open_from ? call_end::kBroken : call_end::kAnswered)
        << whole.substr(0, size);
  }
  EXPECT_EQ(AnswerWith(whole, false), call_end::kAnswered);
}

// The same by a reset, which also cuts short what has no length.
TEST_P(CutAnswerTest, ByAResetIsBroken) {
  const std::string_view whole = GetParam().bytes;
  for (size_t size = 0; size < whole.size(); ++size) {
    EXPECT_EQ(AnswerWith(whole.substr(0, size), true), call_end::kBroken)
        << whole.substr(0, size);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Forms, CutAnswerTest,
    ::testing::Values(
        whole_answer{"HTTP/1.1 200 OK\r\nEcho: a\r\n"
                     "Content-Length: 12\r\n\r\nhi and again"},
        whole_answer{"HTTP/1.1 200 OK\nEcho: a\nContent-Length: 2\n\nhi"},
        whole_answer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                     "Echo: a\r\nA: b \t\r\n\r\n"},
        whole_answer{"HTTP/1.0 200 OK\r\nEcho: a\r\n"
                     "Content-Length: 2\r\n\r\nhi"},
        whole_answer{"HTTP/1.1 200 OK\r\nEcho: a\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "2;a=\"b\"\r\nhi\r\n3\r\nall\r\n0\r\nA: b\r\n\r\n"},
        whole_answer{"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nEcho: a\r\n"
                     "Content-Length: 2\r\n\r\nhi"},
        whole_answer{"HTTP/1.1 204 x\r\nEcho: a\r\nA: b\r\n\r\n"},
        whole_answer{"HTTP/1.1 304 x\r\nEcho: a\r\n"
                     "Content-Length: 9\r\n\r\n"},
        whole_answer{.bytes = "HTTP/1.1 200 OK\r\nEcho: a\r\n"
                              "Content-Length: 9\r\n\r\n",
                     .head = true},
        whole_answer{.bytes = "HTTP/1.1 200 OK\r\nEcho: a\r\n\r\nopen",
                     .open_from = 28},
        whole_answer{.bytes = "HTTP/1.0 200 OK\r\nEcho: a\r\n\r\nopen",
                     .open_from = 28}),
    [](const auto& info) { return "Number" + std::to_string(info.index); });

TEST_F(ConnectionPoolTest, AnswerThatIsNoHttpIsBroken) {
  peer_.scripts = {{.replies = {"@@@@\r\n\r\n"}}};
  EXPECT_EQ(Call("a").end, call_end::kBroken);
}

// Guards against a request that ended without an answer and that the network
// delivers afterwards.
TEST_F(ConnectionPoolTest, ConnectionOfABrokenCallIsReset) {
  peer_.scripts = {{.replies = {"@@@@\r\n\r\n"}}};
  EXPECT_EQ(Call("a").end, call_end::kBroken);
  EXPECT_TRUE(RunUntil([&] { return peer_.resets() == 1; }));
}

// The peer closes a kept connection while it is idle. The next call goes to a
// new one, and nothing was sent twice.
TEST_F(ConnectionPoolTest, ConnectionThatEndedWhileIdleIsNotUsed) {
  peer_.scripts = {{.replies = {Ok("a")}, .close_after = true},
                   {.replies = {Ok("b")}}};
  Call("a");
  EXPECT_EQ(Call("b").end, call_end::kAnswered);
  EXPECT_EQ(peer_.requests(), 2);
}

// The peer takes the request and ends without an answer. It may have run.
TEST_F(ConnectionPoolTest, ResetAfterTheRequestIsBroken) {
  peer_.scripts = {{.reset_after = true}};
  EXPECT_EQ(Call("a").end, call_end::kBroken);
  EXPECT_EQ(peer_.requests(), 1) << "sent once";
}

// Guards against calls of the host's own that no caller's deadline ends.
TEST_F(ConnectionPoolTest, CallBeyondItsTimeIsBroken) {
  connection_pool pool{events_, {.call_timeout = milliseconds{50}}};
  peer_.scripts = {{.replies = {"HTTP/1.1 200 OK\r\n"}}};
  EXPECT_EQ(CallMarked(pool, false).end, call_end::kBroken);
  EXPECT_TRUE(RunUntil([&] { return peer_.resets() == 1; }));
}

TEST_F(ConnectionPoolTest, PortWithoutAListenerIsRefused) {
  const std::string address = peer_.address();
  peer_.Close();
  EXPECT_EQ(Call("a", address).end, call_end::kRefused);
}

// Guards against a shortage of descriptors that is held against the peer.
TEST_F(ConnectionPoolTest, CallWithoutADescriptorSaysNothingOfThePeer) {
  {
    const testing::descriptor_limit none_left;
    EXPECT_EQ(Call("a").end, call_end::kNoDescriptor);
  }
  EXPECT_EQ(pool_.not_made(), 1U);
  EXPECT_EQ(peer_.connections(), 0);
  peer_.scripts = {{.replies = {Ok("b")}}};
  EXPECT_EQ(Call("b").end, call_end::kAnswered);
}

// Guards against calls that find no descriptor while idle connections to other
// addresses keep theirs.
TEST_F(ConnectionPoolTest, IdleConnectionMakesRoomForACallToAnotherAddress) {
  scripted_peer other{events_};
  peer_.scripts = {{.replies = {Ok("a")}}};
  other.scripts = {{.replies = {Ok("b")}}};
  ASSERT_EQ(Call("a").end, call_end::kAnswered);
  const testing::descriptor_limit none_left;
  EXPECT_EQ(Call("b", other.address()).end, call_end::kAnswered);
  EXPECT_EQ(pool_.closed_for_room(), 1U);
}

// Guards against targets that take the descriptors of all others.
TEST_F(ConnectionPoolTest, CallBeyondTheBoundIsNotSent) {
  pool_.SetMostConnections(1);
  const std::string to = peer_.address();
  bool has_ended = false;
  pool_.Send({.address = to, .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
             [&](const call_result&) { has_ended = true; });
  EXPECT_EQ(Call("a").end, call_end::kNoDescriptor);
  EXPECT_FALSE(has_ended);
}

TEST_F(ConnectionPoolTest, AddressThatIsNoneIsUnreachable) {
  EXPECT_EQ(Call("a", "nowhere:1").end, call_end::kUnreachable);
}

TEST_F(ConnectionPoolTest, RefusalWithoutEchoIsTakenWhenItSaysSo) {
  peer_.scripts = {
      {.replies = {Ok("a"),
                   "HTTP/1.1 503 No\r\nRefused: 1\r\nContent-Length: "
                   "0\r\n\r\n"}}};
  Call("a");
  EXPECT_EQ(Call("b").answer.status, 503);
}

// A process that was started anew has no memory of fences. A call that must
// reach the former one does not go out on a new connection.
TEST_F(ConnectionPoolTest, CallForOldConnectionsMakesNoNewOne) {
  peer_.scripts = {{.replies = {Ok("a")}, .close_after = true}};
  const call_result first = Call("a");
  std::optional<call_result> ended;
  const std::string to = peer_.address();
  pool_call call;
  call.address = to;
  call.request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  call.newest_connection = first.connection;
  pool_.Send(std::move(call),
             [&](const call_result& result) { ended = result; });
  ASSERT_TRUE(RunUntil([&] { return ended.has_value(); }));
  EXPECT_EQ(ended->end, call_end::kUnreachable);
  EXPECT_EQ(peer_.connections(), 1);
}

// Guards against a request that the network still delivers after the process
// that sent it was killed.
TEST_F(ConnectionPoolTest, NothingIsDeliveredAfterTheEndOfItsSender) {
  constexpr size_t kBytes = 300'000;  // More than the peer's buffer holds.
  peer_.PauseAccepting(true);
  auto pool = std::make_unique<connection_pool>(
      events_, pool_settings{.reset_on_close = true});
  pool_call call;
  const std::string to = peer_.address();
  call.address = to;
  call.request =
      "GET / HTTP/1.1\r\nA: " + std::string(kBytes, 'a') + "\r\n\r\n";
  const call_id id = pool->Send(std::move(call), [](const call_result&) {});
  ASSERT_TRUE(RunUntil([&] { return pool->HasWritten(id); }));
  pool.reset();
  peer_.PauseAccepting(false);
  EXPECT_TRUE(RunUntil([&] { return peer_.resets() == 1; }));
  EXPECT_EQ(peer_.requests(), 0);
}

TEST_F(OpeningCallTest, NewConnectionCarriesTheCallAfterAnAnswer) {
  peer_.scripts = {{.replies = {Rejected(), Ok("a"), Ok("b")}}};
  Send("a");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  EXPECT_EQ(ended_[0].end, call_end::kAnswered);
  EXPECT_EQ(ended_[0].answer.body, "fine");
  EXPECT_EQ(peer_.requests(), 2);
  Send("b");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 2; }));
  EXPECT_EQ(ended_[1].end, call_end::kAnswered);
  EXPECT_EQ(peer_.requests(), 3) << "no second opening";
}

// Guards against a call that its peer reads after it was given up, because the
// peer did not read from the new connection before.
TEST_F(OpeningCallTest, CallToAPeerThatDoesNotReadIsNotWritten) {
  peer_.PauseAccepting(true);
  Send("a");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  EXPECT_EQ(ended_[0].end, call_end::kNotWritten);
  peer_.scripts = {{.replies = {Rejected(), Ok("a")}}};
  peer_.PauseAccepting(false);
  RunFor(3 * kWriteTimeout);
  EXPECT_EQ(peer_.requests(), 1) << "only the opening";
}

TEST_F(OpeningCallTest, CallCancelledBeforeTheOpeningIsAnsweredIsNotWritten) {
  peer_.PauseAccepting(true);
  opening_pool_.Cancel(Send("a"));
  peer_.scripts = {{.replies = {Rejected(), Ok("a")}}};
  peer_.PauseAccepting(false);
  RunFor(3 * kWriteTimeout);
  EXPECT_EQ(peer_.requests(), 1) << "only the opening";
  EXPECT_TRUE(ended_.empty());
}

// Guards against calls that never get through to a peer that reads each new
// connection only after their time.
TEST_F(OpeningCallTest, ConnectionThatOpensLateCarriesTheNextCall) {
  peer_.PauseAccepting(true);
  Send("a");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  peer_.scripts = {{.replies = {Rejected(), Ok("b")}}};
  peer_.PauseAccepting(false);
  RunFor(3 * kWriteTimeout);
  Send("b");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 2; }));
  EXPECT_EQ(ended_[1].end, call_end::kAnswered);
  EXPECT_EQ(peer_.connections(), 1);
}

TEST_F(OpeningCallTest, WaitingCallsAreServedInTheOrderOfTheirSending) {
  peer_.scripts = {{.replies = {Rejected(), Ok("a"), Ok("b"), Ok("c")}}};
  Send("a");
  Send("b");
  Send("c");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 3; }));
  for (const call_result& result : ended_) {
    EXPECT_EQ(result.end, call_end::kAnswered);
  }
}

TEST_F(OpeningCallTest, RefusedConnectionEndsAllWaitingCalls) {
  peer_.Close();
  Send("a");
  Send("b");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 2; }));
  EXPECT_EQ(ended_[0].end, call_end::kRefused);
  EXPECT_EQ(ended_[1].end, call_end::kRefused);
}

// Guards against a read of a destroyed connection: one that ends as soon as its
// opening is answered, while a call waits for it and others are idle.
TEST_F(OpeningCallTest, ConnectionThatEndsAfterItsOpeningIsReplaced) {
  scripted_peer other{events_};
  other.scripts = {{.replies = {Rejected(), Ok("b")}}};
  Send("b", other);
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  peer_.scripts = {{.replies = {Rejected()}, .close_after = true},
                   {.replies = {Rejected(), Ok("a")}}};
  Send("a");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 2; }));
  EXPECT_EQ(ended_[1].end, call_end::kAnswered);
  EXPECT_EQ(peer_.connections(), 2);
}

// Guards against calls that wait for an opening whose answer never ends.
TEST_F(OpeningCallTest, OpeningAnsweredWithoutEndEndsTheCallAsNotSent) {
  testing::endless_peer endless{
      events_, {.beginning = "HTTP/1.1 ", .repeated = "400 No"}};
  ASSERT_TRUE(endless.Listen());
  const std::string to = endless.address();
  opening_pool_.Send(
      {.address = to, .request = "unused", .opening = "GET / HTTP/1.1\r\n\r\n"},
      [this](const call_result& result) { ended_.push_back(result); });
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  EXPECT_EQ(ended_[0].end, call_end::kUnreachable);
}

TEST_F(OpeningCallTest, ResetOfTheOpeningEndsTheCallAsNotSent) {
  peer_.scripts = {{.reset_after = true}};
  Send("a");
  ASSERT_TRUE(RunUntil([&] { return ended_.size() == 1; }));
  EXPECT_EQ(ended_[0].end, call_end::kUnreachable);
}

}  // namespace
}  // namespace foxtailspread
