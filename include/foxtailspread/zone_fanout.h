#ifndef FOXTAILSPREAD_ZONE_FANOUT_H_
#define FOXTAILSPREAD_ZONE_FANOUT_H_

/// @file
/// How one host's datagram reaches all others.
///
/// Load pattern: the holder of the lease tells hundreds of hosts of each
/// change, many times a second while keys move. Sent to each of them, a change
/// of 2 KB fills the holder's link and crosses the zones once for each host;
/// sent to one host of each other zone, which passes it on, it crosses them
/// once.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailspread {

/// A host that is to get a datagram.
struct fanout_host {
  std::string_view zone;
  std::string_view address;  ///< Where it takes datagrams.
  double link_mbps = 0.0;    ///< What its link carries; 0 if not known.
  /// Heard of a moment ago, so that it may be trusted to pass datagrams on.
  bool may_relay = true;
  /// Gets the datagram from the sender itself, whatever becomes of relays.
  bool direct = false;
};

/// The first receiver of a datagram, and those to whom it passes it on.
struct fanout_hop {
  std::string address;
  std::vector<std::string> forward_to{};

  bool operator==(const fanout_hop&) const = default;
};

/// Plans how a datagram reaches all `hosts`. Relays take turns by `turn`, so
/// that one that is lost costs its zone a part of the datagrams only.
std::vector<fanout_hop> PlanFanout(std::span<const fanout_host> hosts,
                                   std::string_view own_zone, uint64_t turn);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ZONE_FANOUT_H_
