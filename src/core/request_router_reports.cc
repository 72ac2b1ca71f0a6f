// Load and latency reports: those of targets, those for other hosts and those
// of other hosts.

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Maximum number of keys in one load report; each takes about 6 bytes of the
/// datagram.
constexpr size_t kMaxKeysReported = 4000;

}  // namespace

void request_router::RecordLoad(const request& ended_request, target& reporter,
                                const attempt_report& report, time_point now) {
  // Most likely another target has taken over the address, so that the load is
  // not that of this target.
  if (report.verdict == attempt_verdict::kMisdirected) {
    return;
  }
  reporter.health.OnLoadReport(*report.load, now, duration{0});
  reporter.has_new_load = true;
  const double load =
      static_cast<double>(report.load->occupied()) / reporter.entry.slots;
  ended_request.service_state->limit.OnResponse(
      {.load_per_slot = load,
       .served = report.verdict == attempt_verdict::kServed,
       .latency = now - ended_request.sent_time,
       .objective = ended_request.matched_route->objective},
      ended_request.service_state->in_flight);
}

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
    }
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

std::vector<load_sample> request_router::TakeLoads(
    const std::string& service_name, time_point now) {
  std::vector<load_sample> samples;
  const auto found = services_.find(service_name);
  if (found == services_.end() || found->second->keyed) {
    return samples;
  }
  for (const auto& known_target : found->second->targets) {
    const reported_load* load = known_target->health.ReportedLoad(now);
    if (!std::exchange(known_target->has_new_load, false) || load == nullptr) {
      continue;
    }
    const auto [mean_latency, served] =
        known_target->health.TakeRecentLatency();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - known_target->health.reported_at());
    samples.push_back(
        {.target = known_target->short_id,
         .load = *load,
         .age_ms = static_cast<uint32_t>(age.count()),
         .latency_us = static_cast<uint32_t>(mean_latency.count()),
         .served = served});
  }
  return samples;
}

void request_router::OnLoads(std::span<const load_sample> loads,
                             time_point now) {
  std::unordered_map<uint32_t, const load_sample*> samples_by_target;
  for (const load_sample& sample : loads) {
    samples_by_target.emplace(sample.target, &sample);
  }
  for (auto& [name, service_state] : services_) {
    for (const auto& known_target : service_state->targets) {
      const auto found = samples_by_target.find(known_target->short_id);
      if (found != samples_by_target.end()) {
        const load_sample& sample = *found->second;
        known_target->health.OnLoadReport(
            sample.load, now - std::chrono::milliseconds{sample.age_ms},
            duration{static_cast<int64_t>(sample.latency_us)});
      }
    }
  }
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
