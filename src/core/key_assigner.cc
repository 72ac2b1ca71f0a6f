#include "foxtailspread/key_assigner.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/hash.h"

namespace foxtailspread {
namespace {

/// How often a grant is renewed. A holder that is lost leaves its targets at
/// least two thirds of the hold, time enough for a successor.
constexpr duration kRenewGrant{std::chrono::milliseconds{800}};

/// How long a grant may take to be answered; the connection is reset then, and
/// with it goes what the network still holds of the order. Targets answer in
/// milliseconds, and none is further away than some more.
constexpr duration kOrderTimeout{std::chrono::milliseconds{400}};
/// A release is answered when the target's running work on the keys ends.
constexpr duration kReleaseTimeout{std::chrono::milliseconds{3000}};

/// Orders in a row that failed before a target counts as lost and its keys are
/// given to others, once its hold has ended. One alone may have met a
/// connection that had ended.
constexpr int kFailedOrders = 2;
/// A target that failed orders is given keys again so long after, if it has
/// reported to the store meanwhile.
constexpr duration kFailingFor{std::chrono::seconds{2}};

/// A target's clock that measures a hold may run slow by one part in so many.
constexpr int kSlowClockPart = 50;
/// Added for an order's way and for rounding.
constexpr duration kHoldSlack{std::chrono::milliseconds{150}};

/// Pause before an order that failed is sent again.
constexpr duration kOrderRetry{std::chrono::milliseconds{100}};

/// While the store was away of late a missing target may be back: its entry
/// lapsed although it lives.
constexpr duration kMissingGrace{std::chrono::milliseconds{2300}};

/// How often load is averaged and moves are planned.
constexpr duration kBalanceEvery{std::chrono::milliseconds{500}};
/// Weights of the newest half second in the two running means of load. The
/// quick one finds keys that have become hot within a second; the steady one
/// evens out what is left without taking chance for a difference.
constexpr double kRecentWeight = 0.5;
constexpr double kSteadyWeight = 0.1;
/// How uneven the recent load must be for moves at once.
constexpr double kHotOverload = 1.7;
constexpr double kHotUnderload = 0.25;
constexpr size_t kHotMoves = 12;
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

key_assigner::key_assigner(assigner_settings settings)
    : settings_(std::move(settings)) {}

std::string key_assigner::MapName(std::string_view service) {
  return "keys." + std::string{service};
}

std::string key_assigner::LifeKey(const target_life& life) {
  return life.id + "@" + std::to_string(life.started);
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

void key_assigner::OnOwners(const owners_record& record) {
  const auto found = services_.find(record.service);
  if (found == services_.end() || record.revision <= found->second.revision) {
    return;
  }
  auto map = ParseKeyMap(record.content);
  if (map) {
    found->second.map = std::move(map.value());
    found->second.revision = record.revision;
  }
}

uint64_t key_assigner::OwnersDigest() const {
  uint64_t digest = HashParts({lease_ ? lease_->host : std::string{}}, 0);
  for (const auto& [name, each] : services_) {
    digest += HashParts({name}, each.revision);
  }
  return digest;
}

void key_assigner::OnObjects(const own_objects& objects, time_point now) {
  if (!objects_read_) {
    objects_read_ = true;
    objects_read_at_ = now;
  }
  const auto lease = objects.find(std::string{kLeaseName});
  if (lease != objects.end() && lease->second.revision > lease_revision_) {
    const auto parsed = ParseLease(lease->second.item.value_or(""));
    lease_revision_ = lease->second.revision;
    lease_seen_at_ = now;
    // A lease that cannot be read names no holder; it is taken over when it
    // has stood still for as long as any other.
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
    }
  }
}

void key_assigner::OnStoreAnswers(bool answers, time_point now) {
  if (answers && !store_answers_) {
    // Nothing was seen while the store was away: the lease may have been
    // renewed all the time.
    lease_seen_at_ = std::max(lease_seen_at_, now);
  }
  store_answers_ = answers;
}

void key_assigner::OnServices(const std::vector<service_settings>& services) {
  services_known_ = true;
  std::set<std::string> keyed;
  for (const service_settings& each : services) {
    if (each.keyed) {
      keyed.insert(each.name);
      services_[each.name].name = each.name;
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
    target_state& state = targets_[LifeKey(entry.life)];
    state.entry = entry;
    state.listed = true;
    state.missing_since.reset();
  }
  for (auto& [life, state] : targets_) {
    if (!state.listed && !state.missing_since) {
      state.missing_since = now;
    }
  }
}

bool key_assigner::IsKnownDead(const target_life& life) const {
  // Another life under the same id: this one has ended. A refused connection
  // proves nothing: some partitions answer in the target's place, and a target
  // behind one goes on serving those on its side.
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
    const target_life& other = each.second.entry.life;
    return each.second.listed && other.id == life.id &&
           other.started > life.started;
  });
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
  if (state.entry.draining || IsFailing(state, now) || IsKnownDead(life)) {
    return false;
  }
  return state.listed ||
         (doubtful_ && now - *state.missing_since < kMissingGrace);
}

time_point key_assigner::HeldUntil(const target_life& life) const {
  const duration longest =
      settings_.hold + settings_.hold / kSlowClockPart + kHoldSlack;
  // Whoever held the lease before may have granted until it stopped.
  time_point stopped = taken_at_;
  for (const auto& [name, known] : predecessors_) {
    stopped = std::max(stopped, StoppedAt(name));
  }
  stopped += kOrderTimeout;
  const time_point inherited = stopped + longest;
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end()) {
    return inherited;
  }
  if (found->second.orders > 0) {
    return time_point::max();
  }
  return std::max(inherited, found->second.held_until);
}

