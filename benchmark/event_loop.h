#ifndef FOXTAILSPREAD_BENCHMARK_EVENT_LOOP_H_
#define FOXTAILSPREAD_BENCHMARK_EVENT_LOOP_H_

/// @file
/// Virtual time for the queueing experiments.

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread::experiment {

/// Runs callbacks in the order of their times, ties in the order of entry.
class event_loop {
 public:
  using callback = std::function<void()>;

  time_point Now() const { return now_; }

  void At(time_point when, callback run) {
    events_.push({std::max(when, now_), next_++, std::move(run)});
  }
  void After(duration delay, callback run) { At(now_ + delay, std::move(run)); }

  /// Runs all that is due before `end`.
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when < end) {
      const event current = events_.top();
      events_.pop();
      now_ = current.when;
      current.run();
    }
    now_ = end;
  }

 private:
  struct event {
    time_point when;
    uint64_t order;
    callback run;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  std::priority_queue<event> events_;
  time_point now_;
  uint64_t next_ = 0;
};

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_EVENT_LOOP_H_
