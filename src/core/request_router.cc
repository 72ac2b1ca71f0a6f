#include "foxtailspread/request_router.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Timeout of a request whose caller states none.
constexpr duration kDefaultCallerTimeout{std::chrono::seconds{30}};

/// Delays before a request is sent to the same owner again.
constexpr duration kDelayAfterShed{std::chrono::milliseconds{40}};
constexpr duration kDelayAfterMisdirected{std::chrono::milliseconds{60}};

/// Number of sends to unreachable targets after which a request is refused.
constexpr int kMaxUnreachableSends = 3;

/// Weight of one attempt in the moving average of the fraction of attempts that
/// are shed, and the fraction above which a service counts as full: retries
/// would only add to its load.
constexpr double kShedWeight = 0.05;
constexpr double kMaxShedFraction = 0.5;

}  // namespace

std::string_view ToString(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kConfigInDoubt:
      return "config-in-doubt";
    case refusal_reason::kNoConfig:
      return "no-config";
    case refusal_reason::kNoRoute:
      return "no-route";
    case refusal_reason::kNoTarget:
      return "no-target";
    case refusal_reason::kNoWarmTarget:
      return "no-warm-target";
    case refusal_reason::kNoOwner:
      return "no-owner";
    case refusal_reason::kQueueFull:
      return "queue-full";
    case refusal_reason::kWaitedTooLong:
      return "waited-too-long";
    case refusal_reason::kTargetShed:
      return "target-shed";
    case refusal_reason::kNoRetryLeft:
      return "no-retry-left";
    case refusal_reason::kTargetBroke:
      return "target-broke";
    case refusal_reason::kDeadline:
      return "deadline";
    case refusal_reason::kStopping:
      return "stopping";
    case refusal_reason::kCrashesTargets:
      return "crashes-targets";
    case refusal_reason::kTargetLimited:
      return "target-limited";
    case refusal_reason::kTargetBackoff:
      return "target-backoff";
    case refusal_reason::kTargetsUnreachable:
      return "targets-unreachable";
    case refusal_reason::kOwnerBusy:
      return "owner-busy";
    case refusal_reason::kKeyThrottled:
      return "key-throttled";
    case refusal_reason::kNoDescriptor:
      return "no-descriptor";
  }
  return "unknown";
}

request_router::request_router(router_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<uint32_t>(settings_.seed | 1U)),
      crashes_(settings_.target_heartbeat) {}

request_router::~request_router() {
  for (auto& [name, service_state] : services_) {
    service_state->queue.Clear();
  }
  for (auto& [id, pending_request] : requests_) {
    if (pending_request->queue_owner) {
      pending_request->queue_owner->queue.Clear();
    }
  }
}

request_router::service& request_router::FindOrAddService(
    const std::string& name) {
  auto& found = services_[name];
  if (!found) {
    found = std::make_unique<service>(name, settings_.retries);
    found->budget.SetHostCount(host_count_);
    found->throttles = throttle_gate{settings_.seed};
  }
  return *found;
}

void request_router::OnRequest(const incoming_request& incoming, time_point now,
                               router_actions& out) {
  ++counts_.requests;
  const route* matched_route =
      table_ ? table_->FindRoute(incoming.host, incoming.path) : nullptr;
  if (matched_route == nullptr || matched_route->services.empty()) {
    const auto reason = !table_            ? refusal_reason::kNoConfig
                        : config_in_doubt_ ? refusal_reason::kConfigInDoubt
                                           : refusal_reason::kNoRoute;
    // Without the newest configuration the route may exist, so that callers are
    // asked to retry.
    const bool is_known = reason == refusal_reason::kNoRoute;
    local_reply_action refusal{.id = incoming.id, .reason = reason};
    refusal.reply = is_known ? local_reply::kNoRoute : local_reply::kNotRun;
    if (!is_known) {
      refusal.retry_after = std::chrono::milliseconds{300};
    }
    out.emplace_back(std::move(refusal));
    return;
  }
  auto new_request = std::make_unique<request>();
  new_request->id = incoming.id;
  new_request->table = table_;
  new_request->matched_route = matched_route;
  new_request->key = incoming.key;
  new_request->content_hash = incoming.content_hash;
  new_request->body_bytes = incoming.body_bytes;
  new_request->relayed_attempts = incoming.relayed_attempts;
  new_request->arrival_time = now;
  const duration caller_timeout =
      incoming.caller_timeout.value_or(kDefaultCallerTimeout);
  new_request->caller_deadline = now + caller_timeout;
  new_request->deadline =
      now + std::min(caller_timeout, matched_route->timeout);
  CapDeadline(*new_request);
  const size_t split_index =
      splits_[matched_route->name].Next(matched_route->services);
  new_request->service_state =
      &FindOrAddService(matched_route->services[split_index].service);
  // The host that relays a request has counted it.
  if (!incoming.relayed_attempts) {
    new_request->service_state->budget.OnRequest(now);
  }
  if (new_request->service_state->keyed && new_request->key &&
      !incoming.relayed_attempts) {
    new_request->service_state->requested_keys.push_back(*new_request->key);
  }
  request& admitted_request = *new_request;
  requests_.emplace(incoming.id, std::move(new_request));
  Admit(admitted_request, now, out);
}

