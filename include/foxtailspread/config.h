#ifndef FOXTAILSPREAD_CONFIG_H_
#define FOXTAILSPREAD_CONFIG_H_

/// @file
/// The configuration shared by all hosts of one deployment: organisations,
/// services, rules and presets. It is one object of the platform, replaced as
/// a whole by conditional update, so that no reader ever sees half a change.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The format that this release reads and writes.
inline constexpr int kConfigFormat = 1;

/// How urgent a request is. Lower values go first.
enum class urgency { kUrgent, kOrdinary, kArchive };
inline constexpr int kUrgencyCount = 3;

/// Returns "urgent", "ordinary" or "archive".
std::string_view ToString(urgency value);

/// Parses the names that ToString returns.
result<urgency> ParseUrgency(std::string_view text);

/// How a service chooses the target of a request.
enum class placement_kind {
  kKeyed,   ///< The key's bucket has one owner and only that target serves.
  kPooled,  ///< Any target of the service serves any key.
};

/// Returns "keyed" or "pooled".
std::string_view ToString(placement_kind value);

/// Parses the names that ToString returns.
result<placement_kind> ParsePlacement(std::string_view text);

/// Checks that `text` can name a host, zone, service, organisation, target or
/// preset: 1 to 64 of a-z, 0-9, ".", "_" and "-", the first a letter or digit.
/// Names become parts of the platform's keys, which allow no more than that.
status CheckName(std::string_view text);

/// Checks that `text` is a SHA-256 digest in lower-case hex.
status CheckTokenDigest(std::string_view text);

/// One key-owning server of a service.
struct target_config {
  std::string name;     ///< Unique within the deployment.
  std::string address;  ///< "IP:port".
  std::string zone;     ///< The availability zone it stands in.

  bool operator==(const target_config&) const = default;
};

/// A service-level objective: the part of requests that must be answered
/// within the latency.
struct objective_config {
  double target = 0.99;
  duration latency{std::chrono::milliseconds{8}};

  bool operator==(const objective_config&) const = default;
};

/// One service that organisations call.
struct service_config {
  std::string name;
  placement_kind placement = placement_kind::kPooled;
  /// Requests are at-most-once actions with an identifier.
  bool at_most_once = false;
  /// The targets verify the epoch of whoever orders them. False is the safe
  /// class: a new steward then waits out the former one's last deadline.
  bool targets_check_grants = false;
  urgency default_urgency = urgency::kOrdinary;
  int slots = 3;         ///< Requests that one target runs at once.
  int connections = 50;  ///< Connections that one target accepts.
  int buckets = 256;     ///< Parts of the key space; fixed for its lifetime.
  duration default_deadline{std::chrono::seconds{2}};
  duration max_deadline{std::chrono::seconds{30}};
  /// Weight of evening out load against leaving buckets where they are, 0..1:
  /// 1 moves for any gain in balance, 0 moves only for loss.
  double balance_weight = 0.5;
  objective_config objective;
  std::vector<target_config> targets;

  bool operator==(const service_config&) const = default;
};

/// One organisation and how it is recognised.
struct organisation_config {
  std::string name;
  /// SHA-256 of each accepted bearer token, in lower-case hex. Tokens
  /// themselves are never stored.
  std::vector<std::string> token_digests;
  /// The services it may call; empty means none.
  std::vector<std::string> services;

  bool operator==(const organisation_config&) const = default;
};

/// The rule of one organisation for one service ("*" for all its services).
struct rule_config {
  std::string organisation;
  std::string service = "*";
  double share = 1.0;    ///< Guaranteed part, relative to other shares.
  int max_queued = 256;  ///< Requests that may wait at one steward.
  urgency most_urgent = urgency::kUrgent;  ///< Highest class it may claim.

  bool operator==(const rule_config&) const = default;
};

/// Adjustments that hold while a preset is in force.
struct preset_config {
  std::string name;
  bool admit_archive = true;    ///< False refuses archive work at once.
  double archive_share = 0.2;   ///< Part of the slots that archive may hold.
  double retry_budget = 0.1;    ///< Retries per first attempt.
  bool allow_rebalance = true;  ///< False keeps buckets where they are.

  bool operator==(const preset_config&) const = default;
};

/// The whole configuration. `version` is the platform's revision and never
/// part of the text.
struct deployment_config {
  uint64_t version = 0;
  int format = kConfigFormat;
  std::string deployment;
  std::vector<std::string> zones;
  std::vector<service_config> services;
  std::vector<organisation_config> organisations;
  std::vector<rule_config> rules;
  std::vector<preset_config> presets;
  std::string preset;      ///< The name of the one in force.
  std::string preset_by;   ///< Who switched to it.
  std::string preset_why;  ///< The reason that was given.
  std::string preset_at;   ///< When, as ISO 8601 in UTC.
  /// The mark of the write that put this text in place. A writer whose answer
  /// was lost finds its own mark here and knows that the write took effect.
  std::string mark;

  /// Returns the service, organisation or preset of that name, or nullptr.
  /// The pointer is valid while this object is unchanged.
  const service_config* FindService(std::string_view name) const;
  const organisation_config* FindOrganisation(std::string_view name) const;
  const preset_config* FindPreset(std::string_view name) const;
  /// Returns the preset in force; a checked configuration always has one.
  const preset_config& PresetInForce() const;
  /// Returns the rule for this organisation and service: the exact one, else
  /// the organisation's "*", else the default rule.
  rule_config RuleFor(std::string_view organisation,
                      std::string_view service) const;

  bool operator==(const deployment_config&) const = default;
};

/// Parses and checks a configuration in JSON with comments. Unknown fields,
/// dangling references, duplicate names and values out of range are errors
/// that name the path and the remedy.
///
/// A newer format gives kNewerFormat: whoever has a good configuration goes on
/// with that one.
///
/// @code
/// result<deployment_config> config = ParseConfig(text);
/// if (!config) std::cerr << config.error().Message();
/// @endcode
result<deployment_config> ParseConfig(std::string_view text);

/// Writes `config` as JSON text that ParseConfig reads back to an equal value.
std::string FormatConfig(const deployment_config& config);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CONFIG_H_
