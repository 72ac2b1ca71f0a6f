#include "foxtailspread/bounded_histogram.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

/// A number as Prometheus reads it, the same in every locale.
std::string Number(double value) { return nlohmann::json(value).dump(); }

/// The labels between braces, with one more behind them.
std::string Braced(std::string_view labels, std::string_view more) {
  std::string text{labels};
  text.append(labels.empty() || more.empty() ? "" : ",").append(more);
  return text.empty() ? text : "{" + text + "}";
}

}  // namespace

std::string MetricLabel(std::string_view name, std::string_view value) {
  // JSON escapes the same characters; bytes that are not UTF-8 are replaced.
  return std::string{name} + "=" +
         nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

void bounded_histogram::Add(duration length) {
  const auto* const at =
      std::lower_bound(kBounds.begin(), kBounds.end(), length);
  ++counts_[static_cast<size_t>(std::distance(kBounds.begin(), at))];
  ++count_;
  sum_ += length;
}

uint64_t bounded_histogram::CountUpTo(size_t index) const {
  uint64_t total = 0;
  for (size_t i = 0; i <= index && i < counts_.size(); ++i) {
    total += counts_[i];
  }
  return total;
}

void AppendMetric(std::string& text, std::string_view name,
                  std::string_view labels, double value) {
  text.append(name).append(Braced(labels, "")).append(" ");
  text.append(Number(value)).append("\n");
}

void AppendHistogram(std::string& text, std::string_view name,
                     std::string_view labels, const bounded_histogram& from) {
  const std::string bucket = std::string{name} + "_bucket";
  const auto line = [&](const std::string& bound, uint64_t count) {
    text.append(bucket).append(Braced(labels, "le=\"" + bound + "\""));
    text.append(" ").append(std::to_string(count)).append("\n");
  };
  for (size_t i = 0; i < bounded_histogram::kBounds.size(); ++i) {
    line(Number(Seconds(bounded_histogram::kBounds[i])), from.CountUpTo(i));
  }
  line("+Inf", from.count());
  AppendMetric(text, std::string{name} + "_sum", labels, Seconds(from.sum()));
  text.append(name).append("_count").append(Braced(labels, "")).append(" ");
  text.append(std::to_string(from.count())).append("\n");
}

}  // namespace foxtailspread
