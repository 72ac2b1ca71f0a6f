// Callers' connections on a host whose descriptors run out.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/load/descriptor_budget.h"
#include "net/caller_server.h"
#include "net/poller.h"
#include "net/tcp_stream.h"
#include "run_until.h"
#include "support/descriptor_limit.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using testing::descriptor_limit;

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A caller that has connected, and sent what it sends, when the call returns.
/// It needs no descriptor later.
class waiting_caller {
 public:
  explicit waiting_caller(uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)),
              0);
  }
  ~waiting_caller() { close(fd_); }
  waiting_caller(const waiting_caller&) = delete;
  waiting_caller& operator=(const waiting_caller&) = delete;

  void Send(std::string_view bytes) const {
    EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  /// Takes what has come. True once the host has ended the connection in order.
  bool HasEnded() {
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      got_.append(buffer.data(), static_cast<size_t>(size));
    }
    return size == 0;
  }
  bool HasGot(std::string_view text) {
    HasEnded();
    return got_.find(text) != std::string::npos;
  }

 private:
  int fd_;
  std::string got_;
};

class DescriptorsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    server_.SetLimits({.room_timeout = milliseconds{1}});
    ASSERT_TRUE(server_.Listen("127.0.0.1:0"));
  }

  void OnRequest(exchange_id id) {
    if (holds_) {
      held_.push_back(id);
    } else {
      Answer(id);
    }
  }
  void Answer(exchange_id id) {
    http_message answer;
    answer.status = 200;
    server_.Answer(id, answer);
  }
  bool AwaitConnections(size_t count) {
    const bool has = RunUntil([&] { return server_.connections() == count; });
    RunFor(milliseconds{2});
    return has;
  }

  poller events_;
  bool holds_ = false;
  std::vector<exchange_id> held_;
  caller_server server_{
      events_,
      {.on_request = [this](exchange_id id,
                            const http_message&) { OnRequest(id); },
       .on_gone = [](exchange_id) {}}};
};

// Guards against a loop that turns without end, and takes the whole processor,
// while a caller waits and cannot be accepted.
TEST(ListenerTest, CallerThatCannotBeAcceptedDoesNotTurnTheLoop) {
  constexpr int kTurns = 1000;
  poller events;
  std::vector<int> accepted;
  tcp_listener listener(events, [&](int fd) { accepted.push_back(fd); });
  ASSERT_TRUE(listener.Listen("127.0.0.1:0"));
  const waiting_caller caller(listener.port());
  {
    const descriptor_limit none_left;
    int busy = 0;
    for (int i = 0; i < kTurns; ++i) {
      busy += g_main_context_iteration(nullptr, FALSE) != FALSE ? 1 : 0;
    }
    EXPECT_LT(busy, kTurns / 10);
    EXPECT_TRUE(accepted.empty());
  }
  EXPECT_TRUE(RunUntil([&] { return accepted.size() == 1; }));
  for (const int fd : accepted) {
    close(fd);
  }
}

// Guards against callers that get no answer while others keep connections that
// they do not use.
TEST_F(DescriptorsTest, LongestIdleConnectionIsClosedForAWaitingCaller) {
  waiting_caller idle(server_.port());
  ASSERT_TRUE(AwaitConnections(1));
  waiting_caller later(server_.port());
  ASSERT_TRUE(AwaitConnections(2));
  waiting_caller waiting(server_.port());
  waiting.Send(kGet);
  const descriptor_limit none_left;
  EXPECT_TRUE(RunUntil([&] { return waiting.HasGot("200 OK"); }));
  EXPECT_TRUE(idle.HasEnded());
  EXPECT_FALSE(later.HasEnded());
  EXPECT_EQ(server_.room().closed, 1U);
}

