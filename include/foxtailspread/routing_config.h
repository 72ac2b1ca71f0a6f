#ifndef FOXTAILSPREAD_ROUTING_CONFIG_H_
#define FOXTAILSPREAD_ROUTING_CONFIG_H_

/// @file
/// What the operator declared for requests: routes, the services behind them
/// and what callers may send. One immutable table per version.

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

/// Whether one request may run more than once.
enum class repeat_rule {
  kIdempotent,  ///< May run again after a failure.
  kAtMostOnce,  ///< Sent again only if it provably did not run.
};

/// A part of a route's traffic.
struct weighted_service {
  std::string service;
  double weight = 1.0;
};

/// Where the requests of one host and path prefix go.
struct route {
  std::string name;
  std::string host;    ///< Lower case, without a port.
  std::string prefix;  ///< Begins and ends with a slash.
  repeat_rule repeat = repeat_rule::kAtMostOnce;
  duration objective{std::chrono::seconds{1}};  ///< Full value until then.
  duration timeout{std::chrono::seconds{30}};   ///< Longest time to an answer.
  int rank = 0;                                 ///< 0 is the most urgent.
  int max_attempts = 1;  ///< Targets that one request may be sent to.
  std::vector<weighted_service> services;  ///< At least one.
};

/// What the operator says of one service.
struct service_settings {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< A target's, from all hosts; 0 if not limited.
  bool keyed = false;       ///< Only a key's owner may run its requests.
  duration warm_up{};       ///< How long a target is slow on keys new to it.
  duration cold_time{};     ///< How long a target is cold after its start.
  /// Requests a second that a cold target bears, from all hosts; 0 if it bears
  /// any number.
  double cold_rate = 0.0;
};

/// What callers may send.
struct caller_bounds {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = size_t{1} << 20;
  duration header_timeout{std::chrono::seconds{3}};
  duration idle_timeout{std::chrono::seconds{15}};
};

/// One version of the declarations.
struct routing_config {
  uint64_t version = 0;
  caller_bounds bounds;
  std::vector<route> routes;
  std::vector<service_settings> services;
};

/// A version with an index for lookups. Shared by the requests that were
/// routed by it, so that a change does not pull a route from under them.
class route_table
    : public boost::intrusive_ref_counter<route_table,
                                          boost::thread_unsafe_counter> {
 public:
  explicit route_table(routing_config config);

  /// Returns the route whose prefix is the longest that begins `path`, or
  /// nullptr. `host` may carry a port and any case; `path` may carry a query.
  const route* Find(std::string_view host, std::string_view path) const;

  const service_settings* FindService(std::string_view name) const;
  const routing_config& config() const { return config_; }

 private:
  routing_config config_;
  /// By host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

/// Deals requests to the parts of a split so that each part's share follows
/// its weight at any moment, not only on average: with random choice the
/// shares of a few hundred requests are off by several parts in a hundred.
class split_dealer {
 public:
  /// Returns the index of the part whose turn it is. Weights may change from
  /// call to call; all zero counts as all equal.
  size_t Next(const std::vector<weighted_service>& parts);

 private:
  std::vector<double> credit_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ROUTING_CONFIG_H_
