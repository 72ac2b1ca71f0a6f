#include "foxtailspread/load/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace foxtailspread {
namespace {

/// Callers wait at most for this part of the time that they have left.
constexpr int kMostOfTimeLeft = 3;

/// A caller that has waited for this part of its objective goes before others.
constexpr double kOldFraction = 0.5;

/// Callers that return when room is expected, but at a rate that is not known,
/// are spread over this part of their objective.
constexpr double kUnknownRateSpread = 0.5;

}  // namespace

return_schedule::level return_schedule::LevelOf(const refused_caller& caller) {
  return {.rank = caller.rank,
          .is_young = caller.age < Part(caller.objective, kOldFraction)};
}

duration return_schedule::Spread(duration time, double phase) {
  // Multiples of the golden ratio fall evenly into the unit interval, however
  // many there are.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double at = phase + kGoldenRatio * ++spread_count_;
  return Part(time, at - std::floor(at));
}

return_schedule::return_time return_schedule::Next(const expected_room& room,
                                                   const refused_caller& caller,
                                                   time_point now) {
  const duration latest =
      std::max(duration{0}, std::min(caller.time_left / kMostOfTimeLeft,
                                     caller.time_left - caller.likely_latency));
  const time_point first = std::max(room.begins, now + kMinReturn);
  const auto without_room = [&] {
    // Room may come sooner than expected; the callers come one by one.
    return return_time{.after = latest - Spread(latest / 2, caller.phase)};
  };
  if (first > now + latest) {
    return without_room();
  }
  if (room.per_second <= 0.0) {
    const duration spread = std::min(
        now + latest - first, Part(caller.objective, kUnknownRateSpread));
    return {.after = first - now + Spread(spread, caller.phase)};
  }
  const duration each = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1.0 / room.per_second));
  const level its_level = LevelOf(caller);
  // What a more urgent level has taken is not free for this one.
  time_point free = first;
  for (const auto& [other, next] : next_room_) {
    if (its_level < other) {
      break;
    }
    free = std::max(free, next);
  }
  if (free > now + latest) {
    return without_room();
  }
  next_room_.try_emplace(its_level, free);
  for (auto& [other, next] : next_room_) {
    if (!(other < its_level)) {
      next = std::max(next, free) + each;
    }
  }
  return {.after = free - now, .has_room = true};
}

}  // namespace foxtailspread
