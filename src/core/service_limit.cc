#include "foxtailspread/service_limit.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Added for each limit's worth of answers from targets without a queue.
/// Weight of one answer in the mean load: the last second of a host's answers.
constexpr double kLoadWeight = 0.1;
/// Requests at a target for each slot, on the mean, above which the limit
/// shrinks. Targets need a short queue to be busy all the time.
constexpr double kMostLoad = 1.2;
/// Added for each limit's worth of answers.
constexpr double kIncrease = 1.0;
/// Part of the limit that is taken away for each answer, times the excess.
constexpr double kDecrease = 0.2;
constexpr double kMostDecrease = 0.2;

/// Bounds, as parts of a host's share of the slots: hosts get unlike parts of
/// the traffic.
constexpr double kLeastPart = 0.5;
constexpr double kMostPart = 4.0;

}  // namespace

void service_limit::SetShare(double slots, size_t hosts) {
  const double share = slots / static_cast<double>(std::max<size_t>(hosts, 1));
  least_ = std::max(1.0, share * kLeastPart);
  most_ = std::max(least_, share * kMostPart);
  limit_ = limit_ == 0.0 ? most_ : std::clamp(limit_, least_, most_);
}

void service_limit::OnAnswer(double load, int in_flight) {
  is_told_ = true;
  mean_load_ += kLoadWeight * (load - mean_load_);
  const double excess = mean_load_ - kMostLoad;
  if (excess > 0.0) {
    const double part = std::min(kMostDecrease, kDecrease * excess);
    limit_ = std::max(least_, limit_ * (1.0 - part));
  } else if (in_flight + 1 >= limit_ / 2) {
    // A limit that is not reached says nothing of what the targets can do.
    limit_ = std::min(most_, limit_ + kIncrease / limit_);
  }
}

}  // namespace foxtailspread
