#ifndef FOXTAILSPREAD_CRASH_MARK_H_
#define FOXTAILSPREAD_CRASH_MARK_H_

/// @file
/// What hosts tell each other of request contents that crash targets.

#include <cstdint>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target that ended, or may have ended, while it ran a request with this
/// content. Marks are merged as a set: a mark that arrives late, twice or
/// through several hosts counts once, and marks of different hosts add up.
struct crash_mark {
  uint64_t content_hash = 0;
  target_life target{};
  duration age{0};            ///< Since the answer broke off.
  bool is_confirmed = false;  ///< The store no longer lists the target.

  bool operator==(const crash_mark&) const = default;
};

/// A target that ran on after an answer of it broke off, so that marks of that
/// break or an earlier one are void.
struct survived_break {
  target_life target{};
  duration age{0};  ///< Since the answer broke off.

  bool operator==(const survived_break&) const = default;
};

/// A content that a target has served, so that earlier marks of it are void.
struct served_content {
  uint64_t content_hash = 0;
  duration age{0};  ///< Since it was served.

  bool operator==(const served_content&) const = default;
};

/// What is known of any number of contents and targets.
struct crash_evidence {
  std::vector<crash_mark> marks{};
  std::vector<survived_break> survivors{};
  std::vector<served_content> served{};

  bool empty() const {
    return marks.empty() && survivors.empty() && served.empty();
  }
  bool operator==(const crash_evidence&) const = default;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CRASH_MARK_H_
