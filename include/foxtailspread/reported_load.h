#ifndef FOXTAILSPREAD_REPORTED_LOAD_H_
#define FOXTAILSPREAD_REPORTED_LOAD_H_

/// @file
/// The load that targets report with their responses, and its exchange between
/// hosts.
///
/// Load pattern: many hosts send to each target, so that one host gets a
/// response of a given target only every few seconds, while the target's load
/// changes several times a second. All hosts together get about ten responses
/// of each target per second.

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// A target's load at the time of its response.
struct reported_load {
  int running = 0;        ///< Requests that it runs.
  int waiting = 0;        ///< Requests in its queue.
  double slowness = 1.0;  ///< Run time relative to the usual one.

  int occupied() const { return running + waiting; }
  bool operator==(const reported_load&) const = default;
};

/// A target's load as hosts exchange it.
struct load_sample {
  uint32_t target = 0;  ///< ShortIdOf the target's id.
  reported_load load{};
  uint32_t age_ms = 0;      ///< Time since the target's report.
  uint32_t latency_us = 0;  ///< Mean latency, 0 if not known.
  uint32_t served = 0;      ///< Requests that it is the mean of.

  bool operator==(const load_sample&) const = default;
};

/// Returns the id of a target in datagrams, a hash. Two targets may collide,
/// which is acceptable because loads are only hints.
uint32_t ShortIdOf(std::string_view target);

/// Returns the period at which each host sends its load samples. A load is most
/// useful while it is younger than the run time of a request, but a single host
/// receives the samples of all others, so the period grows with their number.
duration LoadSharingPeriod(size_t host_count);

/// Returns whether datagrams of `bytes` in each sharing period, sent to each of
/// so many hosts, would take much of the sender's link.
bool NeedsRelays(size_t bytes, size_t host_count);

/// Merges the load samples of all hosts, at the host that broadcasts them.
///
/// @code
/// aggregator.Add(report.loads, now);
/// Broadcast(aggregator.TakeFresh(now));
/// @endcode
class load_aggregator {
 public:
  void Add(std::span<const load_sample> samples, time_point now);

  /// Returns the loads that were reported since the last call, with the mean
  /// latency over all hosts.
  std::vector<load_sample> TakeFresh(time_point now);

 private:
  struct entry {
    reported_load load;
    time_point reported_at{};
    double latency_us = 0.0;
    bool fresh = false;
  };

  std::map<uint32_t, entry> entries_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_REPORTED_LOAD_H_
