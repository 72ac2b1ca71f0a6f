// Target selection, and the decision whether a request waits or is refused.
//
// Load patterns that these rules are made for: bursts above the capacity of the
// targets, targets of unequal or reduced speed, and keys that are moving to
// another owner or whose owner is lost.

#include <algorithm>
#include <cmath>

#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Fraction of the drain timeout in which requests still go to a keyed target
/// that is draining, while its keys move to a new owner. It counts from the
/// earliest time at which the target can have begun to drain: this host hears
/// of it up to 1.5 s later, and a target must get no request after its drain
/// timeout.
constexpr double kDrainFraction = 0.8;

/// Time in which requests still go to a keyed target whose zone is evacuated,
/// while its keys move to a new owner.
constexpr duration kEvacuationGrace{std::chrono::seconds{1}};

/// Maximum time that requests wait for keys that are moving. A move normally
/// takes tens of milliseconds plus the time of the requests running on the
/// keys. One that takes longer is waiting for the grant of a lost owner to
/// expire, so requests for its keys are refused instead of held.
constexpr duration kMaxMoveTime{std::chrono::milliseconds{700}};

/// A request is refused at once when its answer is expected later than this
/// multiple of its latency objective.
constexpr double kMaxExpectedLatencyRatio = 1.0;

/// Minimum of Retry-After, and the divisor of the caller's remaining time that
/// gives its maximum: callers honour at most a third of the remaining time.
constexpr duration kMinRetryAfter{std::chrono::milliseconds{60}};
constexpr int kRetryAfterDivisor = 4;
/// Retry-After for keyed services: when the keys will have an owner again is
/// not known.
constexpr duration kKeyedRetryAfter{std::chrono::milliseconds{500}};

constexpr double kMicrosecondsPerSecond = 1e6;

/// Returns Retry-After of a caller whose targets back off for `backoff`: spread
/// over the time after the backoff, or over the end of what the caller can
/// wait.
duration RetryAfterBackoff(duration backoff, duration time_left,
                           int64_t jitter_permille) {
  constexpr duration kMinSpread{std::chrono::milliseconds{200}};
  const duration spread = std::max(backoff / 4, kMinSpread);
  const duration longest =
      std::max(time_left / kRetryAfterDivisor, duration{0});
  const duration retry_after = backoff + spread * jitter_permille / 1000;
  return retry_after <= longest
             ? retry_after
             : longest / 2 + longest * jitter_permille / 2000;
}

}  // namespace

request_router::target* request_router::PickTarget(
    service& service_state, const request& pending_request, time_point now,
    router_actions& out) {
  return service_state.keyed
             ? PickOwner(service_state, pending_request, now, out)
             : PickPooled(service_state, pending_request, now, out);
}

request_router::target* request_router::FindOwner(
    service& service_state, const request& pending_request) {
  const bool has_key = service_state.keyed && pending_request.key;
  const key_range* range =
      has_key ? service_state.owners.Find(*pending_request.key) : nullptr;
  return range != nullptr && range->granted
             ? service_state.FindLife(range->owner)
             : nullptr;
}

bool request_router::IsEvacuationGraceOver(const target& owner,
                                           time_point now) {
  const auto evacuated_since = owner.availability.evacuated_since();
  return evacuated_since && now - *evacuated_since > kEvacuationGrace;
}

bool request_router::IsDrainGraceOver(const target& owner,
                                      time_point now) const {
  const duration grace = Part(settings_.drain_timeout, kDrainFraction);
  return (owner.draining_since && now - *owner.draining_since > grace) ||
         (owner.leaving_since && now - *owner.leaving_since > grace);
}

std::optional<refusal_reason> request_router::NoTargetReason(
    const request& pending_request, time_point now) const {
  service& service_state = *pending_request.service_state;
  const time_point latest_send = pending_request.wait_deadline;
  if (service_state.keyed) {
    const target* owner = FindOwner(service_state, pending_request);
    if (owner == nullptr) {
      return std::nullopt;
    }
    if (IsDrainGraceOver(*owner, now)) {
      return refusal_reason::kNoTarget;
    }
    if (owner->resumes_at > latest_send) {
      return refusal_reason::kTargetBackoff;
    }
    return IsOwnerBusy(*owner, pending_request, now)
               ? std::optional{refusal_reason::kOwnerBusy}
               : std::nullopt;
  }
  bool any_backs_off = false;
  for (const auto& candidate : service_state.targets) {
    if (IsLeaving(*candidate)) {
      continue;
    }
    if (candidate->resumes_at <= latest_send) {
      return std::nullopt;
    }
    any_backs_off = true;
  }
  if (any_backs_off) {
    return refusal_reason::kTargetBackoff;
  }
  return service_state.targets.empty()
             ? std::nullopt
             : std::optional{refusal_reason::kNoTarget};
}

