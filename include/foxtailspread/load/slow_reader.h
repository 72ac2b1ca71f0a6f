#ifndef FOXTAILSPREAD_LOAD_SLOW_READER_H_
#define FOXTAILSPREAD_LOAD_SLOW_READER_H_

/// @file
/// Peers that take what was sent to them slowly or not at all.
///
/// Load pattern: callers ask for long answers, or targets get large uploads,
/// and stop reading for seconds while their machines go on acknowledging. One
/// that lives gets its bytes; one whose machine is gone, and one that holds
/// memory for too long, is given up.

#include <cstddef>
#include <cstdint>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// What is known of bytes that a peer has not acknowledged.
struct send_queue_state {
  size_t bytes = 0;
  duration waiting{0};    ///< Since they, or ones before them, were seen first.
  duration since_ack{0};  ///< Since the peer's last sign of life.
  /// Retransmissions and probes of the window since then.
  int unanswered = 0;
  /// The peer has no room, so that only probes of its window are sent.
  bool is_window_closed = false;
};

/// What a peer does with bytes that were sent to it.
enum class peer_state {
  kReading,     ///< All of them have reached it.
  kSending,     ///< Some are on their way.
  kNotReading,  ///< It lives and has no room for more.
  kGone,        ///< It gives no sign of life.
};

/// Judges a peer. It is gone if it has answered nothing for `max_silence`, and
/// not even the second of two attempts: a peer need not answer each probe, and
/// the network may lose one.
peer_state JudgePeer(const send_queue_state& queue, duration max_silence);

/// Bytes that count as progress, unless nothing is left. A reader that takes a
/// few at a time would hold an answer for as long as it likes.
inline constexpr uint64_t kMinReadProgress = 16384;

/// How fast one reader takes what is sent to it.
class read_progress {
 public:
  /// `acknowledged` counts all bytes that it ever took, `waiting` those that it
  /// has not.
  void OnCheck(uint64_t acknowledged, size_t waiting, time_point now);

  /// How long it has made no progress; 0 if nothing waits for it.
  duration StalledFor(time_point now) const {
    return is_waiting_ ? now - progress_at_ : duration{0};
  }
  bool is_waiting() const { return is_waiting_; }

 private:
  uint64_t acknowledged_ = 0;  ///< When it last made progress.
  time_point progress_at_{};
  bool is_waiting_ = false;
};

/// A reader that has stalled for less is not given up to make room for requests
/// that were refused for want of memory.
inline constexpr duration kMinStallForMemory{std::chrono::seconds{3}};

/// The same while more is held than may be: the process ends if it goes on.
inline constexpr duration kMinStallWhenFull{std::chrono::seconds{1}};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_SLOW_READER_H_
