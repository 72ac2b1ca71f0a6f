#ifndef FOXTAILSPREAD_SRC_LOAD_WORKLOAD_H_
#define FOXTAILSPREAD_SRC_LOAD_WORKLOAD_H_

/// @file
/// Which request of a stream comes when, for which key and how urgent. The
/// same scenario and seed give the same arrivals.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "foxtailspread/config.h"
#include "load/scenario.h"

namespace foxtailspread {

/// One request as its stream planned it.
struct load_arrival {
  duration at{};  ///< Since the start of the run.
  std::string key;
  urgency level = urgency::kOrdinary;
  bool poisoned = false;
};

/// The arrivals of one stream, an open Poisson process: they come when they
/// come, however slowly earlier ones are answered. A generator that waited
/// for answers would go easy on the system just when it is slow, and report
/// good latencies.
class load_generator {
 public:
  /// Refers to `scenario`, which must outlive it.
  load_generator(const load_scenario& scenario, size_t stream);

  /// Returns the arrivals up to `until`, which must not go back.
  std::vector<load_arrival> Until(duration until);

 private:
  double Uniform();
  duration NextGap();
  load_arrival MakeArrival();
  std::string PickKey();
  urgency PickUrgency();

  const load_scenario& scenario_;
  const load_stream& stream_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;  // of the Zipf weights, by rank
  duration next_{};
  bool poison_sent_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_LOAD_WORKLOAD_H_
