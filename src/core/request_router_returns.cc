// When refused callers return.
//
// Load pattern that these rules are made for: many hosts refuse callers of the
// same targets in the same moment.

#include <algorithm>

#include "foxtailspread/load/target_load.h"
#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Number of offsets among which hosts spread the returns of callers.
constexpr uint64_t kPhaseSteps = 1000;

/// Returns how many requests a second a target serves while it has
/// `concurrent` of this host's at a time.
double ServedPerSecond(const target_health& health, double concurrent) {
  constexpr double kMicroseconds = 1e6;
  return concurrent * kMicroseconds /
         std::max(1.0, static_cast<double>(health.mean_latency().count()));
}

}  // namespace

bool request_router::SchedulesReturns(const service& service_state,
                                      const target* owner,
                                      duration objective) const {
  const target* example = owner;
  if (example == nullptr && !service_state.targets.empty()) {
    example = service_state.targets.front().get();
  }
  return example != nullptr && service_state.rejections.resets_connections() &&
         NeedsSharedView(host_count_, example->entry.slots,
                         example->health.mean_latency(), objective);
}

std::optional<expected_room> request_router::RoomFor(
    const request& refused_request, refusal_reason reason, time_point now) {
  service& service_state = *refused_request.service_state;
  const target* owner = FindOwner(service_state, refused_request);
  if (service_state.keyed && owner == nullptr) {
    return std::nullopt;
  }
  switch (reason) {
    case refusal_reason::kTargetBackoff:
      return expected_room{
          .begins = FirstResume(service_state, refused_request, now)};
    case refusal_reason::kNoWarmTarget:
      if (owner != nullptr) {
        return expected_room{.begins = owner->availability.cold_until()};
      }
      if (const auto warm_at = FirstWarmTime(service_state, now)) {
        return expected_room{.begins = *warm_at};
      }
      return std::nullopt;
    case refusal_reason::kTargetLimited:
      if (const auto outlook = PermitOutlook(service_state, owner, now)) {
        return expected_room{.begins = outlook->next_chance};
      }
      return std::nullopt;
    case refusal_reason::kQueueFull:
    case refusal_reason::kWaitedTooLong:
    case refusal_reason::kTargetShed:
    case refusal_reason::kNoRetryLeft:
      break;
    default:
      return std::nullopt;
  }
  expected_room room{.begins = now};
  if (owner != nullptr) {
    room.per_second = ServedPerSecond(owner->health, owner->health.limit());
    const auto queued = static_cast<double>(
        owner->queue.CountAtLeastAsUrgent(refused_request.matched_route->rank));
    room.begins =
        std::max(owner->health.PausedUntil(),
                 now + Part(owner->health.mean_latency(),
                            queued / std::max(owner->health.limit(), 0.01)));
  } else {
    room.begins = now + ExpectedWait(service_state, refused_request, now);
    for (const auto& candidate : service_state.targets) {
      if (AcceptsRequests(*candidate, now) &&
          candidate->health.IsReachable(now)) {
        room.per_second += ServedPerSecond(
            candidate->health, std::min(candidate->health.limit(),
                                        candidate->entry.slots /
                                            static_cast<double>(host_count_)));
      }
    }
  }
  if (QueueFor(service_state, FindOwner(service_state, refused_request))
          .IsOverloaded(now)) {
    room.begins = std::max(
        room.begins,
        now + RetryAfterOverload(refused_request.matched_route->objective));
  }
  // Hosts whose parts are less than a request at a time begin at unequal
  // moments, or all of them would promise the first one.
  if (room.per_second > 0.0) {
    const double phase = static_cast<double>(random_() % 1000) / 1000.0;
    room.begins += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(phase / room.per_second));
  }
  return room;
}

std::optional<duration> request_router::ScheduledReturn(
    const request& refused_request, refusal_reason reason, time_point now) {
  service& service_state = *refused_request.service_state;
  target* owner = FindOwner(service_state, refused_request);
  const route& matched_route = *refused_request.matched_route;
  if (!SchedulesReturns(service_state, owner, matched_route.objective)) {
    return std::nullopt;
  }
  const auto room = RoomFor(refused_request, reason, now);
  if (!room) {
    return std::nullopt;
  }
  const return_schedule::return_time next =
      ReturnsFor(service_state, owner)
          .Next(*room,
                {.rank = matched_route.rank,
                 .age = now - refused_request.arrival_time,
                 .objective = matched_route.objective,
                 .time_left = refused_request.caller_deadline - now,
                 .likely_latency = LikelyLatency(service_state, owner, now),
                 .phase = static_cast<double>(settings_.seed % kPhaseSteps) /
                          kPhaseSteps},
                now);
  ++(next.has_room ? counts_.returns_with_room : counts_.returns_without_room);
  return next.after;
}

}  // namespace foxtailspread
