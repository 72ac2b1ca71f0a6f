#ifndef FOXTAILSPREAD_BENCHMARK_TRAFFIC_H_
#define FOXTAILSPREAD_BENCHMARK_TRAFFIC_H_

/// @file
/// Open-loop traffic: it arrives at its own rate, whatever the answers.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "foxtailspread/dispatch_types.h"

namespace foxtailspread::experiment {

/// One request as it enters the system.
struct arrival {
  time_point at;
  uint64_t id = 0;
  int32_t organisation = 0;
  urgency level = urgency::kOrdinary;
  uint64_t key = 0;
  duration service{0};   ///< Slot time it takes at a healthy target.
  duration deadline{0};  ///< Time from arrival within which it is of use.
  bool repeatable = true;
  bool poison = false;  ///< Crashes the target that runs it.
};

inline constexpr double kMeanServiceUs = 2000;

/// How service times spread around their mean.
enum class service_spread {
  kModerate,  ///< Log-normal, CV 0.53, 99 % within 5.7 ms.
  kWide,      ///< 0.5 ms plus exponential, CV 0.75, 99 % within 7.4 ms.
};

/// The mix of one experiment.
struct traffic_config {
  uint64_t seed = 1;
  double rate = 1000;  ///< Requests a second.
  duration length{std::chrono::seconds{30}};
  /// Relative rates of the classes urgent, ordinary and archive.
  std::array<double, kUrgencyCount> classes{0.5, 0.3, 0.2};
  std::vector<double> organisations{1, 1, 1, 1};  ///< Relative rates.
  int hot_keys = 0;
  double hot_part = 0;  ///< Part of the traffic that goes to the hot keys.
  duration hot_period{std::chrono::seconds{10}};  ///< Until they change.
  duration deadline{std::chrono::milliseconds{500}};
  bool repeatable = true;
  service_spread spread = service_spread::kModerate;
};

inline constexpr uint64_t kKeys = 1'000'000;

/// Draws one service time with a mean of 2 ms.
inline duration DrawService(service_spread spread, std::mt19937_64& random) {
  if (spread == service_spread::kWide) {
    constexpr double kLeastUs = 500;
    std::exponential_distribution<double> rest(1 / (kMeanServiceUs - kLeastUs));
    return duration(static_cast<int64_t>(kLeastUs + rest(random)));
  }
  constexpr double kSigma = 0.5;
  std::lognormal_distribution<double> draw(
      std::log(kMeanServiceUs) - kSigma * kSigma / 2, kSigma);
  return duration(static_cast<int64_t>(draw(random)));
}

/// Draws all arrivals of one experiment; the same config gives the same.
inline std::vector<arrival> DrawTraffic(const traffic_config& config) {
  std::mt19937_64 random(config.seed);
  std::exponential_distribution<double> gap(config.rate / 1e6);
  std::discrete_distribution<int> level(config.classes.begin(),
                                        config.classes.end());
  std::discrete_distribution<int> organisation(config.organisations.begin(),
                                               config.organisations.end());
  std::uniform_int_distribution<uint64_t> key(0, kKeys - 1);
  std::uniform_real_distribution<double> part(0, 1);
  std::vector<arrival> arrivals;
  double now = gap(random);
  while (now < static_cast<double>(config.length.count())) {
    arrival next;
    next.at = time_point{duration{static_cast<int64_t>(now)}};
    next.id = arrivals.size() + 1;
    next.organisation = organisation(random);
    next.level = static_cast<urgency>(level(random));
    next.key = key(random);
    if (config.hot_keys > 0 && part(random) < config.hot_part) {
      const auto epoch = static_cast<uint64_t>(now) /
                         static_cast<uint64_t>(config.hot_period.count());
      const auto count = static_cast<uint64_t>(config.hot_keys);
      next.key = kKeys + epoch * count + next.key % count;
    }
    next.service = DrawService(config.spread, random);
    next.deadline = config.deadline;
    next.repeatable = config.repeatable;
    arrivals.push_back(next);
    now += gap(random);
  }
  return arrivals;
}

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_TRAFFIC_H_
