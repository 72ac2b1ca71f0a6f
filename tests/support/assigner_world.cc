#include "support/assigner_world.h"

#include <algorithm>
#include <array>
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

/// The key of a target process in world_host::connection_by_target.
std::string ProcessKey(const target_life& life) {
  return life.id + "@" + std::to_string(life.started);
}

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
  target.highest_seen_fences = {};
  target.held_grants = {};
  target.entry.remaining_cold_time = options_.cold_time;
}

void assigner_world::ReuseAddress(size_t index) {
  AddTarget();
  target_entry& added = targets_.back().entry;
  added.service = kOtherService;
  added.address = targets_[index].entry.address;
}

void assigner_world::KillHost(size_t index) {
  hosts_[index].alive = false;
  ++hosts_[index].incarnation;
  for (queued_order& order : queued_orders_) {
    if (order.host == index) {
      ResetQueuedOrder(order);
    }
  }
}

void assigner_world::CloseConnections(size_t index) {
  const std::string process_key = ProcessKey(targets_[index].entry.life);
  for (world_host& host : hosts_) {
    host.connection_by_target.erase(process_key);
  }
}

void assigner_world::CopyStore() {
  copied_objects_ = objects_;
  copied_revision_ = revision_;
  for (world_target& target : targets_) {
    target.copied_entry.reset();
    if (!IsExpired(target)) {
      target.copied_entry = target.entry;
    }
  }
}

void assigner_world::ReturnStoreToCopy(uint64_t skipped) {
  constexpr int kMaxStaleMs = 2000;
  RecordEvent("the store returns to a copy");
  objects_ = copied_objects_;
  revision_ = copied_revision_ + skipped;
  ++era_;
  for (world_target& target : targets_) {
    target.entry_stale_until = now_ + milliseconds{random_() % kMaxStaleMs};
  }
}

void assigner_world::StartHost(size_t index) {
  world_host& host = hosts_[index];
  host.alive = true;
  ++host.incarnation;
  host.seen_revision = 0;
  host.seen_era = 0;
  host.connection_by_target.clear();
  host.assigner = std::make_unique<key_assigner>(assigner_settings{
      .host = host.name,
      .zone = host.zone,
      .address = host.name,
      .targets_keep_release_fences = !options_.targets_forget_releases,
      .grant_ttl = seconds{3},
      .seed = random_()});
  service_settings service;
  service.name = kService;
  service.keyed = true;
  service.cold_time = options_.cold_time;
  service.cold_requests_per_second =
      options_.cold_time > duration{0} ? 1.0 : 0.0;
  service_settings other;
  other.name = kOtherService;
  host.assigner->OnServices({service, other});
}

bool assigner_world::DrawBernoulli(double part) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < part;
}

void assigner_world::ScheduleAfter(duration delay, std::function<void()> run) {
  scheduled_callbacks_.push_back({now_ + delay, std::move(run)});
}

void assigner_world::Run(duration time) {
  const time_point until = now_ + time;
  while (now_ < until) {
    Step();
  }
}

void assigner_world::Step() {
  now_ += kStep;
  std::vector<scheduled_callback> due_callbacks;
  for (auto it = scheduled_callbacks_.begin();
       it != scheduled_callbacks_.end();) {
    if (it->due_at <= now_) {
      due_callbacks.push_back(std::move(*it));
      it = scheduled_callbacks_.erase(it);
    } else {
      ++it;
    }
  }
  std::stable_sort(
      due_callbacks.begin(), due_callbacks.end(),
      [](const scheduled_callback& a, const scheduled_callback& b) {
        return a.due_at < b.due_at;
      });
  for (const scheduled_callback& scheduled : due_callbacks) {
    scheduled.callback();
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].alive && now_ >= hosts_[i].frozen_until) {
      StepHost(i);
    }
  }
  CheckOwnership();
}

bool assigner_world::IsExpired(const world_target& target) const {
  return target.silent_since && now_ - *target.silent_since > kEntryTtl;
}

