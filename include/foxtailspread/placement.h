#ifndef FOXTAILSPREAD_PLACEMENT_H_
#define FOXTAILSPREAD_PLACEMENT_H_

/// @file
/// Decides which target owns which bucket of a range, and which zone serves
/// which bucket of a service.

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "foxtailspread/dispatch_types.h"

namespace foxtailspread {

/// Returns the hash by which a key is placed and remembered.
uint64_t KeyHash(std::string_view key);

/// Returns the bucket of a key.
constexpr int32_t BucketOf(uint64_t key_hash, int buckets) {
  return static_cast<int32_t>(key_hash % static_cast<uint64_t>(buckets));
}

/// A target as placement sees it.
struct placement_target {
  bool usable = false;
  double weight = 1;  ///< Its capacity relative to the others'.
};

/// One key hot enough to be placed by itself.
struct hot_key {
  uint64_t key_hash = 0;
  int32_t bucket = 0;
  double load = 0;                 ///< Part of its bucket's load.
  target_index owner = kNoTarget;  ///< kNoTarget: goes with its bucket.
};

/// All that a plan depends on. Views must outlive the call only.
struct placement_input {
  std::span<const double> bucket_load;   ///< Per bucket, hot keys included.
  std::span<const target_index> owners;  ///< Per bucket, or kNoTarget.
  std::span<const placement_target> targets;
  std::span<const hot_key> hot_keys;
  double balance_weight = 0.5;  ///< As in service_config.
  int max_moves = 16;           ///< Moves of this round for balance alone.
  bool allow_rebalance = true;  ///< As in preset_config.
};

/// One change of ownership.
struct placement_move {
  int32_t bucket = 0;
  uint64_t key_hash = 0;    ///< Of a single key; see `single_key`.
  bool single_key = false;  ///< Only this key of the bucket moves.
  target_index from = kNoTarget;
  target_index to = kNoTarget;
};

/// Plans one round of moves.
///
/// Buckets whose owner is not usable move first and all of them, the heaviest
/// to the least loaded target; nobody else's buckets move for that. Then, up
/// to `max_moves`, load goes from the most to the least loaded target while
/// the spread between them is worth it. Balancing starts at one spread and
/// goes on to half of it: with a single limit, a target at the limit would
/// have its buckets sent to and fro by the noise of the measurement. A hot
/// key moves alone where that helps more than moving a bucket; once it has
/// cooled down it goes back to its bucket.
///
/// Without any usable target the plan is empty.
///
/// @code
/// for (const placement_move& move : PlanPlacement(input)) Revoke(move);
/// @endcode
std::vector<placement_move> PlanPlacement(const placement_input& input);

/// One zone with targets of the service.
struct zone_weight {
  std::string_view zone;
  int targets = 0;
};

/// Returns for each bucket the index of its zone, -1 if no zone has targets.
///
/// A function of the names and counts alone, so that every host computes the
/// same from one configuration. Each zone gets buckets in proportion to its
/// targets, off by less than one bucket; when a count changes, few buckets
/// move besides those that have to.
std::vector<int> AssignZones(int buckets, std::span<const zone_weight> zones);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PLACEMENT_H_
