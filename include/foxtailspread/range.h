#ifndef FOXTAILSPREAD_RANGE_H_
#define FOXTAILSPREAD_RANGE_H_

/// @file
/// Ranges and the platform object that says who may be steward of each.
///
/// A range is the part of one service that one availability zone serves: the
/// service's targets in that zone and, for keyed services, the buckets homed
/// there. One entry host at a time, the *steward*, dispatches every request
/// of the range. The platform's object `ranges/NAME` lists the few hosts that
/// may be steward, in order of succession; it changes by conditional update
/// only. See docs/design/ownership.md.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// The most hosts that a roster names. Three tolerate the loss of one.
inline constexpr size_t kRosterSize = 3;

/// The prefix of the platform's keys of range records.
inline constexpr std::string_view kRangeKeyPrefix = "ranges/";

/// One life of one entry host. A host that restarts has lost its memory of
/// what it promised, so it counts as another member.
struct member {
  std::string host;
  uint64_t life = 0;  ///< Differs between any two starts of the host.

  // clang-tidy 14 takes the defaulted comparison's 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const member&) const = default;
};

/// A member with the epoch in which it alone may be steward.
struct roster_slot {
  member who;
  uint64_t epoch = 0;

  bool operator==(const roster_slot&) const = default;
};

/// A key that is owned apart from its bucket.
struct key_owner {
  uint64_t key_hash = 0;
  std::string target;

  bool operator==(const key_owner&) const = default;
};

/// Which target owns which buckets, as last recorded.
struct range_map {
  uint64_t epoch = 0;  ///< The steward's epoch when it was written.
  uint64_t seq = 0;    ///< Grows with each change within the epoch.
  std::map<std::string, std::vector<int>> buckets;  ///< By target.
  std::vector<key_owner> keys;

  bool operator==(const range_map&) const = default;

  /// True when this map is newer than `other`.
  bool NewerThan(const range_map& other) const;
};

/// The value of the platform object `ranges/NAME`.
struct range_record {
  uint64_t revision = 0;  ///< The platform's; not part of the text.
  /// The roster in order of succession; epochs ascend.
  std::vector<roster_slot> order;
  /// The former roster while a change of membership is under way. Authority
  /// then needs a majority of both.
  std::vector<member> previous;
  /// Hosts that an operator declared dead since the last reset.
  std::vector<std::string> declared_dead;
  uint64_t next_epoch = 1;  ///< The next epoch never yet given out.
  /// Grows when the roster was replaced without its majority, because that
  /// was known to be dead. Claims then wait out the longest promise.
  uint64_t resets = 0;
  std::string
      mark;  ///< Names the write, to recognise it if its answer is lost.
  range_map map;

  /// Returns the position of `who` in the order, or -1.
  int IndexOf(const member& who) const;
  /// Returns the members of the order without their epochs.
  std::vector<member> Members() const;
};

/// Returns "SERVICE@ZONE".
std::string RangeName(std::string_view service, std::string_view zone);

/// The two parts of a range's name.
struct range_parts {
  std::string_view service;
  std::string_view zone;
};

/// Splits a range's name; the views live as long as `name`.
result<range_parts> ParseRangeName(std::string_view name);

/// Parses a record written by FormatRangeRecord. An error leaves the reader
/// to keep the last good record.
result<range_record> ParseRangeRecord(std::string_view text);

/// Writes the record as JSON text, without its revision.
std::string FormatRangeRecord(const range_record& record);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_H_
