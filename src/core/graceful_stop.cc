#include "foxtailspread/graceful_stop.h"

#include <algorithm>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// From the stop request until the load balancer has seen two failed readiness
/// checks.
constexpr duration kBalancerReactionTime{milliseconds{2300}};

/// From the stop request until new requests are refused. A later request would
/// have less than half of the usual grace period, too little for slow work.
constexpr duration kRefuseDelay{milliseconds{2900}};

/// Minimum duration of a stop, even without work: new connections may still be
/// on their way.
constexpr duration kMinStopTime{milliseconds{3200}};

/// Subtracted from the grace period, so that the host exits before it is
/// killed.
constexpr duration kExitReserve{milliseconds{400}};

/// The same while answers have not been received.
constexpr duration kLastExitReserve{milliseconds{250}};

/// Subtracted from the time of the exit: for the last answers to be written and
/// received.
constexpr duration kDeliveryTime{milliseconds{500}};

/// Requests are refused after the grace period divided by this, if that is
/// sooner than kRefuseDelay. A stop with pending work ends no sooner than that.
constexpr int kShortGraceDivisor = 2;

}  // namespace

duration graceful_stop::ExitAfter() const {
  return std::max(grace_period_ - kExitReserve,
                  grace_period_ / kShortGraceDivisor);
}

duration graceful_stop::RefuseAfter() const {
  return std::min(kRefuseDelay, grace_period_ / kShortGraceDivisor);
}

std::optional<time_point> graceful_stop::AnswerBy() const {
  if (!started_at_) {
    return std::nullopt;
  }
  return *started_at_ + std::max(ExitAfter() - kDeliveryTime, RefuseAfter());
}

stop_phase graceful_stop::Phase(time_point now, bool has_pending_work,
                                bool has_unreceived_answers) const {
  if (!started_at_) {
    return stop_phase::kRunning;
  }
  const duration elapsed = now - *started_at_;
  const duration exit_after =
      has_unreceived_answers
          ? std::max(ExitAfter(), grace_period_ - kLastExitReserve)
          : ExitAfter();
  const duration refuse_after = RefuseAfter();
  if (elapsed >= exit_after ||
      (!has_pending_work && elapsed >= std::min(kMinStopTime, exit_after))) {
    return stop_phase::kDone;
  }
  if (elapsed >= refuse_after) {
    return stop_phase::kRefusing;
  }
  return elapsed >= std::min(kBalancerReactionTime, refuse_after)
             ? stop_phase::kClosing
             : stop_phase::kUnready;
}

}  // namespace foxtailspread
