#include "foxtailspread/targets_sharing.h"

#include <utility>

namespace foxtailspread {
namespace {

/// Entries in one datagram, some 120 bytes each.
constexpr size_t kMostEntries = 40;

/// Datagrams to each host for one update. More would fill the sender's link and
/// delay its heartbeats; a list is cheaper then.
constexpr size_t kMostRecords = 6;

}  // namespace

std::vector<targets_record> targets_sharing::Update(
    const target_objects& objects) {
  std::vector<targets_record> records;
  uint64_t digest = digest_;  // Of the list with the changes so far.
  const auto add = [&](shared_entry change, uint64_t before, uint64_t after) {
    if (records.empty() || records.back().changes.size() >= kMostEntries) {
      records.push_back({.before = digest, .changes = {}});
    }
    records.back().changes.push_back(std::move(change));
    digest += after - before;
  };
  std::map<std::string, known_entry> known;
  for (const auto& [name, object] : objects) {
    // The digest of a list is the sum of its entries'.
    const uint64_t now = object.item ? DigestOf({&*object.item, 1}) : 0;
    known.emplace_hint(known.end(), name, known_entry{object.revision, now});
    const auto found = known_.find(name);
    if (found == known_.end() || found->second.digest != now) {
      add({.name = name,
           .revision = object.revision,
           .deleted = false,
           .entry = object.item},
          found == known_.end() ? 0 : found->second.digest, now);
    }
  }
  for (const auto& [name, entry] : known_) {
    if (!known.contains(name)) {
      // A later revision than any that a copy can have of this entry, so that
      // it goes, and an older one than if it was created again.
      add({.name = name,
           .revision = entry.revision + 1,
           .deleted = true,
           .entry = std::nullopt},
          entry.digest, 0);
    }
  }
  known_ = std::move(known);
  digest_ = digest;
  if (records.size() > kMostRecords) {
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

std::vector<store_change<target_entry>> ChangesOf(targets_record record) {
  std::vector<store_change<target_entry>> changes;
  for (shared_entry& each : record.changes) {
    changes.push_back({.object = {.name = std::move(each.name),
                                  .revision = each.revision,
                                  .item = std::move(each.entry)},
                       .deleted = each.deleted});
  }
  return changes;
}

}  // namespace foxtailspread
