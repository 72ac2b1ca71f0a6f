#ifndef FOXTAILSPREAD_LOAD_LOAD_SAMPLES_H_
#define FOXTAILSPREAD_LOAD_LOAD_SAMPLES_H_

/// @file
/// What hosts tell each other of targets' loads, see load_board.

#include <cstdint>

namespace foxtailspread {

/// One host's requests at a target. A host tells all targets at which it has
/// requests, so that one that it leaves out has none.
struct activity_sample {
  uint32_t target = 0;     ///< ShortIdOf the target's id.
  uint32_t in_flight = 0;  ///< Requests of the host at the target now.
  /// Requests since the sample before that were served, and that the target
  /// did not run.
  uint32_t served = 0;
  uint32_t rejected = 0;
  /// Mean latency of the served ones that found a free slot, 0 if there are
  /// none, and their number.
  uint32_t latency_us = 0;
  uint32_t unqueued = 0;

  bool operator==(const activity_sample&) const = default;
};

/// A target's load over all hosts, see target_load.
struct load_sum {
  uint32_t target = 0;  ///< ShortIdOf the target's id.
  uint32_t occupied = 0;
  double served_per_second = 0.0;    ///< To a tenth.
  double rejected_per_second = 0.0;  ///< To a tenth.
  uint32_t latency_us = 0;           ///< Mean with a free slot, 0 if not known.
  uint32_t age_ms = 0;               ///< Time since `occupied` was measured.
  bool is_reported = false;          ///< The target reported `occupied`.

  bool operator==(const load_sum&) const = default;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_LOAD_SAMPLES_H_
