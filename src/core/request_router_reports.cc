// What a router tells of the loads that it sees, and what it is told of them.

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Keys in one report of the load, some six bytes each.
constexpr size_t kMostKeysReported = 4000;

}  // namespace

void request_router::TakeLoad(const request& ended, target& by,
                              const attempt_report& report, time_point now) {
  // Most likely the load of another target at the address.
  if (report.verdict == attempt_verdict::kMisdirected) {
    return;
  }
  by.health.OnTold(*report.load, now, duration{0});
  by.has_told = true;
  const double load =
      static_cast<double>(report.load->occupied()) / by.entry.slots;
  ended.at->limit.OnAnswer(
      {.load = load,
       .served = report.verdict == attempt_verdict::kServed,
       .took = now - ended.sent,
       .objective = ended.by->objective},
      ended.at->in_flight);
}

std::vector<service_gauges> request_router::Gauges(time_point now) {
  std::vector<service_gauges> gauges;
  for (auto& [name, each] : services_) {
    service_gauges& added = gauges.emplace_back();
    added.service = name;
    added.waiting = each->waiting_count;
    added.in_flight = each->in_flight;
    added.repeats_left = each->budget.Left(now);
    for (const auto& one : each->targets) {
      const bool usable = IsOpen(*one, now) && !one->missing_since &&
                          one->health.IsReachable(now);
      added.usable_targets += usable ? 1 : 0;
      added.cold_targets += one->availability.IsCold(now) ? 1 : 0;
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
  std::vector<key_point> asked = std::exchange(found->second->keys_asked, {});
  std::sort(asked.begin(), asked.end());
  for (const key_point key : asked) {
    if (counts.empty() || counts.back().first != key) {
      counts.emplace_back(key, 0);
    }
    ++counts.back().second;
  }
  if (counts.size() > kMostKeysReported) {
    std::nth_element(
        counts.begin(), counts.begin() + kMostKeysReported, counts.end(),
        [](const auto& a, const auto& b) { return a.second > b.second; });
    counts.resize(kMostKeysReported);
  }
  return counts;
}

std::vector<load_sample> request_router::TakeLoads(
    const std::string& service_name, time_point now) {
  std::vector<load_sample> taken;
  const auto found = services_.find(service_name);
  if (found == services_.end() || found->second->keyed) {
    return taken;
  }
  for (const auto& each : found->second->targets) {
    const told_load* load = each->health.Told(now);
    if (!std::exchange(each->has_told, false) || load == nullptr) {
      continue;
    }
    const auto [mean, count] = each->health.TakeRecent();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - each->health.told_at());
    taken.push_back({.target = each->short_id,
                     .load = *load,
                     .age_ms = static_cast<uint32_t>(age.count()),
                     .latency_us = static_cast<uint32_t>(mean.count()),
                     .served = count});
  }
  return taken;
}

void request_router::OnLoads(std::span<const load_sample> loads,
                             time_point now) {
  std::unordered_map<uint32_t, const load_sample*> by_target;
  for (const load_sample& each : loads) {
    by_target.emplace(each.target, &each);
  }
  for (auto& [name, at] : services_) {
    for (const auto& each : at->targets) {
      const auto found = by_target.find(each->short_id);
      if (found != by_target.end()) {
        const load_sample& told = *found->second;
        each->health.OnTold(told.load,
                            now - std::chrono::milliseconds{told.age_ms},
                            duration{static_cast<int64_t>(told.latency_us)});
      }
    }
  }
}

std::vector<target_latency> request_router::TakeLatencies(
    const std::string& service_name) {
  std::vector<target_latency> taken;
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    return taken;
  }
  for (const auto& each : found->second->targets) {
    const auto [mean, count] = each->health.TakeRecent();
    if (count > 0) {
      taken.push_back({.target = each->entry.life.id,
                       .latency_us = static_cast<uint32_t>(mean.count()),
                       .served = count});
    }
  }
  return taken;
}

}  // namespace foxtailspread
