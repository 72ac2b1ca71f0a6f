#ifndef FOXTAILSPREAD_EVACUATIONS_H_
#define FOXTAILSPREAD_EVACUATIONS_H_

/// @file
/// Which availability zones are evacuated: nothing new goes to their targets.

#include <cstdint>
#include <set>
#include <string>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Evacuated zones, as the holder of the lease tells them to all hosts.
struct evacuation_view {
  std::set<std::string> zones;
  uint32_t age_ms = 0;  ///< These were all when they were read.

  bool operator==(const evacuation_view&) const = default;
};

/// Keeps the newest of what the store and other hosts said.
///
/// @code
/// if (evacuations.Take(zones, as_of)) Tell(evacuations.zones());
/// @endcode
class evacuations {
 public:
  /// Takes the zones that were evacuated at `as_of`; older ones than are known
  /// are left aside. Returns whether the zones changed.
  bool Take(std::set<std::string> zones, time_point as_of);

  const std::set<std::string>& zones() const { return zones_; }

 private:
  std::set<std::string> zones_;
  time_point as_of_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_EVACUATIONS_H_
