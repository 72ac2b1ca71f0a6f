#include "foxtailspread/load/caller_age.h"

#include <algorithm>

#include "foxtailspread/load/return_schedule.h"

namespace foxtailspread {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Tries from which ages are known, and after which the older ones count half.
constexpr uint32_t kFewestTries = 20;
constexpr uint32_t kMostTries = 400;

/// The part of the tries that must state the same time, the longest one, for it
/// to be that of first tries. Refused callers return once or twice, some of
/// them five times.
constexpr double kFirstTryPart = 0.25;

/// First tries that state more than all others are another caller's habit.
constexpr uint32_t kFewLonger = 20;

}  // namespace

std::optional<duration> caller_age::OnTry(duration time_left) {
  const int64_t left = duration_cast<milliseconds>(time_left).count();
  ++counts_[left];
  if (++total_ > kMostTries) {
    Forget();
  }
  if (total_ < kFewestTries) {
    return std::nullopt;
  }
  const auto most = std::max_element(
      counts_.begin(), counts_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  uint32_t longer = 0;
  for (auto each = std::next(most); each != counts_.end(); ++each) {
    longer += each->second;
  }
  if (most->second < total_ * kFirstTryPart || longer * kFewLonger > total_) {
    return std::nullopt;
  }
  return std::max<duration>(milliseconds{most->first - left}, duration{0});
}

void caller_age::Forget() {
  total_ = 0;
  for (auto& [left, count] : counts_) {
    count /= 2;
    total_ += count;
  }
  std::erase_if(counts_, [](const auto& each) { return each.second == 0; });
}

bool IsEarlyRepeat(duration age) {
  return age > duration{0} && age < return_schedule::kMinReturn;
}

}  // namespace foxtailspread
