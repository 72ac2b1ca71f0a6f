#ifndef FOXTAILSPREAD_BENCHMARK_CONTROL_FLEET_H_
#define FOXTAILSPREAD_BENCHMARK_CONTROL_FLEET_H_

/// @file
/// The decisions of many entry hosts in virtual time, with counters of what
/// their control work costs. Links, targets and the platform always answer
/// after one step; faults are what the tests are for.

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/entry_host.h"
#include "foxtailspread/object_store.h"

namespace foxtailspread {

/// The sizes that the control work may depend on.
struct fleet_size {
  int zones = 1;
  int hosts_per_zone = 3;
  int services = 1;  ///< Each has one range in every zone.
  int targets_per_range = 3;
  int buckets = 256;  ///< Of each service, over all zones.
  int organisations = 2;
};

/// What was counted, over all hosts.
struct fleet_cost {
  int64_t tick_ns = 0;   ///< Processor time in ticks,
  int64_t event_ns = 0;  ///< and in all other events.
  uint64_t ticks = 0;
  uint64_t peer_messages = 0;
  uint64_t peer_bytes = 0;
  uint64_t grants = 0;
  uint64_t grant_buckets = 0;
  uint64_t watches = 0;
  uint64_t writes = 0;
};

/// Returns the credential's digest of an organisation by its number.
inline std::string FleetToken(int organisation) {
  return std::string(60, 'a') + std::to_string(1000 + organisation);
}

/// Returns a configuration of that size.
inline deployment_config FleetConfig(const fleet_size& size) {
  deployment_config config;
  config.deployment = "fleet";
  for (int z = 0; z < size.zones; ++z) {
    config.zones.push_back("zone" + std::to_string(100 + z));
  }
  for (int s = 0; s < size.services; ++s) {
    service_config service;
    service.name = "service" + std::to_string(s);
    service.placement = placement_kind::kKeyed;
    service.targets_check_grants = true;
    service.buckets = size.buckets;
    for (const std::string& zone : config.zones) {
      for (int t = 0; t < size.targets_per_range; ++t) {
        target_config target;
        target.name = service.name + "-" + zone + "-" + std::to_string(t);
        target.address =
            "10.0.0.1:" + std::to_string(1024 + config.services.size() * 997 +
                                         service.targets.size());
        target.zone = zone;
        service.targets.push_back(std::move(target));
      }
    }
    config.services.push_back(std::move(service));
  }
  for (int o = 0; o < size.organisations; ++o) {
    organisation_config organisation;
    organisation.name = "organisation" + std::to_string(o);
    organisation.token_digests = {FleetToken(o)};
    for (const service_config& service : config.services) {
      organisation.services.push_back(service.name);
    }
    config.organisations.push_back(std::move(organisation));
  }
  config.presets.push_back(preset_config{.name = "everyday"});
  config.preset = "everyday";
  return config;
}

/// Entry hosts that only do control work.
class control_fleet {
 public:
  /// Returns the size of a message on the wire.
  using sizer = size_t (*)(const peer_message&);

  control_fleet(const fleet_size& size, sizer size_of) : size_of_(size_of) {
    const deployment_config config = FleetConfig(size);
    static_cast<void>(
        store_.Put(kConfigKey, FormatConfig(config), kNoRevision));
    const size_t before = mallinfo2().uordblks;
    for (const std::string& zone : config.zones) {
      for (int i = 0; i < size.hosts_per_zone; ++i) {
        Add(zone, i);
      }
    }
    RunFor(std::chrono::seconds{8});
    heap_per_host_ = (mallinfo2().uordblks - before) / hosts_.size();
    cost_ = {};
  }

