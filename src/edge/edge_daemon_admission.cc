// Throttling of keys that get more requests than their owners serve.

#include <string>
#include <utility>

#include "edge/edge_daemon.h"
#include "foxtailspread/host_messages.h"
#include "net/log.h"

namespace foxtailspread {

void edge_daemon::ThrottleKeys() {
  const time_point now = Now();
  if (!assigner_.IsHolder(now)) {
    throttlers_.clear();
    return;
  }
  for (const service_settings& each : router_.table()->config().services) {
    const key_map* map = each.keyed ? assigner_.MapOf(each.name) : nullptr;
    if (map == nullptr) {
      continue;
    }
    const auto capacities = router_.OwnerCapacities(each.name, now);
    const auto known = throttlers_.find(each.name);
    if (capacities.empty() && known == throttlers_.end()) {
      continue;
    }
    assigner_.OnOwnerSpeeds(each.name, capacities, now);
    service_throttler& throttler = throttlers_[each.name];
    key_throttles throttles{
        .service = each.name,
        .lease_revision = assigner_.lease_revision(),
        .sequence = ++throttler.sequence,
        .entries = throttler.planner.Plan(
            *map, assigner_.RecentRatesOf(each.name), capacities)};
    for (const throttle_note& note : throttler.planner.TakeNotes()) {
      LogEvent(note.is_throttled ? event_id::kKeysThrottled
                                 : event_id::kKeysUnthrottled,
               {{"service", each.name},
                {"target", note.owner.id},
                {"requested_per_s", note.demand_per_second},
                {"served_per_s", note.served_per_second}});
    }
    // That there are none any more is told a few times: datagrams get lost.
    constexpr int kEmptyRepeats = 3;
    throttler.empty_sent =
        throttles.entries.empty() ? throttler.empty_sent + 1 : 0;
    if (throttler.empty_sent <= kEmptyRepeats) {
      OnKeyThrottles(throttles, now);
      SendToHosts(assigner_.OtherHosts(now), FormatHostMessage(throttles));
    }
  }
}

void edge_daemon::OnKeyThrottles(const key_throttles& throttles,
                                 time_point now) {
  router_.OnKeyThrottles(throttles, now);
}

}  // namespace foxtailspread
