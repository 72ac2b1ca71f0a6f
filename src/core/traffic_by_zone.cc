#include "foxtailspread/traffic_by_zone.h"

#include "foxtailspread/bounded_histogram.h"

namespace foxtailspread {
namespace {

std::string_view NameOf(peer_zone zone) {
  switch (zone) {
    case peer_zone::kOwn:
      return "own";
    case peer_zone::kOther:
      return "other";
    case peer_zone::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace

peer_zone PeerZoneOf(std::string_view zone, std::string_view own_zone) {
  if (zone.empty()) {
    return peer_zone::kUnknown;
  }
  return zone == own_zone ? peer_zone::kOwn : peer_zone::kOther;
}

void traffic_by_zone::Count(std::string_view cause, std::string_view kind,
                            peer_zone zone, size_t bytes) {
  total& sum = totals_[{std::string{cause}, std::string{kind}, zone}];
  ++sum.messages;
  sum.bytes += bytes;
}

std::string traffic_by_zone::Text() const {
  std::string text;
  for (const auto& [key, sum] : totals_) {
    const auto& [cause, kind, zone] = key;
    const std::string labels = MetricLabel("cause", cause) + "," +
                               MetricLabel("kind", kind) + "," +
                               MetricLabel("zone", NameOf(zone));
    AppendMetric(text, "traffic_messages_total", labels,
                 static_cast<double>(sum.messages));
    AppendMetric(text, "traffic_bytes_total", labels,
                 static_cast<double>(sum.bytes));
  }
  return text;
}

}  // namespace foxtailspread
