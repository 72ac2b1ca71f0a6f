#include "load/workload.h"

#include <algorithm>
#include <cmath>

namespace foxtailspread {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
// With no rate, look again after this time: a phase may have begun.
constexpr duration kIdleStep{std::chrono::milliseconds{10}};
// A prime, so that moving the ranks by it goes over all keys.
constexpr uint64_t kMoveStride = 7919;

std::vector<double> CumulativeZipf(int keys, double skew) {
  std::vector<double> cumulative;
  cumulative.reserve(static_cast<size_t>(keys));
  double sum = 0;
  for (int rank = 1; rank <= keys; ++rank) {
    sum += std::pow(rank, -skew);
    cumulative.push_back(sum);
  }
  return cumulative;
}

}  // namespace

load_generator::load_generator(const load_scenario& scenario, size_t stream)
    : scenario_(scenario),
      stream_(scenario.streams[stream]),
      random_(scenario.seed * kMoveStride + stream),
      cumulative_(CumulativeZipf(stream_.keys, stream_.zipf)) {
  next_ = NextGap();
}

// In [0, 1), from the upper 53 bits: std::uniform_real_distribution may differ
// between libraries, and a scenario would not give the same run.
double load_generator::Uniform() {
  constexpr int kUnusedBits = 11;
  constexpr double kScale = 0x1p-53;
  return static_cast<double>(random_() >> kUnusedBits) * kScale;
}

duration load_generator::NextGap() {
  const double rate = stream_.rate * scenario_.RateFactor(next_);
  if (rate <= 0) {
    return kIdleStep;
  }
  const double seconds = -std::log(1 - Uniform()) / rate;
  return duration(static_cast<int64_t>(seconds * kMicrosecondsPerSecond));
}

std::vector<load_arrival> load_generator::Until(duration until) {
  std::vector<load_arrival> arrivals;
  while (next_ <= until) {
    if (stream_.rate * scenario_.RateFactor(next_) > 0) {
      arrivals.push_back(MakeArrival());
    }
    next_ += NextGap();
  }
  return arrivals;
}

load_arrival load_generator::MakeArrival() {
  load_arrival arrival;
  arrival.at = next_;
  arrival.key = PickKey();
  arrival.level = PickUrgency();
  const bool poison_due =
      !stream_.poison.text.empty() && next_ >= stream_.poison.at;
  if (poison_due && !poison_sent_) {
    poison_sent_ = true;
    arrival.poisoned = true;
  }
  return arrival;
}

std::string load_generator::PickKey() {
  const auto keys = static_cast<uint64_t>(stream_.keys);
  uint64_t rank = 0;
  if (stream_.hot_keys > 0 && Uniform() < stream_.hot_part) {
    rank = static_cast<uint64_t>(Uniform() * stream_.hot_keys);
  } else {
    const double point = Uniform() * cumulative_.back();
    const auto place = std::ranges::upper_bound(cumulative_, point);
    rank = static_cast<uint64_t>(place - cumulative_.begin());
  }
  uint64_t moves = 0;
  if (stream_.hot_move > duration{}) {
    moves = static_cast<uint64_t>(next_ / stream_.hot_move);
  }
  const uint64_t index = (rank + moves * kMoveStride) % keys;
  return stream_.key_prefix + std::to_string(index);
}

urgency load_generator::PickUrgency() {
  const double point = Uniform();
  if (point < stream_.urgent) {
    return urgency::kUrgent;
  }
  const bool is_archive = point < stream_.urgent + stream_.archive;
  return is_archive ? urgency::kArchive : urgency::kOrdinary;
}

}  // namespace foxtailspread
