#ifndef FOXTAILSPREAD_OBJECT_CACHE_H_
#define FOXTAILSPREAD_OBJECT_CACHE_H_

/// @file
/// A host's copy of the platform's objects, updated by the platform's watch and
/// by changes that other hosts relay. An object's revision only grows, so that
/// a delayed message or answer, or a peer that is behind, cannot restore an
/// older state.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailspread {

/// The state that one object got at `revision`.
struct object_change {
  std::string key;
  uint64_t revision = 0;
  bool deleted = false;
  std::string value;  ///< JSON text; empty when deleted.
};

/// All changes of the platform's objects between two revisions.
struct change_batch {
  uint64_t since = 0;     ///< Complete after this revision ...
  uint64_t revision = 0;  ///< ... up to and including this one.
  std::vector<object_change> changes;
};

/// A copy of the platform's objects whose revisions never decrease.
class object_cache {
 public:
  /// Applies a batch and returns the changes that were newer than the cached
  /// objects, in order of revision. A batch that starts after the cache's
  /// revision leaves a gap: its objects are applied, but the cache's revision
  /// stays, so that the missing changes are requested again.
  std::vector<object_change> Apply(const change_batch& batch);

  /// Applies one change, as read or written by this host itself. The cache's
  /// revision stays. Returns false if the cached object is as new or newer.
  bool ApplyChange(const object_change& change);

  /// Returns the changes after revision `since`. Removed objects are kept as
  /// tombstones, so that removals are relayed as well.
  change_batch ChangesSince(uint64_t since) const;

  /// Returns the object, or nullptr if it is absent or removed. The pointer is
  /// valid until the next change.
  const object_change* Find(std::string_view key) const;

  /// Calls `visit` for each object that is not removed and whose key starts
  /// with `prefix`.
  void ForEach(std::string_view prefix,
               const std::function<void(const object_change&)>& visit) const;

  /// The revision up to which the copy is complete.
  uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, object_change, std::less<>> objects_;
  uint64_t revision_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_OBJECT_CACHE_H_
