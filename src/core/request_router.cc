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

/// Minimum time to the deadline for another send; less is not enough to get an
/// answer.
constexpr duration kMinTimeToSend{std::chrono::milliseconds{15}};

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
  }
  return "unknown";
}

request_router::request_router(router_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<uint32_t>(settings_.seed | 1U)) {}

request_router::~request_router() {
  for (auto& [name, service_state] : services_) {
    service_state->queue.Clear();
  }
  for (auto& [id, pending_request] : requests_) {
    if (pending_request->waits_for) {
      pending_request->waits_for->queue.Clear();
    }
  }
}

request_router::service& request_router::ServiceOf(const std::string& name) {
  auto& found = services_[name];
  if (!found) {
    found = std::make_unique<service>(name, settings_.retries);
    found->budget.SetHosts(hosts_);
  }
  return *found;
}

void request_router::OnRequest(const incoming_request& incoming, time_point now,
                               router_actions& out) {
  ++counts_.requests;
  const route* matched_route =
      table_ ? table_->Find(incoming.host, incoming.path) : nullptr;
  if (matched_route == nullptr || matched_route->services.empty()) {
    const auto reason =
        table_ ? refusal_reason::kNoRoute : refusal_reason::kNoConfig;
    // Without a configuration the route may exist, so that callers are asked to
    // retry.
    own_answer_action refusal{.id = incoming.id, .reason = reason};
    refusal.answer = table_ ? own_answer::kNoRoute : own_answer::kNotRun;
    if (!table_) {
      refusal.retry_after = std::chrono::milliseconds{300};
    }
    out.emplace_back(std::move(refusal));
    return;
  }
  auto new_request = std::make_unique<request>();
  new_request->id = incoming.id;
  new_request->table = table_;
  new_request->by = matched_route;
  new_request->key = incoming.key;
  new_request->content = incoming.content;
  new_request->arrived = now;
  const duration caller_timeout =
      incoming.patience.value_or(kDefaultCallerTimeout);
  new_request->caller_waits = now + caller_timeout;
  new_request->expires = now + std::min(caller_timeout, matched_route->timeout);
  const size_t split_index =
      splits_[matched_route->name].Next(matched_route->services);
  new_request->at = &ServiceOf(matched_route->services[split_index].service);
  new_request->at->budget.OnRequest(now);
  if (new_request->at->keyed && new_request->key) {
    new_request->at->keys_asked.push_back(*new_request->key);
  }
  request& admitted_request = *new_request;
  requests_.emplace(incoming.id, std::move(new_request));
  Admit(admitted_request, now, out);
}

void request_router::Admit(request& new_request, time_point now,
                           router_actions& out) {
  if (const auto reason = CannotServe(*new_request.at, new_request, now)) {
    Refuse(new_request, *reason, now, out);
    return;
  }
  service& service_state = *new_request.at;
  target* owner = FindOwner(service_state, new_request);
  const duration max_wait =
      QueueOf(service_state, owner).IsOverloaded(now)
          ? duration{0}
          : MostWait(new_request.by->objective,
                     LikelyLatency(service_state, owner, now));
  new_request.wait_until =
      std::min(now + max_wait, new_request.expires - kMinTimeToSend);
  Wait(new_request, now);
  Schedule(new_request.expires, new_request.id);
  PumpQueue(*new_request.queue, now, out);
}

void request_router::Schedule(time_point due_time, request_id id) {
  due_.push({due_time, id});
}

bool request_router::TrySend(request& pending_request, time_point now,
                             router_actions& out) {
  if (!pending_request.at->keyed &&
      !pending_request.at->limit.HasRoom(pending_request.at->in_flight)) {
    return false;
  }
  target* chosen = Pick(*pending_request.at, pending_request, now);
  if (chosen == nullptr) {
    return false;
  }
  LeaveQueue(pending_request);
  pending_request.current = chosen;
  pending_request.sent = now;
  if (!pending_request.first_sent) {
    pending_request.first_sent = now;
  }
  chosen->health.OnSent(now);
  ++pending_request.at->in_flight;
  if (!pending_request.WasTried(chosen)) {
    pending_request.tried.emplace_back(chosen);
  }
  ++pending_request.arrivals;
  out.emplace_back(send_action{.id = pending_request.id,
                               .target = chosen->entry.life,
                               .address = chosen->entry.address,
                               .time_left = pending_request.expires - now});
  return true;
}

