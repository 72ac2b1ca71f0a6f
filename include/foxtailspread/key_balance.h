#ifndef FOXTAILSPREAD_KEY_BALANCE_H_
#define FOXTAILSPREAD_KEY_BALANCE_H_

/// @file
/// Plans which keys should change owner so that the load of a keyed service is
/// distributed in proportion to the capacity of its targets.
///
/// Load pattern: a few neighbouring keys are far busier than the rest, the set
/// of busy keys changes within seconds, and targets join, leave and differ in
/// speed.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target that may own keys.
struct balance_target {
  target_life life;
  double capacity = 1.0;  ///< Relative to the other targets.
  /// The most requests per second that it accepts; empty for any number.
  std::optional<double> max_load{};
};

/// Adjacent keys that should get a new owner.
struct key_move {
  key_point first = 0;
  key_point last = 0;  ///< Inclusive.
  target_life new_owner;
};

/// Thresholds for planning moves.
struct balance_limits {
  /// A target gives keys away if its load is above this multiple of its fair
  /// share. Moving keys for less costs more requests than it saves.
  double overload_ratio = 1.25;
  /// A target receives keys if its load is below this fraction of its fair
  /// share.
  double underload_ratio = 0.6;
  /// Smallest load worth moving, in requests per second. A smaller difference
  /// is random variation.
  double min_moved_load = 3.0;
  /// Time constant of the moving average that measured the loads; 0 for exact
  /// loads. Differences within the random variation of that average move no
  /// keys: among hundreds of targets some always look overloaded or idle.
  duration load_time_constant{0};
  /// Move a key that every target would be overloaded by to a fast one.
  bool places_hottest_key = false;
};

/// Load of each key in requests per second; empty if there is no load.
using key_loads = std::span<const double>;

/// Plans moves of granted ranges between `targets`: as many as needed, but at
/// most as many as there are targets, so that each target receives keys about
/// once. Ranges whose owner has not confirmed the grant stay as they are.
std::vector<key_move> PlanMoves(const key_map& map, key_loads loads,
                                std::span<const balance_target> targets,
                                const balance_limits& limits);

/// Returns the first map of a service: all keys, distributed in proportion to
/// capacity, with `first_fence` as the fence of each range.
key_map MakeInitialKeyMap(std::span<const balance_target> targets,
                          fence_number first_fence);

/// Returns the target with the lowest ratio of load to capacity, or nullptr if
/// `targets` is empty. `loads` may be empty.
const balance_target* LeastLoaded(const key_map& map, key_loads loads,
                                  std::span<const balance_target> targets);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_BALANCE_H_
