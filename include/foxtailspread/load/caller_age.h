#ifndef FOXTAILSPREAD_LOAD_CALLER_AGE_H_
#define FOXTAILSPREAD_LOAD_CALLER_AGE_H_

/// @file
/// How long a caller has been trying, from the time that it states to have
/// left.
///
/// Load pattern: some callers repeat at once and several times what was
/// refused, each time at another host, where it looks like a new request. Their
/// tries take the room that others wait for.

#include <cstdint>
#include <map>
#include <optional>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The callers of one route. All first tries of a route state the same time;
/// where they do not, ages are not known.
class caller_age {
 public:
  /// Records a try that has `time_left`; returns how long ago the first try of
  /// its request was, 0 for a first try, or empty if that is not known.
  std::optional<duration> OnTry(duration time_left);

 private:
  void Forget();

  std::map<int64_t, uint32_t> counts_;  ///< Recent tries, by milliseconds left.
  uint32_t total_ = 0;
};

/// Whether a try that comes this long after the first one comes before any
/// caller was asked to return.
bool IsEarlyRepeat(duration age);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_CALLER_AGE_H_
