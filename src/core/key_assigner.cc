#include "foxtailspread/key_assigner.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/hash.h"

// Processes store objects, declarations and target lists, and runs the periodic
// update of the lease and of the key maps.

namespace foxtailspread {
namespace {

/// Number of consecutive failed orders after which a target counts as lost. Its
/// keys are then assigned to other targets once its grants have expired. A
/// single failure may be due to a connection that was already closed.
constexpr int kFailedOrderThreshold = 2;
/// Time after which a target with failed orders may be assigned keys again, if
/// it has updated its entry in the store since.
constexpr duration kFailedTargetRetryDelay{std::chrono::seconds{2}};

/// Separates a target's id from its start time in LifeKey(). Processes of the
/// same target are adjacent in the order of these keys.
constexpr char kLifeSeparator = '@';

/// Shortest time between two passes over all ranges, for each range beyond
/// kUnboundedRanges. Ended orders ask for a pass each: without this bound, N
/// first grants cost N passes over N ranges.
constexpr duration kUpdateIntervalPerRange{std::chrono::microseconds{50}};
/// Up to this many ranges a pass is cheap and follows each ended order.
constexpr size_t kUnboundedRanges = 64;

/// How long after a store outage a missing target still counts as present. Its
/// entry may have expired during the outage although the target is alive.
constexpr duration kMissingTargetGracePeriod{std::chrono::milliseconds{2300}};

/// Position of the era in a number that stands for a revision in a digest.
constexpr int kEraShift = 40;

/// Returns the error with the name of the object prepended to its path.
error PrependObjectName(const std::string& object_name, error problem) {
  problem.path =
      problem.path.empty() ? object_name : object_name + "." + problem.path;
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

key_assigner::target_state* key_assigner::FindTarget(const target_life& life) {
  const auto found = targets_.find(LifeKey(life));
  return found == targets_.end() ? nullptr : &found->second;
}

const key_map* key_assigner::MapOf(const std::string& service) const {
  const auto found = services_.find(service);
  const bool known =
      found != services_.end() && found->second.revision.Exists();
  return known ? &found->second.map : nullptr;
}

key_loads key_assigner::RecentRatesOf(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? key_loads{}
                                  : found->second.load.recent_rates();
}

store_revision key_assigner::MapRevision(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? store_revision{} : found->second.revision;
}

status key_assigner::OnOwners(const owners_record& record) {
  const auto found = services_.find(record.service);
  if (found == services_.end() || record.revision <= found->second.revision) {
    return OkStatus();
  }
  if (was_holder_) {
    // Another holder wrote this record. Its moves must not be carried out here
    // before its lease is read: it takes a new owner that it has sent no grant
    // for one that holds no keys.
    return OkStatus();
  }
  keyed_service& service = found->second;
  if (record.base_revision.Exists() &&
      record.base_revision != service.revision) {
    // Records are missing in between. The digest in the next heartbeat will
    // differ from this host's, which then reads the record from the store.
    return OkStatus();
  }
  auto changes = ParseKeyChanges(record.content);
  if (!changes) {
    return changes.error();
  }
  auto map = ApplyKeyChanges(service.map, changes.value());
  if (!map) {
    return map.error();
  }
  service.map = std::move(map.value());
  service.revision = record.revision;
  return OkStatus();
}

uint64_t key_assigner::OwnersDigest() const {
  uint64_t digest = HashParts({lease_ ? lease_->host : std::string{}}, 0);
  for (const auto& [name, service] : services_) {
    // The watch may deliver this host's own write before the answer to it
    // arrives. If a heartbeat announced the new record before the changes are
    // sent, all other hosts would read the whole record from the store.
    const store_revision revision =
        service.record_write ? service.pending_base : service.revision;
    digest += HashParts({name}, revision.counter ^ (revision.era << kEraShift));
  }
  return digest;
}

status key_assigner::OnObjects(const system_objects& objects, time_point now) {
  status parse_status = OkStatus();
  objects_read_ = true;
  const auto lease = objects.find(std::string{kLeaseName});
  if (lease != objects.end() && lease->second.revision >= lease_revision_ &&
      lease->second.revision > lease_read_revision_) {
    const auto parsed = ParseLease(lease->second.item.value_or(""));
    // A lease that cannot be parsed has no holder. It is taken over like any
    // other lease that has not been renewed in time.
    if (!parsed) {
      parse_status = PrependObjectName(lease->first, parsed.error());
    }
    assigner_lease stored;
    if (parsed) {
      stored = parsed.value();
    } else {
      stored.era = era_;
    }
    TakeLease(stored, lease->second.revision, now);
  }
  if (was_holder_ && lease_revision_ >= acquired_revision_ &&
      lease != objects.end() && lease->second.revision >= acquired_revision_) {
    synced_since_acquired_ = true;
  }
  for (auto& [name, service] : services_) {
    const auto found = objects.find(MapName(name));
    if (found == objects.end() ||
        found->second.revision <= service.stored_revision) {
      continue;
    }
    service.stored_revision = found->second.revision;
    if (found->second.revision <= service.revision) {
      continue;
    }
    auto map = ParseKeyMap(found->second.item.value_or(""));
    if (!map) {
      service.revision = found->second.revision;
      parse_status = PrependObjectName(found->first, map.error());
      continue;
    }
    // After the store has returned to a copy, hosts know newer records than it
    // does. Fences rise from record to record.
    const bool is_outdated = map.value().era != era_ &&
                             service.revision.Exists() &&
                             map.value().last_fence <= service.map.last_fence;
    if (!is_outdated) {
      service.map = std::move(map.value());
      service.revision = found->second.revision;
    }
  }
  return parse_status;
}

void key_assigner::TakeLease(const assigner_lease& stored,
                             store_revision revision, time_point now) {
  lease_revision_ = revision;
  lease_read_revision_ = revision;
  const bool is_of_this_era = stored.era == era_;
  if (!is_of_this_era && !era_began_at_) {
    era_began_at_ = now;
  }
  if (!is_of_this_era && lease_ &&
      (lease_->era == era_ || lease_->renewal_count >= stored.renewal_count)) {
    return;  // A copy, or a late write, of a lease that is older than `lease_`.
  }
  lease_seen_at_ = now;
  lease_read_at_ = now;
  if (!lease_ || lease_->host != stored.host) {
    holder_changed_at_ = now;
  }
  lease_ = stored;
  if (lease_->host != settings_.host) {
    held_until_ = {};  // UpdateLease handles the loss.
    renewing_until_ = {};
    was_last_holder_ = false;
  }
}

void key_assigner::OnStoreAvailability(bool answers, time_point now) {
  if (answers && !store_available_) {
    // The lease may have been renewed while this host could not reach the
    // store.
    lease_seen_at_ = std::max(lease_seen_at_, now);
    // Orders that failed meanwhile may have failed because of this host's own
    // network, and its target list is too old to show which targets are alive.
    // Otherwise a holder in a zone that was cut off takes all targets outside
    // the zone for lost and moves their keys to the few inside it (three, in
    // the case that was seen).
    ResetFailureCounts();
  }
  store_available_ = answers;
}

void key_assigner::ResetFailureCounts() {
  for (auto& [life, state] : targets_) {
    state.consecutive_failures = 0;
  }
}

void key_assigner::OnServices(const std::vector<service_settings>& services) {
  services_known_ = true;
  std::set<std::string> keyed_names;
  service_names_.clear();
  for (const service_settings& declared : services) {
    service_names_.insert(declared.name);
    if (declared.keyed) {
      keyed_names.insert(declared.name);
      keyed_service& service = services_[declared.name];
      service.name = declared.name;
      service.cold = ColdPolicyOf(declared);
    }
  }
  std::erase_if(services_, [&](const auto& entry) {
    return !keyed_names.contains(entry.first);
  });
}

void key_assigner::OnTargets(const std::vector<target_entry>& targets,
                             bool doubtful, time_point now) {
  targets_may_be_incomplete_ = doubtful;
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

void key_assigner::OnTargetStatements(const target_statements& statements) {
  leaving_targets_.clear();
  for (const leaving_sample& sample : statements.leaving) {
    leaving_targets_.insert(LifeKey(sample.target));
  }
  target_limits_.clear();
  for (const limit_sample& sample : statements.limits) {
    if (sample.per_second) {
      target_limits_[LifeKey(sample.target)] = *sample.per_second;
    }
  }
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
  // Entries of undeclared services are ignored because any process can write
  // them. Entries that were listed before this target's are ignored because
  // they may be left over from a previous target at the address.
  const target_entry& unlisted = found->second.entry;
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const target_state& other = entry.second;
    return other.listed && other.entry.address == unlisted.address &&
           other.entry.life.id != life.id &&
           other.first_listed > found->second.first_listed &&
           service_names_.contains(other.entry.service);
  });
}

const key_assigner::target_state* key_assigner::LaterLife(
    const target_life& life) const {
  // Processes with the same id are adjacent in the map. The search is limited
  // to them because this runs for each range in each update.
  const std::string prefix = life.id + kLifeSeparator;
  for (auto it = targets_.lower_bound(prefix);
       it != targets_.end() && it->first.starts_with(prefix); ++it) {
    const target_life& other = it->second.entry.life;
    if (it->second.listed && other.id == life.id &&
        other.started > life.started) {
      return &it->second;
    }
  }
  return nullptr;
}

bool key_assigner::IsKnownDead(const target_life& life) const {
  // A refused connection proves nothing: in some network partitions another
  // node refuses connections in the target's place, while the target continues
  // to serve the hosts on its side. Without the check for address reuse, keys
  // of a target that is lost together with the lease holder have no owner until
  // all grants that the holder may have sent have expired, up to 19 seconds.
  return LaterLife(life) != nullptr || IsAddressReused(life);
}

bool key_assigner::IsFailing(const target_state& state, time_point now) const {
  if (state.consecutive_failures < kFailedOrderThreshold) {
    return false;
  }
  return now - state.failing_since < kFailedTargetRetryDelay ||
         state.entry.sequence == state.sequence_at_failure;
}

bool key_assigner::IsUsable(const target_life& life, time_point now) const {
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end()) {
    // This host has never seen the target, which may be listed shortly after
    // the lease was taken.
    return IsTargetListInDoubt(now) &&
           now - acquired_at_ < kMissingTargetGracePeriod;
  }
  const target_state& state = found->second;
  if (state.entry.draining || leaving_targets_.contains(found->first) ||
      state.availability.IsEvacuated() || IsFailing(state, now) ||
      IsKnownDead(life)) {
    return false;
  }
  return state.listed ||
         (IsTargetListInDoubt(now) &&
          now - *state.missing_since < kMissingTargetGracePeriod);
}

bool key_assigner::IsTargetListInDoubt(time_point now) const {
  return targets_may_be_incomplete_ ||
         (era_began_at_ && now - *era_began_at_ < kMissingTargetGracePeriod);
}

void key_assigner::OnTime(time_point now, assigner_actions& out) {
  UpdateLease(now, out);
  // This includes orders that were sent under a lease that was lost since. The
  // expiry of a target's grants is known only when all of its orders have an
  // outcome, and an order that never gets one would block its keys forever.
  CancelOverdueOrders(now, out);
  const bool may_assign = MayAssign(now);
  if (!may_assign && now >= renewing_until_) {
    return;
  }
  for (auto& [name, service] : services_) {
    if (may_assign) {
      UpdateService(service, now, out);
      continue;
    }
    for (const key_range& range : service.map.ranges) {
      if (range.granted) {
        RenewGrant(service, range, now, out);
      }
    }
  }
}

bool key_assigner::MayAssign(time_point now) const {
  return was_holder_ && IsHolder(now) && synced_since_acquired_;
}

time_point key_assigner::NextDue(time_point now) const {
  // The holder updates its ranges often enough for transfers to finish within
  // tens of milliseconds. A standby host only watches the lease.
  constexpr duration kTransferUpdatePeriod{std::chrono::milliseconds{50}};
  constexpr duration kHolderUpdatePeriod{std::chrono::milliseconds{100}};
  constexpr duration kStandbyUpdatePeriod{std::chrono::milliseconds{250}};
  const bool transferring =
      was_holder_ &&
      std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
        return !entry.second.transfers.empty() || entry.second.record_write;
      });
  const duration period = transferring  ? kTransferUpdatePeriod
                          : was_holder_ ? kHolderUpdatePeriod
                                        : kStandbyUpdatePeriod;
  time_point due = now + period;
  if (MayAssign(now)) {
    for (const auto& [name, service] : services_) {
      if (service.update_pending) {
        due = std::min(due, std::max(now, NextUpdateAt(service)));
      }
    }
  }
  return due;
}

