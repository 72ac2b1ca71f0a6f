#ifndef FOXTAILSPREAD_HOT_KEYS_H_
#define FOXTAILSPREAD_HOT_KEYS_H_

/// @file
/// Finds the few keys that make up much of the load, in bounded memory.

#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailspread {

/// One frequent key.
struct frequent_key {
  uint64_t key_hash = 0;
  int32_t bucket = 0;
  double count = 0;  ///< At most the true decayed count plus `error`.
  double error = 0;  ///< How much of `count` may stem from previous
                     ///< keys of the same counter.
};

/// The Space-Saving sketch with exponential decay.
///
/// With m counters every key that makes up more than 1/m of the decayed total
/// is in the sketch. Decay removes keys that are no longer hot: without it a
/// key that was hot for hours outweighs those of the last minutes.
///
/// @code
/// hot_key_sketch sketch(256);
/// sketch.Record(key_hash, bucket);          // For each request.
/// sketch.Decay(0.5);                        // Once per period.
/// for (const frequent_key& key : sketch.Top(19)) Consider(key);
/// @endcode
class hot_key_sketch {
 public:
  /// Allocates the memory for `counters` keys once; it never grows.
  explicit hot_key_sketch(size_t counters);
  hot_key_sketch(const hot_key_sketch&) = delete;
  hot_key_sketch& operator=(const hot_key_sketch&) = delete;

  /// Counts one request, or work of the given weight.
  void Record(uint64_t key_hash, int32_t bucket, double weight = 1);
  /// Multiplies all counts, and so the total, by `factor` in (0, 1].
  void Decay(double factor);

  /// Returns up to `count` keys, the most frequent first. Leaves out keys whose
  /// count is zero after subtracting the possible error.
  std::vector<frequent_key> Top(size_t count) const;
  /// Returns the decayed sum of all recorded weights.
  double Total() const { return total_; }

 private:
  struct counter : frequent_key {
    boost::intrusive::set_member_hook<> order_hook;
    boost::intrusive::unordered_set_member_hook<> key_hook;
  };
  struct has_lower_count {
    bool operator()(const counter& a, const counter& b) const {
      return a.count < b.count;
    }
  };
  struct key_of_counter {
    using type = uint64_t;
    const type& operator()(const counter& c) const { return c.key_hash; }
  };
  using counter_order = boost::intrusive::multiset<
      counter,
      boost::intrusive::member_hook<
          counter, boost::intrusive::set_member_hook<>, &counter::order_hook>,
      boost::intrusive::compare<has_lower_count>>;
  using counter_index = boost::intrusive::unordered_set<
      counter,
      boost::intrusive::member_hook<
          counter, boost::intrusive::unordered_set_member_hook<>,
          &counter::key_hook>,
      boost::intrusive::key_of_value<key_of_counter>>;

  /// Returns a counter for a new key: an unused one, or that of the least
  /// frequent key.
  counter& AssignCounter(uint64_t key_hash, int32_t bucket);

  std::vector<counter> counters_;
  std::vector<counter_index::bucket_type> index_buckets_;
  counter_order by_count_;
  counter_index by_key_;
  size_t used_counters_ = 0;
  double total_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOT_KEYS_H_
