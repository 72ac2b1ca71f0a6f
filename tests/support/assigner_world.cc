#include "support/assigner_world.h"

#include <algorithm>
#include <utility>

namespace foxtailspread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep{milliseconds{10}};
constexpr duration kStoreLatency{milliseconds{4}};
constexpr duration kOrderLatency{milliseconds{3}};
/// The store drops a target's entry when its reports stop for this long.
constexpr duration kEntryTtl{milliseconds{2600}};
constexpr std::string_view kService = "keyed";
constexpr std::string_view kOtherService = "pooled";

}  // namespace

assigner_world::assigner_world(options chosen)
    : options_(chosen), random_(chosen.seed) {
  for (size_t i = 0; i < options_.targets; ++i) {
    AddTarget();
  }
  hosts_.resize(options_.hosts);
  for (size_t i = 0; i < options_.hosts; ++i) {
    hosts_[i].name = "host-" + std::to_string(i);
    hosts_[i].zone = "zone-" + std::to_string(i % 3);
    StartHost(i);
  }
}

void assigner_world::AddTarget() {
  const size_t index = targets_.size();
  world_target& added = targets_.emplace_back();
  added.entry.life = {.id = "t" + std::to_string(index), .started = 1};
  added.entry.service = kService;
  added.entry.address = "10.0.0." + std::to_string(index) + ":80";
  added.entry.zone = "zone-" + std::to_string(index % 3);
  added.entry.slots = 3;
}

void assigner_world::RestartTarget(size_t index) {
  world_target& target = targets_[index];
  target.alive = true;
  target.silent_since.reset();
  ++target.entry.life.started;
  target.seen = {};
  target.holds = {};
  target.entry.warm_up = options_.cold_time;
}

void assigner_world::ReuseAddress(size_t index) {
  AddTarget();
  target_entry& added = targets_.back().entry;
  added.service = kOtherService;
  added.address = targets_[index].entry.address;
}

void assigner_world::KillHost(size_t index) {
  hosts_[index].alive = false;
  ++hosts_[index].life;
}

void assigner_world::StartHost(size_t index) {
  world_host& host = hosts_[index];
  host.alive = true;
  ++host.life;
  host.seen_revision = 0;
  host.connection_of.clear();
  host.assigner = std::make_unique<key_assigner>(assigner_settings{
      .host = host.name,
      .zone = host.zone,
      .address = host.name,
      .targets_keep_release_fences = !options_.targets_forget_releases,
      .hold = seconds{3},
      .seed = random_()});
  service_settings service;
  service.name = kService;
  service.keyed = true;
  service.cold_time = options_.cold_time;
  service.cold_rate = options_.cold_time > duration{0} ? 1.0 : 0.0;
  service_settings other;
  other.name = kOtherService;
  host.assigner->OnServices({service, other});
}

bool assigner_world::Chance(double part) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < part;
}

void assigner_world::Later(duration delay, std::function<void()> run) {
  deliveries_.push_back({now_ + delay, std::move(run)});
}

void assigner_world::Run(duration time) {
  const time_point until = now_ + time;
  while (now_ < until) {
    Step();
  }
}

void assigner_world::Step() {
  now_ += kStep;
  std::vector<delivery> due_callbacks;
  for (auto it = deliveries_.begin(); it != deliveries_.end();) {
    if (it->at <= now_) {
      due_callbacks.push_back(std::move(*it));
      it = deliveries_.erase(it);
    } else {
      ++it;
    }
  }
  std::stable_sort(
      due_callbacks.begin(), due_callbacks.end(),
      [](const delivery& a, const delivery& b) { return a.at < b.at; });
  for (const delivery& scheduled : due_callbacks) {
    scheduled.run();
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].alive && now_ >= hosts_[i].frozen_until) {
      StepHost(i);
    }
  }
  CheckHolds();
}

std::vector<target_entry> assigner_world::Listed() {
  std::vector<target_entry> listed;
  for (world_target& target : targets_) {
    const bool reports = target.alive && target.reaches_store && !store_down &&
                         target.entry.zone != cut_zone;
    if (reports) {
      target.silent_since.reset();
      ++target.entry.sequence;
      target.entry.warm_up =
          std::max(target.entry.warm_up - kStep, duration{0});
    } else if (!target.silent_since) {
      target.silent_since = now_;
    }
    const bool expired =
        target.silent_since && now_ - *target.silent_since > kEntryTtl;
    if (!expired) {
      listed.push_back(target.entry);
    }
  }
  return listed;
}

