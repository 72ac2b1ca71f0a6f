#ifndef FOXTAILSPREAD_ACTION_LOG_H_
#define FOXTAILSPREAD_ACTION_LOG_H_

/// @file
/// One bit per minted action of a tenure: whether it has begun.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace foxtailspread {

/// What is known of a minted sequence number.
enum class sequence_state {
  kNeverBegun,
  kBegun,
  kForgotten,  ///< Older than the log reaches back.
  kNotMinted,  ///< Not reserved in this tenure.
};

/// Remembers which of a tenure's sequence numbers have begun, long after the
/// full entries were evicted. Without it, evicting an entry would force the
/// table to answer `unknown` to every identifier as old, also to those that a
/// caller has kept and never used.
class action_log {
 public:
  /// Keeps the state of at least the last `capacity` sequence numbers.
  explicit action_log(size_t capacity);

  /// Forgets everything and starts again at sequence number 0.
  void Clear();

  /// Hands out `count` sequence numbers and returns the first.
  uint64_t Reserve(uint64_t count);

  /// Returns the next number that Reserve would hand out.
  uint64_t next() const { return next_; }
  /// Returns the first number of which the state is kept.
  uint64_t first_kept() const;
  /// Returns the kept states, one bit a number, from first_kept() on.
  std::vector<uint64_t> Words() const { return {words_.begin(), words_.end()}; }
  /// Puts back what the three above gave.
  void Restore(uint64_t next, uint64_t first_kept,
               const std::vector<uint64_t>& words);

  sequence_state StateOf(uint64_t sequence) const;

  /// Notes that the action began; no effect on forgotten numbers.
  void MarkBegun(uint64_t sequence);

  /// Notes the proof that the action did not begin after all.
  void MarkNotBegun(uint64_t sequence);

 private:
  bool IsKept(uint64_t sequence) const;

  size_t max_words_;
  uint64_t next_ = 0;
  uint64_t first_word_ = 0;
  std::deque<uint64_t> words_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_LOG_H_
