#ifndef FOXTAILSPREAD_ZONE_FANOUT_H_
#define FOXTAILSPREAD_ZONE_FANOUT_H_

/// @file
/// Distribution of one host's datagrams to all other hosts.
///
/// Load pattern: the lease holder announces each change to hundreds of hosts,
/// many times a second while keys move. Sent to each host directly, a change of
/// 2 KB saturates the holder's link and crosses zone boundaries once per host.
/// Sent to one relay in each other zone, which forwards it, it crosses once per
/// zone.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailspread {

/// A host that a datagram is to reach.
struct fanout_host {
  std::string_view zone;
  std::string_view address;  ///< Where it receives datagrams.
  double link_mbps = 0.0;    ///< Capacity of its link; 0 if unknown.
  /// Whether it may forward datagrams: it has reported recently, so it is
  /// probably alive.
  bool may_relay = true;
  /// Whether the sender sends to it directly, so that no lost relay affects it.
  bool direct = false;
};

/// One datagram of the sender: its receiver, and the hosts that the receiver
/// forwards it to.
struct fanout_hop {
  std::string address;
  std::vector<std::string> forward_to{};

  bool operator==(const fanout_hop&) const = default;
};

/// Plans how a datagram reaches all `hosts`. `rotation` selects the relay of
/// each zone. Callers increase it over time, so that a failed relay loses only
/// a fraction of its zone's datagrams. Datagrams with the same `rotation` take
/// the same path.
std::vector<fanout_hop> PlanFanout(std::span<const fanout_host> hosts,
                                   std::string_view own_zone,
                                   uint64_t rotation);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ZONE_FANOUT_H_
