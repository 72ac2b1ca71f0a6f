// Tests of the load that targets report: how hosts merge and age it, and how it
// sets expected latencies and limits.

#include "foxtailspread/reported_load.h"

#include <gtest/gtest.h>

#include "foxtailspread/service_limit.h"
#include "foxtailspread/target_health.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds{100}};

load_sample MakeSample(int running, uint32_t age_ms, uint32_t latency_us = 0,
                       uint32_t served = 0) {
  return {.target = 7,
          .load = {.running = running},
          .age_ms = age_ms,
          .latency_us = latency_us,
          .served = served};
}

TEST(LoadAggregatorTest, NewestSampleOfATargetIsKept) {
  load_aggregator aggregator;
  aggregator.Add(std::vector{MakeSample(5, 10), MakeSample(2, 90)}, kNow);
  const auto fresh = aggregator.TakeFresh(kNow + milliseconds{20});
  ASSERT_EQ(fresh.size(), 1U);
  EXPECT_EQ(fresh[0].load.running, 5);
  EXPECT_EQ(fresh[0].age_ms, 30U);
}

TEST(LoadAggregatorTest, SamplesAreReturnedOnce) {
  load_aggregator aggregator;
  aggregator.Add(std::vector{MakeSample(5, 10)}, kNow);
  EXPECT_EQ(aggregator.TakeFresh(kNow).size(), 1U);
  EXPECT_TRUE(aggregator.TakeFresh(kNow).empty());
  aggregator.Add(std::vector{MakeSample(5, 20)}, kNow);
  EXPECT_TRUE(aggregator.TakeFresh(kNow).empty());
}

TEST(LoadAggregatorTest, LatencyIsTheMeanOverAllHosts) {
  load_aggregator aggregator;
  aggregator.Add(std::vector{MakeSample(1, 9, 100'000, 10)}, kNow);
  aggregator.Add(std::vector{MakeSample(1, 8, 300'000, 10)}, kNow);
  const auto fresh = aggregator.TakeFresh(kNow);
  ASSERT_EQ(fresh.size(), 1U);
  EXPECT_EQ(fresh[0].latency_us, 150'000U);
}

TEST(LoadSharingPeriodTest, PeriodGrowsWithTheNumberOfHosts) {
  EXPECT_EQ(LoadSharingPeriod(9), milliseconds{100});
  EXPECT_EQ(LoadSharingPeriod(1400), milliseconds{2100});
}

class ReportedLoadTest : public ::testing::Test {
 protected:
  /// Returns the expected latency of a target with six slots and a mean latency
  /// of 100 ms that reported `load` the time `age` ago.
  duration ExpectedLatency(const reported_load& load, duration age) {
    target_health health(6, milliseconds{100});
    health.OnLoadReport(load, kNow - age, milliseconds{100});
    return health.ExpectedLatency(kNow);
  }
};

TEST_F(ReportedLoadTest, QueueRaisesTheExpectedLatency) {
  EXPECT_EQ(ExpectedLatency({.running = 5}, milliseconds{0}),
            milliseconds{100});
  EXPECT_EQ(ExpectedLatency({.running = 6, .waiting = 5}, milliseconds{0}),
            milliseconds{200});
}

TEST_F(ReportedLoadTest, SlownessLosesWeightWithItsAge) {
  const reported_load slow_load{.slowness = 3.0};
  const duration fresh_latency = ExpectedLatency(slow_load, milliseconds{0});
  const duration older_latency = ExpectedLatency(slow_load, milliseconds{200});
  EXPECT_GT(fresh_latency, milliseconds{250});
  EXPECT_LT(older_latency, fresh_latency);
  EXPECT_GT(older_latency, milliseconds{100});
}

TEST_F(ReportedLoadTest, StaleLoadIsIgnored) {
  EXPECT_EQ(ExpectedLatency({.running = 6, .waiting = 24}, seconds{2}),
            milliseconds{100});
}

// Guards against a frozen target that is still chosen because of the load that
// it reported before it froze.
TEST_F(ReportedLoadTest, OldestRequestInFlightRevealsAFrozenTarget) {
  target_health health(6, milliseconds{100});
  health.OnSent(kNow - milliseconds{700});
  health.OnLoadReport({}, kNow, milliseconds{100});
  EXPECT_GE(health.ExpectedLatency(kNow), milliseconds{700});
}

TEST_F(ReportedLoadTest, OwnRequestsSinceTheReportCount) {
  target_health health(6, milliseconds{100});
  health.OnLoadReport({.running = 6}, kNow - milliseconds{50},
                      milliseconds{100});
  const duration latency_before = health.ExpectedLatency(kNow);
  health.OnSent(kNow);
  EXPECT_GT(health.ExpectedLatency(kNow), latency_before);
}

class ServiceLimitTest : public ::testing::Test {
 protected:
  ServiceLimitTest() { limit_.SetCapacity(60.0, 10); }

  /// Delivers responses that report `load` requests per slot.
  void Respond(int response_count, double load, int in_flight) {
    for (int i = 0; i < response_count; ++i) {
      limit_.OnResponse({.load_per_slot = load,
                         .latency = milliseconds{300},
                         .objective = milliseconds{600}},
                        in_flight);
    }
  }

  service_limit limit_;
};

TEST_F(ServiceLimitTest, UnlimitedBeforeTheFirstReport) {
  EXPECT_TRUE(limit_.HasCapacity(1000));
}

TEST_F(ServiceLimitTest, QueuesAtTheTargetsReduceTheLimitToHalfTheShare) {
  Respond(500, 4.0, 20);
  EXPECT_FALSE(limit_.HasCapacity(3));
  EXPECT_TRUE(limit_.HasCapacity(2));
}

// Guards against a limit that rejects requests although a short queue at the
// targets would still let them be answered in time.
TEST_F(ServiceLimitTest, QueueWithinTheObjectiveKeepsTheLimit) {
  Respond(500, 1.0, 20);
  const double limit_before = limit_.limit();
  Respond(500, 1.5, 20);
  EXPECT_EQ(limit_.limit(), limit_before);
}

// Guards against counting rejections, which arrive at once, as fast responses
// in the unqueued latency.
TEST_F(ServiceLimitTest, RejectionsDoNotCountAsFastResponses) {
  Respond(500, 1.0, 20);
  for (int i = 0; i < 500; ++i) {
    limit_.OnResponse({.load_per_slot = 1.0,
                       .served = false,
                       .latency = milliseconds{1},
                       .objective = milliseconds{600}},
                      20);
  }
  const double limit_before = limit_.limit();
  Respond(500, 2.5, 20);
  EXPECT_LT(limit_.limit(), limit_before);
}

// Guards against a limit that stays low after an overload.
TEST_F(ServiceLimitTest, FreeTargetsRaiseTheLimitAgain) {
  Respond(500, 4.0, 20);
  for (int i = 0; i < 500; ++i) {
    Respond(1, 0.5, static_cast<int>(limit_.limit()));
  }
  EXPECT_TRUE(limit_.HasCapacity(20));
}

// Guards against a burst of requests after a period of light load: a limit that
// is not reached must not grow meanwhile.
TEST_F(ServiceLimitTest, LimitThatIsNotReachedStaysUnchanged) {
  Respond(500, 4.0, 20);
  Respond(50, 0.1, 0);
  const double limit_before = limit_.limit();
  Respond(500, 0.1, 0);
  EXPECT_EQ(limit_.limit(), limit_before);
}

}  // namespace
}  // namespace foxtailspread
