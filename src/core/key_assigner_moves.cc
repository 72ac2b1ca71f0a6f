#include <algorithm>
#include <utility>

#include "foxtailspread/key_assigner.h"

// Which keys change hands: those of lost targets, those that overload their
// owner, and the first deal.

namespace foxtailspread {
namespace {

/// How often moves are planned.
constexpr duration kBalanceEvery{std::chrono::milliseconds{250}};
/// How uneven the recent load must be for moves at once.
constexpr double kHotOverload = 1.7;
constexpr double kHotUnderload = 0.25;
/// How uneven the steady load must be. Forty requests of a target, some four
/// seconds' worth, differ by a sixth by chance alone.
constexpr double kSteadyOverload = 1.4;
constexpr double kSteadyUnderload = 0.5;
/// How often the steady load is evened out.
constexpr duration kRefineEvery{std::chrono::seconds{2}};

/// The bounds of a target's speed against the others'. A mean latency tells of
/// its queue as well as of its speed; the bounds keep that from running away.
constexpr double kSlowest = 0.4;
constexpr double kFastest = 2.5;

/// How long after the start the first targets are waited for, so that the
/// first map deals keys to all of them and not to those seen first.
constexpr duration kFirstDealAfter{std::chrono::milliseconds{1500}};

}  // namespace

bool key_assigner::PlanChanges(keyed_service& of, key_map& draft,
                               time_point now, assigner_actions& out) {
  if (draft.ranges.empty()) {
    const auto candidates = Candidates(of.name, now);
    if (candidates.empty() || now < taken_at_ + kFirstDealAfter) {
      return false;
    }
    draft = DealKeys(candidates, draft.last_fence + 1);
    return true;
  }
  const bool confirmed = ConfirmGrants(of, draft, out);
  const bool replaced = ReplaceOwners(of, draft, now, out);
  if (confirmed || replaced) {
    return true;
  }
  return Balance(of, draft, now, out);
}

assigner_note key_assigner::NoteOf(assigner_note::kind what,
                                   const keyed_service& of,
                                   const key_range& range,
                                   const std::string& target) {
  return {.what = what,
          .service = of.name,
          .target = target,
          .first = range.first,
          .last = range.last,
          .fence = range.fence};
}

bool key_assigner::ConfirmGrants(keyed_service& of, key_map& draft,
                                 assigner_actions& out) {
  bool changed = false;
  for (key_range& range : draft.ranges) {
    const auto found = of.transfers.find(IdOf(range));
    if (range.granted || found == of.transfers.end() ||
        !found->second.confirmed) {
      continue;
    }
    range.granted = true;
    range.former.reset();
    changed = true;
    out.emplace_back(
        NoteOf(assigner_note::kind::kKeysGranted, of, range, range.owner.id));
  }
  return changed;
}

void key_assigner::Reassign(keyed_service& of, key_map& draft, key_range& range,
                            const target_life& to) {
  const auto found = of.transfers.find(IdOf(range));
  const bool offered = range.granted || found == of.transfers.end() ||
                       found->second.offered || found->second.inherited;
  range.former = offered ? std::optional{range.owner} : std::nullopt;
  range.owner = to;
  range.granted = false;
  // Two numbers: one for the release, which must be above what the former
  // owner has seen, so that a late renewal is refused; one for the grant.
  draft.last_fence += 2;
  range.fence = draft.last_fence;
}

bool key_assigner::ReplaceOwners(keyed_service& of, key_map& draft,
                                 time_point now, assigner_actions& out) {
  bool changed = false;
  // Worked out when first needed: most rounds replace no owner.
  std::optional<std::vector<balance_target>> usable;
  for (key_range& range : draft.ranges) {
    const auto under_way = of.transfers.find(IdOf(range));
    const bool known = under_way != of.transfers.end();
    if (!range.granted && known && !under_way->second.let_go) {
      continue;  // The owner before may hold the keys; first it lets go.
    }
    const bool fenced = known && under_way->second.fenced;
    if (IsUsable(range.owner, now) && !fenced) {
      continue;
    }
    if (fenced) {
      draft.last_fence += 2;
      range.fence = draft.last_fence;
      range.former.reset();
      range.granted = false;
      changed = true;
      continue;
    }
    if (!usable) {
      usable = Candidates(of.name, now);
    }
    const balance_target* to = LeastLoaded(draft, of.load.steady(), *usable);
    // The same target in a new life keeps its keys, if it is there already.
    for (const balance_target& each : *usable) {
      if (each.life.id == range.owner.id) {
        to = &each;
      }
    }
    if (to == nullptr || to->life == range.owner) {
      continue;
    }
    out.emplace_back(
        NoteOf(assigner_note::kind::kTargetLost, of, range, range.owner.id));
    Reassign(of, draft, range, to->life);
    changed = true;
  }
  return changed;
}

std::vector<key_move> key_assigner::PlanBalance(keyed_service& of,
                                                const key_map& draft,
                                                time_point now) {
  const std::vector<balance_target> candidates = Candidates(of.name, now);
  balance_limits hot;
  hot.averaged = key_load::kRecentTime;
  hot.overload = kHotOverload;
  hot.underload = kHotUnderload;
  std::vector<key_move> moves =
      PlanMoves(draft, of.load.recent(), candidates, hot);
  const bool moving =
      std::any_of(draft.ranges.begin(), draft.ranges.end(),
                  [](const key_range& range) { return !range.granted; });
  if (moves.empty() && !moving && now - of.refined_at >= kRefineEvery) {
    of.refined_at = now;
    balance_limits steady;
    steady.averaged = key_load::kSteadyTime;
    steady.overload = kSteadyOverload;
    steady.underload = kSteadyUnderload;
    moves = PlanMoves(draft, of.load.steady(), candidates, steady);
  }
  return moves;
}

bool key_assigner::Balance(keyed_service& of, key_map& draft, time_point now,
                           assigner_actions& out) {
  if (now - of.balanced_at < kBalanceEvery || doubtful_) {
    return false;
  }
  of.balanced_at = now;
  const std::vector<key_move> moves = PlanBalance(of, draft, now);
  for (const key_move& move : moves) {
    for (key_range& range : CutOut(draft, move.first, move.last)) {
      if (range.granted) {
        out.emplace_back(
            NoteOf(assigner_note::kind::kKeysMoving, of, range, move.to.id));
        Reassign(of, draft, range, move.to);
      }
    }
  }
  return !moves.empty();
}

std::set<std::string> key_assigner::SilentOwners(
    const std::string& service) const {
  std::set<std::string> silent;
  for (const key_range& range : services_.at(service).map.ranges) {
    const auto owner = targets_.find(LifeKey(range.owner));
    if (range.granted && owner != targets_.end() &&
        owner->second.answered_at < taken_at_) {
      silent.insert(owner->first);
    }
  }
  return silent;
}

std::vector<balance_target> key_assigner::Candidates(const std::string& service,
                                                     time_point now) const {
  std::vector<const target_state*> usable;
  const std::set<std::string> silent = SilentOwners(service);
  for (const auto& [life, state] : targets_) {
    if (state.listed && state.entry.service == service &&
        state.failed_orders == 0 && !silent.contains(life) &&
        IsUsable(state.entry.life, now)) {
      usable.push_back(&state);
    }
  }
  // Keys that would overload a cold target are better served elsewhere; but any
  // owner is better than none.
  const auto warm = std::partition(usable.begin(), usable.end(),
                                   [&](const target_state* each) {
                                     return !each->availability.IsCold(now);
                                   });
  if (warm != usable.begin()) {
    usable.erase(warm, usable.end());
  }
  std::vector<balance_target> found;
  std::vector<double> latencies;
  double sum = 0.0;
  size_t known = 0;
  for (const target_state* each : usable) {
    found.push_back({.life = each->entry.life,
                     .capacity = static_cast<double>(each->entry.slots)});
    latencies.push_back(each->latency_us);
    sum += each->latency_us;
    known += each->latency_us > 0.0 ? 1 : 0;
  }
  for (size_t i = 0; i < found.size(); ++i) {
    if (latencies[i] > 0.0) {
      const double mean = sum / static_cast<double>(known);
      found[i].capacity *= std::clamp(mean / latencies[i], kSlowest, kFastest);
    }
  }
  return found;
}

}  // namespace foxtailspread
