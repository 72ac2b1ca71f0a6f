// Loads of targets over all hosts: what this host tells of its own requests and
// of targets' reports, and what it hears.

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "foxtailspread/load/target_load.h"
#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Records that follow the last one with requests, so that a lost one leaves no
/// request in the sum.
constexpr int kLastRecords = 2;

}  // namespace

void request_router::RecordSend(request& sent_request, const target& chosen,
                                time_point now, router_actions& out) {
  service& service_state = *sent_request.service_state;
  load_sharing& sharing = service_state.sharing;
  const bool was_on = sharing.is_on();
  sharing.Update(host_count_, service_state.limit.has_load_reports(), now);
  if (sharing.is_on() != was_on) {
    out.emplace_back(load_sharing_action{.service = service_state.name,
                                         .is_on = sharing.is_on(),
                                         .hosts = host_count_,
                                         .slots = sharing.slots(),
                                         .work = sharing.work(),
                                         .objective = sharing.objective()});
  }
  sent_request.occupancy_at_send =
      sharing.is_on() ? ExpectedOccupancyOf(chosen, now) : std::nullopt;
  has_load_news_ = has_load_news_ || sharing.is_on();
}

void request_router::RecordActivity(const request& ended_request,
                                    target& attempted, attempt_verdict verdict,
                                    time_point now) {
  load_sharing& sharing = ended_request.service_state->sharing;
  const duration latency = now - ended_request.sent_time;
  if (verdict == attempt_verdict::kServed) {
    sharing.OnServed(latency);
  }
  if (!sharing.is_on()) {
    return;
  }
  has_load_news_ = true;
  const double slots = attempted.entry.slots;
  const auto& at_send = ended_request.occupancy_at_send;
  switch (verdict) {
    case attempt_verdict::kServed:
      ++attempted.activity.served;
      if (at_send && *at_send < slots) {
        ++attempted.activity.unqueued;
        attempted.activity.unqueued_latency += latency;
      }
      break;
    case attempt_verdict::kShed:
      ++attempted.activity.rejected;
      break;
    case attempt_verdict::kBroken:
    case attempt_verdict::kUnreachable: {
      const bool was_full =
          std::max(at_send.value_or(0.0),
                   ExpectedOccupancyOf(attempted, now).value_or(0.0)) >= slots;
      attempted.activity.rejected += was_full ? 1 : 0;
      break;
    }
    default:
      break;
  }
}

const target_load* request_router::LoadOf(const target& known_target,
                                          time_point now) const {
  return loads_.Find(known_target.short_id, now);
}

std::optional<double> request_router::ExpectedOccupancyOf(
    const target& known_target, time_point now) const {
  const target_load* load = LoadOf(known_target, now);
  return load == nullptr
             ? std::nullopt
             : std::optional{ExpectedOccupancy(
                   *load, known_target.health.SentSince(load->as_of))};
}

void request_router::RecordLoad(const request& ended_request, target& reporter,
                                const attempt_report& report, time_point now) {
  // Most likely another target has taken over the address, so that the load is
  // not that of this target.
  if (report.verdict == attempt_verdict::kMisdirected) {
    return;
  }
  reporter.health.OnLoadReport(*report.load, now, duration{0});
  reporter.has_new_load = true;
  UpdateReported(reporter.short_id, *report.load, now, now);
  const double load =
      static_cast<double>(report.load->occupied()) / reporter.entry.slots;
  ended_request.service_state->limit.OnResponse(
      {.load_per_slot = load,
       .served = report.verdict == attempt_verdict::kServed,
       .latency = now - ended_request.sent_time,
       .objective = ended_request.matched_route->objective},
      ended_request.service_state->in_flight);
}

void request_router::UpdateReported(uint32_t target_id,
                                    const reported_load& load,
                                    time_point reported_at, time_point now) {
  const target_load* known = loads_.Find(target_id, now);
  target_load updated = known != nullptr ? *known : target_load{};
  updated.occupied = load.occupied();
  updated.as_of = reported_at;
  loads_.Update(target_id, updated);
}

std::vector<load_sample> request_router::TakeLoads(
    const std::string& service_name, time_point now) {
  std::vector<load_sample> samples;
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    return samples;
  }
  for (const auto& known_target : found->second->targets) {
    const reported_load* load = known_target->health.ReportedLoad(now);
    if (!std::exchange(known_target->has_new_load, false) || load == nullptr) {
      continue;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - known_target->health.reported_at());
    load_sample& sample = samples.emplace_back();
    sample.target = known_target->short_id;
    sample.load = *load;
    sample.age_ms = static_cast<uint32_t>(age.count());
    // Latencies of keyed services are told to the assigner of keys.
    if (!found->second->keyed) {
      const auto [mean_latency, served] =
          known_target->health.TakeRecentLatency();
      sample.latency_us = static_cast<uint32_t>(mean_latency.count());
      sample.served = served;
    }
  }
  return samples;
}

