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

/// A line in which nobody was refused for so many objectives is not overrun.
constexpr double kOverrunPart = 2.0;
/// A request that meets an overrun line is sent at once or refused at once: at
/// 2.5 times the traffic of a played day the worth of all requests rose from
/// 0.62 to 0.66, with waits of an eighth of the objective to 0.64 (two seeds).
/// When its caller should come again matters little: 0.65 to 0.67 for 0.05 to 2
/// objectives.
constexpr double kOverrunRetryPart = 0.25;

}  // namespace

duration OverrunTime(duration objective) {
  return Part(objective, kOverrunPart);
}

duration RetryAfterOverrun(duration objective) {
  return Part(objective, kOverrunRetryPart);
}

duration MostWait(duration objective, duration likely_latency) {
  return std::clamp(objective - likely_latency, Part(objective, kLeastWaitPart),
                    Part(objective, kMostWaitPart));
}

bool GoesNewestFirst(duration oldest_wait, duration objective) {
  return oldest_wait > Part(objective, kStandingPart);
}

}  // namespace foxtailspread