std::vector<target_entry> assigner_world::ListedTargets() {
  std::vector<target_entry> listed;
  for (world_target& target : targets_) {
    const bool reports = target.alive && target.reaches_store && !store_down &&
                         target.entry.zone != isolated_zone;
    if (reports) {
      target.silent_since.reset();
      ++target.entry.sequence;
      target.entry.remaining_cold_time =
          std::max(target.entry.remaining_cold_time - kStep, duration{0});
    } else if (!target.silent_since) {
      target.silent_since = now_;
    }
    if (now_ < target.entry_stale_until) {
      if (target.copied_entry) {
        listed.push_back(*target.copied_entry);
      }
    } else if (!IsExpired(target)) {
      listed.push_back(target.entry);
    }
  }
  return listed;
}

void assigner_world::StepHost(size_t index) {
  world_host& host = hosts_[index];
  const bool store_reachable = ReachesStore(host);
  host.assigner->OnStoreAvailability(store_reachable, now_);
  const std::vector<target_entry> listed = ListedTargets();
  if (store_reachable && host.gets_target_list) {
    host.assigner->OnTargets(listed, false, now_);
    host.assigner->OnEvacuations(evacuated_zones, now_);
  }
  if (store_reachable) {
    TellEra(index, era_);
    if (host.seen_era != era_ || host.seen_revision < revision_) {
      host.seen_era = era_;
      host.seen_revision = revision_;
      key_assigner::system_objects objects;
      for (const auto& [name, object] : objects_) {
        objects[name] = {.name = name,
                         .revision = {era_, object.revision},
                         .item = object.content};
      }
      if (const status accepted = host.assigner->OnObjects(objects, now_);
          !accepted) {
        RecordProblem(accepted.error().Message());
      }
    }
  }
  if (now_ >= host.next_report_at && host.assigner->lease()) {
    host.next_report_at = now_ + seconds{1};
    const load_report report{
        .host = host.name,
        .zone = host.zone,
        .address = host.name,
        .lease_revision = host.assigner->lease_revision(),
        .former_lease_host = host.assigner->former_lease_host(),
        .former_lease_count = host.assigner->former_lease_count(),
        .services = {},
        .targets = {}};
    if (world_host* holder =
            FindReachableHost(host, host.assigner->lease()->address)) {
      TellEra(static_cast<size_t>(holder - hosts_.data()),
              report.lease_revision.era);
      holder->assigner->OnReport(report, now_);
    }
  }
  assigner_actions actions;
  host.assigner->OnTime(now_, actions);
  ExecuteActions(index, actions);
}

world_host* assigner_world::FindReachableHost(const world_host& from,
                                              const std::string& address) {
  for (world_host& other : hosts_) {
    if (other.alive && other.name == address &&
        !IsPartitioned(from.zone, other.zone) &&
        !from.unreachable_hosts.contains(other.name) &&
        !other.unreachable_hosts.contains(from.name)) {
      return &other;
    }
  }
  return nullptr;
}

void assigner_world::ExecuteActions(size_t index,
                                    const assigner_actions& actions) {
  for (const assigner_action& action : actions) {
    if (const auto* note = std::get_if<assigner_note>(&action)) {
      notes_.push_back(*note);
    } else if (const auto* write = std::get_if<store_write>(&action)) {
      SendWrite(index, *write);
    } else if (const auto* order = std::get_if<key_order>(&action)) {
      SendOrder(index, *order);
    } else if (const auto* cancel = std::get_if<order_cancel>(&action)) {
      for (queued_order& queued : queued_orders_) {
        if (queued.host == index && queued.order_id == cancel->id) {
          ResetQueuedOrder(queued);
        }
      }
    } else if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
      SendFanout(hosts_[index], heartbeat->hops, [&](size_t receiver) {
        TellEra(receiver, heartbeat->heartbeat.lease_revision.era);
        hosts_[receiver].assigner->OnHeartbeat(heartbeat->heartbeat, now_);
      });
    } else if (options_.datagrams) {
      SendDatagram(index, action);
    }
  }
}

