#include "foxtailspread/entry_host.h"

#include <algorithm>

#include "foxtailspread/events.h"

namespace foxtailspread {
namespace {

/// A host that cannot reach the platform uses its peers' configuration only
/// this long after the first batch of changes, so that it hears several peers.
constexpr duration kPeerSettleTime{std::chrono::seconds{1}};

/// Returns `text` without `prefix`, which it must start with.
std::string_view RemovePrefix(std::string_view text, std::string_view prefix) {
  return text.substr(prefix.size());
}

}  // namespace

std::string_view ToString(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kDone:
      return "done";
    case request_outcome::kNotRun:
      return "not-run";
    case request_outcome::kUnknown:
      break;
  }
  return "unknown";
}

entry_host::entry_host(const host_identity& identity,
                       const decision_timing& timing)
    : timing_(timing),
      self_(identity.self),
      deployment_(identity.deployment),
      directory_(identity.self),
      sync_(identity.self.name, identity.self.zone, timing.sync),
      ledger_(identity.self.life, timing.authority),
      context_{member{identity.self.name, identity.self.life},
               identity.self.zone,
               timing,
               identity.secret,
               directory_,
               sync_,
               ledger_,
               outbox_,
               ids_},
      ranges_(context_),
      front_(context_, ranges_) {
  for (const host_entry& seed : identity.seeds) {
    directory_.Update(seed);
  }
}

void entry_host::Handle(const host_event& event, time_point now,
                        action_list& out) {
  steward_output output{out, {}};
  if (std::holds_alternative<tick_event>(event)) {
    OnTick(now, output);
  } else if (const auto* e = std::get_if<caller_request>(&event)) {
    front_.OnCallerRequest(*e, HasCurrentConfig(now), now, output);
  } else if (const auto* e = std::get_if<forwarded_request>(&event)) {
    front_.OnForwardedRequest(*e, now, output);
  } else if (const auto* e = std::get_if<caller_gone>(&event)) {
    front_.OnCallerGone(*e, now, output);
  } else if (const auto* e = std::get_if<mint_request>(&event)) {
    front_.OnMintRequest(*e, HasCurrentConfig(now), now, output);
  } else if (const auto* e = std::get_if<attempt_ended>(&event)) {
    ranges_.OnAttemptEnded(*e, now, output);
  } else if (const auto* e = std::get_if<forward_ended>(&event)) {
    front_.OnForwardEnded(*e, now, output);
  } else if (const auto* e = std::get_if<grant_ended>(&event)) {
    ranges_.OnGrantEnded(*e, now, output);
  } else if (const auto* e = std::get_if<peer_received>(&event)) {
    OnPeer(e->message, now, output);
  } else if (const auto* e = std::get_if<platform_ended>(&event)) {
    const uint64_t old_revision = sync_.cache().revision();
    const auto changes = sync_.OnPlatformEnded(*e, now);
    UpdateListedLeaving();
    ApplyChanges(changes, now, out);
    RelayChanges(changes, old_revision, "");
  } else if (std::holds_alternative<leave_requested>(event)) {
    StartLeaving(now);
  }
  front_.HandleStewardResults(now, output);
  SendPeerMessages(out);
}

void entry_host::OnTick(time_point now, steward_output& out) {
  if (!started_) {
    started_ = true;
    out.actions.push_back(log_action{
        event_id::kHostStarted,
        {{"host", self_.name}, {"life", std::to_string(self_.life)}}});
  }
  sync_.Tick(now, directory_.OwnRank(), out.actions);
  RegisterSelf(now, out.actions);
  if (targets_changed_) {
    Reconfigure(now);
  }
  ranges_.Tick(now, out);
  front_.HandleStewardResults(now, out);
  front_.Tick(now, out);
  TickLeaving(now, out);
  SendHello(now);
}

void entry_host::RegisterSelf(time_point now, action_list& out) {
  if (!sync_.synced()) {
    return;
  }
  host_entry own_entry = self_;
  own_entry.leaving = leaving_;
  const std::string key = std::string(kHostKeyPrefix) + self_.name;
  const object_change* registered = sync_.cache().Find(key);
  if (registered != nullptr) {
    const result<host_entry> entry =
        ParseHostEntry(self_.name, registered->value);
    if (entry && entry.value() == own_entry) {
      return;
    }
  }
  sync_.Write(key, FormatHostEntry(own_entry), now, out);
}

