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

/// Time limit for the answer to a grant. After it the connection is reset,
/// which discards the data of the order that is still in transit. Targets
/// answer within milliseconds, and network delays add only a few more.
constexpr duration kGrantTimeout{std::chrono::milliseconds{400}};
/// Time limit for the answer to a release. A target answers only after its
/// running requests for the keys have ended.
constexpr duration kReleaseTimeout{std::chrono::milliseconds{3000}};

/// The clock by which a target measures the validity of a grant may run slow by
/// one part in this many (2 %).
constexpr int kTargetClockDriftDivisor = 50;
/// Margin for the transit time of an order and for rounding.
constexpr duration kGrantValidityMargin{std::chrono::milliseconds{150}};

/// Delay before a failed order is sent again.
constexpr duration kOrderRetryDelay{std::chrono::milliseconds{100}};

}  // namespace

std::string_view ToString(order_end outcome) {
  switch (outcome) {
    case order_end::kDone:
      return "done";
    case order_end::kFenced:
      return "fenced";
    case order_end::kRejected:
      return "rejected";
    case order_end::kNoProcess:
      return "no-process";
    case order_end::kNotSent:
      return "not-sent";
    case order_end::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

duration key_assigner::LongestHold() const {
  return settings_.hold + settings_.hold / kTargetClockDriftDivisor +
         kGrantValidityMargin;
}

time_point key_assigner::InheritedUntil() const {
  // Each former lease holder may have sent grants until it stopped.
  time_point last_stop = taken_at_;
  for (const auto& [host, stops_at] : predecessors_) {
    last_stop = std::max(last_stop, stops_at);
  }
  return last_stop + kGrantTimeout + LongestHold();
}

bool key_assigner::IsReleaseProof(const target_life& former,
                                  time_point now) const {
  if (settings_.targets_keep_release_fences) {
    return true;
  }
  const auto found = targets_.find(LifeKey(former));
  return now >= InheritedUntil() &&
         (found == targets_.end() || now >= found->second.unanswered_until);
}

bool key_assigner::IsGrantUnderWay(const target_life& life,
                                   const key_range& range) const {
  const std::string target = LifeKey(life);
  return std::any_of(orders_.begin(), orders_.end(), [&](const auto& entry) {
    const order_context& order = entry.second;
    return order.grant && order.target == target &&
           order.range.second <= range.last && range.first <= order.last;
  });
}

std::string_view key_assigner::WhyFree(const key_range& range,
                                       const transfer& state,
                                       time_point now) const {
  const target_life& former = *range.former;
  if (state.released && IsReleaseProof(former, now)) {
    return "released";
  }
  if (LaterLife(former) == nullptr && IsAddressReused(former)) {
    return "address-reused";
  }
  return now >= HeldUntil(former) ? "grants-expired" : std::string_view{};
}

time_point key_assigner::HeldUntil(const target_life& life) const {
  const time_point inherited = InheritedUntil();
  const auto found = targets_.find(LifeKey(life));
  if (found == targets_.end()) {
    return inherited;
  }
  if (found->second.orders > 0) {
    return time_point::max();
  }
  return std::max(inherited, found->second.held_until);
}

uint64_t key_assigner::Order(keyed_service& service, const key_range& range,
                             bool is_grant, bool is_renewal,
                             const target_life& target,
                             const std::string& handover_token, time_point now,
                             assigner_actions& out) {
  target_state* state = StateOf(target);
  if (state == nullptr) {
    return 0;
  }
  const uint64_t id = ++last_id_;
  const duration timeout = is_grant ? kGrantTimeout : kReleaseTimeout;
  orders_[id] = {.service = service.name,
                 .range = IdOf(range),
                 .last = range.last,
                 .target = LifeKey(target),
                 .grant = is_grant,
                 .renews = is_renewal,
                 .hands_over = range.former == target,
                 .deadline = now + timeout + kOrderRetryDelay};
  state->orders += is_grant ? 1 : 0;
  const bool lease_lapsed = !IsHolder(now);
  out.emplace_back(
      key_order{.id = id,
                .grant = is_grant,
                .target = target,
                .address = state->entry.address,
                .first = range.first,
                .last = range.last,
                .fence = is_grant ? range.fence : range.fence - 1,
                .hold = settings_.hold,
                .handover = handover_token,
                .newest_connection = lease_lapsed ? newest_connection_ : 0});
  return id;
}

bool key_assigner::IsBeingReplaced(const keyed_service& service,
                                   const key_range& range) {
  // The map that is being written may assume that the new owner has not been
  // sent a grant. A grant sent during the write would be missing from the
  // record, and its receiver would never be told to release the keys.
  return service.write &&
         std::none_of(service.draft.ranges.begin(), service.draft.ranges.end(),
                      [&](const key_range& planned) {
                        return IdOf(planned) == IdOf(range);
                      });
}

void key_assigner::Renew(keyed_service& service, const key_range& range,
                         time_point now, assigner_actions& out) {
  renewal& state = service.renewals[IdOf(range)];
  if (state.order != 0 || now < state.due || !IsUsable(range.owner, now)) {
    return;
  }
  state.order = Order(service, range, true, true, range.owner, {}, now, out);
  state.due = now + kGrantRenewalPeriod;
}

void key_assigner::StepRange(keyed_service& service, const key_range& range,
                             time_point now, assigner_actions& out) {
  transfer& state = service.transfers[IdOf(range)];
  if (!range.former) {
    state.let_go = true;
  }
  if (!state.let_go) {
    const std::string_view reason = WhyFree(range, state, now);
    if (!reason.empty()) {
      state.let_go = true;
      assigner_note note = NoteOf(assigner_note::kind::kKeysFree, service,
                                  range, range.former->id);
      note.detail = reason;
      out.emplace_back(std::move(note));
    }
  }
  if (state.confirmed || state.order != 0 || now < state.retry_at) {
    return;
  }
  state.retry_at = now + kOrderRetryDelay;
  if (!state.let_go && state.released) {
    return;
  }
  if (!state.let_go) {
    // Renewals for a process that has ended may have reached the later process
    // at its address, so that the later one must release the keys.
    const target_state* later = LaterLife(*range.former);
    const target_life& holder =
        later == nullptr ? *range.former : later->entry.life;
    if (!settings_.targets_keep_release_fences &&
        IsGrantUnderWay(holder, range)) {
      return;  // The grant might arrive after the release.
    }
    state.order = Order(service, range, false, false, holder, {}, now, out);
  } else if (IsUsable(range.owner, now)) {
    state.offered = true;
    state.order = Order(service, range, true, false, range.owner,
                        state.handover, now, out);
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
    // The grant has arrived by now or never will, and its validity counts from
    // its arrival.
    state.held_until = std::max(state.held_until, now + LongestHold());
    if (report.end == order_end::kUnanswered) {
      state.unanswered_until = state.held_until;
    }
  }
  if (!IsHolder(now)) {
    // Without the lease, orders are restricted to older connections and may
    // fail for lack of one, so that a failure says nothing about the target.
    return;
  }
  newest_connection_ = std::max(newest_connection_, report.connection);
  // A rejected order has reached a process that accepts none, most likely a
  // different one at the target's address, and doesn't prove that the target is
  // alive. If it counted as an answer, a lost target could be assigned more
  // keys, which would then have no owner until its grants expired.
  const bool answered =
      report.end == order_end::kDone || report.end == order_end::kFenced;
  if (answered) {
    state.answered_at = now;
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
  if (report.end != order_end::kDone) {
    ReportFailure(context, report.end, out);
  }
  const auto target = targets_.find(context.target);
  if (target != targets_.end()) {
    NoteOrder(target->second, context, report, now);
  }
  const auto found_service = services_.find(context.service);
  if (found_service == services_.end()) {
    return;
  }
  keyed_service& service = found_service->second;
  if (context.renews) {
    const auto found_renewal = service.renewals.find(context.range);
    if (found_renewal != service.renewals.end()) {
      found_renewal->second.order = 0;
      if (report.end != order_end::kDone) {
        found_renewal->second.due = now + kOrderRetryDelay;
      }
    }
    return;
  }
  const auto found_transfer = service.transfers.find(context.range);
  if (found_transfer == service.transfers.end()) {
    return;
  }
  transfer& state = found_transfer->second;
  state.order = 0;
  if (report.end == order_end::kDone) {
    if (context.grant) {
      state.confirmed = true;
      service.renewals[context.range].due = now + kGrantRenewalPeriod;
    } else {
      state.released = true;
      // Only the former owner itself has state to hand over; a later process
      // has none.
      state.handover = context.hands_over ? report.handover : "";
    }
    state.retry_at = now;
    StepService(service, now, out);
  } else if (report.end == order_end::kFenced) {
    state.fenced = true;
    out.emplace_back(assigner_note{.what = assigner_note::kind::kGrantFenced,
                                   .service = service.name,
                                   .fence = context.range.first});
  }
}

void key_assigner::ReportFailure(const order_context& context,
                                 order_end outcome,
                                 assigner_actions& out) const {
  const std::string_view order_kind = context.renews  ? "renewal: "
                                      : context.grant ? "grant: "
                                                      : "release: ";
  out.emplace_back(assigner_note{
      .what = assigner_note::kind::kOrderFailed,
      .service = context.service,
      .target = context.target,
      .first = context.range.second,
      .last = context.last,
      .fence = context.range.first,
      .detail = std::string{order_kind}.append(ToString(outcome))});
}

void key_assigner::EndLateOrders(time_point now, assigner_actions& out) {
  for (auto it = orders_.begin(); it != orders_.end();) {
    const auto [id, context] = *it++;
    if (now >= context.deadline) {
      out.emplace_back(order_cancel{id});
      OnOrderEnded({.id = id, .end = order_end::kUnanswered}, now, out);
    }
  }
}

}  // namespace foxtailspread