std::vector<balance_target> key_assigner::Candidates(const std::string& service,
                                                     time_point now) const {
  std::vector<balance_target> found;
  std::vector<double> latencies;
  double sum = 0.0;
  size_t known = 0;
  for (const auto& [life, state] : targets_) {
    if (state.listed && state.entry.service == service &&
        state.failed_orders == 0 && IsUsable(state.entry.life, now)) {
      found.push_back({.life = state.entry.life,
                       .capacity = static_cast<double>(state.entry.slots)});
      latencies.push_back(state.latency_us);
      sum += state.latency_us;
      known += state.latency_us > 0.0 ? 1 : 0;
    }
  }
  for (size_t i = 0; i < found.size(); ++i) {
    if (latencies[i] > 0.0) {
      const double mean = sum / static_cast<double>(known);
      found[i].capacity *= std::clamp(mean / latencies[i], kSlowest, kFastest);
    }
  }
  return found;
}

void key_assigner::OnTime(time_point now, assigner_actions& out) {
  StepLease(now, out);
  const bool holds = was_holder_ && IsHolder(now) && synced_since_taken_;
  if (!holds && now >= keeping_until_) {
    return;
  }
  EndLateOrders(now, out);
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

void key_assigner::EndLateOrders(time_point now, assigner_actions& out) {
  for (auto each = orders_.begin(); each != orders_.end();) {
    const auto [id, context] = *each++;
    if (now >= context.deadline) {
      out.emplace_back(order_cancel{id});
      OnOrderEnded({.id = id, .end = order_end::kUnanswered}, now, out);
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
  CountLoad(of, now);
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
    of.write = pending_write{.name = MapName(of.name),
                             .content = FormatKeyMap(draft),
                             .expected = of.revision,
                             .first_sent = now};
    Send(*of.write, now, out);
  }
}

bool key_assigner::IsBeingReplaced(const keyed_service& of,
                                   const key_range& range) {
  // The plan that is being written may rest on the new owner not having been
  // offered the keys. An offer sent meanwhile would be known to nobody.
  return of.write &&
         std::none_of(of.draft.ranges.begin(), of.draft.ranges.end(),
                      [&](const key_range& planned) {
                        return IdOf(planned) == IdOf(range);
                      });
}

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
    out.emplace_back(assigner_note{.what = assigner_note::kind::kKeysGranted,
                                   .service = of.name,
                                   .target = range.owner.id,
                                   .first = range.first,
                                   .last = range.last,
                                   .fence = range.fence});
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
    const auto candidates = Candidates(of.name, now);
    const balance_target* to = LeastLoaded(draft, of.loads, candidates);
    // The same target in a new life keeps its keys, if it is there already.
    for (const balance_target& each : candidates) {
      if (each.life.id == range.owner.id) {
        to = &each;
      }
    }
    if (to == nullptr || to->life == range.owner) {
      continue;
    }
    out.emplace_back(assigner_note{.what = assigner_note::kind::kTargetLost,
                                   .service = of.name,
                                   .target = range.owner.id,
                                   .first = range.first,
                                   .last = range.last,
                                   .fence = range.fence});
    Reassign(of, draft, range, to->life);
    changed = true;
  }
  return changed;
}

