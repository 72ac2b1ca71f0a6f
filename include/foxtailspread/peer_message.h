#ifndef FOXTAILSPREAD_PEER_MESSAGE_H_
#define FOXTAILSPREAD_PEER_MESSAGE_H_

/// @file
/// The message that entry hosts exchange. It has the content of
/// proto/peer.proto in plain types, so that the decision library does not
/// depend on protobuf.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/authority.h"
#include "foxtailspread/object_cache.h"
#include "foxtailspread/poison_guard.h"
#include "foxtailspread/range.h"

namespace foxtailspread {

/// The steward of a range hands it over to the receiver during a graceful stop.
struct range_release {
  std::string range;
  uint64_t epoch = 0;
  std::string actions;  ///< The steward's exported action table.
};

/// The current owners of a range's buckets, sent by its steward.
struct range_map_notice {
  std::string range;
  range_map map;
};

/// The progress of the watch that one host of a zone keeps open on the platform
/// for all of them.
struct watch_beacon {
  std::string zone;
  std::string watcher;
  uint64_t seq = 0;
  /// The hosts and targets that the platform lists as leaving.
  std::vector<std::string> leaving{};
};

/// One message. Every field but the first two is optional, and handling a
/// message twice has the effect of handling it once.
struct peer_message {
  member from;
  uint64_t revision = 0;  ///< The sender has all changes up to this one.
  std::vector<promise_request> asks;
  std::vector<promise_answer> answers;
  std::vector<range_release> releases;
  std::optional<change_batch> changes;
  bool wants_changes = false;
  std::vector<range_map_notice> maps;
  std::vector<poison_mark> poison;
  std::vector<watch_beacon> beacons;
  bool leaving = false;
  bool probe = false;  ///< Requests any message in return.

  /// True if the message carries nothing but its sender and revision.
  bool Empty() const {
    return asks.empty() && answers.empty() && releases.empty() && !changes &&
           !wants_changes && maps.empty() && poison.empty() &&
           beacons.empty() && !leaving && !probe;
  }
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PEER_MESSAGE_H_
