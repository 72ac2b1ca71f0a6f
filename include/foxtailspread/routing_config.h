#ifndef FOXTAILSPREAD_ROUTING_CONFIG_H_
#define FOXTAILSPREAD_ROUTING_CONFIG_H_

/// @file
/// The operator's configuration of requests: routes, the services behind them
/// and the limits for callers. Each version is one immutable table.

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Whether a request may run more than once.
enum class retry_rule {
  kIdempotent,  ///< May be retried after any failure.
  kAtMostOnce,  ///< Retried only if it provably did not run.
};

/// A service that receives a part of a route's traffic.
struct weighted_service {
  std::string service;
  double weight = 1.0;
};

/// The services and rules for requests with one Host header and path prefix.
struct route {
  std::string name;
  std::string host;    ///< Lower case, without a port.
  std::string prefix;  ///< Begins and ends with a slash.
  retry_rule retry = retry_rule::kAtMostOnce;
  /// Latency objective: a response has its full value until then.
  duration objective{std::chrono::seconds{1}};
  duration timeout{std::chrono::seconds{30}};  ///< Maximum time to a response.
  int rank = 0;                                ///< 0 is the most urgent.
  int max_attempts = 1;  ///< Maximum number of targets tried per request.
  std::vector<weighted_service> services;  ///< At least one.
};

/// The operator's settings of one service.
struct service_settings {
  std::string name;
  std::string health_path;
  int max_connections = 0;      ///< Per target, all hosts; 0 if unlimited.
  bool keyed = false;           ///< Only the owner of a key runs its requests.
  duration key_warm_up_time{};  ///< How long a target is slow on newly assigned
                                ///< keys.
  duration cold_time{};         ///< How long a target is cold after its start.
  /// Requests per second that a cold target sustains, over all hosts; 0 if
  /// unlimited.
  double cold_requests_per_second = 0.0;
};

/// Limits on the requests and connections of callers.
struct caller_bounds {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = size_t{1} << 20;
  duration header_timeout{std::chrono::seconds{3}};
  duration idle_timeout{std::chrono::seconds{15}};
};

/// One version of the configuration.
struct routing_config {
  uint64_t version = 0;
  caller_bounds bounds;
  std::vector<route> routes;
  std::vector<service_settings> services;
};

/// One version with an index for lookups. The requests that it routed share its
/// ownership, so that their routes stay valid when a new version takes effect.
class route_table
    : public boost::intrusive_ref_counter<route_table,
                                          boost::thread_unsafe_counter> {
 public:
  explicit route_table(routing_config config);

  /// Returns the route with the longest prefix of `path`, or nullptr. `host`
  /// may contain a port and upper-case letters; `path` may contain a query.
  const route* FindRoute(std::string_view host, std::string_view path) const;

  const service_settings* FindService(std::string_view name) const;
  const routing_config& config() const { return config_; }

 private:
  routing_config config_;
  /// By host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

/// Distributes a route's requests over its services by smooth weighted
/// round-robin. Each service's share follows its weight at any time; with
/// random choice the shares of a few hundred requests deviate by several per
/// cent.
class weighted_round_robin {
 public:
  /// Returns the index of the service for the next request. Weights may change
  /// between calls; if all are zero they count as equal.
  size_t Next(const std::vector<weighted_service>& services);

 private:
  std::vector<double> credit_;  ///< Requests owed to each service.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ROUTING_CONFIG_H_
