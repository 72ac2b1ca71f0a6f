#ifndef FOXTAILSPREAD_LOAD_HELD_MEMORY_H_
#define FOXTAILSPREAD_LOAD_HELD_MEMORY_H_

/// @file
/// The memory that a host holds for requests and answers on their way, and
/// whether one more request fits.
///
/// Load pattern: a burst of requests with large bodies arrives at a small host,
/// while targets take them slowly or callers take their answers slowly. Held
/// all at once, they exceed the memory of the process, which is killed with the
/// requests of everybody.

#include <array>
#include <cstddef>
#include <cstdint>

namespace foxtailspread {

/// What bytes are held for.
enum class held_kind {
  kRequests,   ///< Requests of callers, arriving or until they need no send.
  kAnswers,    ///< Answers, arriving or until their caller has taken them.
  kToTargets,  ///< Copies made for targets that have not taken them yet.
};
inline constexpr size_t kHeldKinds = 3;

/// Returns the name of `kind` in metrics. Names are stable.
const char* ToString(held_kind kind);

/// One count over all connections of a host.
class held_memory {
 public:
  explicit held_memory(size_t bound) : bound_(bound) {}
  held_memory(const held_memory&) = delete;
  held_memory& operator=(const held_memory&) = delete;

  void SetBound(size_t bytes) { bound_ = bytes; }
  size_t bound() const { return bound_; }

  /// Whether `more` bytes fit.
  bool HasRoom(size_t more) const {
    return more <= bound_ && total_ <= bound_ - more;
  }
  bool IsExceeded() const { return total_ > bound_; }

  /// A request was refused because it does not fit.
  void OnRefused();
  uint64_t refused() const { return refused_; }
  /// Whether a request was refused and half of the memory has not been free
  /// since.
  bool is_short() const { return is_short_; }

  size_t total() const { return total_; }
  size_t bytes(held_kind kind) const {
    return bytes_[static_cast<size_t>(kind)];
  }

 private:
  friend class memory_charge;
  void Replace(held_kind kind, size_t before, size_t after);

  size_t bound_;
  size_t total_ = 0;
  std::array<size_t, kHeldKinds> bytes_{};
  uint64_t refused_ = 0;
  bool is_short_ = false;
};

/// The bytes that one holder has in the count, until it is destroyed.
class memory_charge {
 public:
  /// `memory` may be null: then nothing is counted.
  memory_charge(held_memory* memory, held_kind kind, size_t bytes = 0)
      : memory_(memory), kind_(kind) {
    Set(bytes);
  }
  ~memory_charge() { Set(0); }
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;

  void Set(size_t bytes);
  size_t bytes() const { return bytes_; }

 private:
  held_memory* memory_;
  held_kind kind_;
  size_t bytes_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_HELD_MEMORY_H_
