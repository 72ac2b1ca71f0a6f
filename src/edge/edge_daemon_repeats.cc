#include <string>

#include "edge/edge_daemon.h"
#include "foxtailspread/host_messages.h"
#include "net/log.h"

// Announcements of the lease holder that a host has missed.

namespace foxtailspread {

void edge_daemon::AskForRepeat() {
  const auto& lease = assigner_.lease();
  if (!lease || lease->address.empty() || router_.table() == nullptr) {
    return;
  }
  repeat_request request{.address = settings_.hosts,
                         .config_version = ConfigVersion(),
                         .lease_host = lease->host,
                         .owners = {}};
  for (const service_settings& each : router_.table()->config().services) {
    if (each.keyed) {
      request.owners.push_back(
          {.service = each.name, .revision = assigner_.MapRevision(each.name)});
    }
  }
  metrics_.OnRepeatAsked();
  hosts_.Send(lease->address, FormatHostMessage(request));
}

void edge_daemon::OnRepeatRequest(const repeat_request& request) {
  const auto& lease = assigner_.lease();
  if (!lease || !assigner_.IsHolder(Now())) {
    return;
  }
  size_t repeats = 0;
  const auto repeat = [&](const host_message& message) {
    ++repeats;
    hosts_.Send(request.address, FormatHostMessage(message));
  };
  if (request.config_version < ConfigVersion() &&
      config_in_force_.content.size() <= kMostShared) {
    repeat(DeclarationsInForce());
  }
  if (request.lease_host != lease->host) {
    repeat(LeaseObject(*lease));
  }
  for (const held_owners& held : request.owners) {
    for (const owners_record& record :
         announced_.Since(held.service, held.revision)) {
      repeat(record);
    }
  }
  metrics_.OnRepeated(repeats);
}

}  // namespace foxtailspread