void key_assigner::CountLoad(keyed_service& of, time_point now) {
  if (of.counted_from == time_point{}) {
    of.counted_from = now;
  }
  const duration passed = now - of.counted_from;
  if (passed < kBalanceEvery) {
    return;
  }
  const double seconds = std::chrono::duration<double>(passed).count();
  of.recent_loads.resize(kKeyCells, 0.0);
  of.loads.resize(kKeyCells, 0.0);
  of.counts.resize(kKeyCells, 0);
  for (size_t cell = 0; cell < kKeyCells; ++cell) {
    const double rate = of.counts[cell] / seconds;
    of.recent_loads[cell] += kRecentWeight * (rate - of.recent_loads[cell]);
    of.loads[cell] += kSteadyWeight * (rate - of.loads[cell]);
    of.counts[cell] = 0;
  }
  of.counted_from = now;
}

std::vector<key_move> key_assigner::PlanBalance(keyed_service& of,
                                                const key_map& draft,
                                                time_point now) {
  const std::vector<balance_target> candidates = Candidates(of.name, now);
  balance_limits hot;
  hot.max_moves = kHotMoves;
  hot.overload = kHotOverload;
  hot.underload = kHotUnderload;
  std::vector<key_move> moves =
      PlanMoves(draft, of.recent_loads, candidates, hot);
  const bool moving =
      std::any_of(draft.ranges.begin(), draft.ranges.end(),
                  [](const key_range& range) { return !range.granted; });
  if (moves.empty() && !moving && now - of.refined_at >= kRefineEvery) {
    of.refined_at = now;
    balance_limits steady;
    steady.overload = kSteadyOverload;
    steady.underload = kSteadyUnderload;
    moves = PlanMoves(draft, of.loads, candidates, steady);
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
    CutBefore(draft, move.first);
    if (move.last != kLastKey) {
      CutBefore(draft, static_cast<key_point>(move.last + 1));
    }
    for (key_range& range : draft.ranges) {
      const bool inside = move.first <= range.first && range.last <= move.last;
      if (inside && range.granted) {
        out.emplace_back(assigner_note{.what = assigner_note::kind::kKeysMoving,
                                       .service = of.name,
                                       .target = move.to.id,
                                       .first = range.first,
                                       .last = range.last,
                                       .fence = range.fence});
        Reassign(of, draft, range, move.to);
      }
    }
  }
  return !moves.empty();
}

