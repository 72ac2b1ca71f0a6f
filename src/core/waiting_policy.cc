#include "foxtailspread/waiting_policy.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Parts of the objective. The least wait gives a target that is slow, or was
/// slow of late, a chance to show that it has recovered.
constexpr double kMostWaitPart = 0.75;
constexpr double kLeastWaitPart = 0.25;
/// A queue in which a request waited for this part stands.
constexpr double kStandingPart = 0.125;

/// A queue in which nobody was refused for so many objectives is not
/// overloaded.
constexpr double kOverloadPart = 2.0;
/// When a caller should come again that met an overloaded queue, as a part of
/// its objective.
constexpr double kOverloadRetryPart = 0.25;

}  // namespace

duration OverloadTime(duration objective) {
  return Part(objective, kOverloadPart);
}

duration RetryAfterOverload(duration objective) {
  return Part(objective, kOverloadRetryPart);
}

duration MostWait(duration objective, duration likely_latency) {
  return std::clamp(objective - likely_latency, Part(objective, kLeastWaitPart),
                    Part(objective, kMostWaitPart));
}

bool GoesNewestFirst(duration oldest_wait, duration objective) {
  return oldest_wait > Part(objective, kStandingPart);
}

}  // namespace foxtailspread
