#ifndef FOXTAILSPREAD_POISON_GUARD_H_
#define FOXTAILSPREAD_POISON_GUARD_H_

/// @file
/// Recognises a request that crashes each target that runs it.

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// One content and how many targets were lost while they ran it.
struct poison_mark {
  uint64_t content_hash = 0;
  int crashes = 0;
  duration age{0};  ///< Since the latest crash, so that marks passed round
                    ///< between hosts still run out.

  bool operator==(const poison_mark&) const = default;
};

/// Counts the targets lost per content, in bounded memory.
///
/// A caller whose request crashed a target sends it again, and each resend
/// would take another target down; the failures look like failing targets.
/// The content is what stays the same, so crashes are counted by its hash.
/// The count says nothing about the targets or the organisation's other
/// requests, which therefore go on. An answer proves the content harmless
/// and clears it: requests that only ran beside the harmful one recover.
///
/// @code
/// poison_guard guard;
/// guard.CountCrash(hash, now);
/// if (guard.IsQuarantined(hash, now)) Refuse();
/// @endcode
class poison_guard {
 public:
  static constexpr int kQuarantineCrashes = 2;
  static constexpr size_t kDefaultCapacity = 1024;
  static constexpr duration kMarkLifetime{std::chrono::minutes{30}};

  /// Keeps at most `capacity` contents, each for `lifetime` after its latest
  /// crash; the least recently marked goes first.
  explicit poison_guard(size_t capacity = kDefaultCapacity,
                        duration lifetime = kMarkLifetime);
  poison_guard(const poison_guard&) = delete;
  poison_guard& operator=(const poison_guard&) = delete;

  /// Counts one target lost while it ran this content.
  void CountCrash(uint64_t content_hash, time_point now);
  /// Takes one crash back: the target turned out to be alive.
  void TakeBackCrash(uint64_t content_hash);
  /// Forgets the content: a target answered it.
  void Clear(uint64_t content_hash);

  /// Returns how many crashes are counted against the content, 0 if none.
  int Crashes(uint64_t content_hash, time_point now) const;
  /// Returns whether the content is to be refused.
  bool IsQuarantined(uint64_t content_hash, time_point now) const;

  /// Returns the marks set by crashes seen here since the last call. Sent to
  /// the other hosts at once, they keep one request from taking targets down
  /// zone by zone. Marks learnt by Import are not in it, so that a mark that
  /// was cleared is not handed round for ever.
  std::vector<poison_mark> TakeNews(time_point now);
  /// Returns all marks, for a host that starts.
  std::vector<poison_mark> Export(time_point now) const;
  /// Takes over marks of another host where they say more than the own.
  void Import(std::span<const poison_mark> marks, time_point now);

 private:
  struct entry {
    boost::intrusive::unordered_set_member_hook<> set_hook;
    boost::intrusive::list_member_hook<> list_hook;
    uint64_t content_hash = 0;
    int crashes = 0;
    time_point marked_at;
    bool news = false;
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
  bool any_news_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_POISON_GUARD_H_
