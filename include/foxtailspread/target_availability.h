#ifndef FOXTAILSPREAD_TARGET_AVAILABILITY_H_
#define FOXTAILSPREAD_TARGET_AVAILABILITY_H_

/// @file
/// Whether a target may receive requests at all, irrespective of its load and
/// health.
///
/// Load pattern: an operator evacuates an availability zone and later returns
/// it to service, or a zone comes back after a power failure. Its targets are
/// cold then: they crash under the load that they sustain when warm.

#include <optional>

#include "foxtailspread/routing_config.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// How a service's targets handle load after their start.
struct cold_policy {
  duration cold_time{};  ///< How long they are cold after a start.
  /// They crash under normal load while cold.
  bool is_fragile_when_cold = false;
};

cold_policy ColdPolicyOf(const service_settings& service);

/// Tracks the evacuation and the warm-up of one target on one host.
///
/// @code
/// availability.OnEntry(entry, policy, now);
/// availability.OnEvacuated(zones.contains(entry.zone), policy, now);
/// if (availability.IsAvailable(now)) Send();
/// @endcode
class target_availability {
 public:
  /// Takes a new entry of the target, which states how much longer it is cold.
  void OnEntry(const target_entry& entry, const cold_policy& policy,
               time_point now);

  /// Records whether the target's zone is evacuated. After an evacuation the
  /// target counts as cold, as it may have been restarted in the meantime.
  void OnEvacuated(bool evacuated, const cold_policy& policy, time_point now);

  bool IsEvacuated() const { return evacuated_since_.has_value(); }
  /// When this host first learnt of the evacuation.
  std::optional<time_point> evacuated_since() const { return evacuated_since_; }

  bool IsCold(time_point now) const { return now < cold_until_; }
  time_point cold_until() const { return cold_until_; }

  bool IsAvailable(time_point now) const {
    return !IsEvacuated() && !IsCold(now);
  }

 private:
  std::optional<time_point> evacuated_since_;
  time_point cold_until_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_AVAILABILITY_H_
