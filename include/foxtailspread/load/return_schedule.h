#ifndef FOXTAILSPREAD_LOAD_RETURN_SCHEDULE_H_
#define FOXTAILSPREAD_LOAD_RETURN_SCHEDULE_H_

/// @file
/// When callers that were refused return.
///
/// Load pattern: targets are short for seconds, and many callers are refused in
/// the same moment. Told the same time, they return together and are refused
/// again, the most urgent among them; told one that is too early, they return
/// before there is any room.

#include <cstdint>
#include <map>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Room of what refused a request: a target or all targets of a service, as
/// far as this host's callers get it.
struct expected_room {
  time_point begins{};      ///< Nobody is served before; the past for now.
  double per_second = 0.0;  ///< Requests; 0 if it is not known.
};

/// A caller that is refused.
struct refused_caller {
  int rank = 0;                ///< 0 is the most urgent.
  duration age{0};             ///< Since its arrival at this host.
  duration objective{0};       ///< From its first try to an answer in time.
  duration time_left{0};       ///< Until it gives up.
  duration likely_latency{0};  ///< Of an answer, once the request is sent.
  /// Offset of the host's spread, from 0 to 1, so that callers of several hosts
  /// don't return in the same moments.
  double phase = 0.0;
};

/// The returns to one target, or to one service, that this host has given out.
///
/// @code
/// const duration after = schedule.Next(room, caller, now).after;
/// @endcode
class return_schedule {
 public:
  /// The least time after which a caller returns.
  static constexpr duration kMinReturn{std::chrono::milliseconds{60}};

  struct return_time {
    duration after{0};
    /// Room is expected then. If not, the caller cannot wait long enough.
    bool has_room = false;
  };

  /// Returns when a caller that is refused now returns. More urgent callers
  /// return first; among equals, those that have waited for half of their
  /// objective.
  return_time Next(const expected_room& room, const refused_caller& caller,
                   time_point now);

 private:
  /// The order of return; lower ones come first.
  struct level {
    int rank = 0;
    bool is_young = false;
    auto operator<=>(const level&) const = default;  // NOLINT
  };
  static level LevelOf(const refused_caller& caller);
  /// Returns a part of the given time, spread evenly over successive calls.
  duration Spread(duration time, double phase);

  /// The first time at which there is room for a caller of this level.
  std::map<level, time_point> next_room_;
  uint32_t spread_count_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_RETURN_SCHEDULE_H_
