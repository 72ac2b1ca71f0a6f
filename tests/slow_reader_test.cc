// Peers that do not take what was sent to them, in virtual time.

#include "foxtailspread/load/slow_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kMaxSilence{seconds{3}};

class PeerStateTest : public ::testing::Test {
 protected:
  /// The state after a wait, as the kernel tells it of a closed window.
  static peer_state AfterProbes(milliseconds waiting, milliseconds since_ack,
                                int unanswered) {
    return JudgePeer({.bytes = 1,
                      .waiting = waiting,
                      .since_ack = since_ack,
                      .unanswered = unanswered,
                      .is_window_closed = true},
                     kMaxSilence);
  }
};

// Guards against a caller that lives and is cut off because it does not read.
// Its kernel answers a probe only half a second after the one before.
TEST_F(PeerStateTest, OfAPeerThatAnswersMostProbesIsNotReading) {
  struct probe_trace {
    milliseconds waiting;
    milliseconds since_ack;
    int unanswered;
  };
  const std::vector<probe_trace> trace = {
      {milliseconds{500}, milliseconds{244}, 0},
      {milliseconds{1000}, milliseconds{748}, 1},
      {milliseconds{1500}, milliseconds{1252}, 1},
      {milliseconds{3000}, milliseconds{1440}, 0},
      {milliseconds{6500}, milliseconds{3248}, 0},
      {milliseconds{13'000}, milliseconds{6500}, 0},
      {milliseconds{13'200}, milliseconds{6700}, 1},
  };
  for (const probe_trace& each : trace) {
    EXPECT_EQ(AfterProbes(each.waiting, each.since_ack, each.unanswered),
              peer_state::kNotReading)
        << each.waiting.count();
  }
}

// Guards against a peer that is gone and holds its requests and memory as if it
// lived.
TEST_F(PeerStateTest, OfAPeerThatAnswersNoProbeIsGone) {
  EXPECT_EQ(AfterProbes(milliseconds{2000}, milliseconds{1744}, 2),
            peer_state::kNotReading);
  EXPECT_EQ(AfterProbes(milliseconds{3500}, milliseconds{3244}, 3),
            peer_state::kGone);
}

TEST_F(PeerStateTest, OfAPeerThatAcknowledgesNoDataIsGone) {
  send_queue_state queue{.bytes = 30'000,
                         .waiting = milliseconds{2900},
                         .since_ack = milliseconds{2900},
                         .unanswered = 3};
  EXPECT_EQ(JudgePeer(queue, kMaxSilence), peer_state::kSending);
  queue.waiting = queue.since_ack = milliseconds{3000};
  EXPECT_EQ(JudgePeer(queue, kMaxSilence), peer_state::kGone);
}

// Guards against a quiet caller that is taken for gone when the first packet of
// its answer is lost.
TEST_F(PeerStateTest, SilenceBeforeTheBytesDoesNotCount) {
  EXPECT_EQ(JudgePeer({.bytes = 1,
                       .waiting = milliseconds{700},
                       .since_ack = seconds{60},
                       .unanswered = 2},
                      kMaxSilence),
            peer_state::kSending);
}

TEST_F(PeerStateTest, WithNothingLeftIsReading) {
  EXPECT_EQ(JudgePeer({.bytes = 0, .since_ack = seconds{60}, .unanswered = 5},
                      kMaxSilence),
            peer_state::kReading);
}

class ReadProgressTest : public ::testing::Test {
 protected:
  duration StalledAt(duration time) const {
    return progress_.StalledFor(time_point{time});
  }
  void Check(uint64_t acknowledged, size_t waiting, duration at) {
    progress_.OnCheck(acknowledged, waiting, time_point{at});
  }

  read_progress progress_;
};

TEST_F(ReadProgressTest, StallBeginsWithTheFirstByteThatWaits) {
  Check(1000, 0, seconds{5});
  EXPECT_EQ(StalledAt(seconds{9}), duration{0});
  Check(1000, 30'000, seconds{10});
  EXPECT_EQ(StalledAt(seconds{14}), seconds{4});
}

TEST_F(ReadProgressTest, SteadyReaderDoesNotStall) {
  for (int i = 0; i < 20; ++i) {
    Check(kMinReadProgress * static_cast<uint64_t>(i), 500'000, seconds{i});
    EXPECT_EQ(StalledAt(seconds{i}), duration{0});
  }
}

// Guards against a caller that holds an answer without end, byte by byte.
TEST_F(ReadProgressTest, FewBytesAreNoProgress) {
  Check(0, 500'000, seconds{0});
  Check(kMinReadProgress - 1, 480'000, seconds{14});
  EXPECT_EQ(StalledAt(seconds{14}), seconds{14});
}

TEST_F(ReadProgressTest, StallEndsWithTheLastByte) {
  Check(0, 100, seconds{0});
  Check(100, 0, seconds{14});
  EXPECT_EQ(StalledAt(seconds{20}), duration{0});
}

}  // namespace
}  // namespace foxtailspread
