#ifndef FOXTAILSPREAD_PLACEMENT_H_
#define FOXTAILSPREAD_PLACEMENT_H_

/// @file
/// Assigns the buckets of a range to targets, and the buckets of a service to
/// zones.

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "foxtailspread/dispatch_types.h"

namespace foxtailspread {

/// Returns the hash that identifies a key in placement and in ownership
/// records.
uint64_t KeyHash(std::string_view key);

/// Returns the bucket of a key.
constexpr int32_t BucketOf(uint64_t key_hash, int buckets) {
  return static_cast<int32_t>(key_hash % static_cast<uint64_t>(buckets));
}

/// The properties of a target that placement depends on.
struct placement_target {
  bool usable = false;  ///< May own buckets.
  double weight = 1;    ///< Capacity relative to the other targets.
};

/// A key with enough load to be placed separately from its bucket.
struct hot_key {
  uint64_t key_hash = 0;
  int32_t bucket = 0;
  double load = 0;                 ///< Included in its bucket's load.
  target_index owner = kNoTarget;  ///< kNoTarget: its bucket's owner.
};

/// The complete input of a plan. The spans must stay valid during the call.
struct placement_input {
  std::span<const double> bucket_load;   ///< Per bucket, hot keys included.
  std::span<const target_index> owners;  ///< Per bucket, or kNoTarget.
  std::span<const placement_target> targets;
  std::span<const hot_key> hot_keys;
  double balance_weight = 0.5;  ///< As in service_config.
  int max_moves = 16;           ///< Limit on balancing moves per round.
  bool allow_rebalance = true;  ///< As in preset_config.
};

/// One change of ownership.
struct placement_move {
  int32_t bucket = 0;
  uint64_t key_hash = 0;    ///< Set only if `single_key`.
  bool single_key = false;  ///< Only this key of the bucket moves.
  target_index from = kNoTarget;
  target_index to = kNoTarget;
};

/// Plans one round of moves.
///
/// First, every bucket without a usable owner is reassigned, heaviest bucket
/// first, each to the target that is then least loaded. No other bucket moves
/// in this step. Then up to `max_moves` moves shift load from the most to the
/// least loaded target. Balancing starts when the load difference between the
/// two exceeds a threshold, and stops at half of it: with a single threshold,
/// measurement noise would move the buckets of a target near it back and
/// forth. A hot key moves alone where that lowers the peak load more than
/// moving a bucket; when its load has dropped, it returns to the owner of its
/// bucket.
///
/// The plan is empty if no target is usable.
///
/// @code
/// for (const placement_move& move : PlanPlacement(input)) Revoke(move);
/// @endcode
std::vector<placement_move> PlanPlacement(const placement_input& input);

/// A zone and the number of targets that the service has in it.
struct zone_weight {
  std::string_view zone;
  int target_count = 0;
};

/// Returns for each bucket the index of its zone, -1 if no zone has targets.
///
/// The result depends only on the names and counts, so every host computes the
/// same assignment from the same configuration. Each zone gets buckets in
/// proportion to its target count, with an error of less than one bucket. When
/// a count changes, few buckets move beyond the necessary minimum.
std::vector<int> AssignZones(int buckets, std::span<const zone_weight> zones);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PLACEMENT_H_
