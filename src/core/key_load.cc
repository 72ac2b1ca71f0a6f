#include "foxtailspread/key_load.h"

#include <algorithm>
#include <cmath>

namespace foxtailspread {
namespace {

/// Time between two updates of the averages: the period at which hosts report
/// their counts.
constexpr duration kAveragePeriod{std::chrono::milliseconds{250}};

/// Number of neighbouring keys that are checked together for a jump in load: a
/// single key has too few requests in a quarter of a second to tell a jump from
/// random variation.
constexpr size_t kKeysPerBlock = 512;
/// The load of a block has jumped if its count exceeds the expected one by more
/// than this many standard deviations plus this many requests. Random variation
/// alone causes that once in many thousands of counts.
constexpr double kJumpDeviations = 3.0;
constexpr double kMinJumpRequests = 4.0;

}  // namespace

void key_load::Add(uint32_t key, uint32_t count) {
  counts_.resize(kKeyCount, 0);
  if (key < kKeyCount) {
    counts_[key] += count;
  }
}

double key_load::ExpectedCount(size_t block, double seconds) const {
  double rate = 0.0;
  for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
       ++key) {
    rate += recent_rates_[key];
  }
  return rate * seconds;
}

bool key_load::HasJumped(size_t block, double seconds) const {
  double counted = 0.0;
  for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
       ++key) {
    counted += counts_[key];
  }
  const double expected = ExpectedCount(block, seconds);
  return counted >
         expected + kJumpDeviations * std::sqrt(expected) + kMinJumpRequests;
}

bool key_load::UpdateAverages(time_point now) {
  if (count_start_ == time_point{}) {
    count_start_ = now;
  }
  const duration elapsed = now - count_start_;
  if (elapsed < kAveragePeriod) {
    return false;
  }
  recent_rates_.resize(kKeyCount, 0.0);
  steady_rates_.resize(kKeyCount, 0.0);
  counts_.resize(kKeyCount, 0);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto update_weight = [&](duration time_constant) {
    return 1.0 - std::exp(-std::chrono::duration<double>(elapsed) /
                          std::chrono::duration<double>(time_constant));
  };
  const double recent_weight = update_weight(kRecentTimeConstant);
  const double steady_weight = update_weight(kSteadyTimeConstant);
  for (size_t block = 0; block < kKeyCount / kKeysPerBlock; ++block) {
    // After a jump the earlier rates of a block say nothing about the present
    // ones, so the new rates replace them.
    const double block_weight = HasJumped(block, seconds) ? 1.0 : recent_weight;
    for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
         ++key) {
      const double rate = counts_[key] / seconds;
      recent_rates_[key] += block_weight * (rate - recent_rates_[key]);
      steady_rates_[key] += steady_weight * (rate - steady_rates_[key]);
      counts_[key] = 0;
    }
  }
  count_start_ = now;
  return true;
}

}  // namespace foxtailspread
