#ifndef FOXTAILSPREAD_KEY_LOAD_H_
#define FOXTAILSPREAD_KEY_LOAD_H_

/// @file
/// How many requests a second each cell of a keyed service's keys gets.
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
/// load.Add(cell, count);
/// if (load.Average(now)) Plan(load.recent());
/// @endcode
class key_load {
 public:
  /// Counts `count` requests for `cell`; cells out of range are left out.
  void Add(uint32_t cell, uint32_t count);

  /// Takes what was counted into the means, if enough time has passed since
  /// the last call that did. Returns whether it did.
  bool Average(time_point now);

  /// Requests a second of each cell: of the last second or so, and of the last
  /// several. Empty until something was averaged.
  cell_loads recent() const { return recent_; }
  cell_loads steady() const { return steady_; }

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