  /// Runs for that long; a step is a millisecond.
  void RunFor(duration length) {
    const time_point end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      std::vector<delivery> due;
      due.swap(deliveries_);
      for (delivery& one : due) {
        Handle(one.host, one.event);
      }
      AnswerWatches();
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if ((now_.time_since_epoch() / kStep + static_cast<int64_t>(i)) %
                kTickSteps ==
            0) {
          Handle(i, tick_event{});
        }
      }
    }
  }

  /// Passes an event to a host and returns the actions that are no control
  /// work: answers, attempts and forwards.
  action_list Handle(size_t host, const host_event& event) {
    action_list actions;
    const auto start = std::chrono::steady_clock::now();
    hosts_[host].decisions->Handle(event, now_, actions);
    const int64_t spent = (std::chrono::steady_clock::now() - start).count();
    if (std::holds_alternative<tick_event>(event)) {
      cost_.tick_ns += spent;
      ++cost_.ticks;
    } else {
      cost_.event_ns += spent;
    }
    action_list others;
    for (host_action& action : actions) {
      if (const auto* peer = std::get_if<peer_action>(&action)) {
        Send(*peer);
      } else if (const auto* grant = std::get_if<grant_action>(&action)) {
        Grant(host, *grant);
      } else if (const auto* call = std::get_if<platform_action>(&action)) {
        Call(host, *call);
      } else if (!std::holds_alternative<log_action>(action)) {
        others.push_back(std::move(action));
      }
    }
    return others;
  }

  /// Returns the host that acts as steward of the range, if there is one.
  std::optional<size_t> StewardOf(const std::string& range) const {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const auto& ranges = hosts_[i].decisions->ranges().ranges();
      const auto found = ranges.find(range);
      if (found != ranges.end() && found->second.acting) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Returns the number of ranges that have a steward.
  int ActingRanges() const {
    int acting = 0;
    for (const running_host& host : hosts_) {
      for (const auto& [name, node] : host.decisions->ranges().ranges()) {
        acting += node.acting ? 1 : 0;
      }
    }
    return acting;
  }

  entry_host& Host(size_t host) { return *hosts_[host].decisions; }
  size_t HostCount() const { return hosts_.size(); }
  object_store& Store() { return store_; }
  const fleet_cost& cost() const { return cost_; }
  size_t heap_per_host() const { return heap_per_host_; }
  time_point now() const { return now_; }

 private:
  static constexpr duration kStep{std::chrono::milliseconds{1}};
  static constexpr int kTickSteps = 10;

  struct running_host {
    std::unique_ptr<entry_host> decisions;
  };
  struct delivery {
    size_t host;
    host_event event;
  };
  struct waiting_watch {
    size_t host;
    platform_action call;
    time_point until;
  };

  void Add(const std::string& zone, int number) {
    host_identity identity;
    identity.self.name = zone + "-" + std::to_string(number);
    identity.self.zone = zone;
    identity.self.http = "10.1.0.1:8000";
    identity.self.peer = "10.1.0.1:8500";
    identity.self.life = 1'700'000'000'000'000 + hosts_.size();
    identity.secret = action_secret{"secret", nullptr};
    by_name_[identity.self.name] = hosts_.size();
    hosts_.push_back({std::make_unique<entry_host>(identity, timing_)});
  }

  void Send(const peer_action& action) {
    ++cost_.peer_messages;
    cost_.peer_bytes += size_of_(action.message);
    deliveries_.push_back(
        {by_name_.at(action.host), peer_received{action.message}});
  }

  void Grant(size_t host, const grant_action& order) {
    ++cost_.grants;
    cost_.grant_buckets += order.buckets.size();
    deliveries_.push_back(
        {host,
         grant_ended{order.range, order.target, order.seq, grant_end::kAccepted,
                     now_.time_since_epoch().count(), order.epoch}});
  }

  void Call(size_t host, const platform_action& call) {
    if (call.kind == platform_call_kind::kWatch) {
      ++cost_.watches;
      watches_.push_back({host, call, now_ + duration{call.wait_us}});
      return;
    }
    platform_ended ended;
    ended.call_id = call.call_id;
    ended.end = platform_end::kOk;
    if (call.kind == platform_call_kind::kPut) {
      ++cost_.writes;
      const auto written = store_.Put(call.key, call.value, call.if_revision);
      if (!written || written.value().verdict != write_verdict::kWritten) {
        ended.end = platform_end::kConflict;
      }
    }
    const stored_object* held = store_.Get(call.key);
    if (held == nullptr) {
      ended.end = platform_end::kMissing;
    } else {
      ended.object = {held->key, held->revision, held->deleted, held->value};
    }
    deliveries_.push_back({host, std::move(ended)});
  }

  void AnswerWatches() {
    std::vector<waiting_watch> waiting;
    waiting.swap(watches_);
    for (waiting_watch& watch : waiting) {
      if (store_.Revision() <= watch.call.since && now_ < watch.until) {
        watches_.push_back(std::move(watch));
        continue;
      }
      platform_ended ended;
      ended.call_id = watch.call.call_id;
      ended.end = platform_end::kOk;
      ended.changes.since = watch.call.since;
      ended.changes.revision = store_.Revision();
      for (const stored_object& one : store_.Changes(watch.call.since)) {
        ended.changes.changes.push_back(
            {one.key, one.revision, one.deleted, one.value});
      }
      deliveries_.push_back({watch.host, std::move(ended)});
    }
  }

  sizer size_of_;
  decision_timing timing_;
  time_point now_{std::chrono::seconds{1000}};
  object_store store_;
  std::vector<running_host> hosts_;
  std::map<std::string, size_t> by_name_;
  std::vector<delivery> deliveries_;
  std::vector<waiting_watch> watches_;
  fleet_cost cost_;
  size_t heap_per_host_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BENCHMARK_CONTROL_FLEET_H_
