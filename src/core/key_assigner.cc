#include "foxtailspread/key_assigner.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/hash.h"

// What an assigner hears and knows, and the round that it makes.

namespace foxtailspread {
namespace {

/// Orders in a row that failed before a target counts as lost and its keys are
/// given to others, once its hold has ended. One alone may have met a
/// connection that had ended.
constexpr int kFailedOrders = 2;
/// A target that failed orders is given keys again so long after, if it has
/// reported to the store meanwhile.
constexpr duration kFailingFor{std::chrono::seconds{2}};

/// Between a target's id and its start in the name of its life. Lives of one
/// id are next to each other in order of their names.
constexpr char kLifeSeparator = '@';

/// While the store was away of late a missing target may be back: its entry
/// lapsed although it lives.
constexpr duration kMissingGrace{std::chrono::milliseconds{2300}};

/// The error with the object it was found in at the head of its path.
error NamedAfter(const std::string& object, error problem) {
  problem.path = problem.path.empty() ? object : object + "." + problem.path;
  return problem;
}

}  // namespace

key_assigner::key_assigner(assigner_settings settings)
    : settings_(std::move(settings)) {}

std::string key_assigner::MapName(std::string_view service) {
  return "keys." + std::string{service};
}

std::string key_assigner::LifeKey(const target_life& life) {
  return life.id + kLifeSeparator + std::to_string(life.started);
}

key_assigner::target_state* key_assigner::StateOf(const target_life& life) {
  const auto found = targets_.find(LifeKey(life));
  return found == targets_.end() ? nullptr : &found->second;
}

const key_map* key_assigner::MapOf(const std::string& service) const {
  const auto found = services_.find(service);
  const bool known = found != services_.end() && found->second.revision != 0;
  return known ? &found->second.map : nullptr;
}

uint64_t key_assigner::MapRevision(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.revision;
}

status key_assigner::OnOwners(const owners_record& record) {
  const auto found = services_.find(record.service);
  if (found == services_.end() || record.revision <= found->second.revision) {
    return OkStatus();
  }
  keyed_service& of = found->second;
  if (record.base != 0 && record.base != of.revision) {
    return OkStatus();  // The next heartbeat shows that the record must be
                        // read.
  }
  auto changes = ParseKeyChanges(record.content);
  if (!changes) {
    return changes.error();
  }
  auto map = WithKeyChanges(of.map, changes.value());
  if (!map) {
    return map.error();
  }
  of.map = std::move(map.value());
  of.revision = record.revision;
  return OkStatus();
}

uint64_t key_assigner::OwnersDigest() const {
  uint64_t digest = HashParts({lease_ ? lease_->host : std::string{}}, 0);
  for (const auto& [name, each] : services_) {
    // The watch may bring this host's own write before its answer comes. A
    // heartbeat that told of the record before its changes are sent would make
    // all other hosts read it whole.
    digest +=
        HashParts({name}, each.write ? each.write->expected : each.revision);
  }
  return digest;
}

status key_assigner::OnObjects(const own_objects& objects, time_point now) {
  status taken = OkStatus();
  objects_read_ = true;
  const auto lease = objects.find(std::string{kLeaseName});
  if (lease != objects.end() && lease->second.revision > lease_revision_) {
    const auto parsed = ParseLease(lease->second.item.value_or(""));
    lease_revision_ = lease->second.revision;
    lease_seen_at_ = now;
    lease_read_at_ = now;
    // A lease that cannot be read names no holder; it is taken over when it
    // has stood still for as long as any other.
    if (!parsed) {
      taken = NamedAfter(lease->first, parsed.error());
    }
    assigner_lease read = parsed ? parsed.value() : assigner_lease{};
    if (!lease_ || lease_->host != read.host) {
      lease_taken_at_ = now;
    }
    lease_ = std::move(read);
    if (lease_->host != settings_.host) {
      held_until_ = {};  // StepLease does the rest.
      keeping_until_ = {};
    }
  }
  if (was_holder_ && lease_revision_ >= acting_from_revision_ &&
      lease != objects.end() &&
      lease->second.revision >= acting_from_revision_) {
    synced_since_taken_ = true;
  }
  for (auto& [name, each] : services_) {
    const auto found = objects.find(MapName(name));
    if (found == objects.end() || found->second.revision <= each.revision) {
      continue;
    }
    auto map = ParseKeyMap(found->second.item.value_or(""));
    each.revision = found->second.revision;
    if (map) {
      each.map = std::move(map.value());
    } else {
      taken = NamedAfter(found->first, map.error());
    }
  }
  return taken;
}

void key_assigner::OnStoreAnswers(bool answers, time_point now) {
  if (answers && !store_answers_) {
    // Nothing was seen while the store was away: the lease may have been
    // renewed all the time.
    lease_seen_at_ = std::max(lease_seen_at_, now);
    // Orders that failed meanwhile tell of this host's own links, and the list
    // that would show its targets alive is as old. Taken for lost, all targets
    // outside a zone that had been cut off gave their keys to the three inside.
    ForgetFailedOrders();
  }
  store_answers_ = answers;
}

void key_assigner::ForgetFailedOrders() {
  for (auto& [life, state] : targets_) {
    state.failed_orders = 0;
  }
}

void key_assigner::OnServices(const std::vector<service_settings>& services) {
  services_known_ = true;
  std::set<std::string> keyed;
  service_names_.clear();
  for (const service_settings& each : services) {
    service_names_.insert(each.name);
    if (each.keyed) {
      keyed.insert(each.name);
      keyed_service& of = services_[each.name];
      of.name = each.name;
      of.cold = ColdPolicyOf(each);
    }
  }
  std::erase_if(services_,
                [&](const auto& each) { return !keyed.contains(each.first); });
}

void key_assigner::OnTargets(const std::vector<target_entry>& targets,
                             bool doubtful, time_point now) {
  doubtful_ = doubtful;
  for (auto& [life, state] : targets_) {
    state.listed = false;
  }
  for (const target_entry& entry : targets) {
    const auto [found, added] = targets_.try_emplace(LifeKey(entry.life));
    target_state& state = found->second;
    if (added) {
      state.first_listed = now;
    }
    const cold_policy cold = ColdPolicyFor(entry);
    if (added || !(state.entry == entry)) {
      state.availability.OnEntry(entry, cold, now);
    }
    state.entry = entry;
    state.availability.OnEvacuated(evacuated_zones_.contains(entry.zone), cold,
                                   now);
    state.listed = true;
    state.missing_since.reset();
  }
  for (auto& [life, state] : targets_) {
    if (!state.listed && !state.missing_since) {
      state.missing_since = now;
    }
  }
}

cold_policy key_assigner::ColdPolicyFor(const target_entry& entry) const {
  const auto found = services_.find(entry.service);
  return found == services_.end() ? cold_policy{} : found->second.cold;
}

void key_assigner::OnEvacuations(const std::set<std::string>& zones,
                                 time_point now) {
  evacuated_zones_ = zones;
  for (auto& [life, state] : targets_) {
    state.availability.OnEvacuated(zones.contains(state.entry.zone),
                                   ColdPolicyFor(state.entry), now);
  }
}

bool key_assigner::IsAddressReused(const target_life& life) const {
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end() || found->second.listed) {
    return false;
  }
  // An entry for a service that is not declared may come from anybody. One that
  // was there before may be left over from the target that had the address
  // first.
  const target_entry& gone = found->second.entry;
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
    const target_state& other = each.second;
    return other.listed && other.entry.address == gone.address &&
           other.entry.life.id != life.id &&
           other.first_listed > found->second.first_listed &&
           service_names_.contains(other.entry.service);
  });
}

