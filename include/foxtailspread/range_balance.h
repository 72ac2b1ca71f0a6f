#ifndef FOXTAILSPREAD_RANGE_BALANCE_H_
#define FOXTAILSPREAD_RANGE_BALANCE_H_

/// @file
/// Measures the load of a range's buckets and hottest keys at its steward and
/// plans which target should own them.

#include <cstdint>
#include <span>
#include <vector>

#include "foxtailspread/hot_keys.h"
#include "foxtailspread/placement.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One key that is owned apart from its bucket.
struct placed_key {
  uint64_t key_hash = 0;
  int bucket = 0;
  target_index owner = kNoTarget;
};

/// What a plan starts from, beside the measured load.
struct balance_state {
  std::span<const int> buckets;          ///< Homed in the range, ascending.
  std::span<const target_index> owners;  ///< One for each of `buckets`.
  std::span<const placement_target> targets;
  std::span<const placed_key> keys;
  double balance_weight = 0.5;
  bool allow_rebalance = true;
};

/// The load of one range, decaying, in memory that the number of keys does
/// not grow.
class range_balance {
 public:
  /// Load halves in this time: long enough to be no noise, short enough that
  /// the hottest keys of the last minutes are the hot ones.
  static constexpr duration kHalfLife{std::chrono::seconds{10}};
  /// How often balance is looked at.
  static constexpr duration kPeriod{std::chrono::seconds{1}};
  /// Keys that one range owns apart from their buckets.
  static constexpr size_t kMaxKeys = 19;

  explicit range_balance(int buckets);

  /// Counts one request.
  void Record(int bucket, uint64_t key_hash);

  /// Returns true once each period, and lets the load decay then.
  bool Due(time_point now);

  /// Plans moves; `bucket` of each is a bucket's number, not its position.
  std::vector<placement_move> Plan(const balance_state& state) const;

 private:
  std::vector<double> load_;
  hot_key_sketch hot_;
  time_point next_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_BALANCE_H_
