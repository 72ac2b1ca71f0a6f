#include "foxtailspread/targets_sharing.h"

#include <utility>

namespace foxtailspread {
namespace {

/// Entries in one datagram, some 120 bytes each. More change at once when the
/// store was away; a list is cheaper then.
constexpr size_t kMostEntries = 40;

}  // namespace

std::optional<targets_record> targets_sharing::Update(
    const target_objects& objects) {
  targets_record record{.before = digest_, .changes = {}};
  std::map<std::string, known_entry> known;
  digest_ = 0;
  for (const auto& [name, object] : objects) {
    // The digest of a list is the sum of its entries'.
    const uint64_t digest = object.item ? DigestOf({&*object.item, 1}) : 0;
    digest_ += digest;
    known.emplace_hint(known.end(), name, known_entry{object.revision, digest});
    const auto found = known_.find(name);
    if (found == known_.end() || found->second.digest != digest) {
      record.changes.push_back({.name = name,
                                .revision = object.revision,
                                .deleted = false,
                                .entry = object.item});
    }
  }
  for (const auto& [name, entry] : known_) {
    if (!known.contains(name)) {
      // A later revision than any that a copy can have of this entry, so that
      // it goes, and an older one than if it was created again.
      record.changes.push_back({.name = name,
                                .revision = entry.revision + 1,
                                .deleted = true,
                                .entry = std::nullopt});
    }
  }
  known_ = std::move(known);
  const bool fits =
      !record.changes.empty() && record.changes.size() <= kMostEntries;
  return fits ? std::optional{std::move(record)} : std::nullopt;
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
