#ifndef FOXTAILSPREAD_TARGET_STATEMENTS_H_
#define FOXTAILSPREAD_TARGET_STATEMENTS_H_

/// @file
/// What targets state of themselves in their answers, as hosts tell each other.

#include <cstdint>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/target_limit.h"

namespace foxtailspread {

/// A target that shuts down, as its answers say.
struct leaving_sample {
  target_life target{};
  uint32_t age_ms = 0;  ///< Since an answer first said so.

  bool operator==(const leaving_sample&) const = default;
};

/// Statements of any number of targets.
struct target_statements {
  std::vector<limit_sample> limits{};
  std::vector<leaving_sample> leaving{};

  bool operator==(const target_statements&) const = default;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_STATEMENTS_H_