void request_router::Admit(request& new_request, time_point now,
                           router_actions& out) {
  UpdateReach(now, out);
  if (RefuseIfItCrashesTargets(new_request, now, out) ||
      RefuseIfStopComesFirst(new_request, now, out)) {
    return;
  }
  if (is_cut_off()) {
    Schedule(new_request.deadline, new_request.id);
    if (!TryRelay(new_request, now, out)) {
      Refuse(new_request, refusal_reason::kTargetsUnreachable, now, out);
    }
    return;
  }
  if (const auto reason =
          RefusalReasonFor(*new_request.service_state, new_request, now)) {
    // Other hosts may reach a target that this one doesn't.
    if (*reason == refusal_reason::kNoTarget &&
        TryRelay(new_request, now, out)) {
      Schedule(new_request.deadline, new_request.id);
      return;
    }
    Refuse(new_request, *reason, now, out);
    return;
  }
  service& service_state = *new_request.service_state;
  target* owner = FindOwner(service_state, new_request);
  const duration objective = new_request.matched_route->objective;
  const bool is_admitted =
      owner != nullptr && OwnerStateOf(service_state, *owner, now);
  const duration max_wait =
      QueueFor(service_state, owner).IsOverloaded(now) ? duration{0}
      : is_admitted
          ? MaxAdmissionWait(objective)
          : MaxWait(objective, LikelyLatency(service_state, owner, now));
  new_request.wait_deadline =
      std::min(now + max_wait, new_request.deadline - kMinTimeToSend);
  StartWaiting(new_request, now);
  Schedule(new_request.deadline, new_request.id);
  SendFromQueue(*new_request.queue, now, out);
}

void request_router::OnStop(time_point answer_by) {
  stop_deadline_ = answer_by;
  for (const auto& [id, pending_request] : requests_) {
    CapDeadline(*pending_request);
    Schedule(pending_request->deadline, id);
  }
}

void request_router::CapDeadline(request& pending_request) const {
  if (pending_request.deadline <= stop_deadline_) {
    return;
  }
  pending_request.is_capped_by_stop = true;
  pending_request.deadline = stop_deadline_;
  pending_request.wait_deadline =
      std::min(pending_request.wait_deadline, stop_deadline_ - kMinTimeToSend);
}

void request_router::Schedule(time_point due_time, request_id id) {
  timers_.push({due_time, id});
}

bool request_router::TrySend(request& pending_request, time_point now,
                             router_actions& out) {
  // The timers that end it may be late.
  if (pending_request.deadline - now < kMinTimeToSend) {
    return false;
  }
  if (!pending_request.service_state->keyed &&
      !pending_request.service_state->limit.HasCapacity(
          pending_request.service_state->in_flight)) {
    return false;
  }
  target* chosen =
      PickTarget(*pending_request.service_state, pending_request, now, out);
  if (chosen == nullptr) {
    return false;
  }
  LeaveQueue(pending_request);
  pending_request.current_target = chosen;
  pending_request.sent_time = now;
  if (!pending_request.first_sent_time) {
    pending_request.first_sent_time = now;
  }
  RecordSend(pending_request, *chosen, now, out);
  chosen->health.OnSent(now);
  chosen->bodies.OnSent(pending_request.body_bytes);
  reach_.OnSent(chosen->entry.life.id, now);
  if (chosen->limit.per_second()) {
    chosen->permits.Use(now);
    ++counts_.limited_sends;
  }
  ++pending_request.service_state->in_flight;
  zone_send_counts& zone_sends = pending_request.service_state->zone_sends;
  ++(chosen->entry.zone == settings_.zone ? zone_sends.own_zone
                                          : zone_sends.other_zones);
  if (!pending_request.WasTried(chosen)) {
    pending_request.tried_targets.emplace_back(chosen);
  }
  ++pending_request.attempt_count;
  out.emplace_back(send_action{.id = pending_request.id,
                               .target = chosen->entry.life,
                               .address = chosen->entry.address,
                               .time_left = pending_request.deadline - now,
                               .is_last = AttemptsLeft(pending_request) < 1,
                               .service = chosen->entry.service,
                               .zone = chosen->entry.zone});
  return true;
}

