#ifndef FOXTAILSPREAD_RANGE_H_
#define FOXTAILSPREAD_RANGE_H_

/// @file
/// Ranges, and the platform object that names the hosts that may be steward of
/// each.
///
/// A range is the part of one service that one availability zone serves: the
/// service's targets in that zone and, for keyed services, the buckets homed
/// there. One entry host at a time, the *steward*, dispatches every request
/// of the range. The platform's object `ranges/NAME` lists the few hosts that
/// may be steward, the *roster*, in order of succession. It is written by
/// conditional update only. See docs/design/ownership.md.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Maximum number of hosts in a roster. Three tolerate the loss of one.
inline constexpr size_t kMaxRosterSize = 3;

/// Prefix of the platform keys under which range records are stored.
inline constexpr std::string_view kRangeKeyPrefix = "ranges/";

/// One run of one entry host, from its start to its end. A host that restarts
/// has lost the promises that it gave, so it counts as a different member.
struct member {
  std::string host;
  uint64_t life = 0;  ///< Differs between any two starts of the host.

  // clang-tidy 14 takes the defaulted comparison's 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const member&) const = default;
};

/// A member and its epoch, in which no other member may be steward.
struct roster_slot {
  member host_run;
  uint64_t epoch = 0;

  bool operator==(const roster_slot&) const = default;
};

/// A key that is owned separately from its bucket.
struct key_owner {
  uint64_t key_hash = 0;
  std::string target;

  bool operator==(const key_owner&) const = default;
};

/// The assignment of buckets and single keys to targets.
struct range_map {
  uint64_t epoch = 0;  ///< The steward's epoch when it was written.
  uint64_t seq = 0;    ///< Increases with each change within the epoch.
  std::map<std::string, std::vector<int>> buckets;  ///< By target name.
  std::vector<key_owner> keys;

  bool operator==(const range_map&) const = default;

  /// True when this map is newer than `other`.
  bool NewerThan(const range_map& other) const;
};

/// The value of the platform object `ranges/NAME`.
struct range_record {
  uint64_t revision = 0;  ///< Assigned by the platform; not in the JSON text.
  /// The roster in order of succession, with ascending epochs.
  std::vector<roster_slot> roster;
  /// The former roster while a change of members is in progress, else empty.
  /// Authority then needs a majority of both rosters.
  std::vector<member> previous_members;
  /// Hosts that an operator declared dead since the last reset.
  std::vector<std::string> declared_dead;
  uint64_t next_epoch = 1;  ///< The lowest epoch not assigned so far.
  /// Increases when the roster is replaced without the consent of its majority,
  /// because that is known to be dead. A claim after a reset first waits for
  /// the longest promise to expire.
  uint64_t reset_count = 0;
  /// Identifies the write, so that the writer recognises it if the platform's
  /// answer is lost.
  std::string write_id;
  range_map map;

  /// Returns the position of the member in the roster, or -1.
  int IndexOf(const member& host_run) const;
  /// Returns the members of the roster without their epochs.
  std::vector<member> Members() const;
};

/// Returns "SERVICE@ZONE".
std::string RangeName(std::string_view service, std::string_view zone);

/// The parts of a range's name.
struct range_name_parts {
  std::string_view service;
  std::string_view zone;
};

/// Splits a range's name; the views live as long as `name`.
result<range_name_parts> ParseRangeName(std::string_view name);

/// Parses a record written by FormatRangeRecord. On an error, the caller keeps
/// the last valid record.
result<range_record> ParseRangeRecord(std::string_view text);

/// Formats the record as JSON text, without its revision.
std::string FormatRangeRecord(const range_record& record);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_H_
