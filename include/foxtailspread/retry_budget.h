#ifndef FOXTAILSPREAD_RETRY_BUDGET_H_
#define FOXTAILSPREAD_RETRY_BUDGET_H_

/// @file
/// How many repeated sends a service bears from this host.
///
/// Load pattern: a service begins to fail or to reject, and every host sends
/// again what came back. Without a bound the repeats alone keep the service
/// over its capacity after the cause is gone.

#include <array>
#include <cstdint>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The bound that all hosts keep together.
struct retry_bounds {
  double ratio = 0.2;   ///< Repeats for each request.
  double slack = 50.0;  ///< Repeats besides, in a window.
  duration window{std::chrono::seconds{10}};
};

/// One host's part of one service's bound, over a sliding window. Requests
/// count as they come, so a host with more traffic has a larger part; the
/// slack is divided by the number of hosts.
class retry_budget {
 public:
  explicit retry_budget(retry_bounds bounds) : bounds_(bounds) {}

  void SetHosts(size_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }
  void OnRequest(time_point now) { ++At(now).requests; }
  /// Takes one repeat out of the budget, or returns false.
  bool TryRepeat(time_point now);
  /// Whether TryRepeat would succeed.
  bool HasRoom(time_point now) { return Left(now) >= 1.0; }
  /// Repeats that may still be made now; below 0 if the requests that earned
  /// them have left the window.
  double Left(time_point now);

 private:
  /// The window is cut into so many slices; one more is kept, so that a
  /// repeat counts for no less than the window.
  static constexpr int64_t kSlices = 10;
  /// The part of the bound that is used. Requests that other hosts took in
  /// and that this host counts twice, on a route's split, make up the rest.
  static constexpr double kUsedShare = 0.8;

  struct slice {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };

  slice& At(time_point now);

  retry_bounds bounds_;
  size_t hosts_ = 1;
  std::array<slice, kSlices + 1> slices_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RETRY_BUDGET_H_