bool request_router::TryTakeRetry(request& pending_request, time_point now) {
  if (AttemptsLeft(pending_request) < 1 ||
      pending_request.service_state->shed_fraction > kMaxShedFraction ||
      pending_request.deadline - now < kMinTimeToSend) {
    return false;
  }
  if (!pending_request.service_state->budget.TryRetry(now)) {
    return false;
  }
  ++counts_.retries;
  return true;
}

void request_router::RetryOrRefuse(request& pending_request,
                                   refusal_reason reason_if_refused,
                                   time_point now, router_actions& out) {
  pending_request.wait_deadline =
      std::max(pending_request.wait_deadline,
               std::min(now + kDelayAfterMisdirected * 2,
                        pending_request.deadline - kMinTimeToSend));
  if (RefuseIfItCrashesTargets(pending_request, now, out) ||
      RefuseIfStopComesFirst(pending_request, now, out)) {
    return;
  }
  const auto no_target = NoTargetReason(pending_request, now);
  if (no_target || !TryTakeRetry(pending_request, now)) {
    Refuse(pending_request, no_target.value_or(reason_if_refused), now, out);
    return;
  }
  StartWaiting(pending_request, now);
}

bool request_router::RefuseIfStopComesFirst(request& pending_request,
                                            time_point now,
                                            router_actions& out) {
  if (!pending_request.is_capped_by_stop) {
    return false;
  }
  service& service_state = *pending_request.service_state;
  const duration likely_time = std::max<duration>(
      LikelyLatency(service_state, FindOwner(service_state, pending_request),
                    now),
      kMinTimeToSend);
  if (pending_request.deadline - now > likely_time) {
    return false;
  }
  Refuse(pending_request, refusal_reason::kStopping, now, out);
  return true;
}

bool request_router::RefuseIfItCrashesTargets(request& pending_request,
                                              time_point now,
                                              router_actions& out) {
  if (!crashes_.ShouldRefuse(pending_request.content_hash, now)) {
    return false;
  }
  Refuse(pending_request, refusal_reason::kCrashesTargets, now, out);
  return true;
}

