#include "foxtailspread/request_router.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Time that a request without a stated patience is given.
constexpr duration kDefaultPatience{std::chrono::seconds{30}};

/// Pauses before a request goes to the same owner again.
constexpr duration kPauseAfterShed{std::chrono::milliseconds{40}};
constexpr duration kPauseAfterMisdirected{std::chrono::milliseconds{60}};

/// Sends that reach nobody before a request is refused.
constexpr int kMaxUnreachable = 3;

/// Least time to the deadline that makes another send worthwhile.
constexpr duration kLeastTimeToSend{std::chrono::milliseconds{15}};

/// Weight of one outcome in the share of refused attempts, and the share
/// above which repeats only add to the load of a service that is full.
constexpr double kShedWeight = 0.05;
constexpr double kShedShareMost = 0.5;

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
  for (auto& [name, each] : services_) {
    each->queue.Clear();
  }
  for (auto& [id, each] : requests_) {
    if (each->waits_for) {
      each->waits_for->queue.Clear();
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
  const route* by =
      table_ ? table_->Find(incoming.host, incoming.path) : nullptr;
  if (by == nullptr || by->services.empty()) {
    const auto reason =
        table_ ? refusal_reason::kNoRoute : refusal_reason::kNoConfig;
    // Without any declarations nothing is known to be forbidden.
    own_answer_action refusal{.id = incoming.id, .reason = reason};
    refusal.answer = table_ ? own_answer::kNoRoute : own_answer::kNotRun;
    if (!table_) {
      refusal.retry_after = std::chrono::milliseconds{300};
    }
    out.emplace_back(std::move(refusal));
    return;
  }
  auto made = std::make_unique<request>();
  made->id = incoming.id;
  made->table = table_;
  made->by = by;
  made->key = incoming.key;
  made->content = incoming.content;
  made->arrived = now;
  const duration patience = incoming.patience.value_or(kDefaultPatience);
  made->caller_waits = now + patience;
  made->expires = now + std::min(patience, by->timeout);
  const size_t part = splits_[by->name].Next(by->services);
  made->at = &ServiceOf(by->services[part].service);
  made->at->budget.OnRequest(now);
  if (made->at->keyed && made->key) {
    made->at->keys_asked.push_back(*made->key);
  }
  request& admitted = *made;
  requests_.emplace(incoming.id, std::move(made));
  Admit(admitted, now, out);
}

void request_router::Admit(request& admitted, time_point now,
                           router_actions& out) {
  if (const auto reason = CannotServe(*admitted.at, admitted, now)) {
    Refuse(admitted, *reason, now, out);
    return;
  }
  service& at = *admitted.at;
  target* owner = FindOwner(at, admitted);
  const duration most =
      QueueOf(at, owner).IsOverloaded(now)
          ? duration{0}
          : MostWait(admitted.by->objective, LikelyLatency(at, owner, now));
  admitted.wait_until =
      std::min(now + most, admitted.expires - kLeastTimeToSend);
  Wait(admitted, now);
  Schedule(admitted.expires, admitted.id);
  PumpQueue(*admitted.queue, now, out);
}

void request_router::Schedule(time_point at, request_id id) {
  due_.push({at, id});
}

bool request_router::TrySend(request& sent, time_point now,
                             router_actions& out) {
  if (!sent.at->keyed && !sent.at->limit.HasRoom(sent.at->in_flight)) {
    return false;
  }
  target* to = Pick(*sent.at, sent, now);
  if (to == nullptr) {
    return false;
  }
  LeaveQueue(sent);
  sent.current = to;
  sent.sent = now;
  if (!sent.first_sent) {
    sent.first_sent = now;
  }
  to->health.OnSent(now);
  ++sent.at->in_flight;
  if (!sent.WasTried(to)) {
    sent.tried.emplace_back(to);
  }
  ++sent.arrivals;
  out.emplace_back(send_action{.id = sent.id,
                               .target = to->entry.life,
                               .address = to->entry.address,
                               .time_left = sent.expires - now});
  return true;
}

bool request_router::MayRepeat(request& repeated, time_point now) {
  const int limit = std::max(repeated.by->max_attempts, 1);
  if (crashes_.IsCrashing(repeated.content, now)) {
    return false;
  }
  if (repeated.arrivals >= limit || repeated.at->shed_share > kShedShareMost ||
      repeated.expires - now < kLeastTimeToSend) {
    return false;
  }
  if (!repeated.at->budget.TryRepeat(now)) {
    return false;
  }
  ++counts_.repeats;
  return true;
}

void request_router::Repeat(request& repeated, refusal_reason otherwise,
                            time_point now, router_actions& out) {
  if (!MayRepeat(repeated, now)) {
    Refuse(repeated, otherwise, now, out);
    return;
  }
  repeated.wait_until = std::max(repeated.wait_until,
                                 std::min(now + kPauseAfterMisdirected * 2,
                                          repeated.expires - kLeastTimeToSend));
  Wait(repeated, now);
}

void request_router::OnAttemptEnded(const attempt_report& report,
                                    time_point now, router_actions& out) {
  const auto found = requests_.find(report.id);
  if (found == requests_.end() || !found->second->current) {
    return;
  }
  request& ended = *found->second;
  service& at = *ended.at;
  const target_ptr was = std::move(ended.current);
  ended.current.reset();
  const bool not_owner =
      at.keyed && report.verdict == attempt_verdict::kMisdirected;
  was->health.OnEnded(not_owner ? attempt_verdict::kNotOwner : report.verdict,
                      ended.sent, ended.by->objective, now);
  --at.in_flight;
  if (report.load) {
    TakeLoad(ended, *was, report, now);
  }
  const bool shed = report.verdict == attempt_verdict::kShed;
  at.shed_share += kShedWeight * ((shed ? 1.0 : 0.0) - at.shed_share);
  const bool idempotent = ended.by->repeat == repeat_rule::kIdempotent;
  switch (report.verdict) {
    case attempt_verdict::kServed:
      crashes_.OnAnswered(ended.content);
      out.emplace_back(
          deliver_action{.id = ended.id, .account = ended.Account(now)});
      Finish(ended);
      break;
    case attempt_verdict::kFailed:
      crashes_.OnAnswered(ended.content);
      ended.may_have_run = true;
      ended.has_answer = true;
      if (idempotent) {
        Repeat(ended, refusal_reason::kNoRetryLeft, now, out);
      } else {
        Refuse(ended, refusal_reason::kNone, now, out);
      }
      break;
    case attempt_verdict::kShed:
      ended.not_before = at.keyed ? now + kPauseAfterShed : now;
      Repeat(ended, refusal_reason::kTargetShed, now, out);
      break;
    case attempt_verdict::kMisdirected:
    case attempt_verdict::kNotOwner:
      ended.not_before = at.keyed ? now + kPauseAfterMisdirected : now;
      Repeat(ended, refusal_reason::kNoOwner, now, out);
      break;
    case attempt_verdict::kUnreachable:
      --ended.arrivals;
      if (++ended.unreachable >= kMaxUnreachable) {
        Refuse(ended, refusal_reason::kNoTarget, now, out);
      } else {
        Wait(ended, now);
      }
      break;
    case attempt_verdict::kBroken:
      crashes_.OnBroken(ended.content, was->entry.life, now);
      ended.may_have_run = true;
      if (idempotent) {
        Repeat(ended, refusal_reason::kTargetBroke, now, out);
      } else {
        Refuse(ended, refusal_reason::kTargetBroke, now, out);
      }
      break;
    case attempt_verdict::kTimedOut:
    case attempt_verdict::kAbandoned:
      break;
  }
  PumpAfter(at, was, now, out);
}

void request_router::OnCallerGone(request_id id, time_point now,
                                  router_actions& out) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  request& gone = *found->second;
  service& at = *gone.at;
  const target_ptr was = gone.current;
  if (gone.current) {
    gone.current->health.OnEnded(attempt_verdict::kAbandoned, gone.sent,
                                 gone.by->objective, now);
    --at.in_flight;
    out.emplace_back(cancel_action{id});
  }
  Finish(gone);
  PumpAfter(at, was, now, out);
}

