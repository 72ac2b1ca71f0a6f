#include <algorithm>
#include <utility>

#include "foxtailspread/key_assigner.h"

// Orders to targets: releases, grants, renewals, and what their ends prove.

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

/// A target's clock that measures a hold may run slow by one part in so many.
constexpr int kSlowClockPart = 50;
/// Added for an order's way and for rounding.
constexpr duration kHoldSlack{std::chrono::milliseconds{150}};

/// Pause before an order that failed is sent again.
constexpr duration kOrderRetry{std::chrono::milliseconds{100}};

}  // namespace

std::string_view ToString(order_end end) {
  switch (end) {
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
  return settings_.hold + settings_.hold / kSlowClockPart + kHoldSlack;
}

time_point key_assigner::InheritedUntil() const {
  // Whoever held the lease before may have granted until it stopped.
  time_point stopped = taken_at_;
  for (const auto& [name, at] : predecessors_) {
    stopped = std::max(stopped, at);
  }
  return stopped + kOrderTimeout + LongestHold();
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
  return std::any_of(orders_.begin(), orders_.end(), [&](const auto& each) {
    const order_context& order = each.second;
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
                 .last = range.last,
                 .target = LifeKey(to),
                 .grant = grant,
                 .renews = renews,
                 .hands_over = range.former == to,
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
  if (!state.let_go) {
    const std::string_view why = WhyFree(range, state, now);
    if (!why.empty()) {
      state.let_go = true;
      assigner_note note =
          NoteOf(assigner_note::kind::kKeysFree, of, range, range.former->id);
      note.detail = why;
      out.emplace_back(std::move(note));
    }
  }
  if (state.confirmed || state.order != 0 || now < state.retry_at) {
    return;
  }
  state.retry_at = now + kOrderRetry;
  if (!state.let_go && state.released) {
    return;
  }
  if (!state.let_go) {
    // Renewals that were meant for a process that has ended may have reached
    // the next one at its address: that one has to let go.
    const target_state* later = LaterLife(*range.former);
    const target_life& from =
        later == nullptr ? *range.former : later->entry.life;
    if (!settings_.targets_keep_release_fences &&
        IsGrantUnderWay(from, range)) {
      return;  // It might overtake the release.
    }
    state.order = Order(of, range, false, false, from, {}, now, out);
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
    state.held_until = std::max(state.held_until, now + LongestHold());
    if (report.end == order_end::kUnanswered) {
      state.unanswered_until = state.held_until;
    }
  }
  if (!IsHolder(now)) {
    return;  // It may have gone unsent for want of a connection.
  }
  newest_connection_ = std::max(newest_connection_, report.connection);
  // An order that is rejected has met a process that takes none, most likely
  // another at the target's address. Taken for a sign of life it let a lost
  // target be given more keys, which then waited for its hold to end.
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
      state.released = true;
      // A later process has nothing of the former owner's to hand over.
      state.handover = context.hands_over ? report.handover : "";
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

void key_assigner::ReportFailure(const order_context& context, order_end end,
                                 assigner_actions& out) const {
  const std::string_view kind = context.renews  ? "renewal: "
                                : context.grant ? "grant: "
                                                : "release: ";
  out.emplace_back(
      assigner_note{.what = assigner_note::kind::kOrderFailed,
                    .service = context.service,
                    .target = context.target,
                    .first = context.range.second,
                    .last = context.last,
                    .fence = context.range.first,
                    .detail = std::string{kind}.append(ToString(end))});
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

}  // namespace foxtailspread