const key_assigner::target_state* key_assigner::LaterLife(
    const target_life& life) const {
  // Lives of one id are next to each other; this is asked for each range in
  // each step.
  const std::string prefix = life.id + kLifeSeparator;
  for (auto each = targets_.lower_bound(prefix);
       each != targets_.end() && each->first.starts_with(prefix); ++each) {
    const target_life& other = each->second.entry.life;
    if (each->second.listed && other.id == life.id &&
        other.started > life.started) {
      return &each->second;
    }
  }
  return nullptr;
}

bool key_assigner::IsKnownDead(const target_life& life) const {
  // A refused connection proves nothing: some partitions answer in the target's
  // place, and a target behind one goes on serving those on its side. Without
  // the second proof a target that is lost together with the holder of the
  // lease leaves its keys without an owner until the holder's time is over, up
  // to nineteen seconds.
  return LaterLife(life) != nullptr || IsAddressReused(life);
}

bool key_assigner::IsFailing(const target_state& state, time_point now) const {
  if (state.failed_orders < kFailedOrders) {
    return false;
  }
  return now - state.failing_since < kFailingFor ||
         state.entry.sequence == state.failed_sequence;
}

bool key_assigner::IsUsable(const target_life& life, time_point now) const {
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end()) {
    // Never seen by this host: it may be listed soon after a start.
    return doubtful_ && now - taken_at_ < kMissingGrace;
  }
  const target_state& state = found->second;
  if (state.entry.draining || state.availability.IsEvacuated() ||
      IsFailing(state, now) || IsKnownDead(life)) {
    return false;
  }
  return state.listed ||
         (doubtful_ && now - *state.missing_since < kMissingGrace);
}

