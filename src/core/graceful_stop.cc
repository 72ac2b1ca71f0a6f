#include "foxtailspread/graceful_stop.h"

#include <algorithm>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// From the stop request until the balancer has seen two misses.
constexpr duration kBalancerLag{milliseconds{2300}};

/// From the stop request until new requests are refused. Later ones would have
/// less than the second half of the usual grace, too little for slow work.
constexpr duration kRefuseAfter{milliseconds{2900}};

/// A stop takes no less, even without work: connections may be on their way.
constexpr duration kLeastTime{milliseconds{3200}};

/// Kept back from the grace, so that the host ends by itself.
constexpr duration kReserve{milliseconds{400}};

/// The part of a short grace after which requests are refused.
constexpr int kShortGracePart = 2;

}  // namespace

stop_phase graceful_stop::Phase(time_point now, bool work_left) const {
  if (!began_) {
    return stop_phase::kRunning;
  }
  const duration passed = now - *began_;
  const duration end = std::max(grace_ - kReserve, grace_ / kShortGracePart);
  const duration refuse = std::min(kRefuseAfter, grace_ / kShortGracePart);
  if (passed >= end || (!work_left && passed >= std::min(kLeastTime, end))) {
    return stop_phase::kDone;
  }
  if (passed >= refuse) {
    return stop_phase::kRefusing;
  }
  return passed >= std::min(kBalancerLag, refuse) ? stop_phase::kClosing
                                                  : stop_phase::kUnready;
}

}  // namespace foxtailspread
