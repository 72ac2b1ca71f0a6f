#ifndef FOXTAILSPREAD_TOLD_LOAD_H_
#define FOXTAILSPREAD_TOLD_LOAD_H_

/// @file
/// What targets tell of their load with their answers, and how hosts share it.
///
/// Load pattern: many hosts send to each target, so that one host hears of it
/// every few seconds only, while its load changes several times a second. All
/// hosts together hear of each target some ten times a second.

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target's load when it answered.
struct told_load {
  int running = 0;        ///< Requests that it works on.
  int waiting = 0;        ///< Requests that wait at the target.
  double slowness = 1.0;  ///< How long work takes there, 1 as usual.

  int occupied() const { return running + waiting; }
  bool operator==(const told_load&) const = default;
};

/// A target's load as hosts pass it on.
struct load_sample {
  uint32_t target = 0;  ///< ShortIdOf its id.
  told_load load{};
  uint32_t age_ms = 0;      ///< Since it was told.
  uint32_t latency_us = 0;  ///< Mean time to an answer, 0 if not known.
  uint32_t served = 0;      ///< Answers that it is the mean of.

  bool operator==(const load_sample&) const = default;
};

/// A target's name in datagrams. Two targets may share one: what is said of
/// loads is a hint.
uint32_t ShortIdOf(std::string_view target);

/// How often each host passes on what it heard. A load is known best while it
/// is younger than a request's work; but one host hears all others.
duration ShareLoadsEvery(size_t hosts);

/// Merges what all hosts heard, at the host that tells the others.
///
/// @code
/// board.Add(report.loads, now);
/// Broadcast(board.TakeFresh(now));
/// @endcode
class load_board {
 public:
  void Add(std::span<const load_sample> samples, time_point now);

  /// Returns the loads that were told since the last call, with the mean
  /// latency over all hosts.
  std::vector<load_sample> TakeFresh(time_point now);

 private:
  struct entry {
    told_load load;
    time_point told_at{};
    double latency_us = 0.0;
    bool fresh = false;
  };

  std::map<uint32_t, entry> entries_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TOLD_LOAD_H_
