#include "foxtailspread/targets_sharing.h"

#include <utility>

namespace foxtailspread {
namespace {

/// Maximum entries in one datagram, about 120 bytes each.
constexpr size_t kMaxEntriesPerRecord = 40;

/// Maximum datagrams to each host for one update. More would saturate the
/// sender's link and delay its heartbeats; then it is cheaper if each host
/// lists all targets again.
constexpr size_t kMaxRecordsPerUpdate = 6;

}  // namespace

std::vector<targets_record> targets_sharing::Update(
    const target_objects& objects) {
  std::vector<targets_record> records;
  const uint64_t era =
      objects.empty() ? era_ : objects.begin()->second.revision.era;
  uint64_t digest = digest_;  // Of the list with the changes added so far.
  const auto add_change = [&](shared_entry change, uint64_t old_digest,
                              uint64_t new_digest) {
    if (records.empty() ||
        records.back().changes.size() >= kMaxEntriesPerRecord) {
      records.push_back({.base_digest = digest, .era = era, .changes = {}});
    }
    records.back().changes.push_back(std::move(change));
    digest += new_digest - old_digest;
  };
  std::map<std::string, known_entry> new_entries;
  for (const auto& [name, object] : objects) {
    // The digest of a list is the sum of the digests of its entries.
    const uint64_t entry_digest =
        object.item ? DigestOf({&*object.item, 1}) : 0;
    new_entries.emplace_hint(new_entries.end(), name,
                             known_entry{object.revision, entry_digest});
    const auto found = known_entries_.find(name);
    if (found == known_entries_.end() || found->second.digest != entry_digest) {
      add_change({.name = name,
                  .revision = object.revision,
                  .deleted = false,
                  .entry = object.item},
                 found == known_entries_.end() ? 0 : found->second.digest,
                 entry_digest);
    }
  }
  for (const auto& [name, entry] : known_entries_) {
    if (!new_entries.contains(name)) {
      // The revision is higher than any that a copy can have of this entry, so
      // that the copy deletes it, and lower than that of an entry created again
      // under the same name.
      add_change({.name = name,
                  .revision = {entry.revision.era, entry.revision.counter + 1},
                  .deleted = true,
                  .entry = std::nullopt},
                 entry.digest, 0);
    }
  }
  known_entries_ = std::move(new_entries);
  digest_ = digest;
  const uint64_t former_era = std::exchange(era_, era);
  const bool is_new_era = former_era != 0 && former_era != era;
  if (records.size() > kMaxRecordsPerUpdate || is_new_era) {
    records.clear();
  }
  return records;
}

std::vector<target_entry> ReadableEntries(
    const targets_sharing::target_objects& objects) {
  std::vector<target_entry> entries;
  entries.reserve(objects.size());
  for (const auto& [name, object] : objects) {
    if (object.item) {
      entries.push_back(*object.item);
    }
  }
  return entries;
}

std::vector<store_change<target_entry>> ToStoreChanges(targets_record record) {
  std::vector<store_change<target_entry>> changes;
  for (shared_entry& change : record.changes) {
    changes.push_back({.object = {.name = std::move(change.name),
                                  .revision = change.revision,
                                  .item = std::move(change.entry)},
                       .deleted = change.deleted});
  }
  return changes;
}

}  // namespace foxtailspread
