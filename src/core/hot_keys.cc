#include "foxtailspread/hot_keys.h"

#include <bit>

namespace foxtailspread {

hot_key_sketch::hot_key_sketch(size_t counters)
    : counters_(counters),
      index_buckets_(std::bit_ceil(counters)),
      by_key_(counter_index::bucket_traits(index_buckets_.data(),
                                           index_buckets_.size())) {}

void hot_key_sketch::Record(uint64_t key_hash, int32_t bucket, double weight) {
  total_ += weight;
  const auto found = by_key_.find(key_hash);
  counter& key_counter =
      found != by_key_.end() ? *found : AssignCounter(key_hash, bucket);
  if (key_counter.order_hook.is_linked()) {
    by_count_.erase(by_count_.iterator_to(key_counter));
  }
  key_counter.count += weight;
  by_count_.insert(key_counter);
}

void hot_key_sketch::Decay(double factor) {
  total_ *= factor;
  for (counter& c : counters_) {
    c.count *= factor;
    c.error *= factor;
  }
}

std::vector<frequent_key> hot_key_sketch::Top(size_t count) const {
  std::vector<frequent_key> top;
  top.reserve(count);
  for (auto c = by_count_.rbegin(); c != by_count_.rend(); ++c) {
    if (top.size() >= count) {
      break;
    }
    if (c->count > c->error) {
      top.push_back(*c);
    }
  }
  return top;
}

hot_key_sketch::counter& hot_key_sketch::AssignCounter(uint64_t key_hash,
                                                       int32_t bucket) {
  counter* assigned = nullptr;
  if (used_counters_ < counters_.size()) {
    assigned = &counters_[used_counters_++];
  } else {
    // The new key takes over the lowest count: it may have been counted there
    // earlier, so no frequent key is ever missed.
    assigned = &*by_count_.begin();
    by_count_.erase(by_count_.begin());
    by_key_.erase(by_key_.iterator_to(*assigned));
  }
  assigned->error = assigned->count;
  assigned->key_hash = key_hash;
  assigned->bucket = bucket;
  by_key_.insert(*assigned);
  return *assigned;
}

}  // namespace foxtailspread
