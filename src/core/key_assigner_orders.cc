#include <algorithm>
#include <utility>

#include "foxtailspread/key_assigner.h"

// Sends releases, grants and renewals to targets and derives from their
// outcomes who may still hold which keys.

namespace foxtailspread {
namespace {

/// Time between renewals of a grant. If the lease holder fails, grants stay
/// valid for at least two thirds of their validity, which leaves a successor
/// enough time to take over.
constexpr duration kGrantRenewalPeriod{std::chrono::milliseconds{800}};

/// Time limit for the answer to a grant, which a target gives within
/// milliseconds once it is written. After it the connection is reset.
constexpr duration kGrantTimeout =
    kGrantWriteTimeout + std::chrono::milliseconds{100};
/// Time limit for the answer to a release. A target answers only after its
/// running requests for the keys have ended.
constexpr duration kReleaseTimeout{std::chrono::milliseconds{3100}};

/// The clock by which a target measures the validity of a grant may run slow by
/// one part in this many (2 %).
constexpr int kTargetClockDriftDivisor = 50;
/// Margin for the transit time of an order and for rounding.
constexpr duration kGrantValidityMargin{std::chrono::milliseconds{150}};

/// Delay before a failed order is sent again.
constexpr duration kOrderRetryDelay{std::chrono::milliseconds{100}};

/// A target that was not listed for this time holds no keys: it got no grant
/// since, and those that it had have expired.
constexpr duration kUnlistedHoldTime{std::chrono::seconds{10}};

}  // namespace

std::string_view ToString(order_outcome outcome) {
  switch (outcome) {
    case order_outcome::kDone:
      return "done";
    case order_outcome::kFenced:
      return "fenced";
    case order_outcome::kRejected:
      return "rejected";
    case order_outcome::kNoProcess:
      return "no-process";
    case order_outcome::kNotSent:
      return "not-sent";
    case order_outcome::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

duration key_assigner::MaxGrantValidity() const {
  return settings_.grant_ttl + settings_.grant_ttl / kTargetClockDriftDivisor +
         kGrantValidityMargin;
}

time_point key_assigner::InheritedGrantsExpireAt() const {
  // Each former lease holder may have sent grants until it stopped.
  time_point last_stop = acquired_at_;
  for (const auto& [host, stops_at] : predecessors_) {
    last_stop = std::max(last_stop, stops_at);
  }
  return last_stop + kGrantWriteTimeout + MaxGrantValidity();
}

bool key_assigner::IsReleaseConclusive(const target_life& former,
                                       time_point now) const {
  if (settings_.targets_keep_release_fences) {
    return true;
  }
  const auto found = targets_.find(LifeKey(former));
  return now >= InheritedGrantsExpireAt() &&
         (found == targets_.end() ||
          now >= found->second.unanswered_grants_expire_at);
}

bool key_assigner::IsGrantPending(const target_life& life,
                                  const key_range& range) const {
  const std::string target = LifeKey(life);
  return std::any_of(orders_.begin(), orders_.end(), [&](const auto& entry) {
    const order_context& order = entry.second;
    return order.is_grant && order.target == target &&
           order.range.second <= range.last && range.first <= order.last_key;
  });
}

std::string_view key_assigner::KeysFreeReason(const key_range& range,
                                              const transfer& state,
                                              time_point now) const {
  const target_life& former = *range.former_owner;
  if (state.release_answered && IsReleaseConclusive(former, now)) {
    return "released";
  }
  if (LaterLife(former) == nullptr && IsAddressReused(former)) {
    return "address-reused";
  }
  return now >= GrantsExpireAt(former) ? "grants-expired" : std::string_view{};
}

time_point key_assigner::GrantsExpireAt(const target_life& life) const {
  const time_point inherited = InheritedGrantsExpireAt();
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end()) {
    return inherited;
  }
  if (found->second.pending_grants > 0) {
    return time_point::max();
  }
  return std::max(inherited, found->second.grants_expire_at);
}

uint64_t key_assigner::SendOrder(keyed_service& service, const key_range& range,
                                 bool is_grant, bool is_renewal,
                                 const target_life& target,
                                 const std::string& handover_token,
                                 time_point now, assigner_actions& out) {
  target_state* state = FindTarget(target);
  if (state == nullptr) {
    return 0;
  }
  const uint64_t id = ++last_id_;
  const duration timeout = is_grant ? kGrantTimeout : kReleaseTimeout;
  orders_[id] = {.service = service.name,
                 .range = IdOf(range),
                 .last_key = range.last,
                 .target = LifeKey(target),
                 .is_grant = is_grant,
                 .is_renewal = is_renewal,
                 .is_former_owner = range.former_owner == target,
                 .deadline = now + timeout};
  state->pending_grants += is_grant ? 1 : 0;
  const bool lease_lapsed = !IsHolder(now);
  out.emplace_back(key_order{
      .id = id,
      .is_grant = is_grant,
      .target = target,
      .address = state->entry.address,
      .first = range.first,
      .last = range.last,
      .fence = is_grant ? range.fence : range.fence - 1,
      .grant_ttl = settings_.grant_ttl,
      .handover_token = handover_token,
      .max_connection_number = lease_lapsed ? max_connection_number_ : 0,
      .requires_answered_connection = is_grant});
  return id;
}

bool key_assigner::IsBeingReplaced(const keyed_service& service,
                                   const key_range& range) {
  // The map that is being written may assume that the new owner has not been
  // sent a grant. A grant sent during the write would be missing from the
  // record, and its receiver would never be told to release the keys.
  return service.record_write &&
         std::none_of(service.pending_map.ranges.begin(),
                      service.pending_map.ranges.end(),
                      [&](const key_range& planned) {
                        return IdOf(planned) == IdOf(range);
                      });
}

void key_assigner::RenewGrant(keyed_service& service, const key_range& range,
                              time_point now, assigner_actions& out) {
  renewal_state& state = service.renewals[IdOf(range)];
  if (state.order_id != 0 || now < state.due_at ||
      !IsUsable(range.owner, now)) {
    return;
  }
  state.order_id =
      SendOrder(service, range, true, true, range.owner, {}, now, out);
  state.due_at = now + kGrantRenewalPeriod;
}

void key_assigner::UpdateTransfer(keyed_service& service,
                                  const key_range& range, time_point now,
                                  assigner_actions& out) {
  transfer& state = service.transfers[IdOf(range)];
  if (!TrustsOwners(service) || !HasRecorded(service.map) ||
      (!range.owners_unknown && !KnowsAllGrants(service, now))) {
    return;
  }
  if (!range.former_owner && !range.owners_unknown) {
    state.keys_free = true;
  }
  if (!state.keys_free) {
    std::string_view reason;
    if (!range.owners_unknown) {
      reason = KeysFreeReason(range, state, now);
    } else if (service.barrier.complete) {
      reason = "all-released";
    }
    if (!reason.empty()) {
      state.keys_free = true;
      assigner_note note =
          MakeNote(assigner_note::kind::kKeysFree, service, range,
                   range.former_owner ? range.former_owner->id : std::string{});
      note.detail = reason;
      out.emplace_back(std::move(note));
    }
  }
  if (state.grant_confirmed || state.order_id != 0 || now < state.retry_at ||
      (range.owners_unknown && !state.keys_free)) {
    return;
  }
  state.retry_at = now + kOrderRetryDelay;
  if (!state.keys_free && state.release_answered) {
    return;
  }
  if (!state.keys_free) {
    // Renewals for a process that has ended may have reached the later process
    // at its address, so that the later one must release the keys.
    const target_state* later = LaterLife(*range.former_owner);
    const target_life& holder =
        later == nullptr ? *range.former_owner : later->entry.life;
    if (!settings_.targets_keep_release_fences &&
        IsGrantPending(holder, range)) {
      return;  // The grant might arrive after the release.
    }
    state.order_id =
        SendOrder(service, range, false, false, holder, {}, now, out);
  } else if (IsUsable(range.owner, now)) {
    state.grant_sent = true;
    const auto released =
        range.owners_unknown
            ? service.barrier.releases.find(LifeKey(range.owner))
            : service.barrier.releases.end();
    if (released != service.barrier.releases.end()) {
      state.handover_token = released->second.handover_token;
    }
    state.order_id = SendOrder(service, range, true, false, range.owner,
                               state.handover_token, now, out);
  }
}

bool key_assigner::MayHoldKeys(const target_state& state,
                               const keyed_service& service,
                               time_point now) const {
  return state.entry.service == service.name &&
         !IsKnownDead(state.entry.life) &&
         (state.listed || now - *state.missing_since < kUnlistedHoldTime);
}

time_point key_assigner::AllGrantsExpireAt(const keyed_service& service) const {
  time_point expire_at = InheritedGrantsExpireAt();
  for (const auto& [life, state] : targets_) {
    if (state.entry.service == service.name) {
      expire_at = std::max(expire_at, state.pending_grants > 0
                                          ? time_point::max()
                                          : state.grants_expire_at);
    }
  }
  return expire_at;
}

bool key_assigner::IsBarrierComplete(const keyed_service& service,
                                     time_point now) const {
  if (now >= AllGrantsExpireAt(service)) {
    return true;
  }
  // An answered release proves nothing of grants in transit if targets forget
  // its fence.
  if (!settings_.targets_keep_release_fences || IsTargetListInDoubt(now)) {
    return false;
  }
  return std::all_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const auto found = service.barrier.releases.find(entry.first);
    const bool answered =
        found != service.barrier.releases.end() && found->second.answered;
    return answered || !MayHoldKeys(entry.second, service, now);
  });
}