void assigner_world::TellEra(size_t index, uint64_t era) {
  assigner_actions actions;
  hosts_[index].assigner->OnEra(era, now_, actions);
  ExecuteActions(index, actions);
}

void assigner_world::SendDatagram(size_t index, const assigner_action& action) {
  if (const auto* share = std::get_if<share_owners_action>(&action)) {
    SendFanout(hosts_[index], share->hops, [&](size_t receiver) {
      if (const status accepted =
              hosts_[receiver].assigner->OnOwners(share->record);
          !accepted) {
        RecordProblem(accepted.error().Message());
      }
    });
  } else if (const auto* host_list = std::get_if<share_hosts_action>(&action)) {
    if (world_host* receiver =
            FindReachableHost(hosts_[index], host_list->address)) {
      receiver->assigner->OnHosts(host_list->record, now_);
    }
  }
}

void assigner_world::SendFanout(const world_host& from,
                                const std::vector<fanout_hop>& hops,
                                const std::function<void(size_t)>& deliver) {
  const auto deliver_to = [&](const world_host& host) {
    deliver(static_cast<size_t>(&host - hosts_.data()));
  };
  for (const fanout_hop& hop : hops) {
    world_host* relay = FindReachableHost(from, hop.address);
    if (relay == nullptr) {
      continue;
    }
    deliver_to(*relay);
    for (const std::string& address : hop.forward_to) {
      if (world_host* receiver = FindReachableHost(*relay, address)) {
        deliver_to(*receiver);
      }
    }
  }
}

write_report assigner_world::ApplyWrite(const store_write& write) {
  const auto found = objects_.find(write.name);
  const uint64_t current = found == objects_.end() ? 0 : found->second.revision;
  if (current == 0 && write.expected_revision.Exists()) {
    return {.id = write.id, .outcome = conditional_write_outcome::kRefused};
  }
  if (current != write.expected_revision.counter) {
    return {.id = write.id,
            .outcome = conditional_write_outcome::kConflict,
            .revision = {era_, current},
            .content = found == objects_.end() ? "" : found->second.content};
  }
  RecordEvent("store write of " + write.name + " at revision " +
              std::to_string(revision_ + 1) + ": " +
              write.content.substr(0, 3000));
  objects_[write.name] = {++revision_, write.content};
  return {.id = write.id,
          .outcome = conditional_write_outcome::kWritten,
          .revision = {era_, revision_},
          .content = write.content};
}

