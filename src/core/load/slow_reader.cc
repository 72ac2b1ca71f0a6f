#include "foxtailspread/load/slow_reader.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr int kMinUnanswered = 2;

}  // namespace

peer_state JudgePeer(const send_queue_state& queue, duration max_silence) {
  if (queue.bytes == 0) {
    return peer_state::kReading;
  }
  // The last sign of life may be older than what waits.
  const duration silence = std::min(queue.since_ack, queue.waiting);
  if (queue.unanswered >= kMinUnanswered && silence >= max_silence) {
    return peer_state::kGone;
  }
  return queue.is_window_closed ? peer_state::kNotReading
                                : peer_state::kSending;
}

void read_progress::OnCheck(uint64_t acknowledged, size_t waiting,
                            time_point now) {
  if (waiting > 0 &&
      (!is_waiting_ || acknowledged - acknowledged_ >= kMinReadProgress)) {
    acknowledged_ = acknowledged;
    progress_at_ = now;
  }
  is_waiting_ = waiting > 0;
}

}  // namespace foxtailspread
