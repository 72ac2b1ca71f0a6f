#ifndef FOXTAILSPREAD_GRACEFUL_STOP_H_
#define FOXTAILSPREAD_GRACEFUL_STOP_H_

/// @file
/// Phases of a graceful shutdown, and when each begins.

#include <chrono>
#include <optional>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Phases of a graceful shutdown, in order.
enum class stop_phase {
  kRunning,   ///< No stop has been requested.
  kUnready,   ///< Fails readiness checks; accepts requests as before.
  kClosing,   ///< Closes each connection after its current response.
  kRefusing,  ///< Refuses new requests, which might not finish in time.
  kDone,      ///< No work or no time is left; the process may exit.
};

/// Graceful shutdown of one host, from the stop request to the exit.
///
/// The load balancer stops sending connections only after two failed readiness
/// checks, a second apart; if most hosts of a zone stop, it keeps sending them.
/// Late requests would be cut off when the process is killed, and their callers
/// could not tell whether they had been executed.
///
/// @code
/// graceful_stop stop(grace_period);
/// stop.Begin(now);
/// if (stop.Phase(now, has_pending_work) == stop_phase::kDone) Exit();
/// @endcode
class graceful_stop {
 public:
  /// `grace_period` is the time from the stop request until the process is
  /// killed.
  explicit graceful_stop(duration grace_period) : grace_period_(grace_period) {}

  void Begin(time_point now) {
    if (!started_at_) {
      started_at_ = now;
    }
  }

  /// Returns the phase at `now`. `has_pending_work` tells whether requests,
  /// connections or background duties remain, and `has_unreceived_answers`
  /// whether answers have been written that callers have not received.
  stop_phase Phase(time_point now, bool has_pending_work,
                   bool has_unreceived_answers = false) const;

  /// Returns by when each request must have an answer, so that it and those
  /// held behind it on its connection arrive before the exit. Empty while no
  /// stop has been requested.
  std::optional<time_point> AnswerBy() const;

  bool has_begun() const { return started_at_.has_value(); }

 private:
  /// Times from the stop request.
  duration ExitAfter() const;
  duration RefuseAfter() const;

  duration grace_period_;
  std::optional<time_point> started_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_GRACEFUL_STOP_H_