time_point request_router::FirstResume(service& service_state,
                                       const request& pending_request,
                                       time_point now) {
  if (service_state.keyed) {
    const target* owner = FindOwner(service_state, pending_request);
    return owner == nullptr ? now : std::max(owner->resumes_at, now);
  }
  time_point first = time_point::max();
  for (const auto& candidate : service_state.targets) {
    if (AcceptsRequests(*candidate, now)) {
      first = std::min(first, candidate->resumes_at);
    }
  }
  return first == time_point::max() ? now : std::max(first, now);
}

request_router::target* request_router::PickOwner(
    service& service_state, const request& pending_request, time_point now,
    router_actions& out) {
  target* owner = FindOwner(service_state, pending_request);
  if (owner == nullptr) {
    return nullptr;
  }
  const bool grace_is_over =
      IsDrainGraceOver(*owner, now) || IsEvacuationGraceOver(*owner, now);
  const bool usable = !grace_is_over && now >= owner->resumes_at &&
                      !owner->availability.IsCold(now) &&
                      owner->health.IsReachable(now) &&
                      HasRoomAt(*owner, pending_request, now) &&
                      HasRoomForBody(*owner, pending_request);
  if (usable && !HasPermit(*owner, now)) {
    RequestPermits(*owner, owner->queue.Count(), pending_request, now, out);
    return nullptr;
  }
  return usable ? owner : nullptr;
}

duration request_router::ExpectedWait(const service& service_state,
                                      const request& pending_request,
                                      time_point now) const {
  double free_slots = 0.0;
  double throughput = 0.0;  // Requests per microsecond.
  for (const auto& candidate : service_state.targets) {
    if (!AcceptsRequests(*candidate, now) ||
        !candidate->health.IsReachable(now)) {
      continue;
    }
    if (const auto limit = candidate->limit.per_second()) {
      free_slots +=
          static_cast<double>(candidate->permits.Outlook(now).usable_at.size());
      throughput += SendRate(*limit) / static_cast<double>(host_count_) /
                    kMicrosecondsPerSecond;
      continue;
    }
    free_slots += std::max(
        0.0, candidate->health.limit() - candidate->health.in_flight());
    throughput +=
        candidate->health.limit() /
        std::max(1.0,
                 static_cast<double>(candidate->health.mean_latency().count()));
  }
  const double limit = service_state.limit.limit();
  if (limit < free_slots + service_state.in_flight) {
    throughput *= limit / std::max(1.0, free_slots + service_state.in_flight);
    free_slots = std::max(0.0, limit - service_state.in_flight);
  }
  const size_t queued_before = service_state.queue.CountAtLeastAsUrgent(
      pending_request.matched_route->rank);
  const double excess =
      static_cast<double>(queued_before) - std::floor(free_slots) + 1.0;
  if (excess <= 0.0 || throughput <= 0.0) {
    return duration{0};
  }
  return duration{static_cast<int64_t>(excess / throughput)};
}

std::optional<refusal_reason> request_router::RefusalReasonFor(
    service& service_state, const request& pending_request, time_point now) {
  const auto is_too_late = [&](duration expected) {
    const double max_expected =
        static_cast<double>(pending_request.matched_route->objective.count()) *
        kMaxExpectedLatencyRatio;
    return static_cast<double>(expected.count()) > max_expected ||
           now + expected > pending_request.deadline;
  };
  if (service_state.keyed) {
    const key_range* range =
        pending_request.key ? service_state.owners.Find(*pending_request.key)
                            : nullptr;
    if (range == nullptr || range->owner.id.empty()) {
      return refusal_reason::kNoOwner;
    }
    if (!range->granted) {
      const auto moving_since = service_state.moving_since.find(range->fence);
      const bool is_stuck = moving_since != service_state.moving_since.end() &&
                            now - moving_since->second > kMaxMoveTime;
      return is_stuck ? std::optional{refusal_reason::kNoOwner} : std::nullopt;
    }
    target* owner = service_state.FindLife(range->owner);
    if (owner == nullptr) {
      return refusal_reason::kNoOwner;
    }
    if (owner->availability.IsCold(now)) {
      return refusal_reason::kNoWarmTarget;
    }
    if (IsDrainGraceOver(*owner, now) || IsEvacuationGraceOver(*owner, now) ||
        !owner->health.IsReachable(
            now + pending_request.matched_route->objective / 2)) {
      return refusal_reason::kNoTarget;
    }
    // The owner is full of other hosts' requests, and this host may send to it
    // again only after the request's maximum wait.
    const duration max_wait = MaxWait(pending_request.matched_route->objective,
                                      owner->health.LikelyLatency());
    if (owner->resumes_at > now + max_wait) {
      return refusal_reason::kTargetBackoff;
    }
    const bool has_shared_view =
        OwnerStateOf(service_state, *owner, now).has_value();
    if (!has_shared_view && owner->health.PausedUntil() > now + max_wait) {
      return refusal_reason::kQueueFull;
    }
    if (const auto reason =
            PermitRefusalFor(service_state, pending_request, owner, now)) {
      return reason;
    }
    const auto refusal =
        AdmissionRefusalFor(service_state, pending_request, *owner, now);
    if (refusal || has_shared_view) {
      return refusal;
    }
    const size_t queued_before =
        owner->queue.CountAtLeastAsUrgent(pending_request.matched_route->rank);
    const duration latency = owner->health.mean_latency();
    const auto expected_wait = duration{static_cast<int64_t>(
        static_cast<double>(latency.count() *
                            static_cast<int64_t>(queued_before)) /
        owner->health.limit())};
    if (queued_before > 0 && is_too_late(expected_wait + latency / 2)) {
      return refusal_reason::kQueueFull;
    }
    return std::nullopt;
  }
  bool any_usable = false;
  bool any_backs_off = false;
  const time_point soon = now + pending_request.matched_route->objective / 2;
  for (const auto& candidate : service_state.targets) {
    if (AcceptsRequests(*candidate, now) &&
        candidate->health.IsReachable(soon)) {
      const bool backs_off = candidate->resumes_at > soon;
      any_usable = any_usable || !backs_off;
      any_backs_off = any_backs_off || backs_off;
    }
  }
  if (!any_usable && any_backs_off) {
    return refusal_reason::kTargetBackoff;
  }
  if (!any_usable) {
    return FirstWarmTime(service_state, now) ? refusal_reason::kNoWarmTarget
                                             : refusal_reason::kNoTarget;
  }
  if (const auto reason =
          PermitRefusalFor(service_state, pending_request, nullptr, now)) {
    return reason;
  }
  if (service_state.waiting_count > 0 &&
      is_too_late(ExpectedWait(service_state, pending_request, now))) {
    return refusal_reason::kQueueFull;
  }
  return std::nullopt;
}

