#ifndef FOXTAILSPREAD_PEER_DIRECTORY_H_
#define FOXTAILSPREAD_PEER_DIRECTORY_H_

/// @file
/// The entry hosts of the deployment, as registered in the platform's objects
/// `hosts/NAME`, and the time of the last message received from each.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The prefix of the keys of entry hosts in the platform's object store.
inline constexpr std::string_view kHostKeyPrefix = "hosts/";

/// An entry host's registration of itself in the object `hosts/NAME`.
struct host_entry {
  std::string name;
  std::string zone;
  std::string http;   ///< "IP:port" for callers, operators and forwards.
  std::string peer;   ///< "IP:port" for messages between entry hosts.
  uint64_t life = 0;  ///< Incarnation number; newer ones are higher.
  bool leaving = false;

  bool operator==(const host_entry&) const = default;
};

/// Parses the value of `hosts/NAME`.
result<host_entry> ParseHostEntry(std::string_view name, std::string_view text);

/// Formats the value of `hosts/NAME`.
std::string FormatHostEntry(const host_entry& entry);

/// All known entry hosts, this one included.
class peer_directory {
 public:
  explicit peer_directory(host_entry self);

  /// Adds or replaces a host. An entry with an older life is ignored.
  void Update(const host_entry& entry);
  /// Removes a host whose object was removed from the platform.
  void Remove(std::string_view name);
  /// Records a message from `from`. Unknown hosts and messages from an older
  /// life are ignored; a newer life replaces the known one.
  void RecordMessage(const member& from, time_point now);
  /// Records that the host announced that it is leaving.
  void MarkLeaving(std::string_view name);

  /// Returns the host, or nullptr.
  const host_entry* Find(std::string_view name) const;
  /// Returns whether a message of the host arrived less than `within` ago and
  /// it is not leaving. This host itself is always alive.
  bool IsAlive(std::string_view name, time_point now, duration within) const;
  /// Returns the time since the host's last message, or nullopt if there was
  /// none.
  std::optional<duration> TimeSinceLastMessage(std::string_view name,
                                               time_point now) const;
  /// Returns the newest known life of the host, or 0 if it is unknown.
  uint64_t LatestLife(std::string_view name) const;
  /// Returns the names of all hosts of a zone in ascending order. Valid until
  /// the next change.
  const std::vector<std::string>& HostsOfZone(std::string_view zone) const;
  /// Returns this host's position among the hosts of its zone.
  size_t OwnRank() const;
  /// Returns all names in ascending order.
  std::vector<std::string> HostNames() const;

  /// Returns the hosts that this one relays changes to: the next
  /// kRingNeighbours hosts of its own zone in a ring by name, and one host of
  /// each of the next kZoneNeighbours zones. A change reaches all n hosts of a
  /// zone in n/kRingNeighbours steps, while the number of messages that one
  /// host sends does not grow with the number of hosts.
  std::vector<std::string> Neighbours() const;

  const host_entry& self() const { return self_; }

  static constexpr size_t kRingNeighbours = 3;
  static constexpr size_t kZoneNeighbours = 2;

 private:
  struct known_host {
    host_entry entry;
    time_point last_message_time{};
    bool has_sent_message = false;
  };

  void AddToZone(std::string_view name, std::string_view zone);
  void RemoveFromZone(std::string_view name, std::string_view zone);

  host_entry self_;
  std::map<std::string, known_host, std::less<>> hosts_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_zone_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PEER_DIRECTORY_H_
