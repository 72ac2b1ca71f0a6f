// Where a request goes, how long it waits for that and when it is refused
// instead. Load patterns: bursts beyond what the targets can do, unlike and
// slowed targets, and keys whose owner is moving or lost.

#include <algorithm>
#include <array>
#include <cmath>

#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Part of the objective that a target in another zone costs when targets are
/// compared: its bytes are paid for and it is a cut away. Larger, the own
/// zone's targets would be overloaded before any work goes elsewhere.
constexpr double kOtherZoneShare = 0.2;

/// Targets compared for one request. Two choices keep hosts that do not see
/// each other's requests from all taking the one that looks best.
constexpr int kChoices = 2;
/// The same where targets tell their load, which is then known better.
constexpr int kToldChoices = 3;

/// Part of its time of grace in which requests still go to a keyed target that
/// is leaving, while its keys find a new owner. It counts from when the target
/// may have begun to leave: this host hears of it up to a second and a half
/// later, and a target must not be asked after its time.
constexpr double kDrainPart = 0.8;

/// How long requests still go to a keyed target whose zone is evacuated, while
/// its keys find a new owner.
constexpr duration kEvacuationGrace{std::chrono::seconds{1}};

/// Keys change hands in tens of milliseconds plus the work that runs on them.
/// Those that take longer wait for a lost owner's grant to end, and requests
/// for them are refused instead of waiting along.
constexpr duration kMoveTime{std::chrono::milliseconds{700}};

/// A request is refused at once when its answer is expected later than this
/// part of its objective.
constexpr double kHopelessShare = 1.0;

/// The bounds of Retry-After, and the part of the caller's remaining time
/// that it may take: callers honour no more than a third.
constexpr duration kRetryAfterLeast{std::chrono::milliseconds{60}};
constexpr int kRetryAfterPart = 4;
/// Retry-After when nothing tells when the keys will have an owner again.
constexpr duration kRetryAfterOwner{std::chrono::milliseconds{500}};

}  // namespace

request_router::target* request_router::Pick(service& from, const request& by,
                                             time_point now) {
  return from.keyed ? OwnerOf(from, by, now) : PickPooled(from, by, now);
}

request_router::target* request_router::FindOwner(service& from,
                                                  const request& by) {
  const bool has_owner = from.keyed && by.key;
  const key_range* range = has_owner ? from.owners.Find(*by.key) : nullptr;
  return range != nullptr && range->granted ? from.FindLife(range->owner)
                                            : nullptr;
}

bool request_router::IsEvacuationOver(const target& owner, time_point now) {
  const auto since = owner.availability.evacuated_since();
  return since && now - *since > kEvacuationGrace;
}

request_router::target* request_router::OwnerOf(service& from,
                                                const request& by,
                                                time_point now) {
  target* owner = FindOwner(from, by);
  if (owner == nullptr) {
    return nullptr;
  }
  const bool left =
      (owner->draining_since &&
       now - *owner->draining_since > Part(settings_.drain, kDrainPart)) ||
      IsEvacuationOver(*owner, now);
  const bool usable = !left && !owner->availability.IsCold(now) &&
                      owner->health.IsReachable(now) &&
                      owner->health.HasRoom(now);
  return usable ? owner : nullptr;
}

request_router::target* request_router::PickPooled(service& from,
                                                   const request& by,
                                                   time_point now) {
  std::array<std::vector<target*>, 2> usable;  // In the own zone, and others.
  // Used only if there is nothing better: those that fail part of their
  // requests, and those that are missing from the list.
  target* last_resort = nullptr;
  for (const auto& each : from.targets) {
    const bool open = IsOpen(*each, now) && each->health.IsReachable(now) &&
                      each->health.HasRoom(now) && !by.WasTried(each.get());
    if (!open) {
      continue;
    }
    if (each->missing_since || !each->health.IsTrusted(now)) {
      const bool better =
          last_resort == nullptr ||
          each->health.in_flight() < last_resort->health.in_flight();
      last_resort = better ? each.get() : last_resort;
      continue;
    }
    usable[each->entry.zone == settings_.zone ? 0 : 1].push_back(each.get());
  }
  const duration far = duration{static_cast<int64_t>(
      static_cast<double>(by.by->objective.count()) * kOtherZoneShare)};
  const int choices = from.limit.is_told() ? kToldChoices : kChoices;
  target* best = nullptr;
  duration best_cost{};
  for (size_t group = 0; group < usable.size(); ++group) {
    auto& members = usable[group];
    for (int choice = 0; choice < choices && !members.empty(); ++choice) {
      const size_t at = random_() % members.size();
      target* candidate = members[at];
      members[at] = members.back();
      members.pop_back();
      const duration cost = candidate->health.ExpectedLatency(now) +
                            (group == 0 ? duration{0} : far);
      if (best == nullptr || cost < best_cost) {
        best = candidate;
        best_cost = cost;
      }
    }
  }
  return best != nullptr ? best : last_resort;
}