void key_assigner::OnTime(time_point now, assigner_actions& out) {
  StepLease(now, out);
  // Also of a lease that was lost since: what a target may hold counts from
  // the ends of all orders, and one that never ends would count for ever.
  EndLateOrders(now, out);
  const bool holds = was_holder_ && IsHolder(now) && synced_since_taken_;
  if (!holds && now >= keeping_until_) {
    return;
  }
  for (auto& [name, each] : services_) {
    if (holds) {
      StepService(each, now, out);
      continue;
    }
    for (const key_range& range : each.map.ranges) {
      if (range.granted) {
        Renew(each, range, now, out);
      }
    }
  }
}

time_point key_assigner::NextDue(time_point now) const {
  // While it holds the lease it looks at its ranges often enough for moves to
  // take tens of milliseconds; standing by, it only watches the lease.
  constexpr duration kBusyStep{std::chrono::milliseconds{50}};
  constexpr duration kHolderStep{std::chrono::milliseconds{100}};
  constexpr duration kCalmStep{std::chrono::milliseconds{250}};
  const bool busy =
      was_holder_ &&
      std::any_of(services_.begin(), services_.end(), [](const auto& each) {
        return !each.second.transfers.empty() || each.second.write;
      });
  if (busy) {
    return now + kBusyStep;
  }
  return now + (was_holder_ ? kHolderStep : kCalmStep);
}

void key_assigner::StepService(keyed_service& of, time_point now,
                               assigner_actions& out) {
  if (!IsHolder(now)) {
    return;
  }
  of.load.Average(now);
  RetryWrite(of.write, now, out);
  std::set<range_id> live;
  for (const key_range& range : of.map.ranges) {
    live.insert(IdOf(range));
    if (range.granted) {
      Renew(of, range, now, out);
    } else if (!IsBeingReplaced(of, range)) {
      StepRange(of, range, now, out);
    }
  }
  std::erase_if(of.transfers,
                [&](const auto& each) { return !live.contains(each.first); });
  std::erase_if(of.renewals,
                [&](const auto& each) { return !live.contains(each.first); });
  if (of.write) {
    return;
  }
  key_map draft = of.map;
  if (PlanChanges(of, draft, now, out)) {
    JoinEqualNeighbours(draft);
    of.draft = draft;
    of.changes = KeyChanges(of.map, draft);
    of.write = pending_write{.name = MapName(of.name),
                             .content = FormatKeyMap(draft),
                             .expected = of.revision,
                             .first_sent = now};
    Send(*of.write, now, out);
  }
}

void key_assigner::OnMapWritten(keyed_service& of, const write_report& report,
                                time_point now, assigner_actions& out) {
  of.write->in_flight = false;
  const bool done = report.end == write_end::kWritten ||
                    (report.end == write_end::kConflict &&
                     report.content == of.write->content);
  if (done && report.revision < of.revision) {
    // The record of another holder, written on top of this one, came first.
    of.write.reset();
    of.transfers.clear();
  } else if (done) {
    of.map = std::move(of.draft);
    of.revision = report.revision;
    out.emplace_back(
        share_action{.record = {.service = of.name,
                                .base = of.write->expected,
                                .revision = of.revision,
                                .content = FormatKeyMap(of.changes)},
                     .hops = OtherHosts(now)});
    of.write.reset();
    for (const key_range& range : of.map.ranges) {
      const bool added = !of.transfers.contains(IdOf(range));
      if (!range.granted && added) {
        of.transfers[IdOf(range)].inherited = false;
      }
    }
    StepService(of, now, out);
  } else if (report.end == write_end::kConflict) {
    // Another holder has written: the lease is lost, or will be found so. A
    // record that cannot be read comes by the watch too and is reported there.
    of.write.reset();
    auto map = ParseKeyMap(report.content);
    if (report.revision > of.revision && map) {
      of.map = std::move(map.value());
      of.revision = report.revision;
    }
    of.transfers.clear();
  }
}

void key_assigner::OnWriteEnded(const write_report& report, time_point now,
                                assigner_actions& out) {
  if (lease_write_ && lease_write_->id == report.id) {
    OnLeaseWritten(report, now, out);
    return;
  }
  for (auto& [name, each] : services_) {
    if (each.write && each.write->id == report.id) {
      OnMapWritten(each, report, now, out);
      return;
    }
  }
}

}  // namespace foxtailspread