bool request_router::MayRepeat(request& pending_request, time_point now) {
  const int max_attempts = std::max(pending_request.by->max_attempts, 1);
  if (crashes_.IsCrashing(pending_request.content, now)) {
    return false;
  }
  if (pending_request.arrivals >= max_attempts ||
      pending_request.at->shed_share > kMaxShedFraction ||
      pending_request.expires - now < kMinTimeToSend) {
    return false;
  }
  if (!pending_request.at->budget.TryRepeat(now)) {
    return false;
  }
  ++counts_.repeats;
  return true;
}

void request_router::Repeat(request& pending_request,
                            refusal_reason reason_if_refused, time_point now,
                            router_actions& out) {
  if (!MayRepeat(pending_request, now)) {
    Refuse(pending_request, reason_if_refused, now, out);
    return;
  }
  pending_request.wait_until =
      std::max(pending_request.wait_until,
               std::min(now + kDelayAfterMisdirected * 2,
                        pending_request.expires - kMinTimeToSend));
  Wait(pending_request, now);
}

void request_router::OnAttemptEnded(const attempt_report& report,
                                    time_point now, router_actions& out) {
  const auto found = requests_.find(report.id);
  if (found == requests_.end() || !found->second->current) {
    return;
  }
  request& pending_request = *found->second;
  service& service_state = *pending_request.at;
  const target_ptr attempted_target = std::move(pending_request.current);
  pending_request.current.reset();
  const bool not_owner =
      service_state.keyed && report.verdict == attempt_verdict::kMisdirected;
  attempted_target->health.OnEnded(
      not_owner ? attempt_verdict::kNotOwner : report.verdict,
      pending_request.sent, pending_request.by->objective, now);
  --service_state.in_flight;
  if (report.load) {
    TakeLoad(pending_request, *attempted_target, report, now);
  }
  const bool shed = report.verdict == attempt_verdict::kShed;
  service_state.shed_share +=
      kShedWeight * ((shed ? 1.0 : 0.0) - service_state.shed_share);
  const bool idempotent =
      pending_request.by->repeat == repeat_rule::kIdempotent;
  switch (report.verdict) {
    case attempt_verdict::kServed:
      crashes_.OnAnswered(pending_request.content);
      out.emplace_back(deliver_action{.id = pending_request.id,
                                      .account = pending_request.Account(now)});
      Finish(pending_request);
      break;
    case attempt_verdict::kFailed:
      crashes_.OnAnswered(pending_request.content);
      pending_request.may_have_run = true;
      pending_request.has_answer = true;
      if (idempotent) {
        Repeat(pending_request, refusal_reason::kNoRetryLeft, now, out);
      } else {
        Refuse(pending_request, refusal_reason::kNone, now, out);
      }
      break;
    case attempt_verdict::kShed:
      pending_request.not_before =
          service_state.keyed ? now + kDelayAfterShed : now;
      Repeat(pending_request, refusal_reason::kTargetShed, now, out);
      break;
    case attempt_verdict::kMisdirected:
    case attempt_verdict::kNotOwner:
      pending_request.not_before =
          service_state.keyed ? now + kDelayAfterMisdirected : now;
      Repeat(pending_request, refusal_reason::kNoOwner, now, out);
      break;
    case attempt_verdict::kUnreachable:
      --pending_request.arrivals;
      if (++pending_request.unreachable >= kMaxUnreachableSends) {
        Refuse(pending_request, refusal_reason::kNoTarget, now, out);
      } else {
        Wait(pending_request, now);
      }
      break;
    case attempt_verdict::kBroken:
      crashes_.OnBroken(pending_request.content, attempted_target->entry.life,
                        now);
      pending_request.may_have_run = true;
      if (idempotent) {
        Repeat(pending_request, refusal_reason::kTargetBroke, now, out);
      } else {
        Refuse(pending_request, refusal_reason::kTargetBroke, now, out);
      }
      break;
    case attempt_verdict::kTimedOut:
    case attempt_verdict::kAbandoned:
      break;
  }
  PumpAfter(service_state, attempted_target, now, out);
}

