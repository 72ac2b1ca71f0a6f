#include <algorithm>
#include <utility>

#include "foxtailspread/key_assigner.h"

// Decides which keys get a new owner: all keys when a service has no map yet,
// the keys of lost targets, and keys that overload their owner.

namespace foxtailspread {
namespace {

/// Time between plans of balancing moves.
constexpr duration kBalancePeriod{std::chrono::milliseconds{250}};
/// Multiples of a target's fair share of the recent load. Above the first it
/// gives keys away, below the second it receives keys. Checked in every plan.
constexpr double kRecentOverloadRatio = 1.7;
constexpr double kRecentUnderloadRatio = 0.25;
/// The same for the steady load, averaged over several seconds. The count of
/// forty requests, which a target gets in about four seconds, has a random
/// deviation of one sixth.
constexpr double kSteadyOverloadRatio = 1.4;
constexpr double kSteadyUnderloadRatio = 0.5;
/// Time between moves that balance the steady load.
constexpr duration kSteadyBalancePeriod{std::chrono::seconds{2}};
/// How long the speeds of owners are used.
constexpr duration kOwnerSpeedsTtl{std::chrono::seconds{2}};

/// Fraction of a target's limit that the balance of keys plans to use. Requests
/// come at random, and what goes beyond the limit is refused.
constexpr double kUsedLimitFraction = 0.8;

/// Bounds of a target's speed relative to the mean of all targets. Speed is
/// estimated from mean latency, which includes queueing time; the bounds limit
/// the resulting feedback between load and estimated speed.
constexpr double kMinSpeedRatio = 0.4;
constexpr double kMaxSpeedRatio = 2.5;

/// More fence numbers than a lease holder uses in the time by which a copy of
/// the store can be older than the store. They are skipped in a new era, for
/// records that the store may have lost.
constexpr fence_number kFencesLostAtMost = fence_number{1} << 20U;

/// Delay between taking the lease and making the first map of a service, so
/// that all targets can be listed and share the keys, rather than only those
/// that were listed first.
constexpr duration kFirstMapDelay{std::chrono::milliseconds{1500}};

}  // namespace

bool key_assigner::PlanChanges(keyed_service& service, key_map& draft,
                               time_point now, assigner_actions& out) {
  if (draft.ranges.empty()) {
    const auto candidates = BalanceCandidates(service.name, now);
    if (candidates.empty() || now < acquired_at_ + kFirstMapDelay) {
      return false;
    }
    draft = PlanFirstMap(candidates, draft);
    return true;
  }
  if (draft.era != era_ || !TrustsOwners(service)) {
    MoveToEra(service, draft);
    return true;
  }
  if (!HasRecorded(draft)) {
    return true;
  }
  const bool confirmed = ConfirmGrants(service, draft, out);
  if (!KnowsAllGrants(service, now)) {
    return confirmed;
  }
  const bool replaced = ReplaceOwners(service, draft, now, out);
  if (confirmed || replaced) {
    return true;
  }
  return BalanceLoad(service, draft, now, out);
}

/// Plans the map of a service that has no record.
key_map key_assigner::PlanFirstMap(std::span<const balance_target> candidates,
                                   const key_map& draft) const {
  const fence_number last_fence = draft.last_fence + era_ * kFencesLostAtMost;
  key_map map = MakeInitialKeyMap(candidates, last_fence + 1);
  // The store may have returned to a copy of before the first record, which a
  // host that has started since cannot know.
  if (era_ != 0) {
    DistrustOwners(map);
  }
  return map;
}

/// Continues a map of an earlier era of the store, which may have lost records
/// that were written on top of it.
void key_assigner::MoveToEra(keyed_service& service, key_map& draft) const {
  draft.last_fence += (era_ - draft.era) * kFencesLostAtMost;
  if (!TrustsOwners(service)) {
    DistrustOwners(draft);
    service.transfers.clear();
    service.renewals.clear();
  }
}

void key_assigner::DistrustOwners(key_map& draft) {
  draft.last_fence += 2;  // One for the release, one for the grant.
  for (key_range& range : draft.ranges) {
    range.fence = draft.last_fence;
    range.granted = false;
    range.former_owner.reset();
    range.owners_unknown = true;
  }
}

assigner_note key_assigner::MakeNote(assigner_note::kind note_kind,
                                     const keyed_service& service,
                                     const key_range& range,
                                     const std::string& target) {
  return {.note_kind = note_kind,
          .service = service.name,
          .target = target,
          .first = range.first,
          .last = range.last,
          .fence = range.fence};
}

bool key_assigner::ConfirmGrants(keyed_service& service, key_map& draft,
                                 assigner_actions& out) {
  bool changed = false;
  for (key_range& range : draft.ranges) {
    const auto found = service.transfers.find(IdOf(range));
    if (range.granted || found == service.transfers.end() ||
        !found->second.grant_confirmed) {
      continue;
    }
    range.granted = true;
    range.former_owner.reset();
    range.owners_unknown = false;
    changed = true;
    out.emplace_back(MakeNote(assigner_note::kind::kKeysGranted, service, range,
                              range.owner.id));
  }
  return changed;
}

void key_assigner::Reassign(keyed_service& service, key_map& draft,
                            key_range& range, const target_life& new_owner) {
  const auto found = service.transfers.find(IdOf(range));
  const bool offered = range.granted || found == service.transfers.end() ||
                       found->second.grant_sent || found->second.inherited;
  range.former_owner = offered ? std::optional{range.owner} : std::nullopt;
  range.owner = new_owner;
  range.granted = false;
  range.owners_unknown = false;
  // Uses two fence numbers: the lower one for the release, which must be above
  // all that the former owner has seen so that it refuses late renewals, and
  // the higher one for the grant.
  draft.last_fence += 2;
  range.fence = draft.last_fence;
}

bool key_assigner::ReplaceOwners(keyed_service& service, key_map& draft,
                                 time_point now, assigner_actions& out) {
  bool changed = false;
  // Computed on first use, because most calls replace no owner.
  std::optional<std::vector<balance_target>> usable;
  for (key_range& range : draft.ranges) {
    const auto transfer_entry = service.transfers.find(IdOf(range));
    const bool in_transfer = transfer_entry != service.transfers.end();
    const bool keys_free = in_transfer && transfer_entry->second.keys_free;
    if ((!range.granted && in_transfer && !keys_free) ||
        (range.owners_unknown && !keys_free)) {
      continue;  // Another target may hold the keys and must release them.
    }
    const bool fenced = in_transfer && transfer_entry->second.grant_fenced;
    if (IsUsable(range.owner, now) && !fenced) {
      continue;
    }
    if (fenced) {
      // The refusal may be a copy of an earlier answer, and the grant accepted.
      Reassign(service, draft, range, target_life{range.owner});
      changed = true;
      continue;
    }
    if (!usable) {
      usable = BalanceCandidates(service.name, now);
    }
    const balance_target* new_owner =
        LeastLoaded(draft, service.load.steady_rates(), *usable);
    // A restarted target keeps its keys if its new process is already usable.
    for (const balance_target& target : *usable) {
      if (target.life.id == range.owner.id) {
        new_owner = &target;
      }
    }
    if (new_owner == nullptr || new_owner->life == range.owner) {
      continue;
    }
    out.emplace_back(MakeNote(assigner_note::kind::kTargetLost, service, range,
                              range.owner.id));
    Reassign(service, draft, range, new_owner->life);
    changed = true;
  }
  return changed;
}

std::vector<key_move> key_assigner::PlanBalancingMoves(keyed_service& service,
                                                       const key_map& draft,
                                                       time_point now) {
  const std::vector<balance_target> candidates =
      BalanceCandidates(service.name, now);
  balance_limits recent;
  recent.load_time_constant = key_load::kRecentTimeConstant;
  recent.overload_ratio = kRecentOverloadRatio;
  recent.underload_ratio = kRecentUnderloadRatio;
  recent.places_hottest_key = now < service.speeds_known_until;
  std::vector<key_move> moves =
      PlanMoves(draft, service.load.recent_rates(), candidates, recent);
  const bool moving =
      std::any_of(draft.ranges.begin(), draft.ranges.end(),
                  [](const key_range& range) { return !range.granted; });
  if (moves.empty() && !moving &&
      now - service.steady_balanced_at >= kSteadyBalancePeriod) {
    service.steady_balanced_at = now;
    balance_limits steady;
    steady.load_time_constant = key_load::kSteadyTimeConstant;
    steady.overload_ratio = kSteadyOverloadRatio;
    steady.underload_ratio = kSteadyUnderloadRatio;
    moves = PlanMoves(draft, service.load.steady_rates(), candidates, steady);
  }
  return moves;
}

bool key_assigner::BalanceLoad(keyed_service& service, key_map& draft,
                               time_point now, assigner_actions& out) {
  if (now - service.balanced_at < kBalancePeriod ||
      targets_may_be_incomplete_) {
    return false;
  }
  service.balanced_at = now;
  const std::vector<key_move> moves = PlanBalancingMoves(service, draft, now);
  for (const key_move& move : moves) {
    for (key_range& range : SplitAtBounds(draft, move.first, move.last)) {
      if (range.granted) {
        out.emplace_back(MakeNote(assigner_note::kind::kKeysMoving, service,
                                  range, move.new_owner.id));
        Reassign(service, draft, range, move.new_owner);
      }
    }
  }
  return !moves.empty();
}

void key_assigner::OnOwnerSpeeds(const std::string& service,
                                 std::span<const owner_capacity> owners,
                                 time_point now) {
  const auto found = services_.find(service);
  if (found == services_.end() || owners.empty()) {
    return;
  }
  found->second.speeds_known_until = now + kOwnerSpeedsTtl;
  for (const owner_capacity& each : owners) {
    if (target_state* owner = FindTarget(each.owner)) {
      owner->unqueued_latency_us = static_cast<double>(each.work.count());
    }
  }
}

std::set<std::string> key_assigner::UnansweringOwners(
    const std::string& service) const {
  std::set<std::string> silent;
  for (const key_range& range : services_.at(service).map.ranges) {
    const auto owner = targets_.find(LifeKey(range.owner));
    if (range.granted && owner != targets_.end() &&
        owner->second.last_answer_at < acquired_at_) {
      silent.insert(owner->first);
    }
  }
  return silent;
}

std::vector<balance_target> key_assigner::BalanceCandidates(
    const std::string& service, time_point now) const {
  std::vector<const target_state*> usable;
  const std::set<std::string> silent = UnansweringOwners(service);
  for (const auto& [life, state] : targets_) {
    if (state.listed && state.entry.service == service &&
        state.consecutive_failures == 0 && !silent.contains(life) &&
        IsUsable(state.entry.life, now)) {
      usable.push_back(&state);
    }
  }
  // Cold targets would be overloaded by keys, so that they are candidates only
  // if no target is warm: any owner is better than none.
  const auto first_cold = std::partition(
      usable.begin(), usable.end(), [&](const target_state* target) {
        return !target->availability.IsCold(now);
      });
  if (first_cold != usable.begin()) {
    usable.erase(first_cold, usable.end());
  }
  std::vector<balance_target> candidates;
  std::vector<double> latencies_us;
  double latency_sum_us = 0.0;
  const bool knows_speeds = now < services_.at(service).speeds_known_until;
  size_t measured_count = 0;
  for (const target_state* target : usable) {
    candidates.push_back(
        {.life = target->entry.life,
         .capacity = static_cast<double>(target->entry.slots)});
    const auto limit = target_limits_.find(LifeKey(target->entry.life));
    if (limit != target_limits_.end()) {
      candidates.back().max_load = limit->second * kUsedLimitFraction;
    }
    const double latency_us = knows_speeds && target->unqueued_latency_us > 0.0
                                  ? target->unqueued_latency_us
                                  : target->latency_us;
    latencies_us.push_back(latency_us);
    latency_sum_us += latency_us;
    measured_count += latency_us > 0.0 ? 1 : 0;
  }
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (latencies_us[i] > 0.0) {
      const double mean_us =
          latency_sum_us / static_cast<double>(measured_count);
      candidates[i].capacity *=
          std::clamp(mean_us / latencies_us[i], kMinSpeedRatio, kMaxSpeedRatio);
    }
  }
  return candidates;
}

}  // namespace foxtailspread
