#ifndef FOXTAILSPREAD_GRACEFUL_STOP_H_
#define FOXTAILSPREAD_GRACEFUL_STOP_H_

/// @file
/// What a host that was asked to stop does when.

#include <chrono>
#include <optional>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// How far a stop has come.
enum class stop_phase {
  kRunning,   ///< No stop was asked for.
  kUnready,   ///< Says it is not ready; takes requests as before.
  kClosing,   ///< Closes each connection after its answer.
  kRefusing,  ///< Refuses new requests, which might not end in time.
  kDone,      ///< Nothing is left to do, or no time.
};

/// The stop of one host, from the request to its end.
///
/// The balancer needs two misses, a second apart, before it sends no more
/// connections; if most hosts of a zone stop, it sends them on regardless.
/// Requests that come late would be cut off when the process is ended from
/// outside, and their callers could not tell whether they had run.
///
/// @code
/// graceful_stop stop(grace);
/// stop.Begin(now);
/// if (stop.Phase(now, work_left) == stop_phase::kDone) End();
/// @endcode
class graceful_stop {
 public:
  /// `grace` is the time from the request to the end from outside.
  explicit graceful_stop(duration grace) : grace_(grace) {}

  void Begin(time_point now) {
    if (!began_) {
      began_ = now;
    }
  }

  /// `work_left` tells whether requests, connections or duties remain.
  stop_phase Phase(time_point now, bool work_left) const;

  bool has_begun() const { return began_.has_value(); }

 private:
  duration grace_;
  std::optional<time_point> began_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_GRACEFUL_STOP_H_
