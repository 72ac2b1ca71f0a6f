#ifndef FOXTAILSPREAD_STORE_REVISION_H_
#define FOXTAILSPREAD_STORE_REVISION_H_

/// @file
/// What orders two states of the store.

#include <compare>
#include <cstdint>

namespace foxtailspread {

/// Identifies a change of the store. The store counts its changes; when it
/// comes back from an older copy of itself it loses what came after, gives out
/// the same numbers again and begins a new era. Revisions of different eras
/// order the answers of the store, not the content of its objects: an object of
/// the newer era may be older.
struct store_revision {
  uint64_t era = 0;      ///< 0 if the store names none.
  uint64_t counter = 0;  ///< 0 if there is no such object.

  constexpr store_revision() = default;
  constexpr store_revision(uint64_t revision_era, uint64_t revision_counter)
      : era(revision_era), counter(revision_counter) {}
  /// A revision of a store that names no era.
  // NOLINTNEXTLINE(google-explicit-constructor): stands for the number itself.
  constexpr store_revision(uint64_t revision_counter)
      : counter(revision_counter) {}

  /// Whether it is the revision of an object, and not that of its absence.
  constexpr bool Exists() const { return counter != 0; }

  // NOLINTNEXTLINE(modernize-use-nullptr): takes the comparison for a pointer.
  auto operator<=>(const store_revision&) const = default;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_STORE_REVISION_H_
