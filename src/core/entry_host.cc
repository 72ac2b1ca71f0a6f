#include "foxtailspread/entry_host.h"

#include <algorithm>

#include "foxtailspread/events.h"

namespace foxtailspread {
namespace {

/// A host without the platform serves on its peers' word only after it had
/// time to hear more than one of them.
constexpr duration kPeerSettle{std::chrono::seconds{1}};

std::string_view After(std::string_view text, std::string_view prefix) {
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
    front_.OnCaller(*e, HasCurrentConfig(now), now, output);
  } else if (const auto* e = std::get_if<forwarded_request>(&event)) {
    front_.OnForwarded(*e, now, output);
  } else if (const auto* e = std::get_if<caller_gone>(&event)) {
    front_.OnGone(*e, now, output);
  } else if (const auto* e = std::get_if<mint_request>(&event)) {
    front_.OnMint(*e, HasCurrentConfig(now), now, output);
  } else if (const auto* e = std::get_if<attempt_ended>(&event)) {
    ranges_.OnAttempt(*e, now, output);
  } else if (const auto* e = std::get_if<forward_ended>(&event)) {
    front_.OnForwardEnded(*e, now, output);
  } else if (const auto* e = std::get_if<grant_ended>(&event)) {
    ranges_.OnGrant(*e, now, output);
  } else if (const auto* e = std::get_if<peer_received>(&event)) {
    OnPeer(e->message, now, output);
  } else if (const auto* e = std::get_if<platform_ended>(&event)) {
    const uint64_t before = sync_.cache().revision();
    const auto news = sync_.OnPlatform(*e, now);
    NoteLeaving();
    TakeNews(news, now, out);
    Relay(news, before, "");
  } else if (std::holds_alternative<leave_requested>(event)) {
    OnLeave(now);
  }
  front_.Settle(now, output);
  Flush(out);
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
  front_.Settle(now, out);
  front_.Tick(now, out);
  TickLeaving(now, out);
  Greet(now);
}

void entry_host::RegisterSelf(time_point now, action_list& out) {
  if (!sync_.synced()) {
    return;
  }
  host_entry wanted = self_;
  wanted.leaving = leaving_;
  const std::string key = std::string(kHostKeyPrefix) + self_.name;
  const object_change* held = sync_.cache().Find(key);
  if (held != nullptr) {
    const result<host_entry> entry = ParseHostEntry(self_.name, held->value);
    if (entry && entry.value() == wanted) {
      return;
    }
  }
  sync_.Write(key, FormatHostEntry(wanted), now, out);
}

void entry_host::Greet(time_point now) {
  const bool due = now >= next_hello_;
  const bool beacon = sync_.TakeBeaconNews();
  if (!due && !beacon) {
    return;
  }
  if (due) {
    next_hello_ = now + timing_.hello;
  }
  // A content that crashed a target here may be sent to any other range next.
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
  const std::string& from = message.from.host;
  directory_.Heard(message.from, now);
  if (message.leaving) {
    directory_.NoteLeaving(from);
  }
  const uint64_t before = sync_.cache().revision();
  if (message.changes) {
    const auto news = sync_.OnRelayed(*message.changes);
    if (!first_peer_batch_) {
      first_peer_batch_ = now;
    }
    TakeNews(news, now, out.actions);
    Relay(news, before, from);
  }
  const uint64_t own = sync_.cache().revision();
  if (message.wants_changes && own > message.revision) {
    outbox_[from].changes = sync_.cache().ChangesSince(message.revision);
  }
  if (message.probe) {
    outbox_[from];  // Even an empty message is an answer.
  }
  if (message.revision > own) {
    outbox_[from].wants_changes = true;
  }
  for (const watch_beacon& beacon : message.beacons) {
    sync_.OnBeacon(beacon, now);
  }
  NoteLeaving();
  for (const range_map_notice& notice : message.maps) {
    ranges_.OnMap(notice);
  }
  for (const range_release& release : message.releases) {
    ranges_.OnRelease(message.from, release);
  }
  for (const promise_ask& ask : message.asks) {
    ranges_.OnAsk(message.from, ask, now);
  }
  for (const promise_answer& answer : message.answers) {
    ranges_.OnAnswer(message.from, answer, now);
  }
  ranges_.ImportPoison(message.poison, now);
}

void entry_host::TakeNews(const std::vector<object_change>& news,
                          time_point now, action_list& out) {
  for (const object_change& change : news) {
    if (change.key == kConfigKey) {
      TakeConfig(change, now, out);
    } else if (change.key.starts_with(kRangeKeyPrefix)) {
      const std::string_view range = After(change.key, kRangeKeyPrefix);
      const uint64_t before = ranges_.FirstEpoch(range);
      const status taken = ranges_.OnRecord(change, now);
      if (ranges_.FirstEpoch(range) != before) {
        front_.OnRosterChange(range);
      }
      if (!taken) {
        out.push_back(log_action{
            event_id::kObjectRefused,
            {{"key", change.key}, {"error", taken.error().Message()}}});
      }
    } else if (change.key.starts_with(kHostKeyPrefix)) {
      const std::string_view name = After(change.key, kHostKeyPrefix);
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
      if (After(change.key, kDrainKeyPrefix) == self_.name && !change.deleted) {
        OnLeave(now);
      }
    }
  }
}

void entry_host::TakeConfig(const object_change& change, time_point now,
                            action_list& out) {
  if (change.deleted) {
    // Nothing replaces a configuration by none; the last good one stays.
    out.push_back(log_action{event_id::kConfigRefused,
                             {{"error", "the configuration was removed"}}});
    return;
  }
  result<deployment_config> parsed = ParseConfig(change.value);
  if (parsed && !deployment_.empty() &&
      parsed.value().deployment != deployment_) {
    parsed = error{error_code::kConflict, "deployment",
                   "the configuration is that of " + parsed.value().deployment,
                   "correct this host's settings or its platform's address"};
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
  ranges_.Configure(*config_, Notices(), now);
  front_.Configure(&*config_);
}

void entry_host::NoteLeaving() {
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

target_notices entry_host::Notices() const {
  target_notices notices;
  notices.draining = [this](std::string_view target) {
    const std::string name(target);
    return listed_leaving_.contains(name) ||
           sync_.cache().Find(std::string(kDrainKeyPrefix) + name) != nullptr;
  };
  return notices;
}

void entry_host::Relay(const std::vector<object_change>& news, uint64_t since,
                       std::string_view except) {
  if (news.empty()) {
    return;
  }
  // Not only what was news here: an object that this host knew out of turn
  // belongs to the stretch too, and a neighbour that got the stretch without it
  // would take itself for complete.
  for (const std::string& name : directory_.Neighbours()) {
    if (name == except) {
      continue;
    }
    std::optional<change_batch>& waiting = outbox_[name].changes;
    const uint64_t from = waiting ? std::min(waiting->since, since) : since;
    waiting = sync_.cache().ChangesSince(from);
  }
}

void entry_host::OnLeave(time_point now) {
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    next_hello_ = now;
  }
}

void entry_host::TickLeaving(time_point now, steward_output& out) {
  if (!leaving_ || stopped_) {
    return;
  }
  // The balancer goes on sending for a while after this host said that it is
  // not ready; leaving earlier would cut those callers off.
  if (now < leaving_since_ + timing_.ready_lag) {
    return;
  }
  const bool late = now >= leaving_since_ + timing_.drain_limit;
  ranges_.HandOver(now, late, out);
  front_.Settle(now, out);
  if (late || (ranges_.Released() && front_.size() == 0)) {
    stopped_ = true;
    out.actions.push_back(
        log_action{event_id::kHostStopped, {{"host", self_.name}}});
    out.actions.push_back(stop_action{});
  }
}

void entry_host::Flush(action_list& out) {
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
  // Without the platform the peers' word counts, once there was time for the
  // most advanced of them to be heard.
  return sync_.synced() ||
         (first_peer_batch_ && now >= *first_peer_batch_ + kPeerSettle);
}

bool entry_host::Ready(time_point now) const {
  return !leaving_ && HasCurrentConfig(now);
}

}  // namespace foxtailspread