void assigner_world::StepHost(size_t index) {
  world_host& host = hosts_[index];
  const bool store_reachable = ReachesStore(host);
  host.assigner->OnStoreAnswers(store_reachable, now_);
  const std::vector<target_entry> listed = Listed();
  if (store_reachable && host.lists_targets) {
    host.assigner->OnTargets(listed, false, now_);
    host.assigner->OnEvacuations(evacuated_zones, now_);
  }
  if (store_reachable) {
    if (host.seen_revision < revision_) {
      host.seen_revision = revision_;
      key_assigner::own_objects objects;
      for (const auto& [name, object] : objects_) {
        objects[name] = {
            .name = name, .revision = object.revision, .item = object.content};
      }
      if (const status accepted = host.assigner->OnObjects(objects, now_);
          !accepted) {
        Fail(accepted.error().Message());
      }
    }
  }
  if (now_ >= host.report_at && host.assigner->lease()) {
    host.report_at = now_ + seconds{1};
    const load_report report{.host = host.name,
                             .zone = host.zone,
                             .address = host.name,
                             .lease_revision = host.assigner->lease_revision(),
                             .services = {},
                             .targets = {}};
    if (world_host* holder = Reach(host, host.assigner->lease()->address)) {
      holder->assigner->OnReport(report, now_);
    }
  }
  assigner_actions actions;
  host.assigner->OnTime(now_, actions);
  Carry(index, actions);
}

world_host* assigner_world::Reach(const world_host& from,
                                  const std::string& address) {
  for (world_host& other : hosts_) {
    if (other.alive && other.name == address && !IsCut(from.zone, other.zone) &&
        !from.unreachable_hosts.contains(other.name) &&
        !other.unreachable_hosts.contains(from.name)) {
      return &other;
    }
  }
  return nullptr;
}

void assigner_world::Carry(size_t index, const assigner_actions& actions) {
  for (const assigner_action& action : actions) {
    if (const auto* note = std::get_if<assigner_note>(&action)) {
      notes_.push_back(*note);
    } else if (const auto* write = std::get_if<store_write>(&action)) {
      CarryWrite(index, *write);
    } else if (const auto* order = std::get_if<key_order>(&action)) {
      CarryOrder(index, *order);
    } else if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
      Send(hosts_[index], heartbeat->hops, [&](key_assigner& receiver) {
        receiver.OnHeartbeat(heartbeat->heartbeat, now_);
      });
    } else if (options_.datagrams) {
      CarryDatagram(index, action);
    }
  }
}

void assigner_world::CarryDatagram(size_t index,
                                   const assigner_action& action) {
  if (const auto* share = std::get_if<share_action>(&action)) {
    Send(hosts_[index], share->hops, [&](key_assigner& receiver) {
      if (const status accepted = receiver.OnOwners(share->record); !accepted) {
        Fail(accepted.error().Message());
      }
    });
  } else if (const auto* host_list = std::get_if<hosts_action>(&action)) {
    if (world_host* receiver = Reach(hosts_[index], host_list->address)) {
      receiver->assigner->OnHosts(host_list->record, now_);
    }
  }
}

void assigner_world::Send(const world_host& from,
                          const std::vector<fanout_hop>& hops,
                          const std::function<void(key_assigner&)>& deliver) {
  for (const fanout_hop& hop : hops) {
    world_host* relay = Reach(from, hop.address);
    if (relay == nullptr) {
      continue;
    }
    deliver(*relay->assigner);
    for (const std::string& address : hop.forward_to) {
      if (world_host* receiver = Reach(*relay, address)) {
        deliver(*receiver->assigner);
      }
    }
  }
}

write_report assigner_world::Apply(const store_write& write) {
  const auto found = objects_.find(write.name);
  const uint64_t current = found == objects_.end() ? 0 : found->second.revision;
  if (current != write.expected_revision) {
    return {.id = write.id,
            .end = write_end::kConflict,
            .revision = current,
            .content = found == objects_.end() ? "" : found->second.content};
  }
  Note("store write of " + write.name + " at revision " +
       std::to_string(revision_ + 1) + ": " + write.content.substr(0, 3000));
  objects_[write.name] = {++revision_, write.content};
  return {.id = write.id,
          .end = write_end::kWritten,
          .revision = revision_,
          .content = write.content};
}