duration request_router::ExpectedWait(const service& at, const request& by,
                                      time_point now) const {
  double room = 0.0;
  double speed = 0.0;  // Requests a microsecond.
  for (const auto& each : at.targets) {
    if (!IsOpen(*each, now) || !each->health.IsReachable(now)) {
      continue;
    }
    room += std::max(0.0, each->health.limit() - each->health.in_flight());
    speed += each->health.limit() /
             std::max(1.0, static_cast<double>(each->health.latency().count()));
  }
  const double limit = at.limit.limit();
  if (limit < room + at.in_flight) {
    speed *= limit / std::max(1.0, room + at.in_flight);
    room = std::max(0.0, limit - at.in_flight);
  }
  const size_t ahead = at.queue.AheadOf(by.by->rank);
  const double beyond = static_cast<double>(ahead) - std::floor(room) + 1.0;
  if (beyond <= 0.0 || speed <= 0.0) {
    return duration{0};
  }
  return duration{static_cast<int64_t>(beyond / speed)};
}

std::optional<refusal_reason> request_router::CannotServe(service& by,
                                                          const request& asked,
                                                          time_point now) {
  if (crashes_.IsCrashing(asked.content, now)) {
    return refusal_reason::kCrashesTargets;
  }
  const auto hopeless = [&](duration expected) {
    const double most =
        static_cast<double>(asked.by->objective.count()) * kHopelessShare;
    return static_cast<double>(expected.count()) > most ||
           now + expected > asked.expires;
  };
  if (by.keyed) {
    const key_range* range = asked.key ? by.owners.Find(*asked.key) : nullptr;
    if (range == nullptr || range->owner.id.empty()) {
      return refusal_reason::kNoOwner;
    }
    if (!range->granted) {
      const auto since = by.moving_since.find(range->fence);
      const bool stuck =
          since != by.moving_since.end() && now - since->second > kMoveTime;
      return stuck ? std::optional{refusal_reason::kNoOwner} : std::nullopt;
    }
    const target* owner = by.FindLife(range->owner);
    if (owner == nullptr) {
      return refusal_reason::kNoOwner;
    }
    if (owner->availability.IsCold(now)) {
      return refusal_reason::kNoWarmTarget;
    }
    if (IsEvacuationOver(*owner, now) ||
        !owner->health.IsReachable(now + asked.by->objective / 2)) {
      return refusal_reason::kNoTarget;
    }
    // Full of other hosts' requests, and no turn of this host's comes in time.
    const duration most_wait =
        MostWait(asked.by->objective, owner->health.LikelyLatency());
    if (owner->health.PausedUntil() > now + most_wait) {
      return refusal_reason::kQueueFull;
    }
    const size_t ahead = owner->queue.AheadOf(asked.by->rank);
    const duration latency = owner->health.latency();
    const auto wait = duration{static_cast<int64_t>(
        static_cast<double>(latency.count() * static_cast<int64_t>(ahead)) /
        owner->health.limit())};
    if (ahead > 0 && hopeless(wait + latency / 2)) {
      return refusal_reason::kQueueFull;
    }
    return std::nullopt;
  }
  bool any = false;
  for (const auto& each : by.targets) {
    any = any || (IsOpen(*each, now) &&
                  each->health.IsReachable(now + asked.by->objective / 2));
  }
  if (!any) {
    return WarmAt(by, now) ? refusal_reason::kNoWarmTarget
                           : refusal_reason::kNoTarget;
  }
  if (by.waiting_count > 0 && hopeless(ExpectedWait(by, asked, now))) {
    return refusal_reason::kQueueFull;
  }
  return std::nullopt;
}

duration request_router::LikelyLatency(const service& at, const target* owner,
                                       time_point now) {
  if (at.keyed) {
    return owner == nullptr ? duration{0} : owner->health.LikelyLatency();
  }
  duration least = duration::max();
  for (const auto& each : at.targets) {
    if (IsOpen(*each, now) && each->health.IsTrusted(now)) {
      least = std::min(least, each->health.LikelyLatency());
    }
  }
  return least == duration::max() ? duration{0} : least;
}

std::optional<time_point> request_router::WarmAt(const service& at,
                                                 time_point now) {
  std::optional<time_point> first;
  for (const auto& each : at.targets) {
    const target_availability& of = each->availability;
    if (of.IsCold(now) && !of.IsEvacuated() && !each->entry.draining) {
      first = std::min(first.value_or(of.cold_until()), of.cold_until());
    }
  }
  return first;
}

duration request_router::RetryAfter(const request& refused,
                                    refusal_reason reason, time_point now) {
  service& at = *refused.at;
  duration base = at.keyed ? kRetryAfterOwner : ExpectedWait(at, refused, now);
  if (reason == refusal_reason::kNoWarmTarget) {
    base = WarmAt(at, now).value_or(now) - now;
  }
  if (QueueOf(at, FindOwner(at, refused)).IsOverloaded(now)) {
    base = RetryAfterOverload(refused.by->objective);
  }
  base = std::max(base, kRetryAfterLeast);
  // Spread over half to one and a half of the time, so that callers refused
  // together do not return together.
  const auto spread = static_cast<int64_t>(random_() % 1000);
  duration chosen = base / 2 + base * spread / 1000;
  const duration left = refused.caller_waits - now;
  chosen = std::min(chosen, left / kRetryAfterPart);
  return std::max(chosen, duration{0});
}

}  // namespace foxtailspread
