#include "foxtailspread/key_load.h"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

constexpr duration kStep{milliseconds{250}};
constexpr double kStepsASecond = 4.0;
/// Sixty-four neighbouring keys.
constexpr uint32_t kHotFirst = 32000;
constexpr uint32_t kHotLast = 32063;

class KeyLoadTest : public ::testing::Test {
 protected:
  KeyLoadTest() { load_.Average(now_); }

  /// Counts requests at `rate` a second over all keys, by chance, and
  /// `hot_rate` over the hot keys besides; averages once.
  void Step(double rate, double hot_rate) {
    Count(rate, 0, kKeys - 1);
    Count(hot_rate, kHotFirst, kHotLast);
    now_ += kStep;
    EXPECT_TRUE(load_.Average(now_));
  }

  void Count(double rate, uint32_t first, uint32_t last) {
    std::poisson_distribution<int> count(rate / kStepsASecond);
    std::uniform_int_distribution<uint32_t> key(first, last);
    for (int left = rate > 0.0 ? count(random_) : 0; left > 0; --left) {
      load_.Add(key(random_), 1);
    }
  }

  double RecentOfHotKeys() const {
    const key_loads loads = load_.recent();
    return std::accumulate(loads.begin() + kHotFirst,
                           loads.begin() + kHotLast + 1, 0.0);
  }

  key_load load_;
  std::mt19937_64 random_{7};
  time_point now_{std::chrono::seconds{100}};
};

// Some neighbouring keys get a third of all requests from one moment to the
// next. A mean that takes seconds to follow moves a part of them at a time,
// and callers wait for an owner that is overloaded meanwhile.
TEST_F(KeyLoadTest, KeysThatJumpAreSeenWithTheFirstCount) {
  for (int i = 0; i < 40; ++i) {
    Step(300.0, 0.0);
  }
  Step(300.0, 150.0);
  EXPECT_GT(RecentOfHotKeys(), 100.0);
}

TEST_F(KeyLoadTest, ChanceAloneIsNoJump) {
  for (int i = 0; i < 40; ++i) {
    Step(300.0, 0.0);
  }
  for (int i = 0; i < 400; ++i) {
    Step(300.0, 0.0);
    EXPECT_LT(RecentOfHotKeys(), 8.0) << i;
  }
}

TEST_F(KeyLoadTest, SteadyLoadForgetsChance) {
  for (int i = 0; i < 200; ++i) {
    Step(300.0, 40.0);
  }
  const key_loads loads = load_.steady();
  const double hot = std::accumulate(loads.begin() + kHotFirst,
                                     loads.begin() + kHotLast + 1, 0.0);
  EXPECT_NEAR(hot, 40.0, 10.0);
}

TEST_F(KeyLoadTest, KeysOutOfRangeAreLeftOut) {
  load_.Add(kKeys, 5);
  now_ += kStep;
  EXPECT_TRUE(load_.Average(now_));
  EXPECT_EQ(load_.recent().size(), kKeys);
}

TEST_F(KeyLoadTest, CountsWaitUntilEnoughTimeHasPassed) {
  load_.Add(kHotFirst, 5);
  EXPECT_FALSE(load_.Average(now_ + kStep / 2));
  EXPECT_TRUE(load_.Average(now_ + kStep));
  EXPECT_GT(RecentOfHotKeys(), 0.0);
}

}  // namespace
}  // namespace foxtailspread
