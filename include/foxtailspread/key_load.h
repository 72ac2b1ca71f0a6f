#ifndef FOXTAILSPREAD_KEY_LOAD_H_
#define FOXTAILSPREAD_KEY_LOAD_H_

/// @file
/// Measures the request rate of each key of a keyed service.
///
/// Load pattern: most keys get requests at a steady rate, which is known only
/// from counts with random variation; now and then some neighbouring keys
/// suddenly become a hundred times as busy.

#include <cstdint>
#include <vector>

#include "foxtailspread/key_balance.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Exponential moving averages of counted requests.
///
/// @code
/// load.Add(key, count);
/// if (load.UpdateAverages(now)) Plan(load.recent_rates());
/// @endcode
class key_load {
 public:
  /// Time constants of the two averages. The recent one follows keys that
  /// become busy within a second; the steady one shows the differences that
  /// remain, without mistaking random variation for one.
  static constexpr duration kRecentTimeConstant{std::chrono::milliseconds{700}};
  static constexpr duration kSteadyTimeConstant{
      std::chrono::milliseconds{4700}};

  /// Counts `count` requests for `key`; ignores keys out of range.
  void Add(uint32_t key, uint32_t count);

  /// Adds the counts to the averages if enough time has passed since the last
  /// update. Returns whether it updated them.
  bool UpdateAverages(time_point now);

  /// Request rate of each key in requests per second, averaged over about the
  /// last second and over the last several seconds. Empty until the first
  /// update.
  key_loads recent_rates() const { return recent_rates_; }
  key_loads steady_rates() const { return steady_rates_; }

 private:
  /// Returns the requests expected in a block of keys within `seconds`.
  double ExpectedCount(size_t block, double seconds) const;
  /// Whether the requests counted for a block exceed the expected number by
  /// more than random variation explains.
  bool HasJumped(size_t block, double seconds) const;

  std::vector<double> recent_rates_;
  std::vector<double> steady_rates_;
  std::vector<uint32_t> counts_;  ///< Requests since `count_start_`.
  time_point count_start_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_LOAD_H_