duration request_router::LikelyLatency(const service& service_state,
                                       const target* owner, time_point now) {
  if (service_state.keyed) {
    return owner == nullptr ? duration{0} : owner->health.LikelyLatency();
  }
  duration min_latency = duration::max();
  for (const auto& candidate : service_state.targets) {
    if (AcceptsRequests(*candidate, now) && candidate->health.IsHealthy(now)) {
      min_latency = std::min(min_latency, candidate->health.LikelyLatency());
    }
  }
  return min_latency == duration::max() ? duration{0} : min_latency;
}

std::optional<time_point> request_router::FirstWarmTime(
    const service& service_state, time_point now) {
  std::optional<time_point> first_warm_at;
  for (const auto& candidate : service_state.targets) {
    const target_availability& availability = candidate->availability;
    if (availability.IsCold(now) && !availability.IsEvacuated() &&
        !IsLeaving(*candidate)) {
      first_warm_at =
          std::min(first_warm_at.value_or(availability.cold_until()),
                   availability.cold_until());
    }
  }
  return first_warm_at;
}

duration request_router::RetryAfter(const request& refused_request,
                                    refusal_reason reason, time_point now) {
  // The caller gains nothing by returning sooner.
  if (reason == refusal_reason::kCrashesTargets) {
    return crashes_.RefusedFor(refused_request.content_hash, now);
  }
  // Other hosts take its callers.
  if (reason == refusal_reason::kStopping) {
    return duration{0};
  }
  if (const auto scheduled = ScheduledReturn(refused_request, reason, now)) {
    return *scheduled;
  }
  service& service_state = *refused_request.service_state;
  duration base_delay = service_state.keyed
                            ? kKeyedRetryAfter
                            : ExpectedWait(service_state, refused_request, now);
  if (reason == refusal_reason::kNoWarmTarget) {
    base_delay = FirstWarmTime(service_state, now).value_or(now) - now;
  }
  if (reason == refusal_reason::kTargetLimited) {
    const auto outlook = PermitOutlook(
        service_state, FindOwner(service_state, refused_request), now);
    base_delay = std::max<duration>(
        base_delay, outlook ? outlook->next_chance - now : duration{0});
  }
  if (QueueFor(service_state, FindOwner(service_state, refused_request))
          .IsOverloaded(now)) {
    base_delay = RetryAfterOverload(refused_request.matched_route->objective);
  }
  if (reason == refusal_reason::kOwnerBusy ||
      reason == refusal_reason::kKeyThrottled) {
    return RetryAfterAdmission(refused_request, reason, now);
  }
  const duration time_left = refused_request.caller_deadline - now;
  if (reason == refusal_reason::kTargetBackoff) {
    return RetryAfterBackoff(
        FirstResume(service_state, refused_request, now) - now, time_left,
        static_cast<int64_t>(random_() % 1000));
  }
  base_delay = std::max(base_delay, kMinRetryAfter);
  // Jitter of 0.5 to 1.5 times the base, so that callers refused together don't
  // retry together.
  const auto jitter_permille = static_cast<int64_t>(random_() % 1000);
  duration retry_after = base_delay / 2 + base_delay * jitter_permille / 1000;
  retry_after = std::min(retry_after, time_left / kRetryAfterDivisor);
  return std::max(retry_after, duration{0});
}

}  // namespace foxtailspread
