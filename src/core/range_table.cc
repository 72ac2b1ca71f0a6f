#include "foxtailspread/range_table.h"

#include <algorithm>
#include <set>

namespace foxtailspread {
namespace {

/// Authority is given up this much early, so that what is decided on it is
/// carried out within it.
constexpr duration kActingMargin{std::chrono::milliseconds{2}};

}  // namespace

void range_table::Configure(const deployment_config& config,
                            const target_notices& notices, time_point now) {
  std::set<std::string> wanted;
  for (size_t s = 0; s < config.services.size(); ++s) {
    const service_config& service = config.services[s];
    std::set<std::string> zones;
    for (const target_config& target : service.targets) {
      zones.insert(target.zone);
    }
    for (const std::string& zone : zones) {
      const std::string name = RangeName(service.name, zone);
      wanted.insert(name);
      range_node& node = ranges_[name];
      node.name = name;
      node.service = service.name;
      node.zone = zone;
      node.offset = s;
      if (zone != context_.zone) {
        continue;
      }
      if (node.steward == nullptr) {
        node.first_wanted = now;
        node.steward = std::make_unique<range_steward>(
            name, context_.timing.lease, context_.secret, context_.ids);
        node.authority = std::make_unique<range_authority>(
            name, context_.self, context_.timing.authority);
      }
      node.steward->Configure(config, notices, now);
    }
  }
  std::erase_if(ranges_, [&](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  // Records may have been known before the configuration that wants them.
  context_.sync.cache().ForEach(kRangeKeyPrefix,
                                [&](const object_change& change) {
                                  static_cast<void>(OnRecord(change, now));
                                });
}

range_node* range_table::Find(std::string_view name) {
  const auto found = ranges_.find(name);
  return found == ranges_.end() ? nullptr : &found->second;
}

uint64_t range_table::FirstEpoch(std::string_view name) const {
  const auto found = ranges_.find(name);
  const bool known = found != ranges_.end() && found->second.record;
  return known ? found->second.record->order.front().epoch : 0;
}

status range_table::OnRecord(const object_change& change, time_point now) {
  range_node* node =
      Find(std::string_view(change.key).substr(kRangeKeyPrefix.size()));
  if (node == nullptr || change.deleted) {
    return OkStatus();
  }
  if (node->record && node->record->revision >= change.revision) {
    return OkStatus();
  }
  result<range_record> record = ParseRangeRecord(change.value);
  if (!record) {
    error e = record.error();
    e.path = change.key + (e.path.empty() ? "" : "." + e.path);
    return e;
  }
  node->record = std::move(record.value());
  node->record->revision = change.revision;
  node->next_record_check = now;
  if (node->record->map.NewerThan(node->newest_map)) {
    node->newest_map = node->record->map;
  }
  if (node->authority != nullptr) {
    const uint64_t before = node->authority->epoch();
    node->authority->SetRecord(*node->record, now);
    // Nobody else can have acted between the two epochs of a steward that
    // held the range when it was renumbered.
    node->renumbered |= node->acting && before != node->authority->epoch();
  }
  return OkStatus();
}

void range_table::Tick(time_point now, steward_output& out) {
  for (auto& [name, node] : ranges_) {
    if (node.authority == nullptr) {
      continue;
    }
    TickAuthority(node, now, out);
    TickRecord(node, now, out.actions);
    TickMap(node, now);
    TickPoison(node, now);
  }
}

void range_table::TickAuthority(range_node& node, time_point now,
                                steward_output& out) {
  std::vector<addressed_ask> asks;
  node.authority->Tick(now, context_.ledger, asks);
  for (const addressed_ask& ask : asks) {
    context_.outbox[ask.to.host].asks.push_back(ask.ask);
  }
  const time_point until = node.authority->ActingUntil() - kActingMargin;
  const bool acting = now < until;
  if (acting && !node.acting) {
    node.acting_since = now;
    if (node.steward->epoch() == node.authority->epoch()) {
      node.steward->Resume();
    } else if (node.renumbered) {
      node.steward->ContinueIn(node.authority->epoch());
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
    node.steward->Step(now, until, out);
  }
}

void range_table::TickMap(range_node& node, time_point now) {
  if (!node.acting || now < node.next_notice) {
    return;
  }
  const range_map& map = node.steward->map();
  if (map.seq == node.noticed_map_seq && map.epoch == node.newest_map.epoch) {
    return;
  }
  node.newest_map = map;
  node.noticed_map_seq = map.seq;
  node.next_notice = now + context_.timing.map_notice;
  for (const member& who : node.record->Members()) {
    if (who.host != context_.self.host) {
      context_.outbox[who.host].maps.push_back(
          range_map_notice{node.name, map});
    }
  }
}

// Content that crashed a target here may come in at another range of the
// service next, or at this one's next steward. Unless all count together, it
// takes two targets at each; the other stewards see lost targets only.
void range_table::TickPoison(range_node& node, time_point now) {
  if (node.steward == nullptr) {
    return;
  }
  const std::vector<poison_mark> news =
      node.steward->Dispatcher().TakePoisonNews(now);
  if (news.empty()) {
    return;
  }
  ImportPoison(news, now);
  std::set<std::string> hosts;
  for (const auto& [name, other] : ranges_) {
    if (other.service != node.service || !other.record) {
      continue;
    }
    for (const member& who : other.record->Members()) {
      hosts.insert(who.host);
    }
  }
  hosts.erase(context_.self.host);
  for (const std::string& host : hosts) {
    std::vector<poison_mark>& marks = context_.outbox[host].poison;
    marks.insert(marks.end(), news.begin(), news.end());
  }
}

roster_facts range_table::Facts(const range_node& node, time_point now) const {
  const duration silence = context_.timing.peer_silence;
  roster_facts facts;
  facts.self = context_.self;
  for (const std::string& name :
       context_.directory.HostsOfZone(context_.zone)) {
    const bool own = name == context_.self.host;
    if (own || context_.directory.Alive(name, now, silence / 2)) {
      const uint64_t life =
          own ? context_.self.life : context_.directory.LatestLife(name);
      facts.candidates.push_back(member{name, life});
    }
  }
  facts.latest_life = [this](const std::string& host) {
    return host == context_.self.host ? context_.self.life
                                      : context_.directory.LatestLife(host);
  };
  facts.gone = [this, &node, now, silence](const member& who) {
    const host_entry* entry = context_.directory.Find(who.host);
    if (entry != nullptr && entry->leaving) {
      return true;
    }
    const auto heard = node.authority->LastHeard(who);
    const time_point since =
        heard ? std::max(*heard, node.acting_since) : node.acting_since;
    return now >= since + silence &&
           !context_.directory.Alive(who.host, now, silence);
  };
  facts.all_saw_record = node.authority->AllSawRecord();
  facts.outranked = node.authority->outranked();
  return facts;
}

void range_table::TickRecord(range_node& node, time_point now,
                             action_list& out) {
  // The answer follows from silences of a second and more. Working it out for
  // every range at each tick cost more than all else that a tick does.
  if (now < node.next_record_check) {
    return;
  }
  node.next_record_check = now + context_.timing.record_check;
  if (!context_.sync.synced() || context_.directory.self().leaving) {
    return;
  }
  const duration wait = context_.timing.first_record_wait +
                        context_.timing.rank_stagger *
                            static_cast<int>(context_.directory.OwnRank());
  if (!node.record) {
    const auto* standing =
        context_.sync.cache().Find(std::string(kRangeKeyPrefix) + node.name);
    if (standing == nullptr && now >= node.first_wanted + wait) {
      const roster_facts facts = Facts(node, now);
      if (auto first = FirstRecord(facts.candidates, node.offset)) {
        WriteRecord(node, std::move(*first), now, out);
      }
    }
    return;
  }
  const roster_facts facts = Facts(node, now);
  if (node.acting) {
    if (auto repaired = RepairedRecord(*node.record, facts)) {
      repaired->map = node.steward->map();
      WriteRecord(node, std::move(*repaired), now, out);
      return;
    }
    const bool moved = node.steward->map() != node.record->map;
    if (moved && now >= node.next_record_write) {
      range_record next = *node.record;
      next.map = node.steward->map();
      WriteRecord(node, std::move(next), now, out);
    }
    return;
  }
  if (now < node.first_wanted + wait) {
    return;
  }
  if (auto reset = ResetRecord(*node.record, facts)) {
    WriteRecord(node, std::move(*reset), now, out);
  } else if (node.authority->Blocked(now, context_.ledger)) {
    if (auto renumbered = RenumberedRecord(*node.record, facts)) {
      WriteRecord(node, std::move(*renumbered), now, out);
    }
  }
}

void range_table::WriteRecord(range_node& node, range_record record,
                              time_point now, action_list& out) {
  record.mark = context_.self.host + "/" + std::to_string(context_.self.life) +
                "/" + std::to_string(++marks_);
  if (context_.sync.Write(std::string(kRangeKeyPrefix) + node.name,
                          FormatRangeRecord(record), now, out)) {
    node.next_record_write = now + context_.timing.map_record;
  }
}

void range_table::OnAsk(const member& from, const promise_ask& ask,
                        time_point now) {
  context_.outbox[from.host].answers.push_back(
      context_.ledger.Answer(from, ask, now));
}

void range_table::OnAnswer(const member& from, const promise_answer& answer,
                           time_point now) {
  range_node* node = Find(answer.range);
  if (node != nullptr && node->authority != nullptr) {
    node->authority->OnAnswer(from, answer, now);
  }
}

void range_table::OnRelease(const member& from, const range_release& release) {
  range_node* node = Find(release.range);
  if (node == nullptr || node->authority == nullptr) {
    return;
  }
  // The former steward's leases may still run: what the targets hold is taken
  // from its map, which came in the same message.
  node->handed_over = true;
  node->authority->ClaimAfter(from, release.epoch);
  node->steward->ImportActions(release.actions);
}

void range_table::OnMap(const range_map_notice& notice) {
  range_node* node = Find(notice.range);
  if (node != nullptr && notice.map.NewerThan(node->newest_map)) {
    node->newest_map = notice.map;
  }
}

void range_table::OnGrant(const grant_ended& ended, time_point now,
                          steward_output& out) {
  range_node* node = Find(ended.range);
  if (node == nullptr || node->steward == nullptr) {
    return;
  }
  if (!node->steward->OnGrant(ended, now)) {
    // A target obeyed a later steward: this host's authority is a delusion,
    // whatever its clock says.
    node->authority->StepDown();
    node->steward->Suspend(now, out);
    node->acting = false;
    return;
  }
  if (node->acting) {
    node->steward->Step(now, node->authority->ActingUntil() - kActingMargin,
                        out);
  }
}

void range_table::OnAttempt(const attempt_ended& ended, time_point now,
                            steward_output& out) {
  for (auto& [name, node] : ranges_) {
    if (node.steward != nullptr && node.steward->OnAttempt(ended, now, out)) {
      return;
    }
  }
}

std::vector<poison_mark> range_table::ExportPoison(time_point now) const {
  std::vector<poison_mark> marks;
  for (const auto& [name, node] : ranges_) {
    if (node.acting) {
      const auto own = node.steward->Dispatcher().ExportPoison(now);
      marks.insert(marks.end(), own.begin(), own.end());
    }
  }
  return marks;
}

void range_table::ImportPoison(std::span<const poison_mark> marks,
                               time_point now) {
  if (marks.empty()) {
    return;
  }
  for (auto& [name, node] : ranges_) {
    if (node.steward != nullptr) {
      node.steward->Dispatcher().ImportPoison(marks, now);
    }
  }
}

void range_table::HandOver(time_point now, bool force, steward_output& out) {
  for (auto& [name, node] : ranges_) {
    if (!node.acting) {
      continue;
    }
    if (node.steward->taking()) {
      node.steward->StopTaking(now, out);
    }
    if (!node.steward->Quiet() && !force) {
      continue;
    }
    std::string successor;
    for (const roster_slot& slot : node.record->order) {
      const bool other = slot.who.host != context_.self.host;
      if (successor.empty() && other &&
          context_.directory.Alive(slot.who.host, now,
                                   context_.timing.peer_silence / 2)) {
        successor = slot.who.host;
      }
    }
    const range_release release{name, node.authority->epoch(),
                                node.steward->ExportActions(now)};
    node.authority->StepDown();
    node.steward->Suspend(now, out);
    node.acting = false;
    if (!successor.empty()) {
      peer_message& message = context_.outbox[successor];
      message.maps.push_back(range_map_notice{name, node.steward->HeldMap()});
      message.releases.push_back(release);
    }
  }
}

bool range_table::Released() const {
  return std::none_of(ranges_.begin(), ranges_.end(),
                      [](const auto& entry) { return entry.second.acting; });
}

}  // namespace foxtailspread
