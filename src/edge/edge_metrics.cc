#include "edge/edge_metrics.h"

namespace foxtailspread {

edge_metrics::service_metrics& edge_metrics::Count(
    const request_summary& account) {
  service_metrics& to = services_[account.service];
  to.sends += static_cast<uint64_t>(account.attempts);
  to.latency.Add(account.age);
  if (account.queue_time) {
    to.wait.Add(*account.queue_time);
  }
  return to;
}

void edge_metrics::OnDelivered(const request_summary& account) {
  ++Count(account).delivered;
}

void edge_metrics::OnRefused(const request_summary& account,
                             refusal_reason reason) {
  ++Count(account).refused[reason];
}

std::string edge_metrics::Text() const {
  std::string text;
  for (const auto& [name, each] : services_) {
    const std::string service = MetricLabel("service", name);
    const auto count = [&](std::string_view metric, const std::string& labels,
                           uint64_t value) {
      AppendMetric(text, metric, labels, static_cast<double>(value));
    };
    count("requests_delivered_total", service, each.delivered);
    count("sends_total", service, each.sends);
    for (const auto& [reason, refused] : each.refused) {
      count("requests_refused_total",
            service + "," + MetricLabel("reason", ToString(reason)), refused);
    }
    AppendHistogram(text, "request_seconds", service, each.latency);
    AppendHistogram(text, "wait_seconds", service, each.wait);
  }
  AppendHistogram(text, "loop_lag_seconds", "", loop_lag_);
  AppendMetric(text, "keys_moved_total", "", static_cast<double>(keys_moved_));
  AppendMetric(text, "announcements_asked_again_total", "",
               static_cast<double>(repeats_asked_));
  AppendMetric(text, "announcements_repeated_total", "",
               static_cast<double>(repeats_sent_));
  AppendMetric(text, "surplus_answers_total", "",
               static_cast<double>(surplus_answers_));
  AppendMetric(text, "malformed_answers_total", "",
               static_cast<double>(malformed_answers_));
  return text;
}

void AppendZoneSends(std::string& text, const std::string& service,
                     const zone_send_counts& sends) {
  AppendMetric(text, "zone_sends_total",
               service + "," + MetricLabel("zone", "own"),
               static_cast<double>(sends.own_zone));
  AppendMetric(text, "zone_sends_total",
               service + "," + MetricLabel("zone", "other"),
               static_cast<double>(sends.other_zones));
  for (size_t i = 0; i < sends.spills.size(); ++i) {
    AppendMetric(
        text, "zone_spills_total",
        service + "," +
            MetricLabel("reason", ToString(static_cast<spill_reason>(i))),
        static_cast<double>(sends.spills.at(i)));
  }
}

}  // namespace foxtailspread
