// What attempts and probes tell of this host's paths to the targets.

#include <algorithm>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Hosts that one request is handed to at most, one after the other.
constexpr int kMaxRelays = 3;

}  // namespace

void request_router::RecordReach(const target& attempted,
                                 attempt_verdict verdict, time_point now,
                                 router_actions& out) {
  switch (verdict) {
    case attempt_verdict::kServed:
    case attempt_verdict::kFailed:
    case attempt_verdict::kShed:
    case attempt_verdict::kMisdirected:
    case attempt_verdict::kNotOwner:
      reach_.OnAnswer(attempted.entry.life.id);
      break;
    case attempt_verdict::kUnreachable:
      reach_.OnUnreachable(attempted.entry.life.id, now);
      break;
    case attempt_verdict::kBroken:
      reach_.OnFailed(attempted.entry.life.id, now);
      break;
    case attempt_verdict::kNotSent:
      reach_.OnAbandoned(attempted.entry.life.id, now);
      break;
    case attempt_verdict::kTimedOut:
    case attempt_verdict::kAbandoned:
      break;
  }
  UpdateReach(now, out);
}

void request_router::UpdateReach(time_point now, router_actions& out) {
  const target_paths paths = reach_.Paths(now);
  if (std::exchange(paths_, paths) != paths) {
    out.emplace_back(reach_change_action{paths});
    if (paths == target_paths::kAll) {
      relays_.Set({});
    }
  }
  if (const size_t probes = reach_.TakeProbes(now); probes > 0) {
    SendProbes(probes, out);
  }
}

void request_router::SendProbes(size_t count, router_actions& out) {
  std::vector<std::pair<const service*, const target*>> candidates;
  for (const auto& [name, service_state] : services_) {
    for (const auto& candidate : service_state->targets) {
      if (!IsLeaving(*candidate)) {
        candidates.emplace_back(service_state.get(), candidate.get());
      }
    }
  }
  for (; count > 0 && !candidates.empty(); --count) {
    const size_t index = random_() % candidates.size();
    const auto [owner, probed] = candidates[index];
    candidates[index] = candidates.back();
    candidates.pop_back();
    const service_settings* settings = table_->FindService(owner->name);
    out.emplace_back(probe_action{
        .target = probed->entry.life.id,
        .address = probed->entry.address,
        .path = settings == nullptr || settings->health_path.empty()
                    ? "/"
                    : settings->health_path});
  }
}

int request_router::AttemptsLeft(const request& pending_request) {
  const int allowed = std::max(pending_request.relayed_attempts.value_or(
                                   pending_request.matched_route->max_attempts),
                               1);
  return allowed - pending_request.attempt_count;
}

bool request_router::TryRelay(request& pending_request, time_point now,
                              router_actions& out) {
  // A request is relayed by one host only, so that it cannot go round.
  if (pending_request.relayed_attempts || AttemptsLeft(pending_request) < 1 ||
      pending_request.relay_count >= kMaxRelays ||
      pending_request.deadline - now < kMinTimeToSend) {
    return false;
  }
  const std::string address = relays_.Take(random_(), now);
  if (address.empty()) {
    return false;
  }
  LeaveQueue(pending_request);
  pending_request.relayed_to = address;
  ++pending_request.relay_count;
  ++counts_.relayed;
  if (!pending_request.first_sent_time) {
    pending_request.first_sent_time = now;
  }
  out.emplace_back(relay_action{.id = pending_request.id,
                                .address = address,
                                .time_left = pending_request.deadline - now,
                                .attempts_left = AttemptsLeft(pending_request),
                                .may_have_run = pending_request.may_have_run});
  return true;
}

void request_router::StopRelaying(request& pending_request) {
  relays_.OnEnded(pending_request.relayed_to);
  pending_request.relayed_to.clear();
}

void request_router::OnRelayEnded(request_id id, relay_end end, time_point now,
                                  router_actions& out) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second->relayed_to.empty()) {
    return;
  }
  request& pending_request = *found->second;
  if (end != relay_end::kAnswered) {
    relays_.OnFailed(pending_request.relayed_to, now);
  }
  StopRelaying(pending_request);
  switch (end) {
    case relay_end::kAnswered:
      out.emplace_back(
          deliver_action{.id = id, .summary = pending_request.Summary(now)});
      RemoveRequest(pending_request);
      break;
    case relay_end::kNotSent:
      if (!TryRelay(pending_request, now, out)) {
        Refuse(pending_request, refusal_reason::kTargetsUnreachable, now, out);
      }
      break;
    case relay_end::kBroken:
      pending_request.may_have_run = true;
      ++pending_request.attempt_count;
      if (pending_request.matched_route->retry != retry_rule::kIdempotent ||
          !TryTakeRetry(pending_request, now) ||
          !TryRelay(pending_request, now, out)) {
        Refuse(pending_request, refusal_reason::kTargetBroke, now, out);
      }
      break;
  }
}

void request_router::OnRelays(std::span<const std::string> addresses,
                              time_point now, router_actions& out) {
  if (paths_ == target_paths::kAll) {
    return;
  }
  relays_.Set(addresses);
  for (auto& [name, service_state] : services_) {
    SendWaiting(*service_state, now, out);
  }
}

void request_router::OnProbeEnded(const std::string& target, bool is_answered,
                                  time_point now, router_actions& out) {
  if (!is_answered) {
    reach_.OnProbeFailed();
    UpdateReach(now, out);
    return;
  }
  reach_.OnAnswer(target);
  UpdateReach(now, out);
  for (auto& [name, service_state] : services_) {
    SendWaiting(*service_state, now, out);
  }
}

}  // namespace foxtailspread
