#ifndef FOXTAILSPREAD_PERMIT_ISSUER_H_
#define FOXTAILSPREAD_PERMIT_ISSUER_H_

/// @file
/// Issues permits to send requests to targets that limit the rate of requests
/// from all hosts together.
///
/// Load pattern: hundreds of hosts send to a target that accepts a few requests
/// per second, so that a share per host is less than one request in any useful
/// time. One host, the holder of the assigner's lease, issues a permit for each
/// request.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// A request for permits for one target.
struct permit_demand {
  uint32_t count = 1;
  /// The longest delay after which a permit is still of use.
  duration max_delay{};

  bool operator==(const permit_demand&) const = default;
};

/// Permits for one target.
struct permit_grant {
  /// The delay of each granted permit until it may be used, in order.
  std::vector<duration> delays;
  /// The least delay of a permit that was not granted.
  duration next_delay{};

  bool operator==(const permit_grant&) const = default;
};

/// Issues permits as slots of a generic cell rate algorithm, one per target. A
/// new issuer starts without any burst, as its predecessor may just have issued
/// one.
///
/// @code
/// const permit_grant grant = issuer.Issue(life, demand, 0.5 * limit, now);
/// @endcode
class permit_issuer {
 public:
  /// Issues permits at `per_second`, which must be positive.
  permit_grant Issue(const target_life& target, const permit_demand& demand,
                     double per_second, time_point now);

 private:
  struct schedule {
    time_point next_slot{};  ///< Of the next permit if it is not part of a
                             ///< burst.
    time_point used_at{};
  };

  void DropUnused(time_point now);

  std::map<std::pair<std::string, uint64_t>, schedule>
      schedules_;  ///< By life.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PERMIT_ISSUER_H_
