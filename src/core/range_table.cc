#include "foxtailspread/range_table.h"

#include <algorithm>
#include <set>

namespace foxtailspread {
namespace {

/// This host stops acting as steward this long before its authority expires,
/// so that its last decisions are carried out while the authority still holds.
constexpr duration kActingMargin{std::chrono::milliseconds{2}};

}  // namespace

void range_table::Configure(const deployment_config& config,
                            const target_status_source& notices,
                            time_point now) {
  std::set<std::string> configured;
  for (size_t s = 0; s < config.services.size(); ++s) {
    const service_config& service = config.services[s];
    std::set<std::string> zones;
    for (const target_config& target : service.targets) {
      zones.insert(target.zone);
    }
    for (const std::string& zone : zones) {
      const std::string name = RangeName(service.name, zone);
      configured.insert(name);
      range_state& range = ranges_[name];
      range.name = name;
      range.service = service.name;
      range.zone = zone;
      range.roster_offset = s;
      if (zone != context_.zone) {
        continue;
      }
      if (range.steward == nullptr) {
        range.configured_at = now;
        range.steward = std::make_unique<range_steward>(
            name, context_.timing.lease, context_.secret, context_.ids);
        range.authority = std::make_unique<range_authority>(
            name, context_.self, context_.timing.authority);
      }
      range.steward->Configure(config, notices, now);
    }
  }
  std::erase_if(ranges_, [&](const auto& entry) {
    return !configured.contains(entry.first);
  });
  // Records may have arrived before the configuration of their ranges.
  context_.sync.cache().ForEach(kRangeKeyPrefix,
                                [&](const object_change& change) {
                                  static_cast<void>(OnRecord(change, now));
                                });
}

range_state* range_table::Find(std::string_view name) {
  const auto found = ranges_.find(name);
  return found == ranges_.end() ? nullptr : &found->second;
}

uint64_t range_table::FirstRosterEpoch(std::string_view name) const {
  const auto found = ranges_.find(name);
  const bool has_record = found != ranges_.end() && found->second.record;
  return has_record ? found->second.record->roster.front().epoch : 0;
}

status range_table::OnRecord(const object_change& change, time_point now) {
  range_state* range =
      Find(std::string_view(change.key).substr(kRangeKeyPrefix.size()));
  if (range == nullptr || change.deleted) {
    return OkStatus();
  }
  if (range->record && range->record->revision >= change.revision) {
    return OkStatus();
  }
  result<range_record> record = ParseRangeRecord(change.value);
  if (!record) {
    error e = record.error();
    e.path = change.key + (e.path.empty() ? "" : "." + e.path);
    return e;
  }
  range->record = std::move(record.value());
  range->record->revision = change.revision;
  range->next_record_check = now;
  if (range->record->map.NewerThan(range->newest_map)) {
    range->newest_map = range->record->map;
  }
  if (range->authority != nullptr) {
    const uint64_t old_epoch = range->authority->epoch();
    range->authority->SetRecord(*range->record, now);
    // If this host was the acting steward when the range got new epochs, no
    // other host can have acted between its old epoch and the new one.
    range->renumbered |=
        range->acting && old_epoch != range->authority->epoch();
  }
  return OkStatus();
}

void range_table::Tick(time_point now, steward_output& out) {
  for (auto& [name, range] : ranges_) {
    if (range.authority == nullptr) {
      continue;
    }
    TickAuthority(range, now, out);
    TickRecord(range, now, out.actions);
    AnnounceMap(range, now);
    AnnouncePoisonMarks(range, now);
  }
}

void range_table::TickAuthority(range_state& node, time_point now,
                                steward_output& out) {
  std::vector<addressed_promise_request> asks;
  node.authority->Tick(now, context_.ledger, asks);
  for (const addressed_promise_request& ask : asks) {
    context_.outbox[ask.witness.host].asks.push_back(ask.request);
  }
  const time_point acting_until = node.authority->ActingUntil() - kActingMargin;
  const bool acting = now < acting_until;
  if (acting && !node.acting) {
    node.acting_since = now;
    if (node.steward->epoch() == node.authority->epoch()) {
      node.steward->Resume();
    } else if (node.renumbered) {
      node.steward->ContinueInEpoch(node.authority->epoch());
      node.steward->Resume();
    } else {
      node.steward->BeginTenure(node.authority->epoch(), node.newest_map,
                                node.handed_over, now, out);
      out.actions.push_back(
          log_action{event_id::kStewardBegan,
                     {{"range", node.name},
                      {"epoch", std::to_string(node.authority->epoch())}}});
    }
    node.handed_over = false;
    node.renumbered = false;
  } else if (!acting && node.acting) {
    node.steward->Suspend(now, out);
    out.actions.push_back(
        log_action{event_id::kStewardEnded,
                   {{"range", node.name},
                    {"epoch", std::to_string(node.steward->epoch())}}});
  }
  if (acting != node.acting) {
    node.next_record_check = now;
  }
  node.acting = acting;
  if (acting || node.steward->active()) {
    node.steward->Step(now, acting_until, out);
  }
}

void range_table::AnnounceMap(range_state& node, time_point now) {
  if (!node.acting || now < node.next_map_notice) {
    return;
  }
  const range_map& map = node.steward->map();
  if (map.seq == node.announced_map_seq && map.epoch == node.newest_map.epoch) {
    return;
  }
  node.newest_map = map;
  node.announced_map_seq = map.seq;
  node.next_map_notice = now + context_.timing.map_notice;
  for (const member& host_run : node.record->Members()) {
    if (host_run.host != context_.self.host) {
      context_.outbox[host_run.host].maps.push_back(
          range_map_notice{node.name, map});
    }
  }
}

// Request content that crashed a target here may next be sent to another range
// of the service, or to the next steward of this range. Without shared counts
// it would crash two targets at each of them, as the other stewards would only
// see that targets were lost.
void range_table::AnnouncePoisonMarks(range_state& node, time_point now) {
  if (node.steward == nullptr) {
    return;
  }
  const std::vector<poison_mark> new_marks =
      node.steward->Dispatcher().TakeNewPoisonMarks(now);
  if (new_marks.empty()) {
    return;
  }
  ImportPoison(new_marks, now);
  std::set<std::string> hosts;
  for (const auto& [name, other] : ranges_) {
    if (other.service != node.service || !other.record) {
      continue;
    }
    for (const member& host_run : other.record->Members()) {
      hosts.insert(host_run.host);
    }
  }
  hosts.erase(context_.self.host);
  for (const std::string& host : hosts) {
    std::vector<poison_mark>& marks = context_.outbox[host].poison;
    marks.insert(marks.end(), new_marks.begin(), new_marks.end());
  }
}

roster_facts range_table::CollectRosterFacts(const range_state& node,
                                             time_point now) const {
  const duration silence = context_.timing.peer_silence;
  roster_facts facts;
  facts.self = context_.self;
  for (const std::string& name :
       context_.directory.HostsOfZone(context_.zone)) {
    const bool is_self = name == context_.self.host;
    if (is_self || context_.directory.IsAlive(name, now, silence / 2)) {
      const uint64_t life =
          is_self ? context_.self.life : context_.directory.LatestLife(name);
      facts.candidates.push_back(member{name, life});
    }
  }
  facts.latest_life = [this](const std::string& host) {
    return host == context_.self.host ? context_.self.life
                                      : context_.directory.LatestLife(host);
  };
  facts.is_unavailable = [this, &node, now, silence](const member& host_run) {
    const host_entry* entry = context_.directory.Find(host_run.host);
    if (entry != nullptr && entry->leaving) {
      return true;
    }
    const auto last_heard = node.authority->LastAnswerTime(host_run);
    const time_point since = last_heard
                                 ? std::max(*last_heard, node.acting_since)
                                 : node.acting_since;
    return now >= since + silence &&
           !context_.directory.IsAlive(host_run.host, now, silence);
  };
  facts.all_saw_record = node.authority->AllSawRecord();
  facts.outranked = node.authority->outranked();
  return facts;
}

void range_table::TickRecord(range_state& node, time_point now,
                             action_list& out) {
  // The result depends on silences of a second and more, so it need not be
  // computed in each tick. Doing so for every range cost more than the rest of
  // the tick.
  if (now < node.next_record_check) {
    return;
  }
  node.next_record_check = now + context_.timing.record_check;
  if (!context_.sync.synced() || context_.directory.self().leaving) {
    return;
  }
  const duration write_delay =
      context_.timing.first_record_wait +
      context_.timing.rank_stagger *
          static_cast<int>(context_.directory.OwnRank());
  if (!node.record) {
    const auto* stored_object =
        context_.sync.cache().Find(std::string(kRangeKeyPrefix) + node.name);
    if (stored_object == nullptr && now >= node.configured_at + write_delay) {
      const roster_facts facts = CollectRosterFacts(node, now);
      if (auto initial = InitialRecord(facts.candidates, node.roster_offset)) {
        WriteRecord(node, std::move(*initial), now, out);
      }
    }
    return;
  }
  const roster_facts facts = CollectRosterFacts(node, now);
  if (node.acting) {
    if (auto repaired = RepairedRecord(*node.record, facts)) {
      repaired->map = node.steward->map();
      WriteRecord(node, std::move(*repaired), now, out);
      return;
    }
    const bool map_changed = node.steward->map() != node.record->map;
    if (map_changed && now >= node.next_record_write) {
      range_record next = *node.record;
      next.map = node.steward->map();
      WriteRecord(node, std::move(next), now, out);
    }
    return;
  }
  if (now < node.configured_at + write_delay) {
    return;
  }
  if (auto reset = ResetRecord(*node.record, facts)) {
    WriteRecord(node, std::move(*reset), now, out);
  } else if (node.authority->IsBlocked(now, context_.ledger)) {
    if (auto renumbered = RenumberedRecord(*node.record, facts)) {
      WriteRecord(node, std::move(*renumbered), now, out);
    }
  }
}

void range_table::WriteRecord(range_state& node, range_record record,
                              time_point now, action_list& out) {
  record.write_id = context_.self.host + "/" +
                    std::to_string(context_.self.life) + "/" +
                    std::to_string(++write_count_);
  if (context_.sync.Write(std::string(kRangeKeyPrefix) + node.name,
                          FormatRangeRecord(record), now, out)) {
    node.next_record_write = now + context_.timing.map_record;
  }
}

void range_table::OnPromiseAsk(const member& from, const promise_request& ask,
                               time_point now) {
  context_.outbox[from.host].answers.push_back(
      context_.ledger.AnswerRequest(from, ask, now));
}

void range_table::OnPromiseAnswer(const member& from,
                                  const promise_answer& answer,
                                  time_point now) {
  range_state* range = Find(answer.range);
  if (range != nullptr && range->authority != nullptr) {
    range->authority->OnAnswer(from, answer, now);
  }
}

void range_table::OnRelease(const member& from, const range_release& release) {
  range_state* range = Find(release.range);
  if (range == nullptr || range->authority == nullptr) {
    return;
  }
  // Leases granted by the former steward may still be valid. The map in the
  // same message tells which buckets the targets hold.
  range->handed_over = true;
  range->authority->OnPredecessorRelease(from, release.epoch);
  range->steward->ImportActions(release.actions);
}

void range_table::OnMapNotice(const range_map_notice& notice) {
  range_state* range = Find(notice.range);
  if (range != nullptr && notice.map.NewerThan(range->newest_map)) {
    range->newest_map = notice.map;
  }
}

void range_table::OnGrantEnded(const grant_ended& ended, time_point now,
                               steward_output& out) {
  range_state* range = Find(ended.range);
  if (range == nullptr || range->steward == nullptr) {
    return;
  }
  if (!range->steward->OnGrantEnded(ended, now)) {
    // The target has accepted a grant from a later steward, so this host has
    // lost its authority, whatever its clock says.
    range->authority->StepDown();
    range->steward->Suspend(now, out);
    range->acting = false;
    return;
  }
  if (range->acting) {
    range->steward->Step(now, range->authority->ActingUntil() - kActingMargin,
                         out);
  }
}

void range_table::OnAttemptEnded(const attempt_ended& ended, time_point now,
                                 steward_output& out) {
  for (auto& [name, range] : ranges_) {
    if (range.steward != nullptr &&
        range.steward->OnAttemptEnded(ended, now, out)) {
      return;
    }
  }
}

std::vector<poison_mark> range_table::ExportPoison(time_point now) const {
  std::vector<poison_mark> marks;
  for (const auto& [name, range] : ranges_) {
    if (range.acting) {
      const auto range_marks =
          range.steward->Dispatcher().ExportPoisonMarks(now);
      marks.insert(marks.end(), range_marks.begin(), range_marks.end());
    }
  }
  return marks;
}

void range_table::ImportPoison(std::span<const poison_mark> marks,
                               time_point now) {
  if (marks.empty()) {
    return;
  }
  for (auto& [name, range] : ranges_) {
    if (range.steward != nullptr) {
      range.steward->Dispatcher().ImportPoisonMarks(marks, now);
    }
  }
}

void range_table::HandOver(time_point now, bool force, steward_output& out) {
  for (auto& [name, range] : ranges_) {
    if (!range.acting) {
      continue;
    }
    if (range.steward->accepting()) {
      range.steward->StopAccepting(now, out);
    }
    if (!range.steward->IsIdle() && !force) {
      continue;
    }
    std::string successor;
    for (const roster_slot& slot : range.record->roster) {
      const bool is_other_host = slot.host_run.host != context_.self.host;
      if (successor.empty() && is_other_host &&
          context_.directory.IsAlive(slot.host_run.host, now,
                                     context_.timing.peer_silence / 2)) {
        successor = slot.host_run.host;
      }
    }
    const range_release release{name, range.authority->epoch(),
                                range.steward->ExportActions(now)};
    range.authority->StepDown();
    range.steward->Suspend(now, out);
    range.acting = false;
    if (!successor.empty()) {
      peer_message& message = context_.outbox[successor];
      message.maps.push_back(
          range_map_notice{name, range.steward->HolderMap()});
      message.releases.push_back(release);
    }
  }
}

bool range_table::AllHandedOver() const {
  return std::none_of(ranges_.begin(), ranges_.end(),
                      [](const auto& entry) { return entry.second.acting; });
}

}  // namespace foxtailspread