void request_router::OnCallerGone(request_id id, time_point now,
                                  router_actions& out) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  request& pending_request = *found->second;
  service& service_state = *pending_request.at;
  const target_ptr attempted_target = pending_request.current;
  if (pending_request.current) {
    pending_request.current->health.OnEnded(attempt_verdict::kAbandoned,
                                            pending_request.sent,
                                            pending_request.by->objective, now);
    --service_state.in_flight;
    out.emplace_back(cancel_action{id});
  }
  Finish(pending_request);
  PumpAfter(service_state, attempted_target, now, out);
}

void request_router::Refuse(request& pending_request, refusal_reason reason,
                            time_point now, router_actions& out) {
  if (pending_request.has_answer) {
    out.emplace_back(deliver_action{.id = pending_request.id,
                                    .account = pending_request.Account(now)});
    Finish(pending_request);
    return;
  }
  own_answer_action refusal{
      .id = pending_request.id,
      .reason = reason,
      .account = pending_request.Account(now),
      .key = pending_request.key,
      .config_version = pending_request.table->config().version};
  if (!pending_request.may_have_run) {
    refusal.answer = own_answer::kNotRun;
    refusal.retry_after = RetryAfter(pending_request, reason, now);
  } else if (reason == refusal_reason::kDeadline) {
    refusal.answer = own_answer::kTimedOut;
  } else {
    refusal.answer = own_answer::kUnknown;
  }
  out.emplace_back(std::move(refusal));
  Finish(pending_request);
}

void request_router::Finish(request& pending_request) {
  LeaveQueue(pending_request);
  requests_.erase(pending_request.id);
}

void request_router::Expire(request& pending_request, time_point now,
                            router_actions& out) {
  service& service_state = *pending_request.at;
  const bool only_current_may_have_run =
      pending_request.current && !pending_request.may_have_run;
  const target_ptr attempted_target = pending_request.current;
  if (pending_request.current) {
    pending_request.current->health.OnEnded(attempt_verdict::kTimedOut,
                                            pending_request.sent,
                                            pending_request.by->objective, now);
    --service_state.in_flight;
    pending_request.current.reset();
    pending_request.may_have_run = true;
    out.emplace_back(cancel_action{pending_request.id});
  }
  const duration retry_after =
      RetryAfter(pending_request, refusal_reason::kDeadline, now);
  Refuse(pending_request, refusal_reason::kDeadline, now, out);
  if (auto* reply_action = std::get_if<own_answer_action>(&out.back());
      reply_action != nullptr && only_current_may_have_run) {
    reply_action->not_run_if_unwritten = true;
    reply_action->retry_after = retry_after;
  }
  PumpAfter(service_state, attempted_target, now, out);
}

void request_router::OnTime(time_point now, router_actions& out) {
  while (!due_.empty() && due_.top().at <= now) {
    const request_id id = due_.top().id;
    due_.pop();
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      continue;
    }
    request& pending_request = *found->second;
    if (pending_request.expires <= now) {
      Expire(pending_request, now, out);
    } else if (pending_request.is_waiting() &&
               pending_request.wait_until <= now) {
      // A refusal while a key moves to a new owner says nothing about the load:
      // requests for the keys that move next must still wait.
      const bool waits_for_move =
          pending_request.at->keyed && !pending_request.waits_for;
      if (!waits_for_move) {
        pending_request.queue->NoteRefused(pending_request, now);
      }
      Refuse(pending_request, refusal_reason::kWaitedTooLong, now, out);
    } else if (pending_request.is_waiting()) {
      DropRetired(*pending_request.at, now);
      if (pending_request.not_before > now ||
          !TrySend(pending_request, now, out)) {
        Schedule(std::min(pending_request.wait_until, now + kRecheck), id);
      }
    }
  }
}

time_point request_router::NextDue() const {
  return due_.empty() ? time_point::max() : due_.top().at;
}

}  // namespace foxtailspread