void entry_host::SendHello(time_point now) {
  const bool hello_due = now >= next_hello_time_;
  const bool beacon_changed = sync_.TakeBeaconChanged();
  if (!hello_due && !beacon_changed) {
    return;
  }
  if (hello_due) {
    next_hello_time_ = now + timing_.hello;
  }
  // Request content that crashed a target here may next be sent to any other
  // range.
  const std::vector<poison_mark> marks = ranges_.ExportPoison(now);
  for (const std::string& name : directory_.Neighbours()) {
    peer_message& message = outbox_[name];
    message.leaving = leaving_;
    if (sync_.beacon()) {
      message.beacons.push_back(*sync_.beacon());
    }
    message.poison = marks;
  }
}

void entry_host::OnPeer(const peer_message& message, time_point now,
                        steward_output& out) {
  const std::string& sender = message.from.host;
  directory_.RecordMessage(message.from, now);
  if (message.leaving) {
    directory_.MarkLeaving(sender);
  }
  const uint64_t old_revision = sync_.cache().revision();
  if (message.changes) {
    const auto changes = sync_.OnRelayed(*message.changes);
    if (!first_peer_batch_time_) {
      first_peer_batch_time_ = now;
    }
    ApplyChanges(changes, now, out.actions);
    RelayChanges(changes, old_revision, sender);
  }
  const uint64_t own_revision = sync_.cache().revision();
  if (message.wants_changes && own_revision > message.revision) {
    outbox_[sender].changes = sync_.cache().ChangesSince(message.revision);
  }
  if (message.probe) {
    outbox_[sender];  // An empty message also answers the probe.
  }
  if (message.revision > own_revision) {
    outbox_[sender].wants_changes = true;
  }
  for (const watch_beacon& beacon : message.beacons) {
    sync_.OnBeacon(beacon, now);
  }
  UpdateListedLeaving();
  for (const range_map_notice& notice : message.maps) {
    ranges_.OnMapNotice(notice);
  }
  for (const range_release& release : message.releases) {
    ranges_.OnRelease(message.from, release);
  }
  for (const promise_request& ask : message.asks) {
    ranges_.OnPromiseAsk(message.from, ask, now);
  }
  for (const promise_answer& answer : message.answers) {
    ranges_.OnPromiseAnswer(message.from, answer, now);
  }
  ranges_.ImportPoison(message.poison, now);
}

void entry_host::ApplyChanges(const std::vector<object_change>& news,
                              time_point now, action_list& out) {
  for (const object_change& change : news) {
    if (change.key == kConfigKey) {
      ApplyConfig(change, now, out);
    } else if (change.key.starts_with(kRangeKeyPrefix)) {
      const std::string_view range = RemovePrefix(change.key, kRangeKeyPrefix);
      const uint64_t old_epoch = ranges_.FirstRosterEpoch(range);
      const status applied = ranges_.OnRecord(change, now);
      if (ranges_.FirstRosterEpoch(range) != old_epoch) {
        front_.OnRosterChange(range);
      }
      if (!applied) {
        out.push_back(log_action{
            event_id::kObjectRefused,
            {{"key", change.key}, {"error", applied.error().Message()}}});
      }
    } else if (change.key.starts_with(kHostKeyPrefix)) {
      const std::string_view name = RemovePrefix(change.key, kHostKeyPrefix);
      if (change.deleted) {
        directory_.Remove(name);
        continue;
      }
      const result<host_entry> entry = ParseHostEntry(name, change.value);
      if (entry) {
        directory_.Update(entry.value());
      } else {
        out.push_back(log_action{
            event_id::kObjectRefused,
            {{"key", change.key}, {"error", entry.error().Message()}}});
      }
    } else if (change.key.starts_with(kDrainKeyPrefix)) {
      targets_changed_ = true;
      if (RemovePrefix(change.key, kDrainKeyPrefix) == self_.name &&
          !change.deleted) {
        StartLeaving(now);
      }
    }
  }
}

