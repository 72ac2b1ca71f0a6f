#ifndef FOXTAILSPREAD_TARGETS_SHARING_H_
#define FOXTAILSPREAD_TARGETS_SHARING_H_

/// @file
/// Finds the few targets that changed, so that other hosts can be sent these
/// instead of listing all targets again.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/target_entry.h"

namespace foxtailspread {

/// Compares one host's copy of the list of targets with the state at the last
/// call and returns what changed.
///
/// @code
/// for (auto& record : sharing.Update(copy.objects())) SendToAll(record);
/// @endcode
class targets_sharing {
 public:
  using target_objects = kind_follower<target_entry>::object_map;

  /// Returns what changed since the last call, as records to be applied in
  /// order. Changes that do not alter the digest of an entry are left out:
  /// hosts do not act on them. Returns none if nothing changed or if there are
  /// too many changes to send.
  /// Between two eras nothing is sent: hosts list the targets of a new era.
  std::vector<targets_record> Update(const target_objects& objects);

  /// Returns the digest of the list at the last call to Update().
  uint64_t digest() const { return digest_; }

 private:
  struct known_entry {
    store_revision revision{};
    uint64_t digest = 0;  ///< 0 for an entry that cannot be parsed.
  };

  std::map<std::string, known_entry> known_entries_;
  uint64_t digest_ = 0;
  uint64_t era_ = 0;  ///< Of the revisions at the last call.
};

/// Returns the entries of the objects that could be parsed.
std::vector<target_entry> ReadableEntries(
    const targets_sharing::target_objects& objects);

/// Converts the changes of a record to the form in which a copy of the list
/// applies them.
std::vector<store_change<target_entry>> ToStoreChanges(targets_record record);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGETS_SHARING_H_
