#ifndef FOXTAILSPREAD_TARGETS_SHARING_H_
#define FOXTAILSPREAD_TARGETS_SHARING_H_

/// @file
/// Spares hosts a new list of the targets when a few of them changed.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/target_entry.h"

namespace foxtailspread {

/// Remembers what hosts go by of one host's copy of the targets' list, and
/// tells what changed.
///
/// @code
/// for (auto& each : sharing.Update(copy.objects())) SendToAll(each);
/// @endcode
class targets_sharing {
 public:
  using target_objects = kind_follower<target_entry>::object_map;

  /// Returns what changed since the last call, as far as hosts go by it, as
  /// records to be taken one after the other; none if nothing did, or if it is
  /// too much to be sent.
  std::vector<targets_record> Update(const target_objects& objects);

  /// Digest of the list at the last call.
  uint64_t digest() const { return digest_; }

 private:
  struct known_entry {
    uint64_t revision = 0;
    uint64_t digest = 0;  ///< 0 for an entry that cannot be read.
  };

  std::map<std::string, known_entry> known_;
  uint64_t digest_ = 0;
};

/// Returns the entries of objects that can be read.
std::vector<target_entry> ReadableEntries(
    const targets_sharing::target_objects& objects);

/// Returns a record's changes as a copy of the list takes them.
std::vector<store_change<target_entry>> ChangesOf(targets_record record);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGETS_SHARING_H_
