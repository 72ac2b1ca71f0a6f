#ifndef FOXTAILSPREAD_SERVICE_LIMIT_H_
#define FOXTAILSPREAD_SERVICE_LIMIT_H_

/// @file
/// The limit of one host's concurrent requests at all targets of a pooled
/// service.
///
/// Load pattern: the request rate exceeds the capacity of the targets. A host
/// gets a response of a given target only every few seconds, too rarely to find
/// a limit for each target, but it gets many responses of the service per
/// second. Without a limit the queue builds up at the targets, where requests
/// can neither be sent to another target nor be rejected in time, and all
/// responses are late.

#include <cstddef>
#include <limits>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// A response with the load that the target reported in it.
struct response_sample {
  double load_per_slot =
      0.0;               ///< Requests at the target for each of its slots.
  bool served = true;    ///< False if the target did not run the request.
  duration latency{};    ///< Latency of the response.
  duration objective{};  ///< Latency objective of the route.
};

/// Adapts the limit to the load that targets report, by additive increase and
/// multiplicative decrease. Hosts that do not see each other's requests thereby
/// converge to similar limits.
///
/// @code
/// limit.OnResponse(
///     {.load_per_slot = 1.5, .latency = latency, .objective = objective}, 7);
/// if (limit.HasCapacity(in_flight)) Send();
/// @endcode
class service_limit {
 public:
  /// Sets the total number of slots of all targets and the number of hosts that
  /// share them.
  void SetCapacity(double total_slots, size_t host_count);

  /// Returns whether one more request may be sent. `in_flight` is the number of
  /// this host's requests in flight. Always true before the first load report.
  bool HasCapacity(int in_flight) const { return in_flight < limit(); }

  /// Records a response and adjusts the limit.
  void OnResponse(const response_sample& response, int in_flight);

  /// Whether a target has reported its load.
  bool has_load_reports() const { return has_load_reports_; }
  double limit() const {
    return has_load_reports_ ? limit_ : std::numeric_limits<double>::infinity();
  }

 private:
  /// Returns the mean load at which most responses still arrive within the
  /// objective.
  double LoadThreshold(duration objective) const;

  bool has_load_reports_ = false;
  double mean_load_ = 0.0;
  /// Mean latency of targets that have a free slot.
  duration unqueued_latency_{0};
  double min_limit_ = 1.0;
  double max_limit_ = 1.0;
  double limit_ = 0.0;  ///< 0 until the capacity is known.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SERVICE_LIMIT_H_
