#ifndef FOXTAILSPREAD_SRC_LOAD_STATISTICS_H_
#define FOXTAILSPREAD_SRC_LOAD_STATISTICS_H_

/// @file
/// What a load run measured, by service.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/action_table.h"
#include "foxtailspread/burn.h"
#include "load/scenario.h"

namespace foxtailspread {

/// Latencies in buckets whose width grows with the value: a quantile is off by
/// at most 1 part in 32. Unlike an estimator it can be added up and keeps the
/// far tail exact.
class latency_histogram {
 public:
  void Add(duration latency);
  void Add(const latency_histogram& other);

  uint64_t count() const { return count_; }

  /// Returns the upper end of the bucket that holds the quantile, 0 < q <= 1;
  /// zero without values.
  duration Quantile(double q) const;

 private:
  static constexpr size_t kSubBuckets = 32;
  static constexpr size_t kOctaves = 27;  // up to 72 minutes

  static size_t IndexOf(uint64_t microseconds);
  static uint64_t UpperEnd(size_t index);

  std::array<uint32_t, kSubBuckets*(kOctaves + 1)> buckets_{};
  uint64_t count_ = 0;
};

/// How one request ended, after all its resends.
struct load_result {
  std::string_view organisation;
  std::string_view service;
  duration at{};       ///< When it was due, since the start of the run.
  duration latency{};  ///< From when it was due to its last answer.
  action_outcome outcome = action_outcome::kUnknown;
  std::string_view target;  ///< That answered, "" if none said so.
  std::string_view code;    ///< Of the error, "" if done.
};

/// One second of one service, by when the requests were due.
struct load_second {
  uint64_t done = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  latency_histogram latency;  ///< Of those done.
};

/// The sums of one service.
struct service_summary {
  std::string service;
  uint64_t sent = 0;
  uint64_t done = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  duration p50{};
  duration p99{};
  duration p999{};
  duration unavailable{};  ///< Slots with requests of which none was done.
  double imbalance = 0;    ///< Most loaded target over the mean; 0 if none.
  std::map<std::string, uint64_t> per_target;
  std::map<std::string, uint64_t> per_code;  ///< Of those not done.
};

/// Collects the results of a run.
class load_statistics {
 public:
  explicit load_statistics(const load_scenario& scenario);

  void Add(const load_result& outcome);

  std::vector<service_summary> Summaries() const;
  std::vector<burn_row> Burn() const;
  /// The seconds of one service, from the start of the run.
  const std::vector<load_second>& SecondsOf(std::string_view service) const;

 private:
  struct slot {
    uint32_t sent = 0;
    uint32_t done = 0;
  };
  struct service_state {
    std::vector<load_second> seconds;
    std::vector<slot> slots;
    std::map<std::string, uint64_t> per_target;
    std::map<std::string, uint64_t> per_code;
    latency_histogram latency;
  };
  struct burn_state {
    double target = 0.99;
    duration objective{};
    burn_counts counts;
  };

  static service_summary Summarise(const std::string& name,
                                   const service_state& state);

  std::map<std::string, service_state, std::less<>> services_;
  std::map<std::pair<std::string, std::string>, burn_state> burn_;
};

/// The summaries and the burn as JSON.
nlohmann::json SummariesToJson(const load_statistics& statistics);

/// The summaries as a table for a terminal.
std::string SummariesToText(const load_statistics& statistics);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_LOAD_STATISTICS_H_
