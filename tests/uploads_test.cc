// Large bodies over loopback, between callers and targets that read slowly.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/caller_server.h"
#include "net/connection_pool.h"
#include "run_until.h"

namespace foxtailspread {
namespace {

constexpr size_t kLargestUpload = 360'000;
/// More than the kernel takes for a peer that does not read.
constexpr size_t kStuckBody = 24'000'000;

/// One end of a connection that reads only when told to.
class test_peer {
 public:
  explicit test_peer(poller& events)
      : stream_(events, HandlerFor<&test_peer::OnReady>(this)) {}

  void Adopt(int fd) { stream_.Adopt(fd); }
  bool Connect(uint16_t port) {
    return stream_.Connect({.ip = "127.0.0.1", .port = port});
  }
  void Send(std::string_view bytes) { stream_.Write(bytes); }
  void PauseReading(bool paused) { stream_.PauseReading(paused); }
  void Leave() { stream_.Close(); }
  bool is_connected() const { return stream_.is_connected(); }
  bool was_reset() const { return was_reset_; }
  const std::string& got() const { return got_; }

 private:
  void OnReady(uint32_t events) {
    if (!stream_.is_open() || !stream_.OnWritable(events)) {
      was_reset_ = true;
      stream_.Close();
      return;
    }
    if ((events & EPOLLIN) == 0) {
      return;
    }
    const read_result read = stream_.Read();
    got_.append(read.bytes);
    if (read.end == read_end::kClosed || read.end == read_end::kBroken) {
      was_reset_ = read.end == read_end::kBroken;
      stream_.Close();
    }
  }

  tcp_stream stream_;
  std::string got_;
  bool was_reset_ = false;
};

std::string UploadHead(size_t size) {
  return "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(size) + "\r\n\r\n";
}

class UploadsTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(server_.Listen("127.0.0.1:0")); }

  test_peer& AddCaller() {
    callers_.push_back(std::make_unique<test_peer>(events_));
    test_peer& added = *callers_.back();
    EXPECT_TRUE(added.Connect(server_.port()));
    EXPECT_TRUE(RunUntil([&] {
      return added.is_connected() && server_.connections() == callers_.size();
    }));
    return added;
  }

  void AnswerAll(size_t size) {
    for (const auto& [id, request] : std::exchange(requests_, {})) {
      http_message answer;
      answer.status = 200;
      answer.body = std::string(size, 'x');
      server_.Answer(id, answer);
    }
  }

  poller events_;
  held_memory memory_{1'000'000};
  std::map<exchange_id, http_message> requests_;
  size_t asked_ = 0;
  std::function<void()> at_once_;
  caller_server server_{
      events_,
      {.on_request =
           [this](exchange_id id, http_message request) {
             ++asked_;
             requests_.emplace(id, std::move(request));
             if (at_once_) {
               at_once_();
             }
           },
       .on_gone = [this](exchange_id id) { requests_.erase(id); }},
      &memory_};
  std::vector<std::unique_ptr<test_peer>> callers_;
};

// Load pattern: a burst of uploads at a small host. Guards against a host that
// reads bodies for which it has no memory, and against a refusal after the
// caller has sent its body.
TEST_F(UploadsTest, BurstBeyondTheMemoryIsRefusedBeforeItsBodiesAreRead) {
  constexpr size_t kCallers = 10;
  constexpr size_t kFitting = 2;
  for (size_t i = 0; i < kCallers; ++i) {
    AddCaller();
  }
  for (const auto& caller : callers_) {
    caller->Send(UploadHead(kLargestUpload));
  }
  ASSERT_TRUE(
      RunUntil([&] { return memory_.refused() == kCallers - kFitting; }));
  const auto is_refused = [](const auto& caller) {
    return caller->got().starts_with("HTTP/1.1 503") &&
           caller->got().find("Retry-After: ") != std::string::npos;
  };
  ASSERT_TRUE(RunUntil([&] {
    return std::ranges::count_if(callers_, is_refused) == kCallers - kFitting;
  }));
  EXPECT_EQ(asked_, 0U);
  EXPECT_LE(memory_.total(), memory_.bound());

  const std::string body(kLargestUpload, 'x');
  for (const auto& caller : callers_) {
    if (!is_refused(caller)) {
      caller->Send(body);
    }
  }
  ASSERT_TRUE(RunUntil([&] { return asked_ == kFitting; }));
  for (const auto& [id, request] : requests_) {
    EXPECT_EQ(request.Body(), body);
  }
  EXPECT_GE(memory_.bytes(held_kind::kRequests), kFitting * kLargestUpload);
  AnswerAll(10);
  EXPECT_TRUE(RunUntil([&] { return memory_.total() == 0; }));
  EXPECT_FALSE(memory_.is_short());
}