void request_router::OnAttemptEnded(const attempt_report& report,
                                    time_point now, router_actions& out) {
  const auto found = requests_.find(report.id);
  if (found == requests_.end() || !found->second->current_target) {
    return;
  }
  request& pending_request = *found->second;
  service& service_state = *pending_request.service_state;
  const target_ptr attempted_target = std::move(pending_request.current_target);
  pending_request.current_target.reset();
  const bool not_owner =
      service_state.keyed && report.verdict == attempt_verdict::kMisdirected;
  attempted_target->health.OnEnded(
      not_owner ? attempt_verdict::kNotOwner : report.verdict,
      pending_request.sent_time, pending_request.matched_route->objective, now);
  ReleaseBody(pending_request, *attempted_target);
  --service_state.in_flight;
  RecordActivity(pending_request, *attempted_target, report.verdict, now);
  RecordReach(*attempted_target, report.verdict, now, out);
  if (report.load) {
    RecordLoad(pending_request, *attempted_target, report, now);
  }
  RecordStatements(pending_request, *attempted_target, report, now, out);
  if (report.verdict == attempt_verdict::kServed ||
      report.verdict == attempt_verdict::kFailed) {
    crashes_.OnLifeSign(attempted_target->entry.life, pending_request.sent_time,
                        now);
  }
  const bool shed = report.verdict == attempt_verdict::kShed;
  const bool reset =
      IsResetByFullTarget(*attempted_target, report.verdict, now);
  if (shed || reset) {
    attempted_target->rejected_at = now;
  }
  if (shed) {
    service_state.rejections.OnRejectionAnswer();
  } else if (reset) {
    service_state.rejections.OnResetWhenFull();
  }
  service_state.shed_fraction +=
      kShedWeight * ((shed ? 1.0 : 0.0) - service_state.shed_fraction);
  const bool idempotent =
      pending_request.matched_route->retry == retry_rule::kIdempotent;
  switch (report.verdict) {
    case attempt_verdict::kServed:
      crashes_.OnServed(pending_request.content_hash, now);
      service_state.zones.OnServed(pending_request.matched_route->objective,
                                   now - pending_request.sent_time);
      out.emplace_back(deliver_action{.id = pending_request.id,
                                      .summary = pending_request.Summary(now)});
      RemoveRequest(pending_request);
      break;
    case attempt_verdict::kFailed:
      pending_request.may_have_run = true;
      pending_request.has_answer = true;
      if (idempotent) {
        RetryOrRefuse(pending_request, refusal_reason::kNoRetryLeft, now, out);
      } else {
        Refuse(pending_request, refusal_reason::kNone, now, out);
      }
      break;
    case attempt_verdict::kShed:
      pending_request.earliest_send =
          service_state.keyed ? now + kDelayAfterShed : now;
      RetryOrRefuse(pending_request, refusal_reason::kTargetShed, now, out);
      break;
    case attempt_verdict::kMisdirected:
    case attempt_verdict::kNotOwner:
      pending_request.earliest_send =
          service_state.keyed ? now + kDelayAfterMisdirected : now;
      RetryOrRefuse(pending_request, refusal_reason::kNoOwner, now, out);
      break;
    case attempt_verdict::kUnreachable:
      --pending_request.attempt_count;
      if (++pending_request.unreachable_count >= kMaxUnreachableSends) {
        if (!TryRelay(pending_request, now, out)) {
          Refuse(pending_request, refusal_reason::kNoTarget, now, out);
        }
      } else {
        StartWaiting(pending_request, now);
      }
      break;
    case attempt_verdict::kNotSent:
      --pending_request.attempt_count;
      Refuse(pending_request, refusal_reason::kNoDescriptor, now, out);
      break;
    case attempt_verdict::kBroken:
      crashes_.OnBrokenResponse(pending_request.content_hash,
                                attempted_target->entry.life, now);
      pending_request.may_have_run = true;
      if (idempotent) {
        RetryOrRefuse(pending_request, refusal_reason::kTargetBroke, now, out);
      } else {
        Refuse(pending_request, refusal_reason::kTargetBroke, now, out);
      }
      break;
    case attempt_verdict::kTimedOut:
    case attempt_verdict::kAbandoned:
      break;
  }
  SendAfterFreedSlot(service_state, attempted_target, now, out);
}

void request_router::OnCallerGone(request_id id, time_point now,
                                  router_actions& out) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  request& pending_request = *found->second;
  service& service_state = *pending_request.service_state;
  const target_ptr attempted_target = pending_request.current_target;
  if (!pending_request.relayed_to.empty()) {
    StopRelaying(pending_request);
    out.emplace_back(cancel_action{id});
  }
  if (pending_request.current_target) {
    pending_request.current_target->health.OnEnded(
        attempt_verdict::kAbandoned, pending_request.sent_time,
        pending_request.matched_route->objective, now);
    ReleaseBody(pending_request, *pending_request.current_target);
    reach_.OnAbandoned(pending_request.current_target->entry.life.id, now);
    --service_state.in_flight;
    out.emplace_back(cancel_action{id});
  }
  RemoveRequest(pending_request);
  SendAfterFreedSlot(service_state, attempted_target, now, out);
}

