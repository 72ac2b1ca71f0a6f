#include "foxtailspread/zone_fanout.h"

#include <algorithm>
#include <map>

namespace foxtailspread {
namespace {

/// A zone with fewer hosts gets its datagrams directly from the sender: a relay
/// would save little and could fail.
constexpr size_t kMinHostsForRelay = 3;

/// Number of relays per zone that are used in rotation: those with the fastest
/// links.
constexpr size_t kRelaysPerZone = 3;

using zone_members = std::vector<const fanout_host*>;

zone_members SelectRelays(const zone_members& members) {
  zone_members relays;
  std::copy_if(members.begin(), members.end(), std::back_inserter(relays),
               [](const fanout_host* member) { return member->may_relay; });
  std::stable_sort(relays.begin(), relays.end(),
                   [](const fanout_host* a, const fanout_host* b) {
                     return a->link_mbps > b->link_mbps;
                   });
  relays.resize(std::min(relays.size(), kRelaysPerZone));
  return relays;
}

}  // namespace

std::vector<fanout_hop> PlanFanout(std::span<const fanout_host> hosts,
                                   std::string_view own_zone, uint64_t turn) {
  std::vector<fanout_hop> hops;
  std::map<std::string_view, zone_members> zones;
  for (const fanout_host& host : hosts) {
    if (host.direct || host.zone == own_zone) {
      hops.push_back({.address = std::string{host.address}});
    } else {
      zones[host.zone].push_back(&host);
    }
  }
  for (const auto& [zone, members] : zones) {
    const zone_members relays = members.size() >= kMinHostsForRelay
                                    ? SelectRelays(members)
                                    : zone_members{};
    if (relays.empty()) {
      for (const fanout_host* member : members) {
        hops.push_back({.address = std::string{member->address}});
      }
      continue;
    }
    const fanout_host* relay = relays[turn % relays.size()];
    fanout_hop& hop = hops.emplace_back();
    hop.address = relay->address;
    for (const fanout_host* member : members) {
      if (member != relay) {
        hop.forward_to.emplace_back(member->address);
      }
    }
  }
  return hops;
}

}  // namespace foxtailspread
