#ifndef FOXTAILSPREAD_ACTION_LOG_H_
#define FOXTAILSPREAD_ACTION_LOG_H_

/// @file
/// A bitmap over the minted sequence numbers of a tenure: one bit for each,
/// whether its action has begun.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace foxtailspread {

/// The recorded state of a sequence number.
enum class sequence_state {
  kNeverBegun,
  kBegun,
  kForgotten,  ///< Older than the first kept sequence number.
  kNotMinted,  ///< Not reserved in this tenure.
};

/// Records which sequence numbers of a tenure have begun, after the table has
/// evicted their entries. Without it, evicting an entry would force the table
/// to reply `unknown` to every identifier of the same age, even if a caller had
/// kept the identifier and never used it.
class action_log {
 public:
  /// Keeps the state of at least the last `capacity` sequence numbers.
  explicit action_log(size_t capacity);

  /// Clears all states and restarts at sequence number 0.
  void Clear();

  /// Reserves `count` sequence numbers and returns the first.
  uint64_t ReserveSequences(uint64_t count);

  /// Returns the next number that ReserveSequences would return.
  uint64_t next_sequence() const { return next_sequence_; }
  /// Returns the lowest number whose state is kept.
  uint64_t first_kept_sequence() const;
  /// Returns the kept states, one bit per number, starting at
  /// first_kept_sequence().
  std::vector<uint64_t> Words() const { return {words_.begin(), words_.end()}; }
  /// Restores the values of next_sequence(), first_kept_sequence() and Words().
  void Restore(uint64_t next, uint64_t first_kept,
               const std::vector<uint64_t>& words);

  sequence_state StateOf(uint64_t sequence) const;

  /// Records that the action began. Has no effect on kForgotten numbers.
  void MarkBegun(uint64_t sequence);

  /// Records the proof that the action did not begin.
  void MarkNotBegun(uint64_t sequence);

 private:
  bool IsKept(uint64_t sequence) const;

  size_t max_words_;
  uint64_t next_sequence_ = 0;
  uint64_t first_kept_word_ = 0;
  std::deque<uint64_t> words_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_LOG_H_