void request_router::Refuse(request& pending_request, refusal_reason reason,
                            time_point now, router_actions& out) {
  if (pending_request.has_answer) {
    out.emplace_back(deliver_action{.id = pending_request.id,
                                    .summary = pending_request.Summary(now)});
    RemoveRequest(pending_request);
    return;
  }
  local_reply_action refusal{
      .id = pending_request.id,
      .reason = reason,
      .summary = pending_request.Summary(now),
      .key = pending_request.key,
      .config_version = pending_request.table->config().version};
  if (!pending_request.may_have_run) {
    refusal.reply = local_reply::kNotRun;
    refusal.retry_after = RetryAfter(pending_request, reason, now);
  } else if (reason == refusal_reason::kDeadline ||
             reason == refusal_reason::kStopping) {
    refusal.reply = local_reply::kTimedOut;
  } else {
    refusal.reply = local_reply::kUnknown;
  }
  out.emplace_back(std::move(refusal));
  RemoveRequest(pending_request);
}

void request_router::RemoveRequest(request& pending_request) {
  LeaveQueue(pending_request);
  requests_.erase(pending_request.id);
}

void request_router::Expire(request& pending_request, time_point now,
                            router_actions& out) {
  service& service_state = *pending_request.service_state;
  const bool is_stop = pending_request.is_capped_by_stop;
  const bool is_relayed = !pending_request.relayed_to.empty();
  const bool only_current_may_have_run =
      (pending_request.current_target || is_relayed) &&
      !pending_request.may_have_run;
  const target_ptr attempted_target = pending_request.current_target;
  if (is_relayed) {
    StopRelaying(pending_request);
    pending_request.may_have_run = true;
    out.emplace_back(cancel_action{pending_request.id});
  }
  if (pending_request.current_target) {
    // That this host stops says nothing about the target.
    pending_request.current_target->health.OnEnded(
        is_stop ? attempt_verdict::kAbandoned : attempt_verdict::kTimedOut,
        pending_request.sent_time, pending_request.matched_route->objective,
        now);
    if (!is_stop) {
      service_state.zones.OnServed(pending_request.matched_route->objective,
                                   now - pending_request.sent_time);
    }
    ReleaseBody(pending_request, *pending_request.current_target);
    --service_state.in_flight;
    pending_request.current_target.reset();
    pending_request.may_have_run = true;
    out.emplace_back(cancel_action{pending_request.id});
  }
  const refusal_reason reason =
      is_stop ? refusal_reason::kStopping : refusal_reason::kDeadline;
  const duration retry_after = RetryAfter(pending_request, reason, now);
  Refuse(pending_request, reason, now, out);
  if (auto* reply_action = std::get_if<local_reply_action>(&out.back());
      reply_action != nullptr && only_current_may_have_run) {
    reply_action->not_run_if_unwritten = true;
    reply_action->retry_after = retry_after;
  }
  SendAfterFreedSlot(service_state, attempted_target, now, out);
}

void request_router::OnTime(time_point now, router_actions& out) {
  UpdateReach(now, out);
  while (!timers_.empty() && timers_.top().due_time <= now) {
    const request_id id = timers_.top().id;
    timers_.pop();
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      continue;
    }
    request& pending_request = *found->second;
    if (pending_request.deadline <= now) {
      Expire(pending_request, now, out);
    } else if (pending_request.is_waiting() &&
               RefuseIfStopComesFirst(pending_request, now, out)) {
      continue;
    } else if (pending_request.is_waiting() &&
               pending_request.wait_deadline <= now) {
      // A refusal while a key moves to a new owner says nothing about the load:
      // requests for the keys that move next must still wait.
      const bool waits_for_move =
          pending_request.service_state->keyed && !pending_request.queue_owner;
      if (!waits_for_move) {
        pending_request.queue->RecordRefusal(pending_request, now);
      }
      Refuse(pending_request, refusal_reason::kWaitedTooLong, now, out);
    } else if (pending_request.is_waiting() &&
               !RefuseIfItCrashesTargets(pending_request, now, out) &&
               !(is_cut_off() && TryRelay(pending_request, now, out))) {
      DropMissingTargets(*pending_request.service_state, now);
      if (const auto reason = NoTargetReason(pending_request, now)) {
        Refuse(pending_request, *reason, now, out);
        continue;
      }
      if (pending_request.earliest_send > now ||
          !TrySend(pending_request, now, out)) {
        Schedule(std::min(pending_request.wait_deadline, now + kRecheckPeriod),
                 id);
      }
    }
  }
}

time_point request_router::NextDue() const {
  return std::min(reach_.NextProbe(),
                  timers_.empty() ? time_point::max() : timers_.top().due_time);
}

}  // namespace foxtailspread