// Guards against small requests that pay for the bodies of others.
TEST_F(UploadsTest, SmallRequestIsTakenWhileTheMemoryIsShort) {
  const memory_charge all(&memory_, held_kind::kAnswers, memory_.bound() + 1);
  AddCaller().Send(UploadHead(1000) + std::string(1000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return asked_ == 1; }));
  EXPECT_EQ(memory_.refused(), 0U);
}

// Guards against bodies that come whole with their head, or in chunks, and are
// taken whatever is held already.
TEST_F(UploadsTest, BodyThatComesAtOnceOrInChunksIsRefusedToo) {
  const memory_charge all(&memory_, held_kind::kAnswers, memory_.bound() - 100);
  test_peer& at_once = AddCaller();
  test_peer& in_chunks = AddCaller();
  at_once.Send(UploadHead(8000) + std::string(8000, 'x'));
  in_chunks.Send(
      "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f40"
      "\r\n" +
      std::string(8000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return memory_.refused() == 2; }));
  for (const auto& caller : callers_) {
    ASSERT_TRUE(RunUntil([&] { return !caller->got().empty(); }));
    EXPECT_TRUE(caller->got().starts_with("HTTP/1.1 503")) << caller->got();
  }
  EXPECT_EQ(asked_, 0U);
}

// Guards against an upload that was let in and is cut off midway because others
// came after it.
TEST_F(UploadsTest, UploadThatWasLetInIsReadToItsEnd) {
  test_peer& caller = AddCaller();
  caller.Send(UploadHead(kLargestUpload) + std::string(1000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return memory_.total() > kLargestUpload; }));
  const memory_charge rest(&memory_, held_kind::kAnswers, memory_.bound());
  caller.Send(std::string(kLargestUpload - 1000, 'x'));
  EXPECT_TRUE(RunUntil([&] { return asked_ == 1; }));
  EXPECT_EQ(memory_.refused(), 0U);
}

// Guards against uploads whose callers leave midway and whose bytes stay
// counted.
TEST_F(UploadsTest, CallerThatLeavesMidwayFreesItsMemory) {
  test_peer& caller = AddCaller();
  caller.Send(UploadHead(kLargestUpload) + std::string(1000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return memory_.total() > kLargestUpload; }));
  caller.Leave();
  EXPECT_TRUE(RunUntil([&] { return memory_.total() == 0; }));
}

// Load pattern: callers ask for large answers and read them slowly.
TEST_F(UploadsTest, AnswerCountsUntilASlowCallerHasTakenIt) {
  test_peer& caller = AddCaller();
  caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return asked_ == 1; }));
  caller.PauseReading(true);
  AnswerAll(kStuckBody);
  EXPECT_GT(memory_.bytes(held_kind::kAnswers), kStuckBody / 2);
  EXPECT_TRUE(memory_.IsExceeded());
  caller.PauseReading(false);
  ASSERT_TRUE(RunUntil([&] { return caller.got().size() > kStuckBody; }));
  EXPECT_TRUE(RunUntil([&] { return memory_.total() == 0; }));
}

// Guards against a caller that never takes its answer, whose connection held
// its bytes for ever.
TEST_F(UploadsTest, ConnectionWhoseAnswerIsNeverTakenIsReset) {
  test_peer& caller = AddCaller();
  caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return asked_ == 1; }));
  caller.PauseReading(true);
  AnswerAll(kStuckBody);
  EXPECT_TRUE(RunUntil([&] { return server_.connections() == 0; }));
  EXPECT_EQ(memory_.total(), 0U);
  caller.PauseReading(false);
  ASSERT_TRUE(RunUntil([&] { return caller.was_reset(); }));
  EXPECT_LT(caller.got().size(), kStuckBody);
}

// Guards against a caller that sends requests and reads no answers: each answer
// was kept, without a bound.
TEST_F(UploadsTest, RequestsBehindAnswersThatAreNotTakenAreNotRead) {
  constexpr size_t kRequests = 20;
  at_once_ = [this] { AnswerAll(kStuckBody); };
  test_peer& caller = AddCaller();
  caller.PauseReading(true);
  for (size_t i = 0; i < kRequests; ++i) {
    caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return asked_ > 0; }));
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }
  EXPECT_EQ(asked_, 1U);
  caller.PauseReading(false);
  EXPECT_TRUE(RunUntil([&] { return asked_ == kRequests; }));
}

