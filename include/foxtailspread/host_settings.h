#ifndef FOXTAILSPREAD_HOST_SETTINGS_H_
#define FOXTAILSPREAD_HOST_SETTINGS_H_

/// @file
/// The settings of one entry host: who it is, where it listens and where it
/// finds the others. What the hosts of a deployment share is its configuration
/// (config.h).

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Another entry host, asked for the configuration only while the platform
/// does not answer.
struct peer_seed {
  std::string name;
  std::string zone;
  std::string http;  ///< Where it listens for HTTP, "IP:port".
  std::string peer;  ///< Where it listens for gRPC, "IP:port".

  bool operator==(const peer_seed&) const = default;
};

/// What one host takes on at most.
struct host_limits {
  size_t max_body_bytes = size_t{1} << 20;  ///< Body of one request.
  int max_in_flight = 10000;                ///< Requests held at once.

  bool operator==(const host_limits&) const = default;
};

/// The intervals that a host goes by.
struct host_timing {
  /// How long a target or another host may rely on what was granted to it.
  duration lease{std::chrono::milliseconds{400}};
  /// How often leases are renewed; a third of the lease at most, so that one
  /// lost renewal leaves time for another.
  duration renew{std::chrono::milliseconds{100}};
  /// How long the balancer may send requests after it was told to stop.
  duration drain_ready_lag{std::chrono::milliseconds{1000}};
  /// How long requests in flight may take to finish at a planned stop.
  duration drain_limit{std::chrono::milliseconds{10000}};

  bool operator==(const host_timing&) const = default;
};

/// How much is logged.
enum class log_level { kTrace, kDebug, kInfo, kWarn, kError };

/// Returns "trace", "debug", "info", "warn" or "error".
std::string_view ToString(log_level value);

/// Where the log goes.
struct log_settings {
  log_level level = log_level::kInfo;
  std::string file;  ///< "" for standard error.

  bool operator==(const log_settings&) const = default;
};

/// All settings of one entry host.
struct host_settings {
  std::string name;        ///< Unique within the deployment.
  std::string zone;        ///< The availability zone it stands in.
  std::string deployment;  ///< Must equal the configuration's.
  std::string listen;      ///< HTTP for callers, hosts and operators.
  /// Where others reach `listen`; equal to it unless set.
  std::string advertise;
  std::string peer_listen;  ///< gRPC between entry hosts.
  /// Where other hosts reach `peer_listen`; equal to it unless set.
  std::string peer_advertise;
  std::string platform;  ///< The platform's object API.
  std::vector<peer_seed> peers;
  /// Shared by the deployment's hosts, at least 16 characters. Either this or
  /// the file is given.
  std::string host_secret;
  std::string host_secret_file;
  /// SHA-256 of each token of an operator, in lower-case hex.
  std::vector<std::string> operator_token_digests;
  host_limits limits;
  host_timing timing;
  log_settings log;
  std::string trace_file;  ///< Where requests are recorded for replay, "" off.

  bool operator==(const host_settings&) const = default;
};

/// Parses and checks settings in JSON with comments. Fields left out keep
/// their defaults; `advertise` and `peer_advertise` are filled in.
///
/// @code
/// result<host_settings> settings = ParseHostSettings(text);
/// if (!settings) std::cerr << settings.error().Message();
/// @endcode
result<host_settings> ParseHostSettings(std::string_view text);

/// Checks a secret that was read from `host_secret_file`. The error never
/// quotes it.
status CheckHostSecret(std::string_view secret);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_SETTINGS_H_
