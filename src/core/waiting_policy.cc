#include "foxtailspread/waiting_policy.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Bounds of the maximum wait, as fractions of the objective. The lower bound
/// lets a target that is slow, or was slow recently, show that it has
/// recovered.
constexpr double kMaxWaitFraction = 0.75;
constexpr double kMinWaitFraction = 0.25;
/// A queue whose oldest request has waited longer than this fraction of the
/// objective does not drain.
constexpr double kStandingQueueFraction = 0.125;

/// How long a queue counts as overloaded after its last refusal, as a multiple
/// of the objective.
constexpr double kOverloadMultiple = 2.0;
/// When a caller that an overloaded queue refused should retry, as a fraction
/// of its objective.
constexpr double kOverloadRetryFraction = 0.25;

}  // namespace

duration OverloadDuration(duration objective) {
  return Part(objective, kOverloadMultiple);
}

duration RetryAfterOverload(duration objective) {
  return Part(objective, kOverloadRetryFraction);
}

duration MaxWait(duration objective, duration likely_latency) {
  return std::clamp(objective - likely_latency,
                    Part(objective, kMinWaitFraction),
                    Part(objective, kMaxWaitFraction));
}

bool ShouldSendNewestFirst(duration oldest_wait, duration objective) {
  return oldest_wait > Part(objective, kStandingQueueFraction);
}

}  // namespace foxtailspread
