// What attempts and probes tell of this host's paths to the targets.

#include <algorithm>
#include <utility>

#include "foxtailspread/request_router.h"
#include "request_router_state.h"

namespace foxtailspread {

void request_router::RecordReach(const target& attempted,
                                 attempt_verdict verdict, time_point now,
                                 router_actions& out) {
  switch (verdict) {
    case attempt_verdict::kServed:
    case attempt_verdict::kFailed:
    case attempt_verdict::kShed:
    case attempt_verdict::kMisdirected:
    case attempt_verdict::kNotOwner:
      reach_.OnAnswer();
      break;
    case attempt_verdict::kUnreachable:
    case attempt_verdict::kBroken:
      reach_.OnFailed(attempted.entry.life.id, now);
      break;
    case attempt_verdict::kTimedOut:
    case attempt_verdict::kAbandoned:
      break;
  }
  UpdateReach(now, out);
}

void request_router::UpdateReach(time_point now, router_actions& out) {
  const bool is_cut_off = reach_.IsCutOff(now);
  if (std::exchange(is_cut_off_, is_cut_off) != is_cut_off) {
    out.emplace_back(reach_change_action{is_cut_off});
  }
  if (!reach_.TakeProbe(now)) {
    return;
  }
  std::vector<std::pair<const service*, const target*>> candidates;
  for (const auto& [name, service_state] : services_) {
    for (const auto& candidate : service_state->targets) {
      if (!IsLeaving(*candidate)) {
        candidates.emplace_back(service_state.get(), candidate.get());
      }
    }
  }
  if (!candidates.empty()) {
    const auto& [owner, probed] = candidates[random_() % candidates.size()];
    const service_settings* settings = table_->FindService(owner->name);
    out.emplace_back(probe_action{
        .address = probed->entry.address,
        .path = settings == nullptr ? "/" : settings->health_path});
  }
}

void request_router::OnProbeEnded(bool is_answered, time_point now,
                                  router_actions& out) {
  if (!is_answered) {
    return;
  }
  reach_.OnAnswer();
  UpdateReach(now, out);
  for (auto& [name, service_state] : services_) {
    SendWaiting(*service_state, now, out);
  }
}

}  // namespace foxtailspread
