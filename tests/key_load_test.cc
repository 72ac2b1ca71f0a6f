#include "foxtailspread/key_load.h"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

constexpr duration kCountPeriod{milliseconds{250}};
constexpr double kPeriodsPerSecond = 4.0;
/// The hot keys: sixty-four neighbouring ones.
constexpr uint32_t kHotFirst = 32000;
constexpr uint32_t kHotLast = 32063;

class KeyLoadTest : public ::testing::Test {
 protected:
  KeyLoadTest() { load_.UpdateAverages(now_); }

  /// Counts requests of one period and updates the averages once. Adds random
  /// requests at `rate` per second over all keys and at `hot_rate` over the hot
  /// keys.
  void RunPeriod(double rate, double hot_rate) {
    CountRequests(rate, 0, kKeyCount - 1);
    CountRequests(hot_rate, kHotFirst, kHotLast);
    now_ += kCountPeriod;
    EXPECT_TRUE(load_.UpdateAverages(now_));
  }

  void CountRequests(double rate, uint32_t first, uint32_t last) {
    std::poisson_distribution<int> count(rate / kPeriodsPerSecond);
    std::uniform_int_distribution<uint32_t> key(first, last);
    for (int left = rate > 0.0 ? count(random_) : 0; left > 0; --left) {
      load_.Add(key(random_), 1);
    }
  }

  double RecentHotKeyRate() const {
    const key_loads loads = load_.recent_rates();
    return std::accumulate(loads.begin() + kHotFirst,
                           loads.begin() + kHotLast + 1, 0.0);
  }

  key_load load_;
  std::mt19937_64 random_{7};
  time_point now_{std::chrono::seconds{100}};
};

// Some neighbouring keys suddenly get a third of all requests. If the average
// follows only over seconds, the keys are moved a part at a time, and meanwhile
// callers wait for an overloaded owner.
TEST_F(KeyLoadTest, JumpInLoadIsDetectedWithTheFirstCount) {
  for (int i = 0; i < 40; ++i) {
    RunPeriod(300.0, 0.0);
  }
  RunPeriod(300.0, 150.0);
  EXPECT_GT(RecentHotKeyRate(), 100.0);
}

TEST_F(KeyLoadTest, RandomVariationIsNotAJump) {
  for (int i = 0; i < 40; ++i) {
    RunPeriod(300.0, 0.0);
  }
  for (int i = 0; i < 400; ++i) {
    RunPeriod(300.0, 0.0);
    EXPECT_LT(RecentHotKeyRate(), 8.0) << "period " << i;
  }
}

TEST_F(KeyLoadTest, SteadyRateAveragesOutRandomVariation) {
  for (int i = 0; i < 200; ++i) {
    RunPeriod(300.0, 40.0);
  }
  const key_loads loads = load_.steady_rates();
  const double hot_rate = std::accumulate(loads.begin() + kHotFirst,
                                          loads.begin() + kHotLast + 1, 0.0);
  EXPECT_NEAR(hot_rate, 40.0, 10.0);
}

TEST_F(KeyLoadTest, KeysOutOfRangeAreIgnored) {
  load_.Add(kKeyCount, 5);
  now_ += kCountPeriod;
  EXPECT_TRUE(load_.UpdateAverages(now_));
  EXPECT_EQ(load_.recent_rates().size(), kKeyCount);
}

TEST_F(KeyLoadTest, CountsAreAveragedOnlyAfterAFullPeriod) {
  load_.Add(kHotFirst, 5);
  EXPECT_FALSE(load_.UpdateAverages(now_ + kCountPeriod / 2));
  EXPECT_TRUE(load_.UpdateAverages(now_ + kCountPeriod));
  EXPECT_GT(RecentHotKeyRate(), 0.0);
}

}  // namespace
}  // namespace foxtailspread
