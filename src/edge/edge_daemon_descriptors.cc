// The descriptors of this host: who may have how many, and what is told of it.

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "edge/edge_daemon.h"
#include "foxtailspread/load/descriptor_budget.h"
#include "net/log.h"

namespace foxtailspread {
namespace {

/// Descriptors count as free again when nothing has lacked them for this time.
constexpr duration kFreeAfter{std::chrono::seconds{5}};

/// What the system lets this process have.
size_t ProcessLimit() {
  rlimit limit{};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return is_known ? static_cast<size_t>(limit.rlim_cur)
                  : std::numeric_limits<size_t>::max();
}

}  // namespace

void edge_daemon::LimitDescriptors() {
  const descriptor_shares shares = ShareDescriptors(
      std::min(ProcessLimit(), platform::SocketDescriptors(settings_)));
  callers_.SetMostConnections(shares.callers, shares.refusals);
  relayed_.SetMostConnections(shares.relayed, shares.refusals);
  targets_pool_.SetMostConnections(shares.targets);
  most_callers_ = shares.callers;
}

uint64_t edge_daemon::NotConnected() const {
  return targets_pool_.not_made() + orders_pool_.not_made() +
         probes_pool_.not_made() + relays_pool_.not_made();
}

uint64_t edge_daemon::Shortages() const {
  return callers_.room().total() + relayed_.room().total() +
         readiness_.room().total() + targets_pool_.closed_for_room() +
         NotConnected();
}

void edge_daemon::LogDescriptors(time_point now) {
  const uint64_t shortages = Shortages();
  if (shortages > std::exchange(shortages_, shortages)) {
    descriptors_short_until_ = now + kFreeAfter;
  }
  const bool is_short = now < descriptors_short_until_;
  if (is_short == descriptors_are_short_) {
    return;
  }
  descriptors_are_short_ = is_short;
  const room_counts& room = callers_.room();
  LogEvent(is_short ? event_id::kDescriptorsShort : event_id::kDescriptorsFree,
           {{"callers", static_cast<int64_t>(callers_.connections())},
            {"bound", static_cast<int64_t>(most_callers_)},
            {"relayed", static_cast<int64_t>(relayed_.connections())},
            {"targets", static_cast<int64_t>(targets_pool_.connections())},
            {"closed", static_cast<int64_t>(room.closed)},
            {"refused", static_cast<int64_t>(room.refused)},
            {"waits", static_cast<int64_t>(room.waits)},
            {"not_connected", static_cast<int64_t>(NotConnected())}});
}

void edge_daemon::AppendDescriptorMetrics(std::string& text) const {
  const auto line = [&](std::string_view name, std::string_view kind,
                        uint64_t value) {
    AppendMetric(text, name, MetricLabel("kind", kind),
                 static_cast<double>(value));
  };
  line("connections", "callers", callers_.connections());
  line("connections", "relayed", relayed_.connections());
  line("connections", "balancer", readiness_.connections());
  line("connections", "targets", targets_pool_.connections());
  line("connections", "orders", orders_pool_.connections());
  line("connections", "hosts", relays_pool_.connections());
  AppendMetric(text, "callers_connections_bound", "",
               static_cast<double>(most_callers_));
  for (const auto& [kind, server] :
       {std::pair{"callers", &callers_}, std::pair{"relayed", &relayed_}}) {
    line("connections_closed_for_room_total", kind, server->room().closed);
    line("connections_refused_total", kind, server->room().refused);
    line("accept_waits_total", kind, server->room().waits);
  }
  line("connections_closed_for_room_total", "targets",
       targets_pool_.closed_for_room());
  AppendMetric(text, "connections_not_made_total", "",
               static_cast<double>(NotConnected()));
}

}  // namespace foxtailspread