void assigner_world::CarryWrite(size_t index, const store_write& write) {
  world_host& host = hosts_[index];
  const uint64_t incarnation = host.life;
  const auto report_end = [this, index,
                           incarnation](const write_report& report) {
    if (!hosts_[index].alive || hosts_[index].life != incarnation) {
      return;
    }
    assigner_actions actions;
    hosts_[index].assigner->OnWriteEnded(report, now_, actions);
    Carry(index, actions);
  };
  if (!ReachesStore(host)) {
    Later(milliseconds{300}, [report_end, id = write.id] {
      report_end({.id = id, .end = write_end::kUnknown});
    });
    return;
  }
  const bool is_late = Chance(late_writes);
  const bool answer_lost = is_late || Chance(lost_writes);
  const duration delay =
      is_late ? duration{seconds{1 + random_() % 5}} : kStoreLatency;
  Later(delay, [this, write, answer_lost, report_end] {
    const write_report report = Apply(write);
    if (!answer_lost) {
      report_end(report);
    }
  });
  if (answer_lost) {
    Later(milliseconds{800}, [report_end, id = write.id] {
      report_end({.id = id, .end = write_end::kUnknown});
    });
  }
}

world_target& assigner_world::TargetAt(const std::string& address) {
  const auto is_live_at_address = [&](const world_target& target) {
    return target.alive && target.entry.address == address;
  };
  const auto has_address = [&](const world_target& target) {
    return target.entry.address == address;
  };
  const auto live =
      std::find_if(targets_.begin(), targets_.end(), is_live_at_address);
  return live != targets_.end()
             ? *live
             : *std::find_if(targets_.begin(), targets_.end(), has_address);
}

order_report assigner_world::ApplyOrder(const key_order& order,
                                        time_point arrived) {
  order_report report{.id = order.id, .end = order_end::kDone};
  world_target& target = TargetAt(order.address);
  Note((order.grant ? "grant " : "release ") + order.target.id + "@" +
       std::to_string(target.entry.life.started) + " " +
       std::to_string(order.first) + "-" + std::to_string(order.last) +
       " fence " + std::to_string(order.fence) + " order " +
       std::to_string(order.id));
  const auto is_in_order_range = [&](size_t i) {
    return order.first <= WatchedKey(i) && WatchedKey(i) <= order.last;
  };
  for (size_t i = 0; i < kWatchedKeys; ++i) {
    if (order.grant && is_in_order_range(i) && target.seen[i] > order.fence &&
        !options_.targets_ignore_fences) {
      report.end = order_end::kFenced;
      return report;
    }
  }
  for (size_t i = 0; i < kWatchedKeys; ++i) {
    if (!is_in_order_range(i)) {
      continue;
    }
    if (!order.grant) {
      if (target.holds[i] || !options_.targets_forget_releases) {
        target.seen[i] = std::max(target.seen[i], order.fence);
      }
      target.holds[i].reset();
      continue;
    }
    target.seen[i] = std::max(target.seen[i], order.fence);
    if (arrived + order.hold <= now_) {
      continue;  // The grant has expired; it is valid from its arrival.
    }
    const bool owner_changes = highest_of_[i].id != target.entry.life.id;
    if (owner_changes && order.fence <= highest_[i]) {
      Fail("key " + std::to_string(WatchedKey(i)) + ": " +
           target.entry.life.id + " accepted a grant with fence " +
           std::to_string(order.fence) +
           ", which is not above the highest fence " +
           std::to_string(highest_[i]) + "; the grant arrived " +
           std::to_string(
               std::chrono::duration_cast<milliseconds>(now_ - arrived)
                   .count()) +
           " ms earlier");
    }
    if (order.fence >= highest_[i]) {
      highest_[i] = order.fence;
      highest_of_[i] = target.entry.life;
    }
    target.holds[i] = {order.fence, arrived + order.hold};
  }
  report.handover = "state";
  return report;
}

void assigner_world::Report(size_t host, uint64_t life,
                            const order_report& report) {
  if (!hosts_[host].alive || hosts_[host].life != life) {
    return;
  }
  assigner_actions actions;
  hosts_[host].assigner->OnOrderEnded(report, now_, actions);
  Carry(host, actions);
}

