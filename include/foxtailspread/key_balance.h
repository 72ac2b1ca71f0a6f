#ifndef FOXTAILSPREAD_KEY_BALANCE_H_
#define FOXTAILSPREAD_KEY_BALANCE_H_

/// @file
/// Which keys should change hands so that the load of a keyed service is
/// spread by what its targets can do.
///
/// Load pattern: a few neighbouring keys are far busier than the rest, which
/// ones changes within seconds, and targets come, go and differ in speed.

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target that may own keys.
struct balance_target {
  target_life life;
  double capacity = 1.0;  ///< Relative to the others'.
};

/// Keys that should go to another owner.
struct key_move {
  key_point first = 0;
  key_point last = 0;
  target_life to;
};

/// How eager a plan is.
struct balance_limits {
  /// Above this multiple of its fair share a target gives keys away; moving
  /// for less costs more requests than it spares.
  double overload = 1.25;
  /// Below this part of its fair share a target is given keys.
  double underload = 0.6;
  /// Requests a second below which a difference is chance.
  double least_load = 3.0;
  /// Time constant of the mean that measured the loads, 0 for exact loads.
  /// Differences that chance explains move nothing: among hundreds of targets
  /// some always look overloaded or idle.
  duration averaged{0};
};

/// Load of each key, requests a second; empty for none.
using key_loads = std::span<const double>;

/// Plans moves of settled ranges between `targets`, as many as it takes: each
/// target receives about once. Ranges on their way stay as they are.
std::vector<key_move> PlanMoves(const key_map& map, key_loads loads,
                                std::span<const balance_target> targets,
                                const balance_limits& limits);

/// Makes the first map of a service: all keys, dealt by capacity, with fences
/// from `first_fence` on.
key_map DealKeys(std::span<const balance_target> targets,
                 fence_number first_fence);

/// Returns the target with the least load for its capacity; nullptr if there
/// is none. `loads` may be empty.
const balance_target* LeastLoaded(const key_map& map, key_loads loads,
                                  std::span<const balance_target> targets);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_BALANCE_H_
