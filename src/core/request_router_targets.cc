// Updates of the configuration, of the targets and of the owners of keys.

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_set>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Latency assumed of a new target whose service has no other targets, and the
/// minimum assumed of any new target.
constexpr duration kInitialLatency{std::chrono::milliseconds{100}};

/// Time for which a target that disappeared from the list while the store was
/// unavailable is still used if there is no other. A live target is listed
/// again within 2 s. One that has left for good must get no request later than
/// 2 s after it left, and the list may lag by most of the remaining 1.1 s.
constexpr duration kMissingTargetGrace{std::chrono::milliseconds{900}};

/// Fraction of a target's connections that all hosts together use. The rest is
/// reserved for hosts that are not counted yet and for connections that are
/// being closed.
constexpr double kUsableConnectionsFraction = 0.8;

}  // namespace

void request_router::OnConfig(route_table_ptr table, time_point now,
                              router_actions& out) {
  table_ = std::move(table);
  for (const service_settings& settings : table_->config().services) {
    service& service_state = FindOrAddService(settings.name);
    service_state.keyed = settings.keyed;
    service_state.cold_start = ColdPolicyOf(settings);
    service_state.sharing.SetObjective(LeastObjective(settings.name));
  }
  UpdateConnectionLimits();
  for (auto& [name, service_state] : services_) {
    SendWaiting(*service_state, now, out);
  }
}

duration request_router::LeastObjective(const std::string& service_name) const {
  duration least = duration::max();
  for (const route& each : table_->config().routes) {
    for (const weighted_service& receiver : each.services) {
      if (receiver.service == service_name) {
        least = std::min(least, each.objective);
      }
    }
  }
  return least;
}

/// Returns this host's share of the connections that a target accepts from all
/// hosts; 0 for no limit. A target resets connections above its limit, and it
/// is not known whether a request on such a connection ran.
int request_router::MaxConnections(const std::string& service_name) const {
  const service_settings* settings =
      table_ ? table_->FindService(service_name) : nullptr;
  if (settings == nullptr || settings->max_connections <= 0) {
    return 0;
  }
  const double share = settings->max_connections * kUsableConnectionsFraction /
                       static_cast<double>(host_count_);
  return std::max(1, static_cast<int>(share));
}

void request_router::UpdateConnectionLimits() {
  for (auto& [name, service_state] : services_) {
    const int max_connections = MaxConnections(name);
    for (const auto& known_target : service_state->targets) {
      known_target->health.SetLimits(max_connections, host_count_);
    }
    UpdateSlotShare(*service_state);
  }
}

void request_router::UpdateSlotShare(service& service_state) const {
  double slots = 0.0;
  int least_slots = std::numeric_limits<int>::max();
  for (const auto& listed_target : service_state.targets) {
    slots += IsLeaving(*listed_target) ? 0.0 : listed_target->entry.slots;
    least_slots = std::min(least_slots, listed_target->entry.slots);
  }
  service_state.sharing.SetSlots(least_slots);
  if (slots > 0.0) {
    service_state.limit.SetCapacity(slots, host_count_);
  }
}

void request_router::OnHostCount(size_t hosts, bool is_known) {
  host_count_is_known_ = is_known;
  if (hosts == host_count_) {
    return;
  }
  host_count_ = hosts;
  UpdateConnectionLimits();
  for (auto& [name, service_state] : services_) {
    service_state->budget.SetHostCount(hosts);
  }
}

duration request_router::InitialLatency(const service& service_state) {
  duration sum{0};
  for (const auto& known_target : service_state.targets) {
    sum += known_target->health.mean_latency();
  }
  const auto count = static_cast<int64_t>(service_state.targets.size());
  return count == 0 ? kInitialLatency : std::max(kInitialLatency, sum / count);
}

