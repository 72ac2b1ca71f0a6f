#ifndef FOXTAILSPREAD_BOUNDED_HISTOGRAM_H_
#define FOXTAILSPREAD_BOUNDED_HISTOGRAM_H_

/// @file
/// Lengths of time counted by fixed bounds, and their Prometheus text.
///
/// Boost.Accumulators estimates quantiles, which cannot be added up over hosts;
/// counts by bounds that are the same everywhere can. The load tool's
/// latency_histogram keeps some 900 fine buckets, too many for a scrape. Debian
/// has no library of Prometheus metrics for C++.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Counts lengths of time.
///
/// @code
/// bounded_histogram waits;
/// waits.Add(std::chrono::milliseconds{7});
/// AppendHistogram(text, "wait_seconds", MetricLabel("service", name),
///                 waits);
/// @endcode
class bounded_histogram {
 public:
  /// Upper bounds, both sides of the users' objectives (200 ms to 2 s) and of
  /// the 8 ms that the design aims at inside a zone.
  static constexpr std::array<duration, 13> kBounds = {
      std::chrono::milliseconds{1},    std::chrono::milliseconds{2},
      std::chrono::milliseconds{4},    std::chrono::milliseconds{8},
      std::chrono::milliseconds{20},   std::chrono::milliseconds{50},
      std::chrono::milliseconds{100},  std::chrono::milliseconds{200},
      std::chrono::milliseconds{500},  std::chrono::milliseconds{1000},
      std::chrono::milliseconds{2000}, std::chrono::milliseconds{5000},
      std::chrono::milliseconds{10000}};

  void Add(duration length);

  uint64_t count() const { return count_; }
  duration sum() const { return sum_; }
  /// How many were no longer than kBounds[index].
  uint64_t CountUpTo(size_t index) const;

 private:
  /// By the first bound that holds them; the last entry is beyond all.
  std::array<uint64_t, kBounds.size() + 1> counts_{};
  uint64_t count_ = 0;
  duration sum_{0};
};

/// Returns one label as metrics are written, with quotes in `value` escaped.
std::string MetricLabel(std::string_view name, std::string_view value);

/// Appends the lines of one histogram. `labels` are written as they are.
void AppendHistogram(std::string& text, std::string_view name,
                     std::string_view labels, const bounded_histogram& from);

/// Appends the line of one counter or gauge.
void AppendMetric(std::string& text, std::string_view name,
                  std::string_view labels, double value);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BOUNDED_HISTOGRAM_H_
