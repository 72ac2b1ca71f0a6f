// Targets that send bytes without end where an answer is due. No assertion
// depends on the time of day; processor time is measured against the smallest
// objective of the users' routes.

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "net/connection_pool.h"
#include "run_until.h"
#include "support/endless_peer.h"
#include "support/one_host_test.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using testing::endless_answer;
using testing::endless_peer;

constexpr size_t kMaxHeader = 65536;
constexpr size_t kMaxBody = size_t{1} << 20;
constexpr size_t kMaxArriving = size_t{4} << 20;
/// The most that one turn of the loop reads from a connection.
constexpr size_t kOneRead = 32768;
constexpr duration kSmallestObjective{milliseconds{200}};

duration ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds{used.tv_sec} +
      std::chrono::nanoseconds{used.tv_nsec});
}

std::string Head(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nEcho: a\r\n" + fields + "\r\n";
}

std::string ChunkedHead() { return Head("Transfer-Encoding: chunked\r\n"); }

struct endless_case {
  std::string name;
  endless_answer answer;
};

void PrintTo(const endless_case& each, std::ostream* out) { *out << each.name; }

class EndlessAnswerTest : public ::testing::TestWithParam<endless_case> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(endless_.Listen());
    ASSERT_TRUE(sound_.Listen());
  }

  void Send(const endless_peer& peer, std::optional<call_result>& ended) {
    const std::string to = peer.address();
    ended.reset();
    pool_.Send({.address = to,
                .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                .echo = "a"},
               [&ended](call_result result) { ended = std::move(result); });
  }

  poller events_;
  held_memory memory_{kMaxArriving};
  endless_peer endless_{events_, GetParam().answer};
  /// Its answers end before its bytes do.
  endless_peer sound_{
      events_,
      {.beginning = Head("Content-Length: 30000\r\n"), .repeated = "x"}};
  connection_pool pool_{
      events_,
      {.echo_header = "Echo",
       .limits = {.max_header_bytes = kMaxHeader, .max_body_bytes = kMaxBody},
       .max_arriving_bytes = kMaxArriving,
       .memory = &memory_}};
};

// Guards against answers that are read for as long as their call lasts.
TEST_P(EndlessAnswerTest, IsGivenUpWithinItsBounds) {
  std::optional<call_result> ended;
  Send(endless_, ended);
  ASSERT_TRUE(RunUntil([&] { return ended.has_value(); }));
  EXPECT_EQ(ended->end, call_end::kBroken);
  EXPECT_LE(ended->excess_bytes, kMaxHeader + 2 * kMaxBody + kOneRead);
  EXPECT_TRUE(RunUntil([&] { return endless_.connections() == 0; }));
  EXPECT_EQ(memory_.total(), 0U);
}

// Guards against hosts that end for want of memory, or answer nobody in time,
// while many targets do it.
TEST_P(EndlessAnswerTest, ManyLeaveMemoryAndTimeToOthers) {
  constexpr size_t kMany = 20;
  constexpr int kOthers = 30;
  std::vector<std::optional<call_result>> endless(kMany);
  for (auto& each : endless) {
    Send(endless_, each);
  }
  size_t most_held = 0;
  for (int i = 0; i < kOthers; ++i) {
    std::optional<call_result> other;
    const duration before = ProcessorTime();
    Send(sound_, other);
    ASSERT_TRUE(RunUntil([&] {
      most_held = std::max(most_held, memory_.total());
      for (auto& each : endless) {
        if (each) {
          Send(endless_, each);
        }
      }
      return other.has_value();
    }));
    EXPECT_EQ(other->end, call_end::kAnswered);
    EXPECT_LT(ProcessorTime() - before, kSmallestObjective);
  }
  EXPECT_LE(most_held, kMaxArriving + (kMany + 1) * kOneRead);
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, EndlessAnswerTest,
    ::testing::Values(
        endless_case{"header-fields",
                     {"HTTP/1.1 200 OK\r\nEcho: a\r\n", "A: bcd\r\n"}},
        endless_case{"header-value", {"HTTP/1.1 200 OK\r\nA: ", "b"}},
        endless_case{"reason-phrase", {"HTTP/1.1 200 ", "b"}},
        endless_case{"blank-lines", {"", "\r\n"}},
        endless_case{"interim-answers", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
        endless_case{"answers-to-others",
                     {"",
                      "HTTP/1.1 200 OK\r\nEcho: b\r\nContent-Length: "
                      "2\r\n\r\nhi"}},
        endless_case{"body-with-length",
                     {Head("Content-Length: 900000000000\r\n"), "x"}},
        endless_case{"body-without-length", {Head(""), "x"}},
        endless_case{
            "chunks",
            {ChunkedHead(), "400\r\n" + std::string(0x400, 'x') + "\r\n"}},
        endless_case{"chunks-of-one-byte", {ChunkedHead(), "1\r\nx\r\n"}},
        endless_case{"chunk-size", {ChunkedHead(), "0"}},
        endless_case{"chunk-extension", {ChunkedHead() + "1;a=", "b"}},
        endless_case{"trailers", {ChunkedHead() + "0\r\n", "A: bcd\r\n"}},
        endless_case{"no-http", {"", "@"}}),
    [](const auto& info) { return "Number" + std::to_string(info.index); });

/// One host with a target that never ends its answers among sound ones.
class EndlessTargetTest : public testing::one_host_test<::testing::Test> {
 protected:
  void SetUp() override {
    one_host_test::SetUp();
    ASSERT_TRUE(endless_.Listen());
  }

  /// Adds the target to a service and waits until it gets its first request.
  void AddEndlessTarget(const std::string& service) {
    AddTarget(service, "i-endless", endless_.address());
    ASSERT_TRUE(RunUntil(
        [&] { return endless_.requests() > 0 || StatusOf(service) == 0; }));
  }

  /// Calls the service and returns the status of the answer.
  int StatusOf(const std::string& service) { return Call(service).status; }

  endless_peer endless_{events_,
                        {.beginning = "HTTP/1.1 200 OK\r\n\r\n",
                         .repeated = std::string(64, 'x')}};
};

// Guards against a target that goes on getting requests, and against callers
// whose request could be served elsewhere.
TEST_F(EndlessTargetTest, OfReadsGetsFewAndTheirCallersAreServed) {
  constexpr int kCalls = 60;
  AddEndlessTarget("reads");
  const int before = endless_.requests();
  int served = 0;
  for (int i = 0; i < kCalls; ++i) {
    served += StatusOf("reads") == 200 ? 1 : 0;
  }
  EXPECT_LE(endless_.requests() - before, kCalls / 8);
  EXPECT_GE(served, kCalls * 9 / 10);
}

// Guards against the word that an order has not run where its target may have
// run it.
TEST_F(EndlessTargetTest, OfOrdersIsAnsweredAsUnknown) {
  AddEndlessTarget("orders");
  for (int i = 0; i < 20; ++i) {
    const int before = endless_.requests();
    const int status = StatusOf("orders");
    if (endless_.requests() > before) {
      EXPECT_TRUE(status == 502 || status == 504) << status;
      EXPECT_EQ(fleet_.RunsOf(last_attempt_), 0) << "sent once";
    } else {
      EXPECT_EQ(status, 200);
    }
  }
}

}  // namespace
}  // namespace foxtailspread
