#include "foxtailspread/poison_guard.h"

#include <algorithm>
#include <bit>

namespace foxtailspread {

poison_guard::poison_guard(size_t capacity, duration lifetime)
    : lifetime_(lifetime),
      entries_(capacity),
      buckets_(std::bit_ceil(capacity)),
      by_hash_(entry_set::bucket_traits(buckets_.data(), buckets_.size())) {
  for (entry& unused : entries_) {
    free_.push_back(unused);
  }
}

void poison_guard::CountCrash(uint64_t content_hash, time_point now) {
  if (content_hash == 0) {
    return;
  }
  entry& marked = FindOrInsert(content_hash, now);
  marked.crashes++;
  marked.marked_at = now;
  marked.unsent = true;
  any_unsent_ = true;
}

void poison_guard::RetractCrash(uint64_t content_hash) {
  const auto found = by_hash_.find(content_hash);
  if (found == by_hash_.end()) {
    return;
  }
  found->crashes--;
  if (found->crashes <= 0) {
    Remove(*found);
  }
}

void poison_guard::Clear(uint64_t content_hash) {
  if (in_use_.empty()) {
    return;
  }
  const auto found = by_hash_.find(content_hash);
  if (found != by_hash_.end()) {
    Remove(*found);
  }
}

int poison_guard::CrashCount(uint64_t content_hash, time_point now) const {
  const entry* marked = Find(content_hash, now);
  return marked == nullptr ? 0 : marked->crashes;
}

bool poison_guard::IsQuarantined(uint64_t content_hash, time_point now) const {
  return CrashCount(content_hash, now) >= kQuarantineCrashCount;
}

std::vector<poison_mark> poison_guard::TakeNewMarks(time_point now) {
  std::vector<poison_mark> marks;
  if (!any_unsent_) {
    return marks;
  }
  any_unsent_ = false;
  for (entry& marked : in_use_) {
    if (marked.unsent) {
      marks.push_back(
          {marked.content_hash, marked.crashes, now - marked.marked_at});
      marked.unsent = false;
    }
  }
  return marks;
}

std::vector<poison_mark> poison_guard::Export(time_point now) const {
  std::vector<poison_mark> marks;
  marks.reserve(in_use_.size());
  for (const entry& marked : in_use_) {
    const duration age = now - marked.marked_at;
    if (age < lifetime_) {
      marks.push_back({marked.content_hash, marked.crashes, age});
    }
  }
  return marks;
}

void poison_guard::Import(std::span<const poison_mark> marks, time_point now) {
  for (const poison_mark& mark : marks) {
    if (mark.age >= lifetime_) {
      continue;
    }
    if (CrashCount(mark.content_hash, now) >= mark.crashes) {
      continue;
    }
    entry& marked = FindOrInsert(mark.content_hash, now);
    marked.crashes = mark.crashes;
    marked.marked_at = std::max(marked.marked_at, now - mark.age);
  }
}

poison_guard::entry& poison_guard::FindOrInsert(uint64_t content_hash,
                                                time_point now) {
  const auto found = by_hash_.find(content_hash);
  if (found != by_hash_.end()) {
    if (now - found->marked_at >= lifetime_) {
      found->crashes = 0;
    }
    in_use_.splice(in_use_.end(), in_use_, in_use_.iterator_to(*found));
    return *found;
  }
  if (free_.empty()) {
    Remove(in_use_.front());
  }
  entry& added = free_.front();
  free_.pop_front();
  added.content_hash = content_hash;
  added.crashes = 0;
  added.unsent = false;
  added.marked_at = time_point{};
  in_use_.push_back(added);
  by_hash_.insert(added);
  return added;
}

const poison_guard::entry* poison_guard::Find(uint64_t content_hash,
                                              time_point now) const {
  if (in_use_.empty() || content_hash == 0) {
    return nullptr;
  }
  const auto found = by_hash_.find(content_hash);
  if (found == by_hash_.end() || now - found->marked_at >= lifetime_) {
    return nullptr;
  }
  return &*found;
}

void poison_guard::Remove(entry& marked) {
  by_hash_.erase(by_hash_.iterator_to(marked));
  in_use_.erase(in_use_.iterator_to(marked));
  free_.push_back(marked);
}

}  // namespace foxtailspread