void assigner_world::CarryOrder(size_t index, const key_order& order) {
  world_host& host = hosts_[index];
  const uint64_t incarnation = host.life;
  const world_target& target = TargetAt(order.address);
  const std::string process_key =
      target.entry.life.id + "@" + std::to_string(target.entry.life.started);
  uint64_t& connection = host.connection_of[process_key];
  if (order.newest_connection != 0 &&
      (connection == 0 || connection > order.newest_connection)) {
    Later(kOrderLatency, [this, index, incarnation, id = order.id] {
      Report(index, incarnation, {.id = id, .end = order_end::kNotSent});
    });
    return;
  }
  const bool reachable = target.alive &&
                         !target.unreachable_from.contains(host.name) &&
                         !IsCut(host.zone, target.entry.zone);
  if (!reachable) {
    const order_end end = connection == 0 || target.alive
                              ? order_end::kNotSent
                              : order_end::kNoProcess;
    connection = 0;
    Later(milliseconds{250}, [this, index, incarnation, id = order.id, end] {
      Report(index, incarnation, {.id = id, .end = end});
    });
    return;
  }
  if (connection == 0) {
    connection = ++host.connections;
  }
  if (Chance(late_orders)) {
    // The order arrives now and is executed later, without an answer.
    const time_point arrived = now_;
    const uint64_t started = target.entry.life.started;
    const size_t target_index = static_cast<size_t>(&target - targets_.data());
    Later(seconds{2 + random_() % 8},
          [this, order, arrived, target_index, started] {
            if (targets_[target_index].alive &&
                targets_[target_index].entry.life.started == started) {
              ApplyOrder(order, arrived);
            }
          });
    Later(milliseconds{500}, [this, index, incarnation, id = order.id] {
      Report(index, incarnation, {.id = id, .end = order_end::kUnanswered});
    });
    return;
  }
  if (target.unheard_by.contains(host.name)) {
    connection = 0;
    Later(kOrderLatency, [this, order] { ApplyOrder(order, now_); });
    Later(milliseconds{500}, [this, index, incarnation, id = order.id] {
      Report(index, incarnation, {.id = id, .end = order_end::kUnanswered});
    });
    return;
  }
  if (target.rejects || target.entry.life.id != order.target.id) {
    Later(kOrderLatency, [this, index, incarnation, id = order.id] {
      Report(index, incarnation, {.id = id, .end = order_end::kRejected});
    });
    return;
  }
  Later(kOrderLatency,
        [this, index, incarnation, order, used_connection = connection] {
          order_report report = ApplyOrder(order, now_);
          report.connection = used_connection;
          Report(index, incarnation, report);
        });
}

void assigner_world::CheckHolds() {
  for (size_t i = 0; i < kWatchedKeys; ++i) {
    const world_target* owner = nullptr;
    for (const world_target& target : targets_) {
      const bool holds_key =
          target.alive && target.holds[i] && target.holds[i]->until > now_;
      if (holds_key && owner != nullptr) {
        Fail("key " + std::to_string(WatchedKey(i)) + " is held by " +
             owner->entry.life.id + " and " + target.entry.life.id);
      }
      if (holds_key) {
        owner = &target;
      }
    }
  }
}

void assigner_world::Note(std::string what) {
  constexpr size_t kMaxHistoryLines = 60;
  if (!problem_.empty()) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      now_.time_since_epoch() - seconds{1000});
  history_.push_back(std::to_string(elapsed.count()) + " ms " +
                     std::move(what));
  if (history_.size() > kMaxHistoryLines) {
    history_.pop_front();
  }
}

std::string assigner_world::History() const {
  std::string history;
  for (const std::string& line : history_) {
    history += line + "\n";
  }
  return history;
}

void assigner_world::Fail(const std::string& problem) {
  if (problem_.empty()) {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        now_.time_since_epoch() - seconds{1000});
    problem_ = "after " + std::to_string(elapsed.count()) + " ms: " + problem;
  }
}

std::optional<size_t> assigner_world::holder() const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].alive && hosts_[i].assigner->IsHolder(now_)) {
      return i;
    }
  }
  return std::nullopt;
}

size_t assigner_world::UnownedKeys() const {
  size_t unowned = 0;
  for (size_t i = 0; i < kWatchedKeys; ++i) {
    const bool owned = std::any_of(targets_.begin(), targets_.end(),
                                   [&](const world_target& target) {
                                     return target.alive && target.holds[i] &&
                                            target.holds[i]->until > now_;
                                   });
    unowned += owned ? 0 : 1;
  }
  return unowned;
}

size_t assigner_world::KeysOf(size_t index) const {
  const world_target& target = targets_[index];
  return static_cast<size_t>(std::count_if(
      target.holds.begin(), target.holds.end(),
      [&](const auto& hold) { return hold && hold->until > now_; }));
}

std::optional<key_map> assigner_world::Recorded() const {
  const auto found = objects_.find(key_assigner::MapName(kService));
  if (found == objects_.end()) {
    return std::nullopt;
  }
  auto map = ParseKeyMap(found->second.content);
  return map ? std::optional{map.value()} : std::nullopt;
}

}  // namespace foxtailspread::testing