time_point key_assigner::NextUpdateAt(const keyed_service& service) {
  const size_t ranges = service.map.ranges.size();
  return service.updated_at +
         kUpdateIntervalPerRange *
             (std::max(ranges, kUnboundedRanges) - kUnboundedRanges);
}

void key_assigner::UpdateSoon(keyed_service& service, time_point now,
                              assigner_actions& out) {
  if (now >= NextUpdateAt(service)) {
    UpdateService(service, now, out);
  } else {
    service.update_pending = true;
  }
}

void key_assigner::UpdateRangeSoon(keyed_service& service, const range_id& id,
                                   time_point now, assigner_actions& out) {
  UpdateSoon(service, now, out);
  const key_range* range = std::as_const(service.map).Find(id.second);
  if (service.update_pending && IsHolder(now) && range != nullptr &&
      IdOf(*range) == id && !range->granted &&
      !IsBeingReplaced(service, *range)) {
    UpdateTransfer(service, *range, now, out);
  }
}

void key_assigner::UpdateService(keyed_service& service, time_point now,
                                 assigner_actions& out) {
  if (!IsHolder(now)) {
    return;
  }
  service.updated_at = now;
  service.update_pending = false;
  service.load.UpdateAverages(now);
  RetryWrite(service.record_write, now, out);
  UpdateBarrier(service, now, out);
  std::set<range_id> current_ranges;
  for (const key_range& range : service.map.ranges) {
    current_ranges.insert(IdOf(range));
    if (!TrustsOwners(service)) {
      continue;  // The next record makes them wait for a release_barrier.
    }
    if (range.granted) {
      RenewGrant(service, range, now, out);
    } else if (!IsBeingReplaced(service, range)) {
      UpdateTransfer(service, range, now, out);
    }
  }
  std::erase_if(service.transfers, [&](const auto& entry) {
    return !current_ranges.contains(entry.first);
  });
  std::erase_if(service.renewals, [&](const auto& entry) {
    return !current_ranges.contains(entry.first);
  });
  if (service.record_write) {
    return;
  }
  key_map draft = service.map;
  if (PlanChanges(service, draft, now, out)) {
    MergeEqualNeighbours(draft);
    draft.era = era_;
    draft.term = term_;
    service.pending_map = draft;
    service.pending_base = service.revision;
    service.pending_is_distrusted = service.distrusted;
    service.pending_changes = DiffKeyMaps(service.map, draft);
    service.record_write =
        pending_write{.name = MapName(service.name),
                      .content = FormatKeyMap(draft),
                      .expected_revision = service.stored_revision,
                      .first_sent_at = now};
    SendWrite(*service.record_write, now, out);
  }
}

