#ifndef FOXTAILSPREAD_RANGE_BALANCE_H_
#define FOXTAILSPREAD_RANGE_BALANCE_H_

/// @file
/// Measures the load of a range's buckets and hottest keys at its steward and
/// plans which target should own each.

#include <cstdint>
#include <span>
#include <vector>

#include "foxtailspread/hot_keys.h"
#include "foxtailspread/placement.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One key that is owned separately from its bucket.
struct placed_key {
  uint64_t key_hash = 0;
  int bucket = 0;
  target_index owner = kNoTarget;
};

/// The input of a plan other than the measured load.
struct balance_state {
  std::span<const int> buckets;          ///< Those of the range, ascending.
  std::span<const target_index> owners;  ///< One for each of the buckets.
  std::span<const placement_target> targets;
  std::span<const placed_key> keys;  ///< Owned separately now.
  double balance_weight = 0.5;
  bool allow_rebalance = true;
};

/// The exponentially decaying load of one range. Its memory does not depend on
/// the number of keys.
class range_balance {
 public:
  /// Time in which the load decays to half: long enough to average out noise,
  /// short enough that the hottest keys are those of the last minutes.
  static constexpr duration kHalfLife{std::chrono::seconds{10}};
  /// Interval between plans.
  static constexpr duration kPlanPeriod{std::chrono::seconds{1}};
  /// Maximum number of keys that a range places separately from their buckets.
  static constexpr size_t kMaxSeparateKeys = 19;

  explicit range_balance(int bucket_count);

  /// Counts one request for the bucket and key.
  void Record(int bucket, uint64_t key_hash);

  /// Returns true once per plan period and decays the load at that time.
  bool DecayIfDue(time_point now);

  /// Plans moves. Their `bucket` is the number of the bucket in the service,
  /// not its position in `state.buckets`.
  std::vector<placement_move> Plan(const balance_state& state) const;

 private:
  std::vector<double> bucket_load_;
  hot_key_sketch hot_keys_;
  time_point next_plan_at_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_BALANCE_H_
