#ifndef FOXTAILSPREAD_EVACUATIONS_H_
#define FOXTAILSPREAD_EVACUATIONS_H_

/// @file
/// Which availability zones are evacuated. Targets in an evacuated zone get no
/// new requests.

#include <cstdint>
#include <set>
#include <string>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The evacuated zones, as the lease holder announces them to all hosts.
struct evacuation_view {
  std::set<std::string> zones;
  uint32_t age_ms = 0;  ///< Time since `zones` was read, in ms.

  bool operator==(const evacuation_view&) const = default;
};

/// Keeps the most recent set of evacuated zones reported by the store or by
/// other hosts.
///
/// @code
/// if (evacuations.Update(zones, as_of)) Announce(evacuations.zones());
/// @endcode
class evacuations {
 public:
  /// Sets the zones that were evacuated at `as_of`. Ignores a set that is older
  /// than the current one. If requests may be missing in it, it ends no
  /// evacuation. Returns whether the zones changed.
  bool Update(std::set<std::string> zones, time_point as_of,
              bool is_complete = true);

  const std::set<std::string>& zones() const { return zones_; }

 private:
  std::set<std::string> zones_;
  time_point as_of_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_EVACUATIONS_H_