void entry_host::ApplyConfig(const object_change& change, time_point now,
                             action_list& out) {
  if (change.deleted) {
    // A removed configuration is ignored: the last valid one stays in force.
    out.push_back(log_action{
        event_id::kConfigRefused,
        {{"error", "the configuration object was removed from the platform"}}});
    return;
  }
  result<deployment_config> parsed = ParseConfig(change.value);
  if (parsed && !deployment_.empty() &&
      parsed.value().deployment != deployment_) {
    parsed = error{
        error_code::kConflict, "deployment",
        "the configuration belongs to deployment " + parsed.value().deployment,
        "correct the deployment name or the platform address in this "
        "host's settings"};
  }
  if (!parsed) {
    out.push_back(log_action{event_id::kConfigRefused,
                             {{"version", std::to_string(change.revision)},
                              {"error", parsed.error().Message()}}});
    return;
  }
  config_ = std::move(parsed.value());
  config_->version = change.revision;
  out.push_back(log_action{event_id::kConfigInForce,
                           {{"version", std::to_string(change.revision)},
                            {"preset", config_->preset}}});
  Reconfigure(now);
}

void entry_host::Reconfigure(time_point now) {
  targets_changed_ = false;
  if (!config_) {
    return;
  }
  ranges_.Configure(*config_, MakeTargetNotices(), now);
  front_.Configure(&*config_);
}

void entry_host::UpdateListedLeaving() {
  if (!sync_.beacon()) {
    return;
  }
  const auto& names = sync_.beacon()->leaving;
  std::set<std::string> leaving(names.begin(), names.end());
  if (leaving != listed_leaving_) {
    listed_leaving_ = std::move(leaving);
    targets_changed_ = true;
  }
}

target_status_source entry_host::MakeTargetNotices() const {
  target_status_source notices;
  notices.is_draining = [this](std::string_view target) {
    const std::string name(target);
    return listed_leaving_.contains(name) ||
           sync_.cache().Find(std::string(kDrainKeyPrefix) + name) != nullptr;
  };
  return notices;
}

void entry_host::RelayChanges(const std::vector<object_change>& news,
                              uint64_t since, std::string_view except) {
  if (news.empty()) {
    return;
  }
  // Relays all changes after `since`, not only those that were new here. This
  // host may have read or written an object itself before the watch reported
  // it. A neighbour that received the batch without that object would wrongly
  // consider its copy complete up to the batch's revision.
  for (const std::string& name : directory_.Neighbours()) {
    if (name == except) {
      continue;
    }
    std::optional<change_batch>& unsent = outbox_[name].changes;
    const uint64_t batch_start =
        unsent ? std::min(unsent->since, since) : since;
    unsent = sync_.cache().ChangesSince(batch_start);
  }
}

void entry_host::StartLeaving(time_point now) {
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    next_hello_time_ = now;
  }
}

void entry_host::TickLeaving(time_point now, steward_output& out) {
  if (!leaving_ || stopped_) {
    return;
  }
  // The load balancer keeps sending requests for a while after this host has
  // reported that it is not ready; stopping earlier would break those requests.
  if (now < leaving_since_ + timing_.ready_lag) {
    return;
  }
  const bool drain_timed_out = now >= leaving_since_ + timing_.drain_limit;
  ranges_.HandOver(now, drain_timed_out, out);
  front_.HandleStewardResults(now, out);
  if (drain_timed_out || (ranges_.AllHandedOver() && front_.size() == 0)) {
    stopped_ = true;
    out.actions.push_back(
        log_action{event_id::kHostStopped, {{"host", self_.name}}});
    out.actions.push_back(stop_action{});
  }
}

void entry_host::SendPeerMessages(action_list& out) {
  for (auto& [host, message] : outbox_) {
    const host_entry* entry = directory_.Find(host);
    if (entry == nullptr || entry->peer.empty()) {
      continue;
    }
    message.from = context_.self;
    message.revision = sync_.cache().revision();
    out.push_back(peer_action{host, entry->peer, std::move(message)});
  }
  outbox_.clear();
}

bool entry_host::HasCurrentConfig(time_point now) const {
  if (!config_) {
    return false;
  }
  // Without the platform, the peers' configuration is used once there was time
  // to hear the peer with the newest revision.
  return sync_.synced() || (first_peer_batch_time_ &&
                            now >= *first_peer_batch_time_ + kPeerSettleTime);
}

bool entry_host::Ready(time_point now) const {
  return !leaving_ && HasCurrentConfig(now);
}

}  // namespace foxtailspread
