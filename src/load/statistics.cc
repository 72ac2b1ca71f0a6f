#include "load/statistics.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>

namespace foxtailspread {
namespace {

constexpr duration kSecond{std::chrono::seconds{1}};
constexpr duration kSlot{std::chrono::milliseconds{100}};
constexpr double kMicrosecondsPerMillisecond = 1000;

double ToMilliseconds(duration value) {
  return static_cast<double>(value.count()) / kMicrosecondsPerMillisecond;
}

// Grows the series up to the moment and returns its entry.
template <typename T>
T& EntryAt(std::vector<T>& series, duration at, duration width) {
  const auto index = static_cast<size_t>(at / width);
  if (index >= series.size()) {
    series.resize(index + 1);
  }
  return series[index];
}

double Imbalance(const std::map<std::string, uint64_t>& per_target) {
  uint64_t most = 0;
  uint64_t sum = 0;
  for (const auto& [target, count] : per_target) {
    most = std::max(most, count);
    sum += count;
  }
  if (sum == 0) {
    return 0;
  }
  return static_cast<double>(most) * static_cast<double>(per_target.size()) /
         static_cast<double>(sum);
}

}  // namespace

size_t latency_histogram::IndexOf(uint64_t microseconds) {
  if (microseconds < kSubBuckets) {
    return microseconds;
  }
  const auto octave =
      static_cast<size_t>(std::bit_width(microseconds / kSubBuckets)) - 1;
  const size_t sub = (microseconds >> octave) - kSubBuckets;
  return std::min((octave + 1) * kSubBuckets + sub,
                  kSubBuckets * (kOctaves + 1) - 1);
}

uint64_t latency_histogram::UpperEnd(size_t index) {
  if (index < kSubBuckets) {
    return index;
  }
  const size_t octave = index / kSubBuckets - 1;
  const size_t sub = index % kSubBuckets;
  return ((kSubBuckets + sub + 1) << octave) - 1;
}

void latency_histogram::Add(duration latency) {
  const int64_t value = std::max<int64_t>(latency.count(), 0);
  ++buckets_[IndexOf(static_cast<uint64_t>(value))];
  ++count_;
}

void latency_histogram::Add(const latency_histogram& other) {
  for (size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
}

duration latency_histogram::Quantile(double q) const {
  if (count_ == 0) {
    return {};
  }
  const auto rank =
      static_cast<uint64_t>(std::ceil(q * static_cast<double>(count_)));
  uint64_t seen = 0;
  size_t index = 0;
  for (; index + 1 < buckets_.size(); ++index) {
    seen += buckets_[index];
    if (seen >= rank) {
      break;
    }
  }
  return duration(static_cast<int64_t>(UpperEnd(index)));
}

load_statistics::load_statistics(const load_scenario& scenario) {
  for (const load_stream& stream : scenario.streams) {
    services_.try_emplace(stream.service);
    burn_[{stream.organisation, stream.service}] = {
        stream.objective_target, stream.objective, {}};
  }
  // A target that gets nothing is the worst imbalance; it has to be counted.
  for (const load_target& target : scenario.targets) {
    services_[target.service].per_target.try_emplace(target.name, 0);
  }
}

void load_statistics::Add(const load_result& outcome) {
  const auto found = services_.find(outcome.service);
  if (found == services_.end()) {
    return;
  }
  service_state& service = found->second;
  load_second& second = EntryAt(service.seconds, outcome.at, kSecond);
  slot& current = EntryAt(service.slots, outcome.at, kSlot);
  burn_state& burn =
      burn_[{std::string(outcome.organisation), std::string(outcome.service)}];
  ++current.sent;
  ++burn.counts.total;
  if (!outcome.code.empty()) {
    ++service.per_code[std::string(outcome.code)];
  }
  switch (outcome.outcome) {
    case action_outcome::kNotRun:
      ++second.not_run;
      return;
    case action_outcome::kUnknown:
      ++second.unknown;
      return;
    case action_outcome::kDone:
      break;
  }
  ++second.done;
  ++current.done;
  second.latency.Add(outcome.latency);
  service.latency.Add(outcome.latency);
  if (outcome.latency <= burn.objective) {
    ++burn.counts.good;
  }
  if (!outcome.target.empty()) {
    ++service.per_target[std::string(outcome.target)];
  }
}

service_summary load_statistics::Summarise(const std::string& name,
                                           const service_state& state) {
  service_summary summary;
  summary.service = name;
  for (const load_second& second : state.seconds) {
    summary.done += second.done;
    summary.not_run += second.not_run;
    summary.unknown += second.unknown;
  }
  summary.sent = summary.done + summary.not_run + summary.unknown;
  for (const slot& s : state.slots) {
    if (s.sent > 0 && s.done == 0) {
      summary.unavailable += kSlot;
    }
  }
  summary.p50 = state.latency.Quantile(0.5);
  summary.p99 = state.latency.Quantile(0.99);
  summary.p999 = state.latency.Quantile(0.999);
  summary.imbalance = Imbalance(state.per_target);
  summary.per_target = state.per_target;
  summary.per_code = state.per_code;
  return summary;
}

std::vector<service_summary> load_statistics::Summaries() const {
  std::vector<service_summary> summaries;
  for (const auto& [name, state] : services_) {
    summaries.push_back(Summarise(name, state));
  }
  return summaries;
}

std::vector<burn_row> load_statistics::Burn() const {
  std::vector<burn_row> rows;
  for (const auto& [key, state] : burn_) {
    rows.push_back(
        {key.first, key.second, state.target, state.counts, state.counts});
  }
  return rows;
}

const std::vector<load_second>& load_statistics::SecondsOf(
    std::string_view service) const {
  static const std::vector<load_second> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second.seconds;
}

nlohmann::json SummariesToJson(const load_statistics& statistics) {
  nlohmann::json services = nlohmann::json::array();
  for (const service_summary& s : statistics.Summaries()) {
    services.push_back({{"service", s.service},
                        {"sent", s.sent},
                        {"done", s.done},
                        {"not_run", s.not_run},
                        {"unknown", s.unknown},
                        {"p50_ms", ToMilliseconds(s.p50)},
                        {"p99_ms", ToMilliseconds(s.p99)},
                        {"p999_ms", ToMilliseconds(s.p999)},
                        {"unavailable_ms", ToMilliseconds(s.unavailable)},
                        {"imbalance", s.imbalance},
                        {"per_target", s.per_target},
                        {"per_code", s.per_code}});
  }
  nlohmann::json json = BurnToJson(statistics.Burn());
  // The run is one window; two equal ones would only mislead.
  for (nlohmann::json& row : json["burn"]) {
    row.erase("short_window");
    row["run"] = row["long_window"];
    row.erase("long_window");
  }
  json["services"] = std::move(services);
  return json;
}

std::string SummariesToText(const load_statistics& statistics) {
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-22s %9s %9s %8s %8s %9s %9s %9s %9s %9s\n", "service",
                "sent", "done", "not-run", "unknown", "p50 ms", "p99 ms",
                "p99.9 ms", "unav. ms", "max/mean");
  std::string text = line.data();
  for (const service_summary& s : statistics.Summaries()) {
    std::snprintf(line.data(), line.size(),
                  "%-22.22s %9lu %9lu %8lu %8lu %9.2f %9.2f %9.2f %9.0f "
                  "%9.2f\n",
                  s.service.c_str(), s.sent, s.done, s.not_run, s.unknown,
                  ToMilliseconds(s.p50), ToMilliseconds(s.p99),
                  ToMilliseconds(s.p999), ToMilliseconds(s.unavailable),
                  s.imbalance);
    text += line.data();
    for (const auto& [code, count] : s.per_code) {
      text += "    " + code + ": " + std::to_string(count) + '\n';
    }
  }
  return text;
}

}  // namespace foxtailspread
