// What a router is told of the declarations, of the targets and of the owners
// of keys.

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Latency assumed of a service that has served nothing here yet.
constexpr duration kFirstLatency{std::chrono::milliseconds{100}};

/// How long a target that vanished from the list while the store was away is
/// still used if there is no other. Its entry is back within two seconds if it
/// lives, and two seconds after it left for good it must get no more work; the
/// list may lag by most of the other second.
constexpr duration kMissingGrace{std::chrono::milliseconds{900}};

/// The part of a target's connections that all hosts use together. The rest is
/// for hosts that are not counted yet and for connections being closed.
constexpr double kConnectionShare = 0.8;

}  // namespace

void request_router::OnConfig(route_table_ptr table, time_point now,
                              router_actions& out) {
  table_ = std::move(table);
  for (const service_settings& each : table_->config().services) {
    service& at = ServiceOf(each.name);
    at.keyed = each.keyed;
    at.cold = ColdPolicyOf(each);
  }
  LimitConnections();
  for (auto& [name, each] : services_) {
    Pump(*each, now, out);
  }
}

/// This host's part of the connections that a target takes from all hosts; 0
/// for no limit. A target resets what goes beyond, and whether a request on
/// such a connection ran is not known.
int request_router::ConnectionsAllowed(const std::string& service_name) const {
  const service_settings* settings =
      table_ ? table_->FindService(service_name) : nullptr;
  if (settings == nullptr || settings->max_connections <= 0) {
    return 0;
  }
  const double part = settings->max_connections * kConnectionShare /
                      static_cast<double>(hosts_);
  return std::max(1, static_cast<int>(part));
}

void request_router::LimitConnections() {
  for (auto& [name, each] : services_) {
    const int allowed = ConnectionsAllowed(name);
    for (const auto& one : each->targets) {
      one->health.SetShare(allowed, hosts_);
    }
    ShareSlots(*each);
  }
}

void request_router::ShareSlots(service& of) const {
  double slots = 0.0;
  for (const auto& each : of.targets) {
    slots += each->entry.draining ? 0.0 : each->entry.slots;
  }
  if (slots > 0.0) {
    of.limit.SetShare(slots, hosts_);
  }
}

void request_router::OnHostCount(size_t hosts) {
  if (hosts == hosts_) {
    return;
  }
  hosts_ = hosts;
  LimitConnections();
  for (auto& [name, each] : services_) {
    each->budget.SetHosts(hosts);
  }
}

duration request_router::FirstLatency(const service& of) {
  duration sum{0};
  for (const auto& each : of.targets) {
    sum += each->health.latency();
  }
  const auto count = static_cast<int64_t>(of.targets.size());
  return count == 0 ? kFirstLatency : std::max(kFirstLatency, sum / count);
}

void request_router::OnTargets(const std::vector<target_entry>& targets,
                               bool doubtful, time_point same_until,
                               time_point now, router_actions& out) {
  std::unordered_set<const target*> listed;
  for (const target_entry& entry : targets) {
    service& at = ServiceOf(entry.service);
    target* known = at.FindLife(entry.life);
    const bool is_new =
        known == nullptr || known->entry.address != entry.address;
    if (is_new) {
      at.targets.push_back(new target(entry, FirstLatency(at)));
      known = at.targets.back().get();
      known->health.SetShare(ConnectionsAllowed(entry.service), hosts_);
    }
    if (is_new || !(known->entry == entry)) {
      known->availability.OnEntry(entry, at.cold, now);
    }
    known->entry = entry;
    known->availability.OnEvacuated(evacuated_zones_.contains(entry.zone),
                                    at.cold, now);
    known->missing_since.reset();
    if (!entry.draining) {
      known->draining_since.reset();
    } else if (!known->draining_since) {
      known->draining_since = same_until;
    }
    listed.insert(known);
  }
  if (!doubtful) {
    crashes_.OnListed(
        [&](const target_life& life) {
          return std::any_of(
              targets.begin(), targets.end(),
              [&](const target_entry& each) { return each.life == life; });
        },
        now);
  }
  for (auto& [name, at] : services_) {
    std::erase_if(at->targets, [&](const auto& each) {
      if (listed.contains(each.get())) {
        return false;
      }
      if (!each->missing_since) {
        each->missing_since = now;
      }
      return !doubtful || IsRetired(*each, now);
    });
    ShareSlots(*at);
    RedistributeQueues(*at);
    Pump(*at, now, out);
  }
}

void request_router::OnEvacuations(std::set<std::string> zones, time_point now,
                                   router_actions& out) {
  evacuated_zones_ = std::move(zones);
  for (auto& [name, at] : services_) {
    for (const auto& each : at->targets) {
      each->availability.OnEvacuated(
          evacuated_zones_.contains(each->entry.zone), at->cold, now);
    }
    Pump(*at, now, out);
  }
}

bool request_router::IsOpen(const target& of, time_point now) {
  return !of.entry.draining && of.availability.IsOpen(now);
}

bool request_router::IsRetired(const target& of, time_point now) {
  return of.missing_since && now - *of.missing_since >= kMissingGrace;
}

void request_router::DropRetired(service& from, time_point now) {
  std::erase_if(from.targets,
                [&](const auto& each) { return IsRetired(*each, now); });
}

void request_router::OnKeyMap(const std::string& service_name,
                              const key_map& map, time_point now,
                              router_actions& out) {
  service& at = ServiceOf(service_name);
  std::map<fence_number, time_point> moving;
  for (const key_range& range : map.ranges) {
    if (!range.granted) {
      const auto known = at.moving_since.find(range.fence);
      moving[range.fence] =
          known == at.moving_since.end() ? now : known->second;
    }
  }
  at.moving_since = std::move(moving);
  at.owners = map;
  RedistributeQueues(at);
  Pump(at, now, out);
}

}  // namespace foxtailspread