/// Sends the releases of the barrier that keys wait for, if any do.
void key_assigner::UpdateBarrier(keyed_service& service, time_point now,
                                 assigner_actions& out) {
  fence_number fence = 0;
  for (const key_range& range : service.map.ranges) {
    if (range.owners_unknown && !range.granted) {
      fence = std::max(fence, range.fence);
    }
  }
  if (fence == 0) {
    service.barrier = {};
    return;
  }
  if (fence != service.barrier.fence) {
    service.barrier = {.fence = fence, .complete = false, .releases = {}};
  }
  if (service.barrier.complete) {
    return;
  }
  const key_range all_keys{.fence = fence};
  for (const auto& [life, state] : targets_) {
    if (!MayHoldKeys(state, service, now)) {
      continue;
    }
    auto& release = service.barrier.releases[life];
    if (release.answered || release.order_id != 0 || now < release.retry_at) {
      continue;
    }
    release.order_id = SendOrder(service, all_keys, false, false,
                                 state.entry.life, {}, now, out);
    orders_[release.order_id].is_barrier = true;
  }
  service.barrier.complete = IsBarrierComplete(service, now);
  service.passed_barrier = service.passed_barrier || service.barrier.complete;
}

void key_assigner::OnBarrierRelease(keyed_service& service,
                                    const order_context& context,
                                    const order_report& report,
                                    time_point now) {
  const auto found = service.barrier.releases.find(context.target);
  if (found == service.barrier.releases.end() ||
      found->second.order_id != report.id) {
    return;
  }
  found->second.order_id = 0;
  found->second.answered = report.outcome == order_outcome::kDone;
  found->second.handover_token = report.handover_token;
  found->second.retry_at = now + kOrderRetryDelay;
}

