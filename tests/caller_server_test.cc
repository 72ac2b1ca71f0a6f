// Callers' connections over loopback, in orders that only a busy host sees.

#include "net/caller_server.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>

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

class CallerServerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(server_.Listen("127.0.0.1:0"));
    ASSERT_TRUE(caller_.Connect(server_.port()));
    ASSERT_TRUE(RunUntil(
        [&] { return caller_.is_connected() && server_.connections() == 1; }));
  }

  poller events_;
  std::optional<exchange_id> asked_;
  caller_server server_{
      events_,
      {.on_request = [this](exchange_id id,
                            const http_message&) { asked_ = id; },
       .on_gone = [](exchange_id) {}}};
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

}  // namespace
}  // namespace foxtailspread