/// A target that reads when told to, and answers each request with its size.
class UploadTargetTest : public ::testing::Test {
 protected:
  UploadTargetTest()
      : listener_(events_, [this](int fd) {
          target_ = std::make_unique<test_peer>(events_);
          target_->Adopt(fd);
          target_->PauseReading(is_paused_);
        }) {
    EXPECT_TRUE(listener_.Listen("127.0.0.1:0"));
    address_ = "127.0.0.1:" + std::to_string(listener_.port());
  }

  body_ptr MakeBody(size_t size) {
    std::string bytes(size, 'x');
    bytes.back() = '!';
    return body_ptr{new shared_body(std::move(bytes), &memory_)};
  }

  call_id Send(body_ptr body) {
    pool_call call;
    call.address = address_;
    call.request = UploadHead(body->bytes().size());
    call.body = std::move(body);
    return pool_.Send(std::move(call), [this](call_result result) {
      ended_ = std::move(result);
    });
  }

  poller events_;
  held_memory memory_{100'000'000};
  bool is_paused_ = false;
  tcp_listener listener_;
  std::unique_ptr<test_peer> target_;
  std::string address_;
  std::optional<call_result> ended_;
  connection_pool pool_{events_, {.memory = &memory_}};
};

// Load pattern: a target stops reading while uploads go to it. Guards against
// bodies that are held once for the request and once more for the connection.
TEST_F(UploadTargetTest, BodyThatItsTargetDoesNotTakeIsHeldOnce) {
  is_paused_ = true;
  body_ptr kept = MakeBody(kStuckBody);
  const call_id id = Send(kept);
  ASSERT_TRUE(RunUntil([&] { return pool_.HasWritten(id); }));
  EXPECT_GE(memory_.total(), kStuckBody);
  EXPECT_LT(memory_.total(), kStuckBody + 1000);
  kept.reset();
  EXPECT_GE(memory_.total(), kStuckBody) << "not all of it is written";
  pool_.Cancel(id);
  EXPECT_EQ(memory_.total(), 0U);
}

// Guards against a body that is kept until the answer although it was written
// and is not sent again.
TEST_F(UploadTargetTest, BodyIsReleasedOnceItIsWritten) {
  Send(MakeBody(kStuckBody));
  ASSERT_TRUE(RunUntil([&] { return memory_.total() == 0; }));
  EXPECT_FALSE(ended_);
  const std::string head = UploadHead(kStuckBody);
  ASSERT_TRUE(RunUntil(
      [&] { return target_->got().size() == head.size() + kStuckBody; }));
  EXPECT_TRUE(target_->got().starts_with(head + "xx"));
  EXPECT_TRUE(target_->got().ends_with("x!"));
  target_->Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
  ASSERT_TRUE(RunUntil([&] { return ended_.has_value(); }));
  EXPECT_EQ(ended_->answer.body, "fine");
  EXPECT_EQ(memory_.total(), 0U);
}

// Guards against an upload that is lost because its body was given away for a
// send that was never written.
TEST_F(UploadTargetTest, BodyOfACallThatWasNotWrittenComesBack) {
  listener_.Close();
  Send(MakeBody(kLargestUpload));
  ASSERT_TRUE(RunUntil([&] { return ended_.has_value(); }));
  EXPECT_EQ(ended_->end, call_end::kRefused);
  ASSERT_TRUE(ended_->unsent_body);
  EXPECT_EQ(ended_->unsent_body->bytes().size(), kLargestUpload);
  ended_.reset();
  EXPECT_EQ(memory_.total(), 0U);
}

// Guards against answers that arrive slowly and are counted by nobody.
TEST_F(UploadTargetTest, AnswerCountsWhileItArrives) {
  Send(MakeBody(kLargestUpload));
  ASSERT_TRUE(RunUntil([&] { return memory_.total() == 0 && target_; }));
  target_->Send("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" +
                std::string(49'999, 'x'));
  ASSERT_TRUE(
      RunUntil([&] { return memory_.bytes(held_kind::kAnswers) >= 49'999; }));
  target_->Send("x");
  ASSERT_TRUE(RunUntil([&] { return ended_.has_value(); }));
  EXPECT_EQ(memory_.total(), 0U);
}

}  // namespace
}  // namespace foxtailspread