void request_router::OnTargets(const std::vector<target_entry>& targets,
                               bool may_be_incomplete,
                               time_point unchanged_until, time_point now,
                               router_actions& out) {
  reach_.OnListed(targets.size());
  std::unordered_set<const target*> listed;
  for (const target_entry& entry : targets) {
    service& service_state = FindOrAddService(entry.service);
    target* known_target = service_state.FindLife(entry.life);
    const bool is_new =
        known_target == nullptr || known_target->entry.address != entry.address;
    if (is_new) {
      if (known_target != nullptr) {
        KeepStatements(*known_target, now);
      }
      service_state.targets.push_back(
          new target(entry, InitialLatency(service_state), SendPhase(entry)));
      known_target = service_state.targets.back().get();
      RestoreStatements(*known_target);
      known_target->health.SetLimits(MaxConnections(entry.service),
                                     host_count_);
    }
    if (is_new || !(known_target->entry == entry)) {
      known_target->availability.OnEntry(entry, service_state.cold_start, now);
    }
    known_target->entry = entry;
    known_target->availability.OnEvacuated(
        evacuated_zones_.contains(entry.zone), service_state.cold_start, now);
    known_target->missing_since.reset();
    if (!entry.draining) {
      known_target->draining_since.reset();
    } else if (!known_target->draining_since) {
      known_target->draining_since = unchanged_until;
    }
    listed.insert(known_target);
  }
  if (!may_be_incomplete) {
    crashes_.OnTargetList(
        [&](const target_life& life) {
          return std::any_of(
              targets.begin(), targets.end(),
              [&](const target_entry& entry) { return entry.life == life; });
        },
        now);
  }
  for (auto& [name, service_state] : services_) {
    std::erase_if(service_state->targets, [&](const auto& known_target) {
      if (listed.contains(known_target.get())) {
        return false;
      }
      if (!known_target->missing_since) {
        known_target->missing_since = now;
      }
      const bool is_dropped =
          !may_be_incomplete || IsMissingTooLong(*known_target, now);
      if (is_dropped) {
        KeepStatements(*known_target, now);
      }
      return is_dropped;
    });
    UpdateSlotShare(*service_state);
    RedistributeQueues(*service_state);
    SendWaiting(*service_state, now, out);
  }
}

void request_router::OnEvacuations(std::set<std::string> zones, time_point now,
                                   router_actions& out) {
  evacuated_zones_ = std::move(zones);
  for (auto& [name, service_state] : services_) {
    for (const auto& known_target : service_state->targets) {
      known_target->availability.OnEvacuated(
          evacuated_zones_.contains(known_target->entry.zone),
          service_state->cold_start, now);
    }
    SendWaiting(*service_state, now, out);
  }
}

bool request_router::IsLeaving(const target& candidate) {
  return candidate.entry.draining || candidate.leaving_since;
}

bool request_router::AcceptsRequests(const target& candidate, time_point now) {
  return !IsLeaving(candidate) && candidate.availability.IsAvailable(now);
}

bool request_router::IsMissingTooLong(const target& candidate, time_point now) {
  return candidate.missing_since &&
         now - *candidate.missing_since >= kMissingTargetGrace;
}

void request_router::DropMissingTargets(service& service_state,
                                        time_point now) {
  std::erase_if(service_state.targets, [&](const auto& candidate) {
    const bool is_dropped = IsMissingTooLong(*candidate, now);
    if (is_dropped) {
      KeepStatements(*candidate, now);
    }
    return is_dropped;
  });
}

void request_router::OnKeyMap(const std::string& service_name,
                              const key_map& map, time_point now,
                              router_actions& out) {
  service& service_state = FindOrAddService(service_name);
  std::map<fence_number, time_point> moving_since;
  for (const key_range& range : map.ranges) {
    if (!range.granted) {
      const auto known_range = service_state.moving_since.find(range.fence);
      moving_since[range.fence] =
          known_range == service_state.moving_since.end() ? now
                                                          : known_range->second;
    }
  }
  service_state.moving_since = std::move(moving_since);
  service_state.owners = map;
  RedistributeQueues(service_state);
  SendWaiting(service_state, now, out);
}

}  // namespace foxtailspread
