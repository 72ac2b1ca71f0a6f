#ifndef FOXTAILSPREAD_MISSED_CHANGES_H_
#define FOXTAILSPREAD_MISSED_CHANGES_H_

/// @file
/// Repeats changes whose datagram was lost.
///
/// Load pattern: the lease holder announces several changes a second to dozens
/// of hosts, one zone's hosts by one relay. A lost datagram leaves a whole zone
/// with an outdated copy, and each of its hosts would list the kind in the
/// store.

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/store_revision.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// How a host makes an outdated copy current.
enum class copy_repair {
  kNone,  ///< The copy is current.
  kAsk,   ///< Ask the lease holder to repeat what it has sent.
  kRead,  ///< Read the store.
};

/// Decides how one copy is made current, at each heartbeat that the copy is
/// compared with. The store is read once a repeat has had time to arrive.
///
/// @code
/// switch (repairs.OnCompared(view.owners_digest == digest, now)) { ... }
/// @endcode
class copy_repairs {
 public:
  /// `host_count` is the number of hosts that the lease holder announces
  /// changes to: where there are few, each reads the store itself.
  copy_repair OnCompared(bool is_same, size_t host_count, time_point now);

 private:
  std::optional<time_point> differs_since_;
};

/// The changes to owner records that the lease holder has announced lately.
class announced_changes {
 public:
  void Add(const owners_record& record);
  /// Returns the records that lead from `held` to the newest one, in order;
  /// none if one of them is no longer kept.
  std::vector<owners_record> Since(const std::string& service,
                                   store_revision held) const;

 private:
  std::map<std::string, std::deque<owners_record>> records_;  ///< By service.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_MISSED_CHANGES_H_
