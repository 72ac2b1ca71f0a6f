#ifndef FOXTAILSPREAD_BENCHMARK_RECORDER_H_
#define FOXTAILSPREAD_BENCHMARK_RECORDER_H_

/// @file
/// What an experiment measures.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <vector>

#include "traffic.h"

namespace foxtailspread::experiment {

inline double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto place = static_cast<int64_t>(std::ceil(part * last));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<size_t>(place)];
}

/// Collects answers and starts after a warm-up.
class recorder {
 public:
  static constexpr time_point kWarmUp{std::chrono::seconds{5}};

  void Arrived(const arrival& request) {
    if (request.at >= kWarmUp) {
      arrived_++;
      arrived_by_org_.resize(
          std::max(arrived_by_org_.size(),
                   static_cast<size_t>(request.organisation) + 1));
      arrived_by_org_[static_cast<size_t>(request.organisation)]++;
    }
  }
  void Answered(const arrival& request, time_point now, duration extra) {
    const duration took = now - request.at + extra;
    if (request.at < kWarmUp || took > request.deadline) {
      return;
    }
    answered_++;
    latencies_[static_cast<size_t>(request.level)].push_back(
        static_cast<double>(took.count()) / 1000);
    if (request.level == urgency::kUrgent && request.organisation > 0) {
      others_urgent_.push_back(static_cast<double>(took.count()) / 1000);
    }
    answered_by_org_.resize(
        std::max(answered_by_org_.size(),
                 static_cast<size_t>(request.organisation) + 1));
    answered_by_org_[static_cast<size_t>(request.organisation)]++;
    const auto second = static_cast<size_t>(
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count());
    by_second_.resize(std::max(by_second_.size(), second + 1));
    by_second_[second]++;
  }
  void Attempted(bool first) { first ? first_attempts_++ : retries_++; }
  /// Tells how targets are divided over zones, to part the imbalance between
  /// zones from that within them.
  void SetZones(int zones) { zones_ = static_cast<size_t>(zones); }
  /// Takes the starts per target of one second.
  void Second(const std::vector<double>& starts, time_point now) {
    if (now <= kWarmUp) {
      return;
    }
    const auto count = static_cast<double>(starts.size());
    const double mean =
        std::accumulate(starts.begin(), starts.end(), 0.0) / count;
    if (mean <= 0) {
      return;
    }
    zone_imbalances_.push_back(ZoneImbalance(starts, mean));
    double squares = 0;
    for (const double s : starts) {
      squares += (s - mean) * (s - mean);
    }
    imbalances_.push_back(*std::max_element(starts.begin(), starts.end()) /
                          mean);
    variations_.push_back(std::sqrt(squares / count) / mean);
  }

  double AnsweredPart() const {
    return arrived_ == 0 ? 0 : answered_ / arrived_;
  }
  double AnsweredPart(size_t organisation) const {
    return answered_by_org_.at(organisation) / arrived_by_org_.at(organisation);
  }
  double Answered() const { return answered_; }
  double LatencyMs(urgency level, double part) const {
    return Percentile(latencies_[static_cast<size_t>(level)], part);
  }
  /// Of the urgent requests of all organisations but the first.
  double OthersUrgentMs(double part) const {
    return Percentile(others_urgent_, part);
  }
  double Imbalance() const { return Mean(imbalances_); }
  /// The highest mean of a zone's targets over the mean of all.
  double ZoneImbalance() const { return Mean(zone_imbalances_); }
  double WorstImbalance() const { return Percentile(imbalances_, 0.95); }
  double Variation() const { return Mean(variations_); }
  double Amplification() const {
    return (first_attempts_ + retries_) / std::max(first_attempts_, 1.0);
  }
  const std::vector<double>& BySecond() const { return by_second_; }

 private:
  double ZoneImbalance(const std::vector<double>& starts, double mean) const {
    double highest = 0;
    size_t first = 0;
    for (size_t z = 0; z < zones_; ++z) {
      const size_t count =
          starts.size() / zones_ + (z < starts.size() % zones_ ? 1 : 0);
      const auto begin = starts.begin() + static_cast<int64_t>(first);
      const double sum =
          std::accumulate(begin, begin + static_cast<int64_t>(count), 0.0);
      highest = std::max(highest, sum / static_cast<double>(count));
      first += count;
    }
    return highest / mean;
  }

  static double Mean(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) /
           std::max(static_cast<double>(values.size()), 1.0);
  }

  double arrived_ = 0;
  double answered_ = 0;
  double first_attempts_ = 0;
  double retries_ = 0;
  std::vector<double> arrived_by_org_;
  std::vector<double> answered_by_org_;
  std::array<std::vector<double>, kUrgencyCount> latencies_;
  std::vector<double> others_urgent_;
  std::vector<double> by_second_;
  size_t zones_ = 1;
  std::vector<double> imbalances_;
  std::vector<double> zone_imbalances_;
  std::vector<double> variations_;
};

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_RECORDER_H_
