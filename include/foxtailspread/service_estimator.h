#ifndef FOXTAILSPREAD_SERVICE_ESTIMATOR_H_
#define FOXTAILSPREAD_SERVICE_ESTIMATOR_H_

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
class service_estimator {
 public:
  /// The mean before the first sample.
  static constexpr double kInitialMeanUs = 2000;

  /// Adds one measured service time.
  void Add(duration measured) {
    const auto us = static_cast<double>(measured.count());
    samples_ = std::min(samples_ + 1, kWindow);
    mean_us_ += (us - mean_us_) / samples_;
    high_us_ = std::max(us, high_us_ * kHighDecay);
  }

  bool Empty() const { return samples_ == 0; }
  double MeanUs() const { return mean_us_; }
  duration Mean() const { return duration(static_cast<int64_t>(mean_us_)); }
  /// Returns approximately the longest of the last 1000 service times.
  duration High() const { return duration(static_cast<int64_t>(high_us_)); }

 private:
  static constexpr int kWindow = 64;
  static constexpr double kHighDecay = 0.999;

  double mean_us_ = kInitialMeanUs;
  double high_us_ = 0;
  int samples_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SERVICE_ESTIMATOR_H_