void key_assigner::OnMapWritten(keyed_service& of, const write_report& report,
                                time_point now, assigner_actions& out) {
  of.write->in_flight = false;
  const bool done = report.end == write_end::kWritten ||
                    (report.end == write_end::kConflict &&
                     report.content == of.write->content);
  if (done) {
    of.map = std::move(of.draft);
    of.revision = std::max(of.revision, report.revision);
    share_action share{.record = {.service = of.name,
                                  .revision = of.revision,
                                  .content = std::move(of.write->content)}};
    for (const auto& [name, host] : hosts_seen_) {
      if (name != settings_.host) {
        share.addresses.push_back(host.address);
      }
    }
    out.emplace_back(std::move(share));
    of.write.reset();
    for (const key_range& range : of.map.ranges) {
      const bool added = !of.transfers.contains(IdOf(range));
      if (!range.granted && added) {
        of.transfers[IdOf(range)].inherited = false;
      }
    }
    StepService(of, now, out);
  } else if (report.end == write_end::kConflict) {
    // Another holder has written: the lease is lost, or will be found so.
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

uint64_t key_assigner::Order(keyed_service& of, const key_range& range,
                             bool grant, bool renews, const target_life& to,
                             const std::string& handover, time_point now,
                             assigner_actions& out) {
  target_state* state = StateOf(to);
  if (state == nullptr) {
    return 0;
  }
  const uint64_t id = ++last_id_;
  const duration timeout = grant ? kOrderTimeout : kReleaseTimeout;
  orders_[id] = {.service = of.name,
                 .range = IdOf(range),
                 .target = LifeKey(to),
                 .grant = grant,
                 .renews = renews,
                 .deadline = now + timeout + kOrderRetry};
  state->orders += grant ? 1 : 0;
  const bool lapsed = !IsHolder(now);
  out.emplace_back(
      key_order{.id = id,
                .grant = grant,
                .target = to,
                .address = state->entry.address,
                .first = range.first,
                .last = range.last,
                .fence = grant ? range.fence : range.fence - 1,
                .hold = settings_.hold,
                .handover = handover,
                .newest_connection = lapsed ? newest_connection_ : 0});
  return id;
}

void key_assigner::Renew(keyed_service& of, const key_range& range,
                         time_point now, assigner_actions& out) {
  renewal& state = of.renewals[IdOf(range)];
  if (state.order != 0 || now < state.due || !IsUsable(range.owner, now)) {
    return;
  }
  state.order = Order(of, range, true, true, range.owner, {}, now, out);
  state.due = now + kRenewGrant;
}

void key_assigner::StepRange(keyed_service& of, const key_range& range,
                             time_point now, assigner_actions& out) {
  transfer& state = of.transfers[IdOf(range)];
  if (!range.former) {
    state.let_go = true;
  }
  if (!state.let_go &&
      (IsKnownDead(*range.former) || now >= HeldUntil(*range.former))) {
    state.let_go = true;
  }
  if (state.confirmed || state.order != 0 || now < state.retry_at) {
    return;
  }
  state.retry_at = now + kOrderRetry;
  if (!state.let_go) {
    state.order = Order(of, range, false, false, *range.former, {}, now, out);
  } else if (IsUsable(range.owner, now)) {
    state.offered = true;
    state.order =
        Order(of, range, true, false, range.owner, state.handover, now, out);
  }
}

void key_assigner::NoteOrder(target_state& state, const order_context& context,
                             const order_report& report, time_point now) {
  const bool reached =
      report.end != order_end::kNoProcess && report.end != order_end::kNotSent;
  if (context.grant) {
    state.orders = std::max(state.orders - 1, 0);
  }
  if (context.grant && reached && report.end != order_end::kFenced) {
    // It arrived by now, or never will; its hold counts from its arrival.
    const duration longest =
        settings_.hold + settings_.hold / kSlowClockPart + kHoldSlack;
    state.held_until = std::max(state.held_until, now + longest);
  }
  if (!IsHolder(now)) {
    return;  // It may have gone unsent for want of a connection.
  }
  newest_connection_ = std::max(newest_connection_, report.connection);
  const bool answered = reached && report.end != order_end::kUnanswered;
  if (answered) {
    state.failed_orders = 0;
  } else if (state.failed_orders++ == 0) {
    state.failing_since = now;
    state.failed_sequence = state.entry.sequence;
  }
}

void key_assigner::OnOrderEnded(const order_report& report, time_point now,
                                assigner_actions& out) {
  const auto found = orders_.find(report.id);
  if (found == orders_.end()) {
    return;
  }
  const order_context context = found->second;
  orders_.erase(found);
  const auto target = targets_.find(context.target);
  if (target != targets_.end()) {
    NoteOrder(target->second, context, report, now);
  }
  const auto service = services_.find(context.service);
  if (service == services_.end()) {
    return;
  }
  keyed_service& of = service->second;
  if (context.renews) {
    const auto renewed = of.renewals.find(context.range);
    if (renewed != of.renewals.end()) {
      renewed->second.order = 0;
      if (report.end != order_end::kDone) {
        renewed->second.due = now + kOrderRetry;
      }
    }
    return;
  }
  const auto moved = of.transfers.find(context.range);
  if (moved == of.transfers.end()) {
    return;
  }
  transfer& state = moved->second;
  state.order = 0;
  if (report.end == order_end::kDone) {
    if (context.grant) {
      state.confirmed = true;
      of.renewals[context.range].due = now + kRenewGrant;
    } else {
      state.let_go = true;
      state.handover = report.handover;
    }
    state.retry_at = now;
    StepService(of, now, out);
  } else if (report.end == order_end::kFenced) {
    state.fenced = true;
    out.emplace_back(assigner_note{.what = assigner_note::kind::kGrantFenced,
                                   .service = of.name,
                                   .fence = context.range.first});
  }
}

}  // namespace foxtailspread
