#ifndef FOXTAILSPREAD_KEY_MAP_H_
#define FOXTAILSPREAD_KEY_MAP_H_

/// @file
/// The map from the keys of a keyed service to their owners, as recorded in the
/// store.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Position of a key in the key space.
using key_point = uint16_t;

inline constexpr key_point kLastKey = std::numeric_limits<key_point>::max();

/// Size of the key space.
inline constexpr size_t kKeyCount = size_t{kLastKey} + 1;

/// A fencing token: of two grants of a key the one with the higher number is
/// the newer. A number is never used for two different grants.
using fence_number = uint64_t;

/// One run of a target, from its start to its end. Some targets restart under
/// the same id; the start time tells their runs apart.
struct target_life {
  std::string id;
  uint64_t started = 0;  ///< Unix time of the start in ms; 0 if unknown.

  bool operator==(const target_life&) const = default;
};

/// Adjacent keys with one owner.
struct key_range {
  key_point first = 0;
  key_point last = kLastKey;  ///< Inclusive.
  target_life owner{};
  fence_number fence = 0;
  /// The owner has confirmed the grant; requests may be sent to it.
  bool granted = false;
  /// Set until the former owner has given up the keys. Only then may they be
  /// granted to `owner`.
  std::optional<target_life> former_owner{};
  /// The store has lost records of who got the keys: any target may hold them.
  /// They may be granted only once no target does.
  bool owners_unknown = false;

  bool Contains(key_point key) const { return first <= key && key <= last; }
  bool operator==(const key_range&) const = default;
};

/// All keys of one service: ranges in order, without gaps.
struct key_map {
  fence_number last_fence = 0;  ///< The highest ever used for a range.
  std::vector<key_range> ranges;
  /// Era of the store in which it was recorded. The record of an earlier era
  /// may be older than the last one that a lease holder has written.
  uint64_t era = 0;
  /// Identifies the lease under which it was recorded: a new holder records the
  /// map anew before it moves keys, so that no write of a former one takes
  /// effect on top of what it has read.
  uint64_t term = 0;

  /// Returns the range of `key`, or nullptr in an empty map.
  const key_range* Find(key_point key) const;
  key_range* Find(key_point key);

  bool operator==(const key_map&) const = default;
};

/// Checks that the ranges cover all keys once, in order, with fences no higher
/// than `last_fence`.
status CheckKeyMap(const key_map& map);

/// Formats a map as the JSON text that the store keeps, and parses that text.
std::string FormatKeyMap(const key_map& map);
result<key_map> ParseKeyMap(std::string_view text);

/// Parses the changes to a map: ranges that need not cover all keys.
result<key_map> ParseKeyChanges(std::string_view text);

/// Returns the ranges of `after` that `before` does not have.
key_map DiffKeyMaps(const key_map& before, const key_map& after);
/// Returns `before` with the keys covered by `changes` replaced. Fails if the
/// result is not a complete map because the changes are based on another map.
result<key_map> ApplyKeyChanges(const key_map& before, const key_map& changes);

/// Merges adjacent ranges that differ only in their bounds.
void MergeEqualNeighbours(key_map& map);

/// Splits the range that contains `at` so that a range begins at `at`.
void SplitBefore(key_map& map, key_point at);

/// Splits ranges so that one begins at `first` and one ends at `last`, and
/// returns those from `first` to `last`. The span is valid until the ranges of
/// the map change.
std::span<key_range> SplitAtBounds(key_map& map, key_point first,
                                   key_point last);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_MAP_H_
