#include "foxtailspread/permit_issuer.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Size of a burst: this many permits, or this many seconds' worth.
constexpr double kMinBurst = 2.0;
constexpr double kBurstSeconds = 0.5;

/// Most permits in one grant; more requests do not wait for one target.
constexpr uint32_t kMaxPermitsPerGrant = 64;

/// A target that no host asked about for this time is forgotten.
constexpr duration kScheduleTtl{std::chrono::minutes{1}};

duration Seconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

permit_grant permit_issuer::Issue(const target_life& target,
                                  const permit_demand& demand,
                                  double per_second, time_point now) {
  const duration interval = Seconds(1.0 / per_second);
  const double burst = std::max(kMinBurst, kBurstSeconds * per_second);
  const duration tolerance = Seconds((burst - 1.0) / per_second);
  const std::pair key{target.id, target.started};
  if (!schedules_.contains(key)) {
    DropUnused(now);
    schedules_[key].next_slot = now + tolerance + interval;
  }
  schedule& slots = schedules_[key];
  slots.used_at = now;
  permit_grant grant;
  const uint32_t wanted = std::min(demand.count, kMaxPermitsPerGrant);
  while (true) {
    grant.next_delay = std::max(slots.next_slot - tolerance - now, duration{0});
    if (grant.delays.size() >= wanted || grant.next_delay > demand.max_delay) {
      return grant;
    }
    grant.delays.push_back(grant.next_delay);
    slots.next_slot = std::max(slots.next_slot, now) + interval;
  }
}

void permit_issuer::DropUnused(time_point now) {
  std::erase_if(schedules_, [&](const auto& life_and_schedule) {
    return now - life_and_schedule.second.used_at > kScheduleTtl;
  });
}

}  // namespace foxtailspread
