// Statements of targets, and reports of keys and latencies for other hosts.

#include <algorithm>
#include <chrono>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Maximum number of keys in one load report; each takes about 6 bytes of the
/// datagram.
constexpr size_t kMaxKeysReported = 4000;

}  // namespace

void request_router::RecordStatements(const request& ended_request,
                                      target& answering,
                                      const attempt_report& report,
                                      time_point now, router_actions& out) {
  // Most likely another target has taken over the address, or the answer was
  // spoilt on its way.
  if (report.verdict == attempt_verdict::kMisdirected ||
      report.verdict == attempt_verdict::kBroken) {
    return;
  }
  if (report.limit) {
    RecordLimit(ended_request, answering, report, now, out);
  }
  if (report.leaving) {
    RecordLeaving(answering, now, true, out);
  }
  RecordBackoff(answering, report.backoff, now, out);
}

void request_router::RecordLeaving(target& leaving, time_point since,
                                   bool is_own_answer, router_actions& out) {
  if (!leaving.leaving_since) {
    leaving.leaving_since = since;
    out.emplace_back(leaving_action{.service = leaving.entry.service,
                                    .target = leaving.entry.life,
                                    .is_own_answer = is_own_answer});
  }
}

void request_router::RecordBackoff(target& answering,
                                   const backoff_notice& notice, time_point now,
                                   router_actions& out) {
  bool is_reported = false;
  if (!notice.is_readable) {
    is_reported = !std::exchange(answering.has_unreadable_backoff, true);
  } else if (notice.time && now + *notice.time > answering.backoff_until) {
    is_reported = now >= answering.backoff_until;
    answering.backoff_until = now + *notice.time;
    answering.resumes_at =
        answering.backoff_until +
        Part(ResumeSpread(answering, *notice.time), SendPhase(answering.entry));
    answering.health.OnBackoff();
  }
  if (is_reported) {
    out.emplace_back(backoff_action{.service = answering.entry.service,
                                    .target = answering.entry.life,
                                    .notice = notice});
  }
}

duration request_router::ResumeSpread(const target& rejecting,
                                      duration backoff) const {
  // The time in which the target serves one request of each host.
  const duration one_each = rejecting.health.mean_latency() *
                            static_cast<int64_t>(host_count_) /
                            rejecting.entry.slots;
  return std::min(backoff / 2, one_each);
}

void request_router::RecordLimit(const request& ended_request,
                                 target& answering,
                                 const attempt_report& report, time_point now,
                                 router_actions& out) {
  const limit_notice& notice = *report.limit;
  const bool is_reported =
      notice.is_readable ? answering.limit.Update(notice.per_second,
                                                  ended_request.sent_time, now)
                         : !std::exchange(answering.has_unreadable_limit, true);
  if (is_reported) {
    out.emplace_back(limit_change_action{.service = answering.entry.service,
                                         .target = answering.entry.life,
                                         .notice = notice});
  }
}

std::vector<service_gauges> request_router::Gauges(time_point now) {
  std::vector<service_gauges> gauges;
  for (auto& [name, service_state] : services_) {
    service_gauges& service_gauge = gauges.emplace_back();
    service_gauge.service = name;
    service_gauge.waiting_requests = service_state->waiting_count;
    service_gauge.in_flight = service_state->in_flight;
    service_gauge.zone_sends = service_state->zone_sends;
    service_gauge.retries_left = service_state->budget.RemainingRetries(now);
    for (const auto& known_target : service_state->targets) {
      const bool is_usable = AcceptsRequests(*known_target, now) &&
                             !known_target->missing_since &&
                             known_target->health.IsReachable(now);
      service_gauge.usable_targets += is_usable ? 1 : 0;
      service_gauge.cold_targets +=
          known_target->availability.IsCold(now) ? 1 : 0;
      service_gauge.limited_targets += known_target->limit.per_second() ? 1 : 0;
      service_gauge.leaving_targets += known_target->leaving_since ? 1 : 0;
      service_gauge.backoff_targets +=
          now < known_target->backoff_until ? 1 : 0;
      if (const target_load* load = LoadOf(*known_target, now)) {
        ++service_gauge.known_loads;
        service_gauge.occupied += load->occupied;
      }
    }
    service_gauge.throttled_keys = service_state->throttles.size(now);
  }
  return gauges;
}

std::vector<std::pair<uint32_t, uint32_t>> request_router::TakeKeyLoad(
    const std::string& service_name) {
  std::vector<std::pair<uint32_t, uint32_t>> counts;
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    return counts;
  }
  std::vector<key_point> requested_keys =
      std::exchange(found->second->requested_keys, {});
  std::sort(requested_keys.begin(), requested_keys.end());
  for (const key_point key : requested_keys) {
    if (counts.empty() || counts.back().first != key) {
      counts.emplace_back(key, 0);
    }
    ++counts.back().second;
  }
  if (counts.size() > kMaxKeysReported) {
    std::nth_element(
        counts.begin(), counts.begin() + kMaxKeysReported, counts.end(),
        [](const auto& a, const auto& b) { return a.second > b.second; });
    counts.resize(kMaxKeysReported);
  }
  return counts;
}

std::vector<target_latency> request_router::TakeLatencies(
    const std::string& service_name) {
  std::vector<target_latency> latencies;
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    return latencies;
  }
  for (const auto& known_target : found->second->targets) {
    const auto [mean_latency, served] =
        known_target->health.TakeRecentLatency();
    if (served > 0) {
      latencies.push_back(
          {.target = known_target->entry.life.id,
           .latency_us = static_cast<uint32_t>(mean_latency.count()),
           .served = served});
    }
  }
  return latencies;
}

}  // namespace foxtailspread
