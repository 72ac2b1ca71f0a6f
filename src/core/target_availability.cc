#include "foxtailspread/target_availability.h"

#include <algorithm>

namespace foxtailspread {

cold_policy ColdPolicyOf(const service_settings& service) {
  return {.cold_time = service.cold_time,
          .is_fragile_when_cold = service.cold_requests_per_second > 0.0};
}

void target_availability::OnEntry(const target_entry& entry,
                                  const cold_policy& policy, time_point now) {
  if (policy.is_fragile_when_cold) {
    cold_until_ = std::max(cold_until_, now + entry.remaining_cold_time);
  }
}

void target_availability::OnEvacuated(bool evacuated, const cold_policy& policy,
                                      time_point now) {
  if (evacuated && !evacuated_since_) {
    evacuated_since_ = now;
  } else if (!evacuated && evacuated_since_) {
    evacuated_since_.reset();
    if (policy.is_fragile_when_cold) {
      cold_until_ = std::max(cold_until_, now + policy.cold_time);
    }
  }
}

}  // namespace foxtailspread
