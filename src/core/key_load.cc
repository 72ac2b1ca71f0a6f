#include "foxtailspread/key_load.h"

#include <algorithm>
#include <cmath>

namespace foxtailspread {
namespace {

/// How often counts are averaged: as often as hosts report them.
constexpr duration kAverageEvery{std::chrono::milliseconds{250}};

/// Neighbouring keys that are looked at together for a jump: a single key has
/// too few requests in a quarter of a second to tell one from chance.
constexpr size_t kBlockKeys = 512;
/// A block has jumped if its count is this many standard deviations, and this
/// many requests besides, above what was expected. By chance that comes once in
/// many thousands of counts.
constexpr double kJumpDeviations = 3.0;
constexpr double kJumpLeast = 4.0;

}  // namespace

void key_load::Add(uint32_t key, uint32_t count) {
  counts_.resize(kKeys, 0);
  if (key < kKeys) {
    counts_[key] += count;
  }
}

double key_load::ExpectedOf(size_t block, double seconds) const {
  double rate = 0.0;
  for (size_t key = block * kBlockKeys; key < (block + 1) * kBlockKeys; ++key) {
    rate += recent_[key];
  }
  return rate * seconds;
}

bool key_load::HasJumped(size_t block, double seconds) const {
  double seen = 0.0;
  for (size_t key = block * kBlockKeys; key < (block + 1) * kBlockKeys; ++key) {
    seen += counts_[key];
  }
  const double expected = ExpectedOf(block, seconds);
  return seen > expected + kJumpDeviations * std::sqrt(expected) + kJumpLeast;
}

bool key_load::Average(time_point now) {
  if (counted_from_ == time_point{}) {
    counted_from_ = now;
  }
  const duration passed = now - counted_from_;
  if (passed < kAverageEvery) {
    return false;
  }
  recent_.resize(kKeys, 0.0);
  steady_.resize(kKeys, 0.0);
  counts_.resize(kKeys, 0);
  const double seconds = std::chrono::duration<double>(passed).count();
  const auto weight = [&](duration time) {
    return 1.0 - std::exp(-std::chrono::duration<double>(passed) /
                          std::chrono::duration<double>(time));
  };
  const double quick = weight(kRecentTime);
  const double slow = weight(kSteadyTime);
  for (size_t block = 0; block < kKeys / kBlockKeys; ++block) {
    // What such a block had before says nothing of what it has now.
    const double newest = HasJumped(block, seconds) ? 1.0 : quick;
    for (size_t key = block * kBlockKeys; key < (block + 1) * kBlockKeys;
         ++key) {
      const double rate = counts_[key] / seconds;
      recent_[key] += newest * (rate - recent_[key]);
      steady_[key] += slow * (rate - steady_[key]);
      counts_[key] = 0;
    }
  }
  counted_from_ = now;
  return true;
}

}  // namespace foxtailspread
