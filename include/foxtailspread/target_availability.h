#ifndef FOXTAILSPREAD_TARGET_AVAILABILITY_H_
#define FOXTAILSPREAD_TARGET_AVAILABILITY_H_

/// @file
/// Whether a target may get work, whatever its load and health.
///
/// Load pattern: an operator evacuates an availability zone and takes it back,
/// or a zone returns from a loss of power. Its targets are cold then: they
/// crash under the load that they carry when warm.

#include <optional>

#include "foxtailspread/routing_config.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// How a service's targets bear load after their start.
struct cold_policy {
  duration cold_time{};             ///< How long they are cold.
  bool bears_few_requests = false;  ///< Cold ones crash under the usual load.
};

cold_policy ColdPolicyOf(const service_settings& service);

/// What one host knows of a target's evacuation and warm-up.
///
/// @code
/// availability.OnEntry(entry, policy, now);
/// availability.OnEvacuated(zones.contains(entry.zone), policy, now);
/// if (availability.IsOpen(now)) Send();
/// @endcode
class target_availability {
 public:
  /// Takes a new entry of the target, which says how much longer it is cold.
  void OnEntry(const target_entry& entry, const cold_policy& policy,
               time_point now);

  /// Takes whether its zone is evacuated. After an evacuation the target counts
  /// as cold: it may have been started anew meanwhile.
  void OnEvacuated(bool evacuated, const cold_policy& policy, time_point now);

  bool IsEvacuated() const { return evacuated_since_.has_value(); }
  /// When the evacuation was first heard of.
  std::optional<time_point> evacuated_since() const { return evacuated_since_; }

  bool IsCold(time_point now) const { return now < cold_until_; }
  time_point cold_until() const { return cold_until_; }

  bool IsOpen(time_point now) const { return !IsEvacuated() && !IsCold(now); }

 private:
  std::optional<time_point> evacuated_since_;
  time_point cold_until_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_AVAILABILITY_H_
