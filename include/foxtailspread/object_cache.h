#ifndef FOXTAILSPREAD_OBJECT_CACHE_H_
#define FOXTAILSPREAD_OBJECT_CACHE_H_

/// @file
/// The host's copy of the platform's objects, fed by the platform's watch and
/// by other hosts that relay it. Revisions only grow, so that no relay, late
/// answer or lagging peer can bring an older state back.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailspread {

/// The latest state of one object as of a revision.
struct object_change {
  std::string key;
  uint64_t revision = 0;
  bool deleted = false;
  std::string value;  ///< JSON text; empty when deleted.
};

/// All changes after one revision of the platform up to another.
struct change_batch {
  uint64_t since = 0;     ///< The changes are complete from here ...
  uint64_t revision = 0;  ///< ... up to and including this revision.
  std::vector<object_change> changes;
};

/// A copy of the platform's objects that never goes back.
class object_cache {
 public:
  /// Takes a batch in and returns the changes that were news, in order of
  /// revision. A batch that starts after the cache's revision leaves a gap:
  /// its objects are taken, but the cache's revision stays, so that the gap
  /// is asked for again.
  std::vector<object_change> Apply(const change_batch& batch);

  /// Takes one object in, as read or written by this host itself. The cache's
  /// revision stays. Returns false when it was not news.
  bool ApplyOne(const object_change& change);

  /// Returns what changed after `since`. Objects that were removed are kept
  /// as removals, so that a relay passes them on.
  change_batch ChangesSince(uint64_t since) const;

  /// Returns the object, or nullptr when it is absent or removed. Valid until
  /// the next change.
  const object_change* Find(std::string_view key) const;

  /// Calls `visit` for each present object whose key starts with `prefix`.
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
