#ifndef FOXTAILSPREAD_TRAFFIC_BY_ZONE_H_
#define FOXTAILSPREAD_TRAFFIC_BY_ZONE_H_

/// @file
/// Bytes that a host exchanges with targets, other hosts and the store, by
/// cause and availability zone.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace foxtailspread {

/// Zone of the other end, as seen from this host.
enum class peer_zone {
  kOwn,
  kOther,
  kUnknown,
};

/// Returns the zone of a peer; an empty `zone` is unknown.
peer_zone PeerZoneOf(std::string_view zone, std::string_view own_zone);

/// Counts since the process started. Headers below HTTP and of datagrams are
/// not counted.
///
/// @code
/// traffic.Count("answer", "checkout", peer_zone::kOther, answer.body.size());
/// @endcode
class traffic_by_zone {
 public:
  /// Counts one message. `kind` is its service, its kind of datagram or its
  /// kind of store call.
  void Count(std::string_view cause, std::string_view kind, peer_zone zone,
             size_t bytes);

  /// All of it as Prometheus text.
  std::string Text() const;

 private:
  struct total {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  std::map<std::tuple<std::string, std::string, peer_zone>, total> totals_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TRAFFIC_BY_ZONE_H_
