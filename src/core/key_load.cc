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
  counts_.resize(kKeys, 0);
  if (key < kKeys) {
    counts_[key] += count;
  }
}

double key_load::ExpectedOf(size_t block, double seconds) const {
  double rate = 0.0;
  for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
       ++key) {
    rate += recent_[key];
  }
  return rate * seconds;
}

bool key_load::HasJumped(size_t block, double seconds) const {
  double counted = 0.0;
  for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
       ++key) {
    counted += counts_[key];
  }
  const double expected = ExpectedOf(block, seconds);
  return counted >
         expected + kJumpDeviations * std::sqrt(expected) + kMinJumpRequests;
}

bool key_load::Average(time_point now) {
  if (counted_from_ == time_point{}) {
    counted_from_ = now;
  }
  const duration elapsed = now - counted_from_;
  if (elapsed < kAveragePeriod) {
    return false;
  }
  recent_.resize(kKeys, 0.0);
  steady_.resize(kKeys, 0.0);
  counts_.resize(kKeys, 0);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto update_weight = [&](duration time_constant) {
    return 1.0 - std::exp(-std::chrono::duration<double>(elapsed) /
                          std::chrono::duration<double>(time_constant));
  };
  const double recent_weight = update_weight(kRecentTime);
  const double steady_weight = update_weight(kSteadyTime);
  for (size_t block = 0; block < kKeys / kKeysPerBlock; ++block) {
    // After a jump the earlier rates of a block say nothing about the present
    // ones, so the new rates replace them.
    const double block_weight = HasJumped(block, seconds) ? 1.0 : recent_weight;
    for (size_t key = block * kKeysPerBlock; key < (block + 1) * kKeysPerBlock;
         ++key) {
      const double rate = counts_[key] / seconds;
      recent_[key] += block_weight * (rate - recent_[key]);
      steady_[key] += steady_weight * (rate - steady_[key]);
      counts_[key] = 0;
    }
  }
  counted_from_ = now;
  return true;
}

}  // namespace foxtailspread
