#include "foxtailspread/action_log.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr uint64_t kWordBits = 64;

uint64_t BitMask(uint64_t sequence) {
  return uint64_t{1} << (sequence % kWordBits);
}

}  // namespace

action_log::action_log(size_t capacity)
    : max_words_(capacity / kWordBits + 1) {}

void action_log::Clear() {
  next_sequence_ = 0;
  first_kept_word_ = 0;
  words_.clear();
}

uint64_t action_log::ReserveSequences(uint64_t count) {
  const uint64_t first = next_sequence_;
  next_sequence_ += count;
  return first;
}

uint64_t action_log::first_kept_sequence() const {
  return first_kept_word_ * kWordBits;
}

void action_log::Restore(uint64_t next, uint64_t first_kept,
                         const std::vector<uint64_t>& words) {
  next_sequence_ = next;
  first_kept_word_ = first_kept / kWordBits;
  words_.assign(words.begin(), words.end());
}

bool action_log::IsKept(uint64_t sequence) const {
  return sequence / kWordBits >= first_kept_word_;
}

sequence_state action_log::StateOf(uint64_t sequence) const {
  if (sequence >= next_sequence_) {
    return sequence_state::kNotMinted;
  }
  if (!IsKept(sequence)) {
    return sequence_state::kForgotten;
  }
  const uint64_t index = sequence / kWordBits - first_kept_word_;
  const bool begun =
      index < words_.size() && (words_[index] & BitMask(sequence)) != 0;
  return begun ? sequence_state::kBegun : sequence_state::kNeverBegun;
}

void action_log::MarkBegun(uint64_t sequence) {
  if (!IsKept(sequence)) {
    return;
  }
  const uint64_t word = sequence / kWordBits;
  // Words before the new kept range are dropped before the resize, so that a
  // number far above the last one doesn't allocate all words in between.
  if (word >= first_kept_word_ + max_words_) {
    const uint64_t new_first_word = word + 1 - max_words_;
    const uint64_t dropped_words =
        std::min<uint64_t>(new_first_word - first_kept_word_, words_.size());
    words_.erase(words_.begin(),
                 words_.begin() + static_cast<std::ptrdiff_t>(dropped_words));
    first_kept_word_ = new_first_word;
  }
  if (word - first_kept_word_ >= words_.size()) {
    words_.resize(word - first_kept_word_ + 1);
  }
  words_[word - first_kept_word_] |= BitMask(sequence);
}

void action_log::MarkNotBegun(uint64_t sequence) {
  const uint64_t index = sequence / kWordBits - first_kept_word_;
  if (IsKept(sequence) && index < words_.size()) {
    words_[index] &= ~BitMask(sequence);
  }
}

}  // namespace foxtailspread
