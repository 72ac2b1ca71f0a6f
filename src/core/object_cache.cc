#include "foxtailspread/object_cache.h"

#include <algorithm>

namespace foxtailspread {
namespace {

bool HasLowerRevision(const object_change& a, const object_change& b) {
  return a.revision < b.revision;
}

}  // namespace

std::vector<object_change> object_cache::Apply(const change_batch& batch) {
  std::vector<object_change> new_changes;
  for (const object_change& change : batch.changes) {
    if (ApplyChange(change)) {
      new_changes.push_back(change);
    }
  }
  std::sort(new_changes.begin(), new_changes.end(), HasLowerRevision);
  if (batch.since <= revision_) {
    revision_ = std::max(revision_, batch.revision);
  }
  return new_changes;
}

bool object_cache::ApplyChange(const object_change& change) {
  object_change& cached = objects_[change.key];
  if (change.revision <= cached.revision) {
    return false;
  }
  cached = change;
  return true;
}

change_batch object_cache::ChangesSince(uint64_t since) const {
  change_batch batch;
  batch.since = since;
  batch.revision = revision_;
  for (const auto& [key, object] : objects_) {
    if (object.revision > since) {
      batch.changes.push_back(object);
    }
  }
  std::sort(batch.changes.begin(), batch.changes.end(), HasLowerRevision);
  return batch;
}

const object_change* object_cache::Find(std::string_view key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.deleted) {
    return nullptr;
  }
  return &found->second;
}

void object_cache::ForEach(
    std::string_view prefix,
    const std::function<void(const object_change&)>& visit) const {
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    if (!it->second.deleted) {
      visit(it->second);
    }
  }
}

}  // namespace foxtailspread
