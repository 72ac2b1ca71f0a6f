#ifndef FOXTAILSPREAD_METRICS_H_
#define FOXTAILSPREAD_METRICS_H_

/// @file
/// Counters and latency summaries of one host, in bounded memory.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// A latency summary since start. The quantiles are estimates by the extended
/// P-square algorithm, which keeps a few markers and no samples; for fewer
/// samples than markers (15) they are the largest sample.
class latency_summary {
 public:
  latency_summary();

  void Add(duration latency);

  uint64_t count() const;
  duration mean() const;
  duration max() const;
  duration p50() const;
  duration p99() const;

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  duration Quantile(std::ptrdiff_t index) const;

  accumulator values_;
};

/// The named metrics of one host. A metric with an organisation is visible to
/// that organisation and to operators; one without, to operators only.
///
/// Beyond `max_series` names per kind, values go to the series "overflow" so
/// that a name made from outside input cannot exhaust memory.
///
/// @code
/// metrics.Count("requests_refused", "prairie");
/// metrics.AddLatency("request_latency", latency, "prairie");
/// Write(metrics.TextForOperators());
/// @endcode
class metric_registry {
 public:
  explicit metric_registry(size_t max_series = 2048)
      : max_series_(max_series) {}

  void Count(std::string_view name, std::string_view organisation = "",
             uint64_t by = 1);
  void AddLatency(std::string_view name, duration latency,
                  std::string_view organisation = "");

  /// 0 for a counter that was never counted.
  uint64_t CounterValue(std::string_view name,
                        std::string_view organisation = "") const;

  /// {"counters":[...],"latencies":[...]}, times in microseconds.
  nlohmann::json JsonForOperators() const;
  nlohmann::json JsonFor(std::string_view organisation) const;

  /// One line per value: `name{organisation="o"} value`.
  std::string TextForOperators() const;
  std::string TextFor(std::string_view organisation) const;

 private:
  using series_key = std::pair<std::string, std::string>;
  using visible_to = std::optional<std::string_view>;

  template <typename Value>
  Value& SeriesOf(std::map<series_key, Value>& all, std::string_view name,
                  std::string_view organisation);
  static bool IsVisible(const series_key& key, visible_to organisation);
  nlohmann::json Json(visible_to organisation) const;
  std::string Text(visible_to organisation) const;

  size_t max_series_;
  std::map<series_key, uint64_t> counters_;
  std::map<series_key, latency_summary> latencies_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_METRICS_H_
