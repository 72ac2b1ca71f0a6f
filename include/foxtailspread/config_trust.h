#ifndef FOXTAILSPREAD_CONFIG_TRUST_H_
#define FOXTAILSPREAD_CONFIG_TRUST_H_

/// @file
/// Whether a host may say that something is not in the configuration. A host
/// that cannot know whether its configuration is the newest one asks callers to
/// come back instead.

#include <cstdint>
#include <optional>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// How long a configuration that was read from the store is relied on. Changes
/// must be in force within two seconds.
inline constexpr duration kMaxConfigAge{std::chrono::seconds{2}};

/// How long after the store returned to a copy the operator may still have to
/// write the configuration again.
inline constexpr duration kConfigRewriteTime{std::chrono::seconds{4}};

/// How long a host that has just started waits to hear from the lease holder
/// which configuration is in force.
inline constexpr duration kConfigToldWithin{std::chrono::milliseconds{1500}};

/// Tracks what is known of the configuration in force elsewhere.
///
/// @code
/// trust.OnVersionHeard(heartbeat.view->config_version);
/// if (!trust.IsNewest(in_force, copy.current_as_of(), now)) AskToComeBack();
/// @endcode
class config_trust {
 public:
  /// The first configuration has come into force.
  void OnFirstVersion(time_point now) { first_at_ = now; }
  /// The store has returned to a copy, which may lack configurations.
  void OnNewEra(time_point now) { era_began_at_ = now; }
  /// Another host has this version in force.
  void OnVersionHeard(uint64_t version);

  /// Returns whether version `in_force`, current in the store at `as_of`, is
  /// the newest one as far as this host can know.
  bool IsNewest(uint64_t in_force, time_point as_of, time_point now) const;

 private:
  std::optional<uint64_t> heard_version_;
  time_point first_at_{};
  std::optional<time_point> era_began_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CONFIG_TRUST_H_
