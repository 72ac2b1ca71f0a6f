#ifndef FOXTAILSPREAD_POISON_GUARD_H_
#define FOXTAILSPREAD_POISON_GUARD_H_

/// @file
/// Detects a request that crashes every target that runs it.

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// The hash of a request's content and the number of targets lost while running
/// it.
struct poison_mark {
  uint64_t content_hash = 0;
  int crashes = 0;
  duration age{0};  ///< Since the latest crash; an age, so that marks expire
                    ///< even while hosts exchange them.

  bool operator==(const poison_mark&) const = default;
};

/// Counts the targets lost per request content, in bounded memory.
///
/// A caller whose request crashed a target resends it, and each resend would
/// crash another target, which looks like a series of target failures. The
/// resends have the same content, so crashes are counted by its hash. Targets
/// and other requests of the organisation aren't affected by the count. An
/// answer from a target shows that the content is harmless and clears its
/// count, so requests that merely ran concurrently with the harmful one
/// recover.
///
/// @code
/// poison_guard guard;
/// guard.CountCrash(hash, now);
/// if (guard.IsQuarantined(hash, now)) Refuse();
/// @endcode
class poison_guard {
 public:
  /// Contents with this many crashes are refused.
  static constexpr int kQuarantineCrashCount = 2;
  static constexpr size_t kDefaultCapacity = 1024;
  static constexpr duration kMarkLifetime{std::chrono::minutes{30}};

  /// Keeps at most `capacity` contents, each for `lifetime` after its latest
  /// crash. When full, evicts the least recently marked content.
  explicit poison_guard(size_t capacity = kDefaultCapacity,
                        duration lifetime = kMarkLifetime);
  poison_guard(const poison_guard&) = delete;
  poison_guard& operator=(const poison_guard&) = delete;

  /// Counts one target lost while running this content; 0 is ignored.
  void CountCrash(uint64_t content_hash, time_point now);
  /// Subtracts one crash, after the target turned out to be alive.
  void RetractCrash(uint64_t content_hash);
  /// Removes the content's count, after a target answered it.
  void Clear(uint64_t content_hash);

  /// Returns the number of crashes counted for the content.
  int CrashCount(uint64_t content_hash, time_point now) const;
  /// Returns whether requests with this content must be refused.
  bool IsQuarantined(uint64_t content_hash, time_point now) const;

  /// Returns the marks of crashes counted on this host since the last call.
  /// Sending them to the other hosts at once keeps one request from crashing
  /// targets zone after zone. Imported marks aren't included, since hosts would
  /// otherwise keep sending each other a mark that has been cleared.
  std::vector<poison_mark> TakeNewMarks(time_point now);
  /// Returns all unexpired marks, for a host that is starting.
  std::vector<poison_mark> Export(time_point now) const;
  /// Adopts marks of another host whose crash count exceeds the local one.
  void Import(std::span<const poison_mark> marks, time_point now);

 private:
  struct entry {
    boost::intrusive::unordered_set_member_hook<> set_hook;
    boost::intrusive::list_member_hook<> list_hook;
    uint64_t content_hash = 0;
    int crashes = 0;
    time_point marked_at;
    bool unsent = false;  ///< Counted here and not yet taken for sending.
  };
  struct hash_of_entry {
    using type = uint64_t;
    const type& operator()(const entry& e) const { return e.content_hash; }
  };
  using entry_list = boost::intrusive::list<
      entry,
      boost::intrusive::member_hook<entry, boost::intrusive::list_member_hook<>,
                                    &entry::list_hook>>;
  using entry_set = boost::intrusive::unordered_set<
      entry,
      boost::intrusive::member_hook<
          entry, boost::intrusive::unordered_set_member_hook<>,
          &entry::set_hook>,
      boost::intrusive::key_of_value<hash_of_entry>>;

  entry& FindOrInsert(uint64_t content_hash, time_point now);
  const entry* Find(uint64_t content_hash, time_point now) const;
  void Remove(entry& marked);

  duration lifetime_;
  std::vector<entry> entries_;
  std::vector<entry_set::bucket_type> buckets_;
  entry_set by_hash_;
  entry_list in_use_;  // least recently marked first
  entry_list free_;
  bool any_unsent_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_POISON_GUARD_H_
