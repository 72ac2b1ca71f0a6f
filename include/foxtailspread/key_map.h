#ifndef FOXTAILSPREAD_KEY_MAP_H_
#define FOXTAILSPREAD_KEY_MAP_H_

/// @file
/// Which target owns which keys of a keyed service, as recorded in the store.

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

/// A key's place in the key space.
using key_point = uint16_t;

inline constexpr key_point kLastKey = std::numeric_limits<key_point>::max();

/// Size of the key space.
inline constexpr size_t kKeys = size_t{kLastKey} + 1;

/// A fencing number: of two grants of a key the one with the higher number is
/// the newer. No number is ever used for two different grants.
using fence_number = uint64_t;

/// One life of a target. Some targets start again under the id that they had.
struct target_life {
  std::string id;
  uint64_t started = 0;  ///< Unix milliseconds of its start; 0 if unknown.

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
  /// Set until the owner before this one has let go of the keys. Only then
  /// may `owner` get its grant.
  std::optional<target_life> former{};

  bool Contains(key_point key) const { return first <= key && key <= last; }
  bool operator==(const key_range&) const = default;
};

/// All keys of one service: ranges in order, without gaps.
struct key_map {
  fence_number last_fence = 0;  ///< The highest that any range has had.
  std::vector<key_range> ranges;

  /// Returns the range of `key`, or nullptr in an empty map.
  const key_range* Find(key_point key) const;
  key_range* Find(key_point key);

  bool operator==(const key_map&) const = default;
};

/// Checks that the ranges cover all keys once, in order, with fences no higher
/// than `last_fence`.
status CheckKeyMap(const key_map& map);

/// Writes a map as the text that is kept in the store, and reads it back.
std::string FormatKeyMap(const key_map& map);
result<key_map> ParseKeyMap(std::string_view text);

/// Reads ranges that need not cover all keys: the changes to a map.
result<key_map> ParseKeyChanges(std::string_view text);

/// Returns the ranges of `after` that `before` does not have.
key_map KeyChanges(const key_map& before, const key_map& after);
/// Returns `before` with `changes` in place of what they cover. Fails if the
/// outcome is no whole map: the changes were to another one.
result<key_map> WithKeyChanges(const key_map& before, const key_map& changes);

/// Joins neighbours that differ in nothing but their bounds.
void JoinEqualNeighbours(key_map& map);

/// Cuts the range that contains `at` so that one begins there.
void CutBefore(key_map& map, key_point at);

/// Cuts the map so that ranges begin at `first` and end at `last`, and returns
/// those between. Valid until the map's ranges change.
std::span<key_range> CutOut(key_map& map, key_point first, key_point last);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_MAP_H_
