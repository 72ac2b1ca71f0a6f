#ifndef FOXTAILSPREAD_EDGE_EDGE_METRICS_H_
#define FOXTAILSPREAD_EDGE_EDGE_METRICS_H_

/// @file
/// What an entry host measures of its requests and of itself.

#include <map>
#include <string>
#include <string_view>

#include "foxtailspread/bounded_histogram.h"
#include "foxtailspread/request_router.h"

namespace foxtailspread {

/// Counts since the process started.
class edge_metrics {
 public:
  /// A target's answer was passed on.
  void OnDelivered(const request_summary& account);
  /// This host answered itself. `reason` is kNone for a target's own failure.
  void OnRefused(const request_summary& account, refusal_reason reason);
  /// The loop ran `late` after it was due.
  void OnLoopLag(duration late) { loop_lag_.Add(late); }
  void OnKeysMoved() { ++keys_moved_; }
  /// This host asked the lease holder to repeat announcements.
  void OnRepeatAsked() { ++repeats_asked_; }
  /// This host repeated `count` announcements to one that asked.
  void OnRepeated(size_t count) { repeats_sent_ += count; }

  /// A target sent an answer that nothing awaited.
  void OnSurplusAnswer() { ++surplus_answers_; }
  /// What a target sent in answer to a request was no answer.
  void OnMalformedAnswer() { ++malformed_answers_; }

  /// All of it as Prometheus text.
  std::string Text() const;

 private:
  struct service_metrics {
    uint64_t delivered = 0;
    uint64_t sends = 0;
    std::map<refusal_reason, uint64_t> refused{};
    bounded_histogram latency{};  ///< From arrival to the answer.
    bounded_histogram wait{};     ///< From arrival to the first send.
  };

  /// Counts what all ends have in common; returns the service's metrics.
  service_metrics& Count(const request_summary& account);

  std::map<std::string, service_metrics> services_;
  bounded_histogram loop_lag_;
  uint64_t keys_moved_ = 0;
  uint64_t repeats_asked_ = 0;
  uint64_t repeats_sent_ = 0;
  uint64_t surplus_answers_ = 0;
  uint64_t malformed_answers_ = 0;
};

/// Appends the sends of one service by zone. `service` is its label.
void AppendZoneSends(std::string& text, const std::string& service,
                     const zone_send_counts& sends);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_EDGE_EDGE_METRICS_H_
