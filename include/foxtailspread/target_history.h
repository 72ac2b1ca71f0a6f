#ifndef FOXTAILSPREAD_TARGET_HISTORY_H_
#define FOXTAILSPREAD_TARGET_HISTORY_H_

/// @file
/// Remembers what targets have written, for a store that returns to a copy and
/// lists them as they were before.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Corrects lists of targets by what is known from earlier ones. A process that
/// leaves never becomes ready again, an entry whose sequence number is lower
/// than before is an old one, and so is that of a process that was no longer
/// listed in an earlier era of the store and has not reported since.
///
/// @code
/// assigner.OnTargets(history.Correct(listed, era, now), doubtful, now);
/// @endcode
class target_history {
 public:
  /// Returns the entries listed in `era`, as they are by all that is known.
  std::vector<target_entry> Correct(std::vector<target_entry> listed,
                                    uint64_t era, time_point now);

 private:
  struct known_target {
    target_entry entry;           ///< With the highest sequence number.
    bool listed = true;           ///< In the last list.
    uint64_t missing_in_era = 0;  ///< In which it ceased to be listed.
    time_point last_listed{};
  };
  using life_key = std::pair<std::string, uint64_t>;

  std::map<life_key, known_target> known_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_HISTORY_H_