void key_assigner::OnMapWritten(keyed_service& service,
                                const write_report& report, time_point now,
                                assigner_actions& out) {
  service.record_write->in_flight = false;
  const bool written =
      report.outcome == conditional_write_outcome::kWritten ||
      (report.outcome == conditional_write_outcome::kConflict &&
       report.content == service.record_write->content);
  if (written && report.revision < service.revision) {
    // This host has already read a later record, which another holder wrote on
    // top of this one.
    service.record_write.reset();
    service.transfers.clear();
  } else if (written) {
    service.map = std::move(service.pending_map);
    service.revision = report.revision;
    service.stored_revision = report.revision;
    service.distrusted = service.distrusted && !service.pending_is_distrusted;
    out.emplace_back(share_owners_action{
        .record = {.service = service.name,
                   .base_revision = service.pending_base,
                   .revision = service.revision,
                   .content = FormatKeyMap(service.pending_changes)},
        .hops = OtherHosts(now)});
    service.record_write.reset();
    for (const key_range& range : service.map.ranges) {
      const bool added = !service.transfers.contains(IdOf(range));
      if (!range.granted && added) {
        service.transfers[IdOf(range)].inherited = false;
      }
    }
    UpdateSoon(service, now, out);
  } else if (report.outcome == conditional_write_outcome::kConflict) {
    // Another holder has written the record, so that this host has lost the
    // lease, even if it has not noticed yet. A record that cannot be parsed is
    // ignored here: the watch also delivers it, and OnObjects reports it.
    service.record_write.reset();
    auto map = ParseKeyMap(report.content);
    service.stored_revision =
        std::max(service.stored_revision, report.revision);
    if (map && map.value().era != era_) {
      // The copy, or a write of before the store returned to it, which the next
      // write replaces.
      return;
    }
    if (report.revision > service.revision && map) {
      service.map = std::move(map.value());
      service.revision = report.revision;
    }
    service.transfers.clear();
  }
}

void key_assigner::OnWriteEnded(const write_report& report, time_point now,
                                assigner_actions& out) {
  if (lease_write_ && lease_write_->id == report.id) {
    OnLeaseWritten(report, now, out);
    return;
  }
  for (auto& [name, service] : services_) {
    if (service.record_write && service.record_write->id == report.id) {
      OnMapWritten(service, report, now, out);
      return;
    }
  }
}

}  // namespace foxtailspread
