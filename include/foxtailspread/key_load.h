#ifndef FOXTAILSPREAD_KEY_LOAD_H_
#define FOXTAILSPREAD_KEY_LOAD_H_

/// @file
/// How many requests a second each key of a keyed service gets.
///
/// Load pattern: most keys are asked for steadily, at rates that are known
/// only through counts with chance in them; now and then some neighbours
/// become a hundred times as busy within a moment.

#include <cstdint>
#include <vector>

#include "foxtailspread/key_balance.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Running means of counted requests.
///
/// @code
/// load.Add(key, count);
/// if (load.Average(now)) Plan(load.recent());
/// @endcode
class key_load {
 public:
  /// Time constants of the two means. The quick one follows keys that become
  /// busy within a second; the steady one shows what is left without taking
  /// chance for a difference.
  static constexpr duration kRecentTime{std::chrono::milliseconds{700}};
  static constexpr duration kSteadyTime{std::chrono::milliseconds{4700}};

  /// Counts `count` requests for `key`; keys out of range are left out.
  void Add(uint32_t key, uint32_t count);

  /// Takes what was counted into the means, if enough time has passed since
  /// the last call that did. Returns whether it did.
  bool Average(time_point now);

  /// Requests a second of each key: of the last second or so, and of the last
  /// several. Empty until something was averaged.
  key_loads recent() const { return recent_; }
  key_loads steady() const { return steady_; }

 private:
  double ExpectedOf(size_t block, double seconds) const;
  bool HasJumped(size_t block, double seconds) const;

  std::vector<double> recent_;
  std::vector<double> steady_;
  std::vector<uint32_t> counts_;  ///< Since `counted_from_`.
  time_point counted_from_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_LOAD_H_
