// Admission of requests to the owners of their keys.
//
// Load patterns that these rules are made for: dozens of hosts that share the
// few slots of each owner, with more demand for its keys, or for one of them,
// than it serves.

#include <algorithm>
#include <bit>

#include "foxtailspread/load/owner_admission.h"
#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Callers honour at most this part of the time that they have left.
constexpr int kMaxRetryAfterDivisor = 3;
constexpr duration kMinRetryAfter{std::chrono::milliseconds{60}};

}  // namespace

int request_router::MoreUrgentRanks(const request& pending_request) const {
  constexpr int kMaxRanks = 64;
  const std::string& name = pending_request.service_state->name;
  uint64_t ranks = 0;
  for (const route& each : pending_request.table->config().routes) {
    const bool is_more_urgent =
        each.rank < pending_request.matched_route->rank && each.rank >= 0 &&
        each.rank < kMaxRanks &&
        std::ranges::find(each.services, name, &weighted_service::service) !=
            each.services.end();
    ranks |= is_more_urgent ? uint64_t{1} << static_cast<unsigned>(each.rank)
                            : uint64_t{0};
  }
  return std::popcount(ranks);
}

std::optional<owner_state> request_router::OwnerStateOf(
    const service& service_state, const target& owner, time_point now) const {
  if (!service_state.keyed || !service_state.rejections.resets_connections()) {
    return std::nullopt;
  }
  const target_load* load = LoadOf(owner, now);
  if (load == nullptr || table_ == nullptr) {
    return std::nullopt;
  }
  auto state =
      OwnerStateFrom(*load, owner.entry.slots,
                     ExpectedOccupancyOf(owner, now).value_or(load->occupied));
  if (!state || !NeedsSharedView(host_count_, state->slots, state->work,
                                 service_state.sharing.objective())) {
    return std::nullopt;
  }
  state->has_rejected_since = owner.rejected_at > load->as_of;
  state->is_overloaded =
      state->is_overloaded || owner.queue.IsOverloaded(now) ||
      service_state.throttles.IsThrottled(owner.entry.life, now);
  return state;
}

admission_request request_router::AdmissionRequestFor(
    const target& owner, const request& pending_request, time_point now) const {
  const throttle_gate& throttles = pending_request.service_state->throttles;
  const bool is_throttled_key =
      pending_request.key &&
      throttles.AdmittedFraction(*pending_request.key, owner.entry.life, now) <
          1.0;
  return {.objective = pending_request.matched_route->objective,
          .age = now - pending_request.arrival_time,
          .time_left = pending_request.deadline - now,
          .more_urgent_ranks = MoreUrgentRanks(pending_request),
          .is_throttled_key = is_throttled_key,
          .waiting_before = pending_request.is_waiting()
                                ? 0
                                : owner.queue.CountAtLeastAsUrgent(
                                      pending_request.matched_route->rank)};
}

bool request_router::HasRoomAt(const target& owner,
                               const request& pending_request,
                               time_point now) const {
  const service& service_state = *pending_request.service_state;
  const auto state = OwnerStateOf(service_state, owner, now);
  if (!state) {
    return owner.health.HasCapacity(now);
  }
  const int max_connections = MaxConnections(service_state.name);
  return (max_connections == 0 || owner.health.in_flight() < max_connections) &&
         foxtailspread::Admit(
             *state, AdmissionRequestFor(owner, pending_request, now)) ==
             admission::kSend;
}

bool request_router::IsOwnerBusy(const target& owner,
                                 const request& pending_request,
                                 time_point now) const {
  const auto state = OwnerStateOf(*pending_request.service_state, owner, now);
  return state && foxtailspread::Admit(
                      *state, AdmissionRequestFor(owner, pending_request,
                                                  now)) == admission::kRefuse;
}

bool request_router::IsResetByFullTarget(const target& attempted,
                                         attempt_verdict verdict,
                                         time_point now) const {
  const auto occupied = ExpectedOccupancyOf(attempted, now);
  return verdict == attempt_verdict::kBroken && occupied &&
         *occupied >= attempted.entry.slots;
}

std::optional<refusal_reason> request_router::AdmissionRefusalFor(
    service& service_state, const request& pending_request, const target& owner,
    time_point now) {
  const bool is_throttled =
      pending_request.key && service_state.rejections.resets_connections() &&
      service_state.throttles.Decide(*pending_request.key, owner.entry.life,
                                     now) == throttle_gate::verdict::kRefused;
  if (is_throttled) {
    return refusal_reason::kKeyThrottled;
  }
  return IsOwnerBusy(owner, pending_request, now)
             ? std::optional{refusal_reason::kOwnerBusy}
             : std::nullopt;
}

duration request_router::RetryAfterAdmission(const request& refused_request,
                                             refusal_reason reason,
                                             time_point now) {
  service& service_state = *refused_request.service_state;
  const duration longest =
      std::max(refused_request.caller_deadline - now, duration{0}) /
      kMaxRetryAfterDivisor;
  const target* owner = FindOwner(service_state, refused_request);
  const auto state = owner == nullptr
                         ? std::nullopt
                         : OwnerStateOf(service_state, *owner, now);
  duration until_room = kMinRetryAfter;
  if (reason == refusal_reason::kOwnerBusy && state) {
    until_room += TimeUntilRoom(
        *state, AdmissionRequestFor(*owner, refused_request, now));
  } else {
    // The share of a throttled key grows only when its demand falls.
    until_room = longest;
  }
  until_room = std::min(until_room, longest);
  // From then on to twice that time, so that callers refused together do not
  // return together.
  const duration spread = std::max<duration>(
      std::min(until_room, longest - until_room), longest / 4);
  const auto jitter_permille = static_cast<int64_t>(random_() % 1000);
  return std::min(until_room, longest - spread) +
         spread * jitter_permille / 1000;
}

void request_router::OnKeyThrottles(const key_throttles& throttles,
                                    time_point now) {
  const auto found = services_.find(throttles.service);
  if (found != services_.end()) {
    found->second->throttles.Update(throttles, now);
  }
}

std::vector<owner_capacity> request_router::OwnerCapacities(
    const std::string& service_name, time_point now) const {
  std::vector<owner_capacity> capacities;
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    return capacities;
  }
  for (const auto& owner : found->second->targets) {
    if (const auto state = OwnerStateOf(*found->second, *owner, now)) {
      capacities.push_back(
          {.owner = owner->entry.life,
           .per_second = ServiceRate(*state),
           .work = state->work,
           .has_queue = state->occupied >= 2.0 * state->slots});
    }
  }
  return capacities;
}

}  // namespace foxtailspread
