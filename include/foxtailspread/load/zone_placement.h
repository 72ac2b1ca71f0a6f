#ifndef FOXTAILSPREAD_LOAD_ZONE_PLACEMENT_H_
#define FOXTAILSPREAD_LOAD_ZONE_PLACEMENT_H_

/// @file
/// Whether a request goes to a target of its host's own availability zone.
///
/// Load pattern: zones peak at different moments, and bytes between them are
/// billed. The own zone's targets serve what they can in time; only what does
/// not fit goes to other zones, the same fraction at each host of the zone.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// How targets of the own zone and of other zones are chosen between.
enum class zone_preference {
  /// The own zone while it has room, where the targets' loads over all hosts
  /// are known; as kBalanced elsewhere.
  kOwnZoneFirst,
  /// By expected latency, with a penalty for other zones.
  kBalanced,
};

/// Parses "own_zone_first" or "balanced".
result<zone_preference> ParseZonePreference(std::string_view text);

/// Why a request was sent to another zone.
enum class spill_reason {
  kNoTarget,  ///< The own zone has no target that accepts requests.
  kNoSlot,    ///< This host may send no more to the own zone's targets now.
  kTooSlow,   ///< The own zone would answer too late, another zone sooner.
};
inline constexpr size_t kSpillReasonCount = 3;

/// Returns the name of `reason` in the metrics. Names are stable.
std::string_view ToString(spill_reason reason);

/// Number of sends of one service, by zone.
struct zone_send_counts {
  uint64_t own_zone = 0;
  uint64_t other_zones = 0;
  /// Requests that left the own zone although it goes first, by spill_reason.
  std::array<uint64_t, kSpillReasonCount> spills{};
};

/// What one request can choose from.
struct zone_choice {
  /// Expected latencies of the best targets found in the own zone and in the
  /// others; empty if there is none to send to now.
  std::optional<duration> own_zone{};
  std::optional<duration> other_zones{};
  /// Whether any target of the own zone accepts requests, free or not.
  bool own_zone_accepts = false;
  duration objective{};  ///< Latency objective of the request's route.
  /// Mean expected latency of all targets that could be chosen.
  duration typical{};
};

/// Chooses the zone for requests of one pooled service on one host, by loads
/// that all hosts know alike.
///
/// @code
/// if (const auto reason = placement.Spill(choice)) SendToOtherZone();
/// placement.OnServed(objective, latency);
/// @endcode
class zone_placement {
 public:
  /// Returns why a request goes to another zone; empty if it does not.
  std::optional<spill_reason> Spill(const zone_choice& choice) const;

  /// Records the latency of an answer to a request with this objective.
  void OnServed(duration objective, duration latency);

 private:
  struct latency_estimate {
    duration mean{};
    duration deviation{};  ///< Mean absolute deviation.
  };

  /// Returns the latency that most answers of the own zone's best target stay
  /// below.
  duration LikelyLatency(const zone_choice& choice) const;

  /// By objective: routes with different objectives differ in work.
  std::map<duration, latency_estimate> latencies_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_ZONE_PLACEMENT_H_
