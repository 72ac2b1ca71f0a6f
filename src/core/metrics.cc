#include "foxtailspread/metrics.h"

#include <array>

namespace foxtailspread {
namespace {

namespace acc = boost::accumulators;

constexpr std::string_view kOverflowSeries = "overflow";
// The outer probabilities only steady the estimates between them.
constexpr std::array<double, 6> kProbabilities{0.25, 0.5,  0.75,
                                               0.9,  0.99, 0.999};
constexpr std::ptrdiff_t kMedianIndex = 1;
constexpr std::ptrdiff_t kP99Index = 4;
// The estimator has 2n+3 markers and says nothing before they are filled.
constexpr size_t kMarkers = 2 * kProbabilities.size() + 3;

duration FromDouble(double microseconds) {
  return duration(static_cast<duration::rep>(microseconds));
}

std::string Labels(const std::pair<std::string, std::string>& key) {
  return key.second.empty() ? "" : "{organisation=\"" + key.second + "\"}";
}

nlohmann::json Describe(const std::pair<std::string, std::string>& key) {
  nlohmann::json json{{"name", key.first}};
  if (!key.second.empty()) {
    json["organisation"] = key.second;
  }
  return json;
}

}  // namespace

latency_summary::latency_summary()
    : values_(acc::tag::extended_p_square::probabilities = kProbabilities) {}

void latency_summary::Add(duration latency) {
  values_(static_cast<double>(latency.count()));
}

uint64_t latency_summary::count() const { return acc::count(values_); }

duration latency_summary::mean() const {
  return count() == 0 ? duration{} : FromDouble(acc::mean(values_));
}

duration latency_summary::max() const {
  return count() == 0 ? duration{} : FromDouble(acc::max(values_));
}

duration latency_summary::p50() const { return Quantile(kMedianIndex); }

duration latency_summary::p99() const { return Quantile(kP99Index); }

duration latency_summary::Quantile(std::ptrdiff_t index) const {
  if (count() < kMarkers) {
    return max();
  }
  return FromDouble(acc::extended_p_square(values_)[index]);
}

template <typename Value>
Value& metric_registry::SeriesOf(std::map<series_key, Value>& all,
                                 std::string_view name,
                                 std::string_view organisation) {
  const series_key key{name, organisation};
  const auto found = all.find(key);
  if (found != all.end()) {
    return found->second;
  }
  if (all.size() >= max_series_) {
    return all[{std::string(kOverflowSeries), ""}];
  }
  return all[key];
}

void metric_registry::Count(std::string_view name,
                            std::string_view organisation, uint64_t by) {
  SeriesOf(counters_, name, organisation) += by;
}

void metric_registry::AddLatency(std::string_view name, duration latency,
                                 std::string_view organisation) {
  SeriesOf(latencies_, name, organisation).Add(latency);
}

uint64_t metric_registry::CounterValue(std::string_view name,
                                       std::string_view organisation) const {
  const auto found =
      counters_.find({std::string(name), std::string(organisation)});
  return found == counters_.end() ? 0 : found->second;
}

bool metric_registry::IsVisible(const series_key& key,
                                visible_to organisation) {
  return !organisation || key.second == *organisation;
}

nlohmann::json metric_registry::Json(visible_to organisation) const {
  nlohmann::json counters = nlohmann::json::array();
  for (const auto& [key, value] : counters_) {
    if (IsVisible(key, organisation)) {
      counters.push_back(Describe(key));
      counters.back()["value"] = value;
    }
  }
  nlohmann::json latencies = nlohmann::json::array();
  for (const auto& [key, summary] : latencies_) {
    if (IsVisible(key, organisation)) {
      latencies.push_back(Describe(key));
      latencies.back().update({{"count", summary.count()},
                               {"mean_us", summary.mean().count()},
                               {"p50_us", summary.p50().count()},
                               {"p99_us", summary.p99().count()},
                               {"max_us", summary.max().count()}});
    }
  }
  return {{"counters", std::move(counters)},
          {"latencies", std::move(latencies)}};
}

std::string metric_registry::Text(visible_to organisation) const {
  std::string text;
  const auto append = [&text](const series_key& key, std::string_view suffix,
                              int64_t value) {
    text += key.first;
    text += suffix;
    text += Labels(key) + ' ' + std::to_string(value) + '\n';
  };
  for (const auto& [key, value] : counters_) {
    if (IsVisible(key, organisation)) {
      append(key, "", static_cast<int64_t>(value));
    }
  }
  for (const auto& [key, summary] : latencies_) {
    if (IsVisible(key, organisation)) {
      append(key, "_count", static_cast<int64_t>(summary.count()));
      append(key, "_mean_us", summary.mean().count());
      append(key, "_p50_us", summary.p50().count());
      append(key, "_p99_us", summary.p99().count());
    }
  }
  return text;
}

nlohmann::json metric_registry::JsonForOperators() const {
  return Json(std::nullopt);
}

// An empty name would match the series without organisation, which are not
// for callers.
nlohmann::json metric_registry::JsonFor(std::string_view organisation) const {
  return organisation.empty() ? nlohmann::json::object() : Json(organisation);
}

std::string metric_registry::TextForOperators() const {
  return Text(std::nullopt);
}

std::string metric_registry::TextFor(std::string_view organisation) const {
  return organisation.empty() ? "" : Text(organisation);
}

}  // namespace foxtailspread