std::vector<activity_sample> request_router::TakeActivity(
    const std::string& service_name, time_point /*now*/) {
  std::vector<activity_sample> samples;
  const auto found = services_.find(service_name);
  if (found == services_.end() || !found->second->sharing.is_on()) {
    return samples;
  }
  for (const auto& known_target : found->second->targets) {
    const target_activity activity =
        std::exchange(known_target->activity, target_activity{});
    const int in_flight = known_target->health.in_flight();
    if (in_flight == 0 && activity == target_activity{}) {
      continue;
    }
    const duration latency = activity.unqueued == 0
                                 ? duration{0}
                                 : activity.unqueued_latency /
                                       static_cast<int64_t>(activity.unqueued);
    samples.push_back({.target = known_target->short_id,
                       .in_flight = static_cast<uint32_t>(in_flight),
                       .served = activity.served,
                       .rejected = activity.rejected,
                       .latency_us = static_cast<uint32_t>(latency.count()),
                       .unqueued = activity.unqueued});
  }
  return samples;
}

std::optional<loads_record> request_router::TakeLoadNews(std::string_view host,
                                                         time_point now) {
  loads_record record;
  for (const auto& [name, service_state] : services_) {
    const auto loads = TakeLoads(name, now);
    record.loads.insert(record.loads.end(), loads.begin(), loads.end());
    const auto activity = TakeActivity(name, now);
    record.activity.insert(record.activity.end(), activity.begin(),
                           activity.end());
  }
  if (!record.activity.empty()) {
    last_records_ = kLastRecords;
  } else if (last_records_ > 0) {
    --last_records_;
  } else if (record.loads.empty()) {
    has_load_news_ = false;
    return std::nullopt;
  }
  former_loads_taken_at_ = std::exchange(loads_taken_at_, now);
  record.host = host;
  record.sequence =
      static_cast<uint64_t>(now.time_since_epoch() / milliseconds{1});
  return record;
}

void request_router::OnLoads(std::span<const load_sample> loads,
                             time_point now) {
  std::unordered_map<uint32_t, const load_sample*> samples_by_target;
  for (const load_sample& sample : loads) {
    samples_by_target.emplace(sample.target, &sample);
    UpdateReported(sample.target, sample.load,
                   now - milliseconds{sample.age_ms}, now);
  }
  for (auto& [name, service_state] : services_) {
    for (const auto& known_target : service_state->targets) {
      const auto found = samples_by_target.find(known_target->short_id);
      if (found != samples_by_target.end()) {
        const load_sample& sample = *found->second;
        known_target->health.OnLoadReport(
            sample.load, now - milliseconds{sample.age_ms},
            duration{static_cast<int64_t>(sample.latency_us)});
      }
    }
  }
}

time_point request_router::SumAsOf(time_point summed_at) const {
  // The sum has this host's requests as of its last record before. A host that
  // made none for longer had nothing to tell.
  const time_point taken_at =
      loads_taken_at_ <= summed_at ? loads_taken_at_ : former_loads_taken_at_;
  return std::clamp(taken_at, summed_at - LoadSharingPeriod(host_count_),
                    summed_at);
}

void request_router::OnLoadSums(std::span<const load_sum> sums,
                                time_point now) {
  loads_.DropOutdated(now);
  for (const load_sum& sum : sums) {
    const time_point measured_at = now - milliseconds{sum.age_ms};
    target_load load{
        .occupied = static_cast<double>(sum.occupied),
        .served_per_second = sum.served_per_second,
        .rejected_per_second = sum.rejected_per_second,
        .as_of = sum.is_reported ? measured_at : SumAsOf(measured_at)};
    if (sum.latency_us > 0) {
      load.unqueued_latency = duration{static_cast<int64_t>(sum.latency_us)};
    }
    const target_load* known = loads_.Find(sum.target, now);
    if (sum.is_reported && known != nullptr && known->as_of > load.as_of) {
      // A newer report came directly, or with the loads as reported.
      load.occupied = known->occupied;
      load.as_of = known->as_of;
    }
    loads_.Update(sum.target, load);
  }
}

}  // namespace foxtailspread
