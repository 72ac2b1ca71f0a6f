#include "foxtailspread/service_limit.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Weight of one response in the mean load, which covers about the last second
/// of a host's responses.
constexpr double kLoadWeight = 0.1;
/// Weight of one response in the mean latency without a queue.
constexpr double kUnqueuedWeight = 0.05;
/// Fraction of the time between the unqueued latency and the objective that a
/// request may spend in a target's queue. The rest allows for variation of the
/// latency around its mean.
constexpr double kQueueFraction = 0.6;
/// Bounds of the load threshold. It exceeds 1 because targets need a short
/// queue to be busy all the time.
constexpr double kMinLoadThreshold = 1.2;
constexpr double kMaxLoadThreshold = 3.0;
/// Increase of the limit per `limit_` responses.
constexpr double kIncrease = 1.0;
/// Decrease per response, as a fraction of the limit: kDecreaseFactor times the
/// load above the threshold, at most kMaxDecreaseFraction.
constexpr double kDecreaseFactor = 0.2;
constexpr double kMaxDecreaseFraction = 0.2;

/// Bounds of the limit, as multiples of a host's equal share of the slots. They
/// differ because hosts receive unequal parts of the traffic.
constexpr double kMinShareMultiple = 0.5;
constexpr double kMaxShareMultiple = 4.0;

}  // namespace

void service_limit::SetCapacity(double total_slots, size_t host_count) {
  const double share =
      total_slots / static_cast<double>(std::max<size_t>(host_count, 1));
  min_limit_ = std::max(1.0, share * kMinShareMultiple);
  max_limit_ = std::max(min_limit_, share * kMaxShareMultiple);
  limit_ =
      limit_ == 0.0 ? max_limit_ : std::clamp(limit_, min_limit_, max_limit_);
}

double service_limit::LoadThreshold(duration objective) const {
  if (unqueued_latency_ <= duration{0}) {
    return kMaxLoadThreshold;
  }
  const double relative_slack =
      std::chrono::duration<double>(objective) /
          std::chrono::duration<double>(unqueued_latency_) -
      1.0;
  return std::clamp(1.0 + kQueueFraction * relative_slack, kMinLoadThreshold,
                    kMaxLoadThreshold);
}

void service_limit::OnResponse(const response_sample& response, int in_flight) {
  has_load_reports_ = true;
  mean_load_ += kLoadWeight * (response.load_per_slot - mean_load_);
  if (response.served && response.load_per_slot <= 1.0) {
    unqueued_latency_ =
        unqueued_latency_ == duration{0}
            ? response.latency
            : unqueued_latency_ +
                  Part(response.latency - unqueued_latency_, kUnqueuedWeight);
  }
  const double excess = mean_load_ - LoadThreshold(response.objective);
  if (excess > 0.0) {
    const double decrease_fraction =
        std::min(kMaxDecreaseFraction, kDecreaseFactor * excess);
    limit_ = std::max(min_limit_, limit_ * (1.0 - decrease_fraction));
  } else if (in_flight + 1 >= limit_ / 2) {
    // A limit that is not reached does not show what the targets can handle.
    limit_ = std::min(max_limit_, limit_ + kIncrease / limit_);
  }
}

}  // namespace foxtailspread
