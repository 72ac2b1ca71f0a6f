#include "foxtailspread/service_limit.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Added for each limit's worth of answers from targets without a queue.
/// Weight of one answer in the mean load: the last second of a host's answers.
constexpr double kLoadWeight = 0.1;
/// Weight of one answer in the time that answers take without a queue.
constexpr double kUnqueuedWeight = 0.05;
/// The part of the time to the objective that may pass in a target's queue;
/// answers take now more and now less than the mean.
constexpr double kQueuePart = 0.6;
/// Bounds of the mean load. Targets need a short queue to be busy all the time.
constexpr double kLeastMostLoad = 1.2;
constexpr double kMostMostLoad = 3.0;
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

double service_limit::MostLoad(duration objective) const {
  if (unqueued_ <= duration{0}) {
    return kMostMostLoad;
  }
  const double room = std::chrono::duration<double>(objective) /
                          std::chrono::duration<double>(unqueued_) -
                      1.0;
  return std::clamp(1.0 + kQueuePart * room, kLeastMostLoad, kMostMostLoad);
}

void service_limit::OnAnswer(const told_answer& answer, int in_flight) {
  is_told_ = true;
  mean_load_ += kLoadWeight * (answer.load - mean_load_);
  if (answer.served && answer.load <= 1.0) {
    unqueued_ =
        unqueued_ == duration{0}
            ? answer.took
            : unqueued_ + Part(answer.took - unqueued_, kUnqueuedWeight);
  }
  const double excess = mean_load_ - MostLoad(answer.objective);
  if (excess > 0.0) {
    const double part = std::min(kMostDecrease, kDecrease * excess);
    limit_ = std::max(least_, limit_ * (1.0 - part));
  } else if (in_flight + 1 >= limit_ / 2) {
    // A limit that is not reached says nothing of what the targets can do.
    limit_ = std::min(most_, limit_ + kIncrease / limit_);
  }
}

}  // namespace foxtailspread
