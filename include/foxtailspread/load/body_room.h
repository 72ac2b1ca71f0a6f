#ifndef FOXTAILSPREAD_LOAD_BODY_ROOM_H_
#define FOXTAILSPREAD_LOAD_BODY_ROOM_H_

/// @file
/// How many bytes of large bodies one host has under way to one target.
///
/// Load pattern: dozens of hosts send large bodies in the same moments, and
/// many meet at the target that looks least busy. It queues more of them than
/// its memory holds and crashes.

#include <cstddef>

namespace foxtailspread {

/// The bodies of one host's requests that are at one target.
class body_room {
 public:
  /// Bodies up to this size are not held back.
  static constexpr size_t kSmallBody = 16384;
  /// Bytes of large bodies that a target gets for each of its slots, from all
  /// hosts together: the largest body that a route takes by default.
  static constexpr size_t kBytesPerSlot = size_t{1} << 20;

  void OnSent(size_t body_bytes) { bytes_ += LargeBytes(body_bytes); }
  void OnEnded(size_t body_bytes) { bytes_ -= LargeBytes(body_bytes); }

  /// Whether a request with this body may be sent now. `slots` are the target's
  /// and shared by `host_count` hosts. One large body always may.
  bool HasRoom(size_t body_bytes, int slots, size_t host_count) const {
    if (body_bytes <= kSmallBody || bytes_ == 0) {
      return true;
    }
    const size_t all =
        kBytesPerSlot * static_cast<size_t>(slots < 1 ? 1 : slots);
    return bytes_ + body_bytes <= all / (host_count == 0 ? 1 : host_count);
  }
  size_t bytes() const { return bytes_; }

 private:
  static size_t LargeBytes(size_t body_bytes) {
    return body_bytes > kSmallBody ? body_bytes : 0;
  }

  size_t bytes_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_BODY_ROOM_H_
