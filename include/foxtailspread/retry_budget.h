#ifndef FOXTAILSPREAD_RETRY_BUDGET_H_
#define FOXTAILSPREAD_RETRY_BUDGET_H_

/// @file
/// The budget of retries to one service on one host.
///
/// Load pattern: a service begins to fail or to reject requests, and every host
/// retries them. Without a bound the retries alone keep the service overloaded
/// after the cause is gone.

#include <array>
#include <cstdint>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The bound on the retries of all hosts together.
struct retry_bounds {
  double ratio = 0.2;   ///< Retries per request.
  double slack = 50.0;  ///< Retries allowed per window besides.
  duration window{std::chrono::seconds{10}};
};

/// One host's part of the bound for one service, over a sliding window. The
/// ratio applies to the host's own requests, so a host with more traffic may
/// retry more; the slack is divided equally among the hosts.
class retry_budget {
 public:
  explicit retry_budget(retry_bounds bounds) : bounds_(bounds) {}

  void SetHostCount(size_t host_count) {
    host_count_ = host_count == 0 ? 1 : host_count;
  }
  void OnRequest(time_point now) { ++CurrentSlice(now).requests; }
  /// Takes one retry out of the budget; returns false if none remains.
  bool TryRetry(time_point now);
  /// Returns whether TryRetry would succeed.
  bool CanRetry(time_point now) { return RemainingRetries(now) >= 1.0; }
  /// Returns the number of retries that remain now; negative if the requests
  /// that allowed earlier retries have left the window.
  double RemainingRetries(time_point now);

 private:
  /// Number of slices in the window. One more is kept, so that a retry counts
  /// for at least the length of the window.
  static constexpr int64_t kSlices = 10;
  /// Fraction of the bound that is used. The rest is a margin for requests that
  /// other hosts received and that this host counts twice, on a route that
  /// splits its traffic.
  static constexpr double kUsedFraction = 0.8;

  struct slice {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  slice& CurrentSlice(time_point now);

  retry_bounds bounds_;
  size_t host_count_ = 1;
  std::array<slice, kSlices + 1> slices_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RETRY_BUDGET_H_
