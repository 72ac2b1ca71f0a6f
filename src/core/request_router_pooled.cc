// Selection of a target of a pooled service.
//
// Load patterns that these rules are made for: bursts above the capacity of the
// targets, targets of unequal or reduced speed, and availability zones that
// peak at different moments.

#include <algorithm>
#include <array>

#include "foxtailspread/load/zone_placement.h"
#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Penalty for a target in another zone when targets are compared, as a
/// fraction of the latency objective: traffic between zones is billed, and a
/// network partition can cut it off. With a larger penalty the targets of the
/// own zone would be overloaded before any request goes to another zone.
constexpr double kOtherZonePenaltyFraction = 0.2;

/// Number of random targets compared for one request. Hosts don't see each
/// other's requests; comparing only two random targets keeps them from all
/// sending to the one that looks best.
constexpr int kChoices = 2;
/// The same where the load of the targets over all hosts is known.
constexpr int kChoicesWithKnownLoad = 3;

/// Fraction of the targets whose load has to be known for the own zone to go
/// first. A target that no host has used lately has no known load.
constexpr double kMinKnownFraction = 0.5;

}  // namespace

duration request_router::ExpectedLatency(const target& candidate,
                                         time_point now) const {
  const target_load* load = LoadOf(candidate, now);
  if (load == nullptr) {
    return candidate.health.ExpectedLatency(now);
  }
  const double occupied =
      ExpectedOccupancyOf(candidate, now).value_or(load->occupied);
  const double queue_factor =
      std::max(1.0, (occupied + 1.0) / candidate.entry.slots);
  const duration unqueued =
      load->unqueued_latency.value_or(candidate.health.mean_latency());
  return std::max(Part(unqueued, queue_factor),
                  candidate.health.OldestAge(now));
}

bool request_router::OwnZoneGoesFirst(const service& service_state,
                                      const zone_groups& usable,
                                      time_point now) const {
  if (settings_.placement != zone_preference::kOwnZoneFirst ||
      service_state.limit.has_load_reports()) {
    return false;
  }
  const size_t count = usable[0].size() + usable[1].size();
  size_t known = 0;
  for (const auto& group : usable) {
    for (const target* member : group) {
      known += LoadOf(*member, now) != nullptr ? 1 : 0;
    }
  }
  return known > 0 && static_cast<double>(known) >=
                          kMinKnownFraction * static_cast<double>(count);
}

request_router::target* request_router::BestOf(std::vector<target*>& members,
                                               time_point now) {
  target* best = nullptr;
  duration best_latency{};
  for (int choice = 0; choice < kChoicesWithKnownLoad && !members.empty();
       ++choice) {
    const size_t index = random_() % members.size();
    target* candidate = members[index];
    members[index] = members.back();
    members.pop_back();
    const duration latency = ExpectedLatency(*candidate, now);
    if (best == nullptr || latency < best_latency) {
      best = candidate;
      best_latency = latency;
    }
  }
  return best;
}

request_router::target* request_router::PickByZone(
    zone_groups& usable, const request& pending_request, time_point now) {
  service& service_state = *pending_request.service_state;
  zone_choice choice{.objective = pending_request.matched_route->objective};
  const auto count = static_cast<int64_t>(usable[0].size() + usable[1].size());
  for (const auto& group : usable) {
    for (const target* member : group) {
      choice.typical += ExpectedLatency(*member, now) / count;
    }
  }
  target* own_zone = BestOf(usable[0], now);
  target* other_zones = BestOf(usable[1], now);
  if (own_zone != nullptr) {
    choice.own_zone = ExpectedLatency(*own_zone, now);
  }
  if (other_zones != nullptr) {
    choice.other_zones = ExpectedLatency(*other_zones, now);
  }
  choice.own_zone_accepts =
      std::ranges::any_of(service_state.targets, [&](const auto& candidate) {
        return candidate->entry.zone == settings_.zone &&
               AcceptsRequests(*candidate, now) &&
               candidate->health.IsReachable(now);
      });
  const auto reason = service_state.zones.Spill(choice);
  if (!reason) {
    return own_zone;
  }
  ++service_state.zone_sends.spills.at(static_cast<size_t>(*reason));
  return other_zones;
}

request_router::target* request_router::PickPooled(
    service& service_state, const request& pending_request, time_point now,
    router_actions& out) {
  zone_groups usable;
  // Used only if there is no other: a target that fails part of its requests or
  // is missing from the list.
  target* last_resort = nullptr;
  std::vector<target*> without_permit;
  for (const auto& candidate : service_state.targets) {
    const bool is_usable = AcceptsRequests(*candidate, now) &&
                           now >= candidate->resumes_at &&
                           candidate->health.IsReachable(now) &&
                           candidate->health.HasCapacity(now) &&
                           HasRoomForBody(*candidate, pending_request) &&
                           !pending_request.WasTried(candidate.get());
    if (!is_usable) {
      continue;
    }
    if (!HasPermit(*candidate, now)) {
      without_permit.push_back(candidate.get());
      continue;
    }
    if (candidate->missing_since || !candidate->health.IsHealthy(now)) {
      const bool is_better =
          last_resort == nullptr ||
          candidate->health.in_flight() < last_resort->health.in_flight();
      last_resort = is_better ? candidate.get() : last_resort;
      continue;
    }
    // A permit that is not used soon is lost to all hosts.
    if (candidate->limit.per_second() &&
        candidate->health.ExpectedLatency(now) <=
            pending_request.matched_route->objective) {
      return candidate.get();
    }
    usable[candidate->entry.zone == settings_.zone ? 0 : 1].push_back(
        candidate.get());
  }
  if (!without_permit.empty()) {
    RequestPooledPermit(without_permit, usable[0].size() + usable[1].size(),
                        pending_request, now, out);
  }
  if (OwnZoneGoesFirst(service_state, usable, now)) {
    target* chosen = PickByZone(usable, pending_request, now);
    return chosen != nullptr ? chosen : last_resort;
  }
  const duration other_zone_penalty = duration{static_cast<int64_t>(
      static_cast<double>(pending_request.matched_route->objective.count()) *
      kOtherZonePenaltyFraction)};
  const int choices =
      service_state.limit.has_load_reports() ? kChoicesWithKnownLoad : kChoices;
  target* best = nullptr;
  duration best_cost{};
  for (size_t group = 0; group < usable.size(); ++group) {
    auto& members = usable[group];
    for (int choice = 0; choice < choices && !members.empty(); ++choice) {
      const size_t index = random_() % members.size();
      target* candidate = members[index];
      members[index] = members.back();
      members.pop_back();
      const duration cost = candidate->health.ExpectedLatency(now) +
                            (group == 0 ? duration{0} : other_zone_penalty);
      if (best == nullptr || cost < best_cost) {
        best = candidate;
        best_cost = cost;
      }
    }
  }
  return best != nullptr ? best : last_resort;
}

}  // namespace foxtailspread