// Guards against an idle connection that is closed for a caller that does not
// wait: the system looks for a descriptor first.
TEST_F(DescriptorsTest, LastDescriptorClosesNoConnection) {
  waiting_caller idle(server_.port());
  ASSERT_TRUE(AwaitConnections(1));
  waiting_caller last(server_.port());
  last.Send(kGet);
  const int spare = dup(STDERR_FILENO);
  const descriptor_limit none_left;
  close(spare);
  EXPECT_TRUE(RunUntil([&] { return last.HasGot("200 OK"); }));
  RunFor(milliseconds{2});
  EXPECT_FALSE(idle.HasEnded());
}

// Guards against a request that lies unread on the connection that is closed.
TEST_F(DescriptorsTest, UnreadRequestOnTheLongestIdleConnectionIsAnswered) {
  server_.SetMostConnections(1, 8);
  waiting_caller idle(server_.port());
  ASSERT_TRUE(AwaitConnections(1));
  waiting_caller next(server_.port());
  idle.Send(kGet);
  next.Send(kGet);
  EXPECT_TRUE(RunUntil([&] { return idle.HasGot("200 OK"); }));
  EXPECT_TRUE(RunUntil([&] { return next.HasGot(" OK") || next.HasEnded(); }));
}

// Guards against callers that wait in the backlog, without an answer, while all
// connections have requests in work.
TEST_F(DescriptorsTest, CallerIsRefusedAsNotRunWhileNoConnectionIsIdle) {
  server_.SetMostConnections(1, 8);
  holds_ = true;
  waiting_caller busy(server_.port());
  busy.Send(kGet);
  ASSERT_TRUE(RunUntil([&] { return held_.size() == 1; }));
  waiting_caller refused(server_.port());
  refused.Send(kGet);
  ASSERT_TRUE(RunUntil([&] { return refused.HasGot("503"); }));
  EXPECT_TRUE(refused.HasGot("Retry-After"));
  EXPECT_TRUE(RunUntil([&] { return refused.HasEnded(); }));
  EXPECT_EQ(held_.size(), 1U);
  EXPECT_EQ(server_.room().refused, 1U);
  Answer(held_.front());
  EXPECT_TRUE(RunUntil([&] { return busy.HasGot("200 OK"); }));
}

// Guards against a connection that is closed while its first request is on its
// way.
TEST_F(DescriptorsTest, ConnectionIdleForAMomentIsNotClosed) {
  server_.SetLimits({.room_timeout = std::chrono::hours{1}});
  server_.SetMostConnections(1, 8);
  waiting_caller young(server_.port());
  ASSERT_TRUE(AwaitConnections(1));
  waiting_caller refused(server_.port());
  refused.Send(kGet);
  EXPECT_TRUE(RunUntil([&] { return refused.HasGot("503"); }));
  young.Send(kGet);
  EXPECT_TRUE(RunUntil([&] { return young.HasGot("200 OK"); }));
}

// Guards against errors of accept() that are met with another try at once
// though they last.
TEST(DescriptorBudgetTest, LastingErrorsOfAcceptWait) {
  EXPECT_EQ(StepAfterFailedAccept(EAGAIN), accept_step::kDone);
  EXPECT_EQ(StepAfterFailedAccept(EMFILE), accept_step::kMakeRoom);
  for (const int error : {ENFILE, ENOBUFS, ENOMEM, EINVAL, EBADF}) {
    EXPECT_EQ(StepAfterFailedAccept(error), accept_step::kWait) << error;
  }
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETDOWN}) {
    EXPECT_EQ(StepAfterFailedAccept(error), accept_step::kNext) << error;
  }
}

// Guards against shares that are more than there is.
TEST(DescriptorBudgetTest, SharesLeaveTheReserve) {
  constexpr size_t kReserve = 48;
  for (const size_t limit : {64U, 300U, 1024U, 3900U}) {
    const descriptor_shares shares = ShareDescriptors(limit);
    EXPECT_LE(shares.callers + shares.refusals + shares.relayed +
                  shares.targets + kReserve,
              limit);
  }
  EXPECT_GT(ShareDescriptors(0).callers, 0U);
}

}  // namespace
}  // namespace foxtailspread
