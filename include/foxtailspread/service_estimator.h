#ifndef FOXTAILSPREAD_SERVICE_ESTIMATOR_H_
#define FOXTAILSPREAD_SERVICE_ESTIMATOR_H_

/// @file
/// What is known of service times from answers seen first-hand.

#include <algorithm>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The running mean and a slowly forgotten maximum of service times.
///
/// @code
/// service_estimator estimator;
/// estimator.Add(measured);
/// duration expected = estimator.Mean();
/// @endcode
class service_estimator {
 public:
  /// Taken for the mean until the first answer.
  static constexpr double kInitialMeanUs = 2000;

  /// Counts one measured service time.
  void Add(duration measured) {
    const auto us = static_cast<double>(measured.count());
    samples_ = std::min(samples_ + 1, kWindow);
    mean_us_ += (us - mean_us_) / samples_;
    high_us_ = std::max(us, high_us_ * kHighDecay);
  }

  bool Empty() const { return samples_ == 0; }
  double MeanUs() const { return mean_us_; }
  duration Mean() const { return duration(static_cast<int64_t>(mean_us_)); }
  /// Returns about the longest service time among the latest thousand.
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