void request_router::Refuse(request& refused, refusal_reason reason,
                            time_point now, router_actions& out) {
  if (refused.has_answer) {
    out.emplace_back(
        deliver_action{.id = refused.id, .account = refused.Account(now)});
    Finish(refused);
    return;
  }
  own_answer_action refusal{.id = refused.id,
                            .reason = reason,
                            .account = refused.Account(now),
                            .key = refused.key,
                            .config_version = refused.table->config().version};
  if (!refused.may_have_run) {
    refusal.answer = own_answer::kNotRun;
    refusal.retry_after = RetryAfter(refused, reason, now);
  } else if (reason == refusal_reason::kDeadline) {
    refusal.answer = own_answer::kTimedOut;
  } else {
    refusal.answer = own_answer::kUnknown;
  }
  out.emplace_back(std::move(refusal));
  Finish(refused);
}

void request_router::Finish(request& finished) {
  LeaveQueue(finished);
  requests_.erase(finished.id);
}

void request_router::Expire(request& expired, time_point now,
                            router_actions& out) {
  service& at = *expired.at;
  const bool only_current = expired.current && !expired.may_have_run;
  const target_ptr was = expired.current;
  if (expired.current) {
    expired.current->health.OnEnded(attempt_verdict::kTimedOut, expired.sent,
                                    expired.by->objective, now);
    --at.in_flight;
    expired.current.reset();
    expired.may_have_run = true;
    out.emplace_back(cancel_action{expired.id});
  }
  const duration retry_after =
      RetryAfter(expired, refusal_reason::kDeadline, now);
  Refuse(expired, refusal_reason::kDeadline, now, out);
  if (auto* said = std::get_if<own_answer_action>(&out.back());
      said != nullptr && only_current) {
    said->not_run_if_unwritten = true;
    said->retry_after = retry_after;
  }
  PumpAfter(at, was, now, out);
}

void request_router::OnTime(time_point now, router_actions& out) {
  while (!due_.empty() && due_.top().at <= now) {
    const request_id id = due_.top().id;
    due_.pop();
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      continue;
    }
    request& looked_at = *found->second;
    if (looked_at.expires <= now) {
      Expire(looked_at, now, out);
    } else if (looked_at.is_waiting() && looked_at.wait_until <= now) {
      // Keys on their way have their owner soon, whatever was refused before.
      const bool for_move = looked_at.at->keyed && !looked_at.waits_for;
      if (!for_move) {
        looked_at.queue->NoteRefused(looked_at, now);
      }
      Refuse(looked_at, refusal_reason::kWaitedTooLong, now, out);
    } else if (looked_at.is_waiting()) {
      DropRetired(*looked_at.at, now);
      if (looked_at.not_before > now || !TrySend(looked_at, now, out)) {
        Schedule(std::min(looked_at.wait_until, now + kRecheck), id);
      }
    }
  }
}

time_point request_router::NextDue() const {
  return due_.empty() ? time_point::max() : due_.top().at;
}

}  // namespace foxtailspread
