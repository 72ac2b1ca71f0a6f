#ifndef FOXTAILSPREAD_CRASH_MARK_H_
#define FOXTAILSPREAD_CRASH_MARK_H_

/// @file
/// What hosts tell each other of request contents that crash targets.

#include <cstdint>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target that ended while it ran a request with this content. Marks are
/// merged as a set: a mark that arrives late, twice or through several hosts
/// counts once, and marks of different hosts add up.
struct crash_mark {
  uint64_t content_hash = 0;
  target_life target{};
  duration age{0};  ///< Since the answer broke off.

  bool operator==(const crash_mark&) const = default;
};

/// Marks of any number of contents.
struct crash_evidence {
  std::vector<crash_mark> marks{};

  bool empty() const { return marks.empty(); }
  bool operator==(const crash_evidence&) const = default;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CRASH_MARK_H_
