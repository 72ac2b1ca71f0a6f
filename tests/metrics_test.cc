#include "foxtailspread/metrics.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::microseconds;

TEST(LatencySummaryTest, QuantilesOfAnEvenSpreadAreClose) {
  latency_summary summary;
  // 7919 is coprime to 10000, so every value from 0 to 9999 comes once.
  for (int i = 0; i < 10'000; ++i) {
    summary.Add(microseconds(i * 7919 % 10'000));
  }
  EXPECT_EQ(summary.count(), 10'000U);
  EXPECT_NEAR(summary.mean().count(), 5000, 1);
  EXPECT_NEAR(summary.p50().count(), 5000, 100);
  EXPECT_NEAR(summary.p99().count(), 9900, 50);
  EXPECT_EQ(summary.max().count(), 9999);
}

TEST(LatencySummaryTest, FewSamplesGiveTheLargest) {
  latency_summary summary;
  EXPECT_EQ(summary.p99(), duration{});
  summary.Add(microseconds(3));
  summary.Add(microseconds(8));
  EXPECT_EQ(summary.p99(), microseconds(8));
}

TEST(MetricRegistryTest, OrganisationSeesOnlyItsOwnSeries) {
  metric_registry metrics;
  metrics.Count("refused", "shop-a", 2);
  metrics.Count("refused", "shop-b");
  metrics.Count("platform_calls");
  metrics.AddLatency("latency", microseconds(5), "shop-b");
  EXPECT_EQ(metrics.TextFor("shop-a"), "refused{organisation=\"shop-a\"} 2\n");
  EXPECT_EQ(metrics.JsonFor("shop-a")["counters"].size(), 1U);
  EXPECT_EQ(metrics.TextFor(""), "");
  EXPECT_EQ(metrics.JsonForOperators()["counters"].size(), 3U);
  EXPECT_EQ(metrics.JsonForOperators()["latencies"][0]["p99_us"], 5);
}

// A name built from a request's input grows without end. Unbounded, the host
// would run out of its 256 MB after some days.
TEST(MetricRegistryTest, SeriesBeyondTheBoundShareOne) {
  metric_registry metrics(2);
  for (int i = 0; i < 100; ++i) {
    metrics.Count("key-" + std::to_string(i));
  }
  EXPECT_EQ(metrics.CounterValue("key-1"), 1U);
  EXPECT_EQ(metrics.CounterValue("key-50"), 0U);
  EXPECT_EQ(metrics.CounterValue("overflow"), 98U);
}

}  // namespace
}  // namespace foxtailspread
