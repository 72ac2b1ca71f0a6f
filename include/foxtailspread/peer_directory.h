#ifndef FOXTAILSPREAD_PEER_DIRECTORY_H_
#define FOXTAILSPREAD_PEER_DIRECTORY_H_

/// @file
/// The entry hosts of the deployment: who they are, from the platform's
/// objects `hosts/NAME`, and who was heard of lately, first-hand.

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

/// The prefix of the platform's keys of entry hosts.
inline constexpr std::string_view kHostKeyPrefix = "hosts/";

/// What an entry host says of itself in its object `hosts/NAME`.
struct host_entry {
  std::string name;
  std::string zone;
  std::string http;  ///< "IP:port" for callers, operators and forwards.
  std::string peer;  ///< "IP:port" for messages between entry hosts.
  uint64_t life = 0;
  bool leaving = false;

  bool operator==(const host_entry&) const = default;
};

/// Parses the value of `hosts/NAME`.
result<host_entry> ParseHostEntry(std::string_view name, std::string_view text);

/// Writes the value of `hosts/NAME`.
std::string FormatHostEntry(const host_entry& entry);

/// All known entry hosts.
class peer_directory {
 public:
  explicit peer_directory(host_entry self);

  /// Takes an entry of the platform over. A host's life never goes back.
  void Update(const host_entry& entry);
  /// Forgets a host whose object was removed.
  void Remove(std::string_view name);
  /// Notes a message of that host; an unknown host is noted by name only.
  void Heard(const member& from, time_point now);
  /// Notes that the host said it is leaving.
  void NoteLeaving(std::string_view name);

  /// Returns the host, or nullptr.
  const host_entry* Find(std::string_view name) const;
  /// Returns whether the host was heard within `within` and is not leaving.
  bool Alive(std::string_view name, time_point now, duration within) const;
  /// Returns the time since the host was heard, or nullopt if never.
  std::optional<duration> Silence(std::string_view name, time_point now) const;
  /// Returns the newest known life of the host, 0 if unknown.
  uint64_t LatestLife(std::string_view name) const;
  /// Returns the names of all hosts of a zone in ascending order. Valid until
  /// the next change.
  const std::vector<std::string>& HostsOfZone(std::string_view zone) const;
  /// Returns this host's position among the hosts of its zone.
  size_t OwnRank() const;
  /// Returns all names in ascending order.
  std::vector<std::string> Names() const;

  /// Returns the hosts that this one tells of changes: the next few of its
  /// own zone, in ring order, and one of each of the next zones. News reaches
  /// all hosts of a zone of n in n/kRingNeighbours steps, while the messages
  /// of one host do not grow with the number of hosts.
  std::vector<std::string> Neighbours() const;

  const host_entry& self() const { return self_; }

  static constexpr size_t kRingNeighbours = 3;
  static constexpr size_t kZoneNeighbours = 2;

 private:
  struct known_host {
    host_entry entry;
    time_point last_heard{};
    bool heard = false;
  };

  void List(std::string_view name, std::string_view zone);
  void Unlist(std::string_view name, std::string_view zone);

  host_entry self_;
  std::map<std::string, known_host, std::less<>> hosts_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_zone_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PEER_DIRECTORY_H_
