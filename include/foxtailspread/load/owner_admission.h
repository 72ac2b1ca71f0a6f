#ifndef FOXTAILSPREAD_LOAD_OWNER_ADMISSION_H_
#define FOXTAILSPREAD_LOAD_OWNER_ADMISSION_H_

/// @file
/// Whether a request goes to the owner of its key, waits or is refused.
///
/// Load pattern: dozens of hosts send to an owner with a few slots, each of
/// them one request every few seconds, and together more than the owner
/// serves. Unless each host knows the owner's queue, it fills until all answers
/// are late and the owner resets connections.

#include <cstddef>
#include <optional>

#include "foxtailspread/load/target_load.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What a host knows of an owner when a request is to be sent to it.
struct owner_state {
  int slots = 1;
  double occupied = 0.0;  ///< Requests at the owner now, running and queued.
  double served_per_second = 0.0;
  double rejected_per_second = 0.0;
  duration work{};  ///< Mean latency while it has a free slot.
  /// It rejected a request of this host after its load was measured.
  bool has_rejected_since = false;
  /// There is demand for more than it serves.
  bool is_overloaded = false;

  bool operator==(const owner_state&) const = default;
};

/// The request to be admitted, and those that wait for the same owner at this
/// host.
struct admission_request {
  duration objective{};
  duration age{};        ///< Time since its arrival.
  duration time_left{};  ///< Until its deadline.
  /// Number of more urgent ranks of requests that the owner serves.
  int more_urgent_ranks = 0;
  /// Its key takes more than its share of the owner.
  bool is_throttled_key = false;
  size_t waiting_before = 0;
};

enum class admission {
  kSend,
  kWait,    ///< At this host, for room that is expected in time.
  kRefuse,  ///< At once: it could not be answered in time.
};

/// Returns the state of an owner from its load over all hosts; empty if the
/// load does not tell how fast it works. `occupied` is the number of requests
/// that are expected there now.
std::optional<owner_state> OwnerStateFrom(const target_load& load, int slots,
                                          double occupied);

/// Returns how many requests per second the owner serves while all of its slots
/// are in use.
double ServiceRate(const owner_state& owner);

/// Decides on a request. A request may always use a free slot; beyond that, the
/// owner is filled no deeper than lets one more request be answered in time,
/// and less urgent ranks use a smaller part of that room.
admission Admit(const owner_state& owner, const admission_request& request);

/// Returns the time until the owner has room for a request that is refused now.
duration TimeUntilRoom(const owner_state& owner,
                       const admission_request& request);

/// Returns how long a request may wait at the host for room at an owner.
duration MaxAdmissionWait(duration objective);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_OWNER_ADMISSION_H_
