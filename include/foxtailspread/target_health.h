#ifndef FOXTAILSPREAD_TARGET_HEALTH_H_
#define FOXTAILSPREAD_TARGET_HEALTH_H_

/// @file
/// Load and health of one target, as estimated by one host from the outcomes
/// of its own requests and from the load that the target reports.
///
/// Load pattern: about ten hosts share a target's few slots without seeing
/// each other's requests, targets differ in speed, and some become slow,
/// freeze or fail. Only the outcomes of requests are current; the load that a
/// target reports lags behind.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "foxtailspread/reported_load.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Outcome of one attempt, as far as it concerns the target's health.
enum class attempt_verdict {
  kServed,       ///< A complete response that is no failure.
  kFailed,       ///< The target responded with an error of its own.
  kShed,         ///< The target rejected the request because it is full.
  kMisdirected,  ///< The address belongs to another target by now, or the
                 ///< target does not own the key.
  kNotOwner,     ///< As kMisdirected, but most likely because of the key.
  kUnreachable,  ///< No connection, or it closed before it was used.
  kBroken,       ///< No complete response.
  kTimedOut,     ///< The request's deadline passed.
  kAbandoned,    ///< The caller disconnected.
  kNotSent,      ///< This host had no descriptor to connect with.
};

/// Load and health of one target, and the limit that this host puts on its
/// concurrent requests there.
class target_health {
 public:
  /// `slots` is how many requests the target runs concurrently.
  /// `initial_latency` is the mean latency before the first response.
  target_health(int slots, duration initial_latency);

  /// Sets the maximum of concurrent requests of this host at the target, 0 for
  /// the default, and the number of hosts that share the target's slots.
  void SetLimits(int max_requests, size_t host_count);

  void OnSent(time_point now);
  /// Records the end of an attempt that was sent at `sent_at`. `objective` is
  /// the latency objective of its route.
  void OnEnded(attempt_verdict verdict, time_point sent_at, duration objective,
               time_point now);

  /// The target wants no requests for a time. Afterwards it gets one at a time
  /// first.
  void OnBackoff();

  /// Records the load that the target reported at `reported_at`, and the mean
  /// latency over all hosts, 0 if that is not known.
  void OnLoadReport(const reported_load& load, time_point reported_at,
                    duration all_hosts_latency);
  /// Returns the latest reported load, or nullptr if it is too old to use.
  const reported_load* ReportedLoad(time_point now) const;
  time_point reported_at() const { return reported_at_; }

  /// Returns whether the limit allows one more request now.
  bool HasCapacity(time_point now) const;
  /// Returns the end of the pause before the next request; a time in the past
  /// if there is no pause.
  time_point PausedUntil() const;
  /// False during the backoff after a failed connection.
  bool IsReachable(time_point now) const { return now >= unreachable_until_; }
  /// False also while the target is avoided because it fails its requests.
  bool IsHealthy(time_point now) const {
    return IsReachable(now) && now >= failing_until_;
  }

  /// Returns the expected latency of one more request.
  duration ExpectedLatency(time_point now) const;
  /// Returns the age of the oldest request in flight; 0 if there is none.
  duration OldestAge(time_point now) const {
    return sent_times_.empty() ? duration{0}
                               : duration{now - sent_times_.front()};
  }
  duration mean_latency() const { return mean_latency_; }
  /// Returns the latency that most responses stay below: the mean plus the
  /// mean deviation.
  duration LikelyLatency() const { return mean_latency_ + latency_deviation_; }
  /// Returns the mean latency of the requests served since the last call, and
  /// their number.
  std::pair<duration, uint32_t> TakeRecentLatency();
  int in_flight() const { return in_flight_; }
  /// Returns how many of the requests in flight were sent after `since`.
  size_t SentSince(time_point since) const;
  double limit() const { return limit_; }
  uint64_t served() const { return served_; }

 private:
  void AddLatency(duration latency);
  duration ExpectedByReportedLoad(time_point now) const;
  void ReduceLimit(double factor);
  void OnShed();

  int slots_;
  int in_flight_ = 0;
  double limit_;  ///< Concurrent requests; below 1, one with a pause after it.
  double max_limit_;
  double min_limit_;
  duration mean_latency_;
  duration latency_deviation_{0};  ///< Mean absolute deviation of the latency.
  time_point last_sent_at_{};
  uint64_t served_ = 0;
  duration recent_latency_sum_{0};
  uint32_t recent_count_ = 0;
  double failure_ratio_ = 0.0;
  time_point failing_until_{};
  int consecutive_not_owner_ = 0;
  int consecutive_sheds_ = 0;
  time_point unreachable_until_{};
  reported_load reported_load_{};
  time_point reported_at_{};
  duration all_hosts_latency_{0};  ///< Mean over all hosts; 0 if not known.
  double mean_slowness_ = 1.0;
  duration connect_backoff_{0};  ///< Current backoff after failed connections.
  /// Send times of the requests in flight, oldest first.
  std::deque<time_point> sent_times_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_HEALTH_H_
