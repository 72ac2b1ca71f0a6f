#include "foxtailspread/zone_fanout.h"

#include <algorithm>
#include <map>

namespace foxtailspread {
namespace {

/// Fewer hosts of a zone than this get their datagrams from the sender: a relay
/// would spare little and could be lost.
constexpr size_t kLeastRelayed = 3;

/// Relays of a zone that take turns, those with the widest links.
constexpr size_t kRelays = 3;

using zone_members = std::vector<const fanout_host*>;

zone_members RelaysOf(const zone_members& members) {
  zone_members relays;
  std::copy_if(members.begin(), members.end(), std::back_inserter(relays),
               [](const fanout_host* each) { return each->may_relay; });
  std::stable_sort(relays.begin(), relays.end(),
                   [](const fanout_host* a, const fanout_host* b) {
                     return a->link_mbps > b->link_mbps;
                   });
  relays.resize(std::min(relays.size(), kRelays));
  return relays;
}

}  // namespace

std::vector<fanout_hop> PlanFanout(std::span<const fanout_host> hosts,
                                   std::string_view own_zone, uint64_t turn) {
  std::vector<fanout_hop> hops;
  std::map<std::string_view, zone_members> zones;
  for (const fanout_host& each : hosts) {
    if (each.direct || each.zone == own_zone) {
      hops.push_back({.address = std::string{each.address}});
    } else {
      zones[each.zone].push_back(&each);
    }
  }
  for (const auto& [zone, members] : zones) {
    const zone_members relays =
        members.size() >= kLeastRelayed ? RelaysOf(members) : zone_members{};
    if (relays.empty()) {
      for (const fanout_host* each : members) {
        hops.push_back({.address = std::string{each->address}});
      }
      continue;
    }
    const fanout_host* relay = relays[turn % relays.size()];
    fanout_hop& hop = hops.emplace_back();
    hop.address = relay->address;
    for (const fanout_host* each : members) {
      if (each != relay) {
        hop.forward_to.emplace_back(each->address);
      }
    }
  }
  return hops;
}

}  // namespace foxtailspread
