#ifndef FOXTAILSPREAD_SERVICE_TIME_ESTIMATOR_H_
#define FOXTAILSPREAD_SERVICE_TIME_ESTIMATOR_H_

/// @file
/// Estimates service times from the answers that this host has received.

#include <algorithm>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The moving average and a slowly decaying maximum of service times.
///
/// @code
/// service_time_estimator estimator;
/// estimator.Add(measured);
/// duration expected = estimator.Mean();
/// @endcode
class service_time_estimator {
 public:
  /// The mean before the first sample.
  static constexpr double kInitialMeanUs = 2000;

  /// Adds one measured service time.
  void Add(duration measured) {
    const auto us = static_cast<double>(measured.count());
    samples_ = std::min(samples_ + 1, kWindowSamples);
    mean_us_ += (us - mean_us_) / samples_;
    recent_max_us_ = std::max(us, recent_max_us_ * kMaxDecayPerSample);
  }

  bool Empty() const { return samples_ == 0; }
  double MeanUs() const { return mean_us_; }
  duration Mean() const { return duration(static_cast<int64_t>(mean_us_)); }
  /// Returns approximately the longest of the last 1000 service times.
  duration RecentMax() const {
    return duration(static_cast<int64_t>(recent_max_us_));
  }

 private:
  static constexpr int kWindowSamples = 64;
  static constexpr double kMaxDecayPerSample = 0.999;

  double mean_us_ = kInitialMeanUs;
  double recent_max_us_ = 0;
  int samples_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SERVICE_TIME_ESTIMATOR_H_
