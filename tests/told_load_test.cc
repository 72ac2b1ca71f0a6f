// What targets tell of their load: merged, aged, and gone by.

#include "foxtailspread/told_load.h"

#include <gtest/gtest.h>

#include "foxtailspread/service_limit.h"
#include "foxtailspread/target_health.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds{100}};

load_sample Sample(int running, uint32_t age_ms, uint32_t latency_us = 0,
                   uint32_t served = 0) {
  return {.target = 7,
          .load = {.running = running},
          .age_ms = age_ms,
          .latency_us = latency_us,
          .served = served};
}

TEST(LoadBoardTest, NewestSampleOfATargetStands) {
  load_board board;
  board.Add(std::vector{Sample(5, 10), Sample(2, 90)}, kNow);
  const auto fresh = board.TakeFresh(kNow + milliseconds{20});
  ASSERT_EQ(fresh.size(), 1U);
  EXPECT_EQ(fresh[0].load.running, 5);
  EXPECT_EQ(fresh[0].age_ms, 30U);
}

TEST(LoadBoardTest, SamplesAreToldOnce) {
  load_board board;
  board.Add(std::vector{Sample(5, 10)}, kNow);
  EXPECT_EQ(board.TakeFresh(kNow).size(), 1U);
  EXPECT_TRUE(board.TakeFresh(kNow).empty());
  board.Add(std::vector{Sample(5, 20)}, kNow);
  EXPECT_TRUE(board.TakeFresh(kNow).empty());
}

TEST(LoadBoardTest, LatencyIsTheMeanOfAllHostsAnswers) {
  load_board board;
  board.Add(std::vector{Sample(1, 9, 100'000, 10)}, kNow);
  board.Add(std::vector{Sample(1, 8, 300'000, 10)}, kNow);
  const auto fresh = board.TakeFresh(kNow);
  ASSERT_EQ(fresh.size(), 1U);
  EXPECT_EQ(fresh[0].latency_us, 150'000U);
}

TEST(ShareLoadsTest, ManyHostsShareSeldom) {
  EXPECT_EQ(ShareLoadsEvery(9), milliseconds{100});
  EXPECT_EQ(ShareLoadsEvery(1400), milliseconds{2100});
}

class ToldHealthTest : public ::testing::Test {
 protected:
  /// Expected latency of a target of six slots with a mean of 100 ms.
  duration Expected(const told_load& load, duration age) {
    target_health health(6, milliseconds{100});
    health.OnTold(load, kNow - age, milliseconds{100});
    return health.ExpectedLatency(kNow);
  }
};

TEST_F(ToldHealthTest, QueueAtATargetLengthensItsAnswers) {
  EXPECT_EQ(Expected({.running = 5}, milliseconds{0}), milliseconds{100});
  EXPECT_EQ(Expected({.running = 6, .waiting = 5}, milliseconds{0}),
            milliseconds{200});
}

TEST_F(ToldHealthTest, SlownessCountsWhileItIsFresh) {
  const told_load slowed{.slowness = 3.0};
  const duration fresh = Expected(slowed, milliseconds{0});
  const duration older = Expected(slowed, milliseconds{200});
  EXPECT_GT(fresh, milliseconds{250});
  EXPECT_LT(older, fresh);
  EXPECT_GT(older, milliseconds{100});
}

TEST_F(ToldHealthTest, StaleLoadIsLeftAside) {
  EXPECT_EQ(Expected({.running = 6, .waiting = 24}, seconds{2}),
            milliseconds{100});
}

// Guards against a target that goes on being chosen by what it told before it
// froze.
TEST_F(ToldHealthTest, FrozenTargetIsKnownByItsOldestRequest) {
  target_health health(6, milliseconds{100});
  health.OnSent(kNow - milliseconds{700});
  health.OnTold({}, kNow, milliseconds{100});
  EXPECT_GE(health.ExpectedLatency(kNow), milliseconds{700});
}

TEST_F(ToldHealthTest, OwnRequestsSinceTheWordCount) {
  target_health health(6, milliseconds{100});
  health.OnTold({.running = 6}, kNow - milliseconds{50}, milliseconds{100});
  const duration before = health.ExpectedLatency(kNow);
  health.OnSent(kNow);
  EXPECT_GT(health.ExpectedLatency(kNow), before);
}

class ServiceLimitTest : public ::testing::Test {
 protected:
  ServiceLimitTest() { limit_.SetShare(60.0, 10); }

  void Answer(int times, double load, int in_flight) {
    for (int i = 0; i < times; ++i) {
      limit_.OnAnswer({.load = load,
                       .took = milliseconds{300},
                       .objective = milliseconds{600}},
                      in_flight);
    }
  }

  service_limit limit_;
};

TEST_F(ServiceLimitTest, UntoldLoadsAreNotLimited) {
  EXPECT_TRUE(limit_.HasRoom(1000));
}

TEST_F(ServiceLimitTest, QueuesAtTheTargetsShrinkItToHalfTheShare) {
  Answer(500, 4.0, 20);
  EXPECT_FALSE(limit_.HasRoom(3));
  EXPECT_TRUE(limit_.HasRoom(2));
}

// Guards against a limit that refuses work which a short queue would still
// answer in time.
TEST_F(ServiceLimitTest, QueueThatLeavesTimeIsAllowed) {
  Answer(500, 1.0, 20);
  const double before = limit_.limit();
  Answer(500, 1.5, 20);
  EXPECT_EQ(limit_.limit(), before);
}

// Guards against rejections, which come at once, that are taken for fast work.
TEST_F(ServiceLimitTest, RejectionsSayNothingOfHowLongWorkTakes) {
  Answer(500, 1.0, 20);
  for (int i = 0; i < 500; ++i) {
    limit_.OnAnswer({.load = 1.0,
                     .served = false,
                     .took = milliseconds{1},
                     .objective = milliseconds{600}},
                    20);
  }
  const double before = limit_.limit();
  Answer(500, 2.5, 20);
  EXPECT_LT(limit_.limit(), before);
}

// Guards against a limit that stays low when the load is over.
TEST_F(ServiceLimitTest, FreeTargetsLetItGrowAgain) {
  Answer(500, 4.0, 20);
  for (int i = 0; i < 500; ++i) {
    Answer(1, 0.5, static_cast<int>(limit_.limit()));
  }
  EXPECT_TRUE(limit_.HasRoom(20));
}

// Guards against a burst after a calm in which the limit was never reached.
TEST_F(ServiceLimitTest, LimitThatIsNotReachedStands) {
  Answer(500, 4.0, 20);
  Answer(50, 0.1, 0);
  const double before = limit_.limit();
  Answer(500, 0.1, 0);
  EXPECT_EQ(limit_.limit(), before);
}

}  // namespace
}  // namespace foxtailspread
