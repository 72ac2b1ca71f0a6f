#include <utility>

#include "edge/edge_daemon.h"
#include "foxtailspread/host_messages.h"
#include "net/log.h"

// The loads of targets, between this host and the others.

namespace foxtailspread {

/// Lets loads be shared soon. Nothing is armed where no service calls for it.
void edge_daemon::ShareLoadsSoon() {
  if (!std::exchange(loads_due_, true)) {
    share_loads_ = RunAfter(LoadSharingPeriod(assigner_.HostCount()),
                            [this] { ShareLoads(); });
  }
}

bool edge_daemon::SumsLoads(time_point now) const {
  return assigner_.IsHolder(now) || PassesOnReports();
}

/// Tells the holder of the lease what targets told this host, and its own
/// requests. The holder tells all hosts.
void edge_daemon::ShareLoads() {
  loads_due_ = false;
  if (router_.table() == nullptr) {
    return;
  }
  const time_point now = Now();
  const auto heard = router_.TakeLoadNews(settings_.name, now);
  if (SumsLoads(now)) {
    loads_.SetHostCount(assigner_.HostCount());
    if (heard) {
      loads_.OnRecord(*heard, now);
    }
    const loads_record all = loads_.TakeChanged(now);
    if (!all.loads.empty() || !all.sums.empty()) {
      router_.OnLoads(all.loads, now);
      router_.OnLoadSums(all.sums, now);
      const std::string bytes = FormatHostMessage(all);
      const size_t hosts = assigner_.HostCount();
      SendToHosts(assigner_.OtherHosts(now, NeedsRelays(bytes.size(), hosts)),
                  bytes);
    }
  } else {
    loads_.Clear();
    const auto& lease = assigner_.lease();
    if (heard && lease && !lease->address.empty()) {
      SendToHost(lease->address, FormatHostMessage(*heard));
    }
  }
  if (router_.HasLoadNews() || !loads_.empty()) {
    ShareLoadsSoon();
  }
}

void edge_daemon::OnLoads(const loads_record& record, time_point now) {
  // A former holder that has not learnt of its successor yet sends merged
  // loads; as reported they count once more, which harms nothing, and sums of
  // others do not count.
  if (SumsLoads(now)) {
    loads_.SetHostCount(assigner_.HostCount());
    loads_.OnRecord(record, now);
    ShareLoadsSoon();
  } else {
    router_.OnLoads(record.loads, now);
    router_.OnLoadSums(record.sums, now);
  }
}

void edge_daemon::CarryOne(const load_sharing_action& action) {
  LogEvent(action.is_on ? event_id::kLoadsShared : event_id::kLoadsNotShared,
           {{"service", action.service},
            {"hosts", static_cast<int64_t>(action.hosts)},
            {"slots", int64_t{action.slots}},
            {"work_ms", action.work.count() / 1000},
            {"objective_ms", action.objective.count() / 1000}});
}

}  // namespace foxtailspread