void assigner_world::SendWrite(size_t index, const store_write& write) {
  world_host& host = hosts_[index];
  const uint64_t incarnation = host.incarnation;
  const auto report_end = [this, index, incarnation](const write_report& report,
                                                     uint64_t era) {
    DeliverAnswer(
        index, incarnation,
        [this, report, era](key_assigner& assigner, assigner_actions& actions) {
          assigner.OnEra(era, now_, actions);
          write_report ended = report;
          if (era != 0 && era < assigner.era()) {
            ended = {.id = report.id};
          }
          assigner.OnWriteEnded(ended, now_, actions);
        });
  };
  if (stall_after_write_probability > 0.0 &&
      DrawBernoulli(stall_after_write_probability)) {
    host.frozen_until = now_ + milliseconds{500 + random_() % 3500};
    host.stalled_until = host.frozen_until;
    host.reads_before_answers = DrawBernoulli(0.5);
  }
  if (!ReachesStore(host)) {
    ScheduleAfter(milliseconds{300}, [report_end, id = write.id] {
      report_end({.id = id, .outcome = conditional_write_outcome::kUnknown}, 0);
    });
    return;
  }
  const bool is_late = DrawBernoulli(late_write_probability);
  const bool answer_lost =
      is_late || DrawBernoulli(lost_write_answer_probability);
  const duration delay =
      is_late ? duration{seconds{1 + random_() % 5}} : kStoreLatency;
  ScheduleAfter(delay, [this, write, answer_lost, report_end] {
    const write_report report = ApplyWrite(write);
    if (!answer_lost) {
      report_end(report, era_);
    }
  });
  if (answer_lost) {
    ScheduleAfter(milliseconds{800}, [report_end, id = write.id] {
      report_end({.id = id, .outcome = conditional_write_outcome::kUnknown}, 0);
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
  order_report report{.id = order.id, .outcome = order_outcome::kDone};
  world_target& target = TargetAt(order.address);
  RecordEvent((order.is_grant ? "grant " : "release ") + order.target.id + "@" +
              std::to_string(target.entry.life.started) + " " +
              std::to_string(order.first) + "-" + std::to_string(order.last) +
              " fence " + std::to_string(order.fence) + " order " +
              std::to_string(order.id));
  const auto is_in_order_range = [&](size_t i) {
    return order.first <= WatchedKey(i) && WatchedKey(i) <= order.last;
  };
  for (size_t i = 0; i < kWatchedKeyCount; ++i) {
    if (order.is_grant && is_in_order_range(i) &&
        target.highest_seen_fences[i] > order.fence &&
        !options_.targets_ignore_fences) {
      report.outcome = order_outcome::kFenced;
      return report;
    }
  }
  for (size_t i = 0; i < kWatchedKeyCount; ++i) {
    if (!is_in_order_range(i)) {
      continue;
    }
    if (!order.is_grant) {
      if (target.held_grants[i] || !options_.targets_forget_releases) {
        target.highest_seen_fences[i] =
            std::max(target.highest_seen_fences[i], order.fence);
      }
      target.held_grants[i].reset();
      continue;
    }
    target.highest_seen_fences[i] =
        std::max(target.highest_seen_fences[i], order.fence);
    if (arrived + order.grant_ttl <= now_) {
      continue;  // The grant has expired; it is valid from its arrival.
    }
    const bool owner_changes =
        highest_fence_owners_[i].id != target.entry.life.id;
    if (owner_changes && order.fence <= highest_fences_[i]) {
      RecordProblem(
          "key " + std::to_string(WatchedKey(i)) + ": " + target.entry.life.id +
          " accepted a grant with fence " + std::to_string(order.fence) +
          ", which is not above the highest fence " +
          std::to_string(highest_fences_[i]) + "; the grant arrived " +
          std::to_string(
              std::chrono::duration_cast<milliseconds>(now_ - arrived)
                  .count()) +
          " ms earlier");
    }
    if (order.fence >= highest_fences_[i]) {
      highest_fences_[i] = order.fence;
      highest_fence_owners_[i] = target.entry.life;
    }
    target.held_grants[i] = {order.fence, arrived + order.grant_ttl};
  }
  report.handover_token = "state";
  return report;
}

void assigner_world::DeliverReport(size_t host, uint64_t life,
                                   const order_report& report) {
  DeliverAnswer(
      host, life,
      [this, report](key_assigner& assigner, assigner_actions& actions) {
        assigner.OnOrderEnded(report, now_, actions);
      });
}

void assigner_world::DeliverAnswer(
    size_t index, uint64_t incarnation,
    std::function<void(key_assigner&, assigner_actions&)> handle) {
  const world_host& host = hosts_[index];
  if (!host.alive || host.incarnation != incarnation) {
    return;
  }
  if (now_ < host.stalled_until) {
    // Scheduled callbacks run before the hosts read the store in a step.
    const duration order = host.reads_before_answers ? kStep : duration{0};
    ScheduleAfter(host.stalled_until - now_ + order,
                  [this, index, incarnation, handle = std::move(handle)] {
                    DeliverAnswer(index, incarnation, handle);
                  });
    return;
  }
  assigner_actions actions;
  handle(*host.assigner, actions);
  ExecuteActions(index, actions);
}

void assigner_world::SendOrder(size_t index, const key_order& order) {
  world_host& host = hosts_[index];
  const uint64_t incarnation = host.incarnation;
  const world_target& target = TargetAt(order.address);
  world_connection& connection =
      host.connection_by_target[ProcessKey(target.entry.life)];
  if (order.max_connection_number != 0 &&
      (connection.number == 0 ||
       connection.number > order.max_connection_number)) {
    ScheduleAfter(kOrderLatency, [this, index, incarnation, id = order.id] {
      DeliverReport(index, incarnation,
                    {.id = id, .outcome = order_outcome::kNotSent});
    });
    return;
  }
  if (!IsReachable(host, target)) {
    const order_outcome end = connection.number == 0 || target.alive
                                  ? order_outcome::kNotSent
                                  : order_outcome::kNoProcess;
    connection = {};
    ScheduleAfter(
        milliseconds{250}, [this, index, incarnation, id = order.id, end] {
          DeliverReport(index, incarnation, {.id = id, .outcome = end});
        });
    return;
  }
  if (connection.number == 0) {
    connection = {.number = ++host.last_connection,
                  .read_from = now_ + target.accept_delay};
  }
  if (now_ < connection.read_from) {
    if (order.requires_answered_connection) {
      SendOnceAnswered(index, incarnation, order, now_ + kGrantWriteTimeout);
    } else {
      QueueOrder(index, order, connection);
    }
    return;
  }
  if (DrawBernoulli(late_order_probability)) {
    // The order arrives now and is executed later, without an answer.
    const time_point arrived = now_;
    const uint64_t started = target.entry.life.started;
    const size_t target_index = static_cast<size_t>(&target - targets_.data());
    ScheduleAfter(seconds{2 + random_() % 8}, [this, order, arrived,
                                               target_index, started] {
      const world_target& receiver = targets_[target_index];
      if (receiver.alive && receiver.entry.life.id == order.target.id &&
          receiver.entry.life.started == started) {
        ApplyOrder(order, arrived);
      }
    });
    ScheduleAfter(milliseconds{500}, [this, index, incarnation, id = order.id] {
      DeliverReport(index, incarnation,
                    {.id = id, .outcome = order_outcome::kUnanswered});
    });
    return;
  }
  if (target.answers_lost_to.contains(host.name)) {
    connection = {};
    ScheduleAfter(kOrderLatency, [this, order] { ApplyOrder(order, now_); });
    ScheduleAfter(milliseconds{500}, [this, index, incarnation, id = order.id] {
      DeliverReport(index, incarnation,
                    {.id = id, .outcome = order_outcome::kUnanswered});
    });
    return;
  }
  if (target.rejects_orders || target.entry.life.id != order.target.id) {
    ScheduleAfter(kOrderLatency, [this, index, incarnation, id = order.id] {
      DeliverReport(index, incarnation,
                    {.id = id, .outcome = order_outcome::kRejected});
    });
    return;
  }
  ScheduleAfter(kOrderLatency, [this, index, incarnation, order,
                                used_connection = connection.number] {
    order_report report = ApplyOrder(order, now_);
    report.connection_number = used_connection;
    if (copied_answer_probability > 0.0 &&
        DrawBernoulli(copied_answer_probability)) {
      report.outcome = CopiedOutcome(order);
    }
    DeliverReport(index, incarnation, report);
  });
}

order_outcome assigner_world::CopiedOutcome(const key_order& order) {
  // A copy of a release's answer has a token that came before.
  const std::array outcomes = {
      order.is_grant ? order_outcome::kDone : order_outcome::kUnanswered,
      order_outcome::kFenced, order_outcome::kRejected};
  return outcomes.at(random_() % outcomes.size());
}

void assigner_world::SendOnceAnswered(size_t index, uint64_t incarnation,
                                      const key_order& order,
                                      time_point give_up_at) {
  const world_host& host = hosts_[index];
  if (!host.alive || host.incarnation != incarnation) {
    return;
  }
  if (now_ >= give_up_at) {
    DeliverReport(index, incarnation,
                  {.id = order.id, .outcome = order_outcome::kNotSent});
    return;
  }
  const world_target& target = TargetAt(order.address);
  const auto found =
      host.connection_by_target.find(ProcessKey(target.entry.life));
  const bool answered =
      found != host.connection_by_target.end() && found->second.number != 0 &&
      now_ >= found->second.read_from && IsReachable(host, target);
  if (answered && now_ >= host.frozen_until) {
    SendOrder(index, order);
    return;
  }
  ScheduleAfter(kStep, [this, index, incarnation, order, give_up_at] {
    SendOnceAnswered(index, incarnation, order, give_up_at);
  });
}

void assigner_world::QueueOrder(size_t index, const key_order& order,
                                const world_connection& connection) {
  const world_target& target = TargetAt(order.address);
  const auto queued = queued_orders_.insert(
      queued_orders_.end(),
      {.host = index,
       .order_id = order.id,
       .target = static_cast<size_t>(&target - targets_.data())});
  const uint64_t incarnation = hosts_[index].incarnation;
  ScheduleAfter(connection.read_from - now_ + kOrderLatency,
                [this, queued, order, incarnation, life = target.entry.life,
                 number = connection.number] {
                  const queued_order taken = *queued;
                  queued_orders_.erase(queued);
                  const world_target& receiver = targets_[taken.target];
                  if (taken.discarded || !receiver.alive ||
                      !(receiver.entry.life == life)) {
                    return;
                  }
                  order_report report = ApplyOrder(order, now_);
                  report.connection_number = number;
                  if (IsReachable(hosts_[taken.host], receiver)) {
                    DeliverReport(taken.host, incarnation, report);
                  }
                });
}

void assigner_world::ResetQueuedOrder(queued_order& order) {
  const world_target& target = targets_[order.target];
  world_host& host = hosts_[order.host];
  host.connection_by_target.erase(ProcessKey(target.entry.life));
  order.discarded = order.discarded || (IsReachable(host, target) &&
                                        !options_.targets_keep_reset_orders);
}

void assigner_world::CheckOwnership() {
  for (size_t i = 0; i < kWatchedKeyCount; ++i) {
    const world_target* owner = nullptr;
    for (const world_target& target : targets_) {
      const bool holds_key = target.alive && target.held_grants[i] &&
                             target.held_grants[i]->expires_at > now_;
      if (holds_key && owner != nullptr) {
        RecordProblem("key " + std::to_string(WatchedKey(i)) + " is held by " +
                      owner->entry.life.id + " and " + target.entry.life.id);
      }
      if (holds_key) {
        owner = &target;
      }
    }
  }
}

void assigner_world::RecordEvent(std::string what) {
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

void assigner_world::RecordProblem(const std::string& problem) {
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

size_t assigner_world::UnownedKeyCount() const {
  size_t unowned = 0;
  for (size_t i = 0; i < kWatchedKeyCount; ++i) {
    const bool owned = std::any_of(
        targets_.begin(), targets_.end(), [&](const world_target& target) {
          return target.alive && target.held_grants[i] &&
                 target.held_grants[i]->expires_at > now_;
        });
    unowned += owned ? 0 : 1;
  }
  return unowned;
}

size_t assigner_world::HeldKeyCount(size_t index) const {
  const world_target& target = targets_[index];
  return static_cast<size_t>(std::count_if(
      target.held_grants.begin(), target.held_grants.end(),
      [&](const auto& hold) { return hold && hold->expires_at > now_; }));
}

std::optional<key_map> assigner_world::RecordedMap() const {
  const auto found = objects_.find(key_assigner::MapName(kService));
  if (found == objects_.end()) {
    return std::nullopt;
  }
  auto map = ParseKeyMap(found->second.content);
  return map ? std::optional{map.value()} : std::nullopt;
}

}  // namespace foxtailspread::testing