void key_assigner::RecordOrderOutcome(target_state& state,
                                      const order_context& context,
                                      const order_report& report,
                                      time_point now) {
  const bool reached = report.outcome != order_outcome::kNoProcess &&
                       report.outcome != order_outcome::kNotSent;
  if (context.is_grant) {
    state.pending_grants = std::max(state.pending_grants - 1, 0);
  }
  if (context.is_grant && reached) {
    // A refusal may be a copy of an earlier answer. The target reads from the
    // connection on which the grant was written, so that it has taken the grant
    // by now or never will.
    state.grants_expire_at =
        std::max(state.grants_expire_at, now + MaxGrantValidity());
    if (report.outcome == order_outcome::kUnanswered) {
      state.unanswered_grants_expire_at = state.grants_expire_at;
    }
  }
  if (!IsHolder(now)) {
    // Without the lease, orders are restricted to older connections and may
    // fail for lack of one, so that a failure says nothing about the target.
    return;
  }
  max_connection_number_ =
      std::max(max_connection_number_, report.connection_number);
  // A rejected order has reached a process that accepts none, most likely a
  // different one at the target's address, and doesn't prove that the target is
  // alive. If it counted as an answer, a lost target could be assigned more
  // keys, which would then have no owner until its grants expired.
  const bool answered = report.outcome == order_outcome::kDone ||
                        report.outcome == order_outcome::kFenced;
  if (answered) {
    state.last_answer_at = now;
    state.consecutive_failures = 0;
  } else if (state.consecutive_failures++ == 0) {
    state.failing_since = now;
    state.sequence_at_failure = state.entry.sequence;
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
  if (report.outcome != order_outcome::kDone) {
    NoteOrderFailure(context, report.outcome, out);
  }
  const auto target = targets_.find(context.target);
  if (target != targets_.end()) {
    RecordOrderOutcome(target->second, context, report, now);
  }
  const auto found_service = services_.find(context.service);
  if (found_service == services_.end()) {
    return;
  }
  keyed_service& service = found_service->second;
  if (context.is_barrier) {
    OnBarrierRelease(service, context, report, now);
    UpdateSoon(service, now, out);
    return;
  }
  if (context.is_renewal) {
    const auto found_renewal = service.renewals.find(context.range);
    if (found_renewal != service.renewals.end()) {
      found_renewal->second.order_id = 0;
      if (report.outcome == order_outcome::kFenced) {
        OnRenewalFenced(service, now);
      } else if (report.outcome != order_outcome::kDone) {
        found_renewal->second.due_at = now + kOrderRetryDelay;
      }
    }
    return;
  }
  const auto found_transfer = service.transfers.find(context.range);
  if (found_transfer == service.transfers.end()) {
    return;
  }
  transfer& state = found_transfer->second;
  state.order_id = 0;
  if (report.outcome == order_outcome::kDone) {
    if (context.is_grant) {
      state.grant_confirmed = true;
      service.renewals[context.range].due_at = now + kGrantRenewalPeriod;
    } else {
      state.release_answered = true;
      // Only the former owner itself has state to hand over; a later process
      // has none.
      state.handover_token =
          context.is_former_owner ? report.handover_token : "";
    }
    state.retry_at = now;
    UpdateRangeSoon(service, context.range, now, out);
  } else if (context.is_grant && report.outcome == order_outcome::kFenced) {
    state.grant_fenced = true;
    out.emplace_back(
        assigner_note{.note_kind = assigner_note::kind::kGrantFenced,
                      .service = service.name,
                      .fence = context.range.first});
  }
}

/// Another lease holder has given the keys to somebody else. In an era whose
/// holders are not all known, that one may know of more.
void key_assigner::OnRenewalFenced(keyed_service& service,
                                   time_point now) const {
  service.distrusted = service.distrusted || !KnowsAllGrants(service, now);
}

void key_assigner::NoteOrderFailure(const order_context& context,
                                    order_outcome outcome,
                                    assigner_actions& out) const {
  const std::string_view order_kind = context.is_renewal ? "renewal: "
                                      : context.is_grant ? "grant: "
                                                         : "release: ";
  out.emplace_back(assigner_note{
      .note_kind = assigner_note::kind::kOrderFailed,
      .service = context.service,
      .target = context.target,
      .first = context.range.second,
      .last = context.last_key,
      .fence = context.range.first,
      .detail = std::string{order_kind}.append(ToString(outcome))});
}

void key_assigner::CancelOverdueOrders(time_point now, assigner_actions& out) {
  for (auto it = orders_.begin(); it != orders_.end();) {
    const auto [id, context] = *it++;
    if (now >= context.deadline) {
      out.emplace_back(order_cancel{id});
      OnOrderEnded({.id = id, .outcome = order_outcome::kUnanswered}, now, out);
    }
  }
}

}  // namespace foxtailspread
