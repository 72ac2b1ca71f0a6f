#ifndef FOXTAILSPREAD_BENCHMARK_TARGET_FLEET_H_
#define FOXTAILSPREAD_BENCHMARK_TARGET_FLEET_H_

/// @file
/// Targets as the experiments know them: slots, a queue behind them, and the
/// ways in which they fail.

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

#include "event_loop.h"
#include "foxtailspread/dispatch_types.h"
#include "traffic.h"

namespace foxtailspread::experiment {

enum class target_mode {
  kServing,
  kShedding,  ///< Refuses at once, promising that nothing began.
  kFrozen,    ///< Accepts and never answers.
  kDown,      ///< No connection.
};

/// One attempt at a target. `host` and `attempt` are the sender's.
struct job {
  int host = 0;
  uint64_t attempt = 0;
  arrival request;
  uint64_t serial = 0;
};

/// The targets of one service over all zones.
class target_fleet {
 public:
  using on_end = std::function<void(const job&, attempt_outcome)>;
  static constexpr duration kRefusalTime{200};
  static constexpr duration kRestartTime{std::chrono::seconds{5}};

  target_fleet(event_loop& loop, int count, int slots, int connections)
      : loop_(loop),
        targets_(static_cast<size_t>(count)),
        slots_(static_cast<size_t>(slots)),
        connections_(static_cast<size_t>(connections)) {}

  /// Sets who hears of the ends of attempts.
  void OnEnd(on_end report) { report_ = std::move(report); }
  int Count() const { return static_cast<int>(targets_.size()); }
  void SetMode(int target, target_mode mode) { At(target).mode = mode; }
  int Crashes() const { return crashes_; }

  void Send(int target, job sent) {
    state& t = At(target);
    sent.serial = ++serial_;
    if (t.mode == target_mode::kDown) {
      Refuse(sent, attempt_outcome::kConnectFailed);
    } else if (t.mode == target_mode::kShedding ||
               t.running.size() + t.queued.size() >= connections_) {
      Refuse(sent, attempt_outcome::kNotStarted);
    } else if (t.running.size() < slots_) {
      Begin(target, sent);
    } else {
      t.queued.push_back(sent);
    }
  }

  /// Takes an attempt back; its slot is free at once.
  void Cancel(int target, int host, uint64_t attempt) {
    state& t = At(target);
    const auto same = [&](const job& j) {
      return j.host == host && j.attempt == attempt;
    };
    const auto queued = std::find_if(t.queued.begin(), t.queued.end(), same);
    if (queued != t.queued.end()) {
      t.queued.erase(queued);
      return;
    }
    const auto running = std::find_if(t.running.begin(), t.running.end(), same);
    if (running != t.running.end()) {
      t.running.erase(running);
      BeginQueued(target);
    }
  }

  /// Starts begun by each target since the last call.
  std::vector<double> TakeStarts() {
    std::vector<double> starts;
    for (state& t : targets_) {
      starts.push_back(t.starts);
      t.starts = 0;
    }
    return starts;
  }

 private:
  struct state {
    target_mode mode = target_mode::kServing;
    std::vector<job> running;
    std::deque<job> queued;
    double starts = 0;
  };

  state& At(int target) { return targets_[static_cast<size_t>(target)]; }

  void Refuse(const job& refused, attempt_outcome end) {
    loop_.After(kRefusalTime, [this, refused, end] { report_(refused, end); });
  }

  void Begin(int target, const job& begun) {
    state& t = At(target);
    t.running.push_back(begun);
    t.starts++;
    if (t.mode == target_mode::kFrozen) {
      return;
    }
    loop_.After(begun.request.service,
                [this, target, begun] { Complete(target, begun); });
  }

  void Complete(int target, const job& done) {
    state& t = At(target);
    const auto found =
        std::find_if(t.running.begin(), t.running.end(),
                     [&](const job& j) { return j.serial == done.serial; });
    if (found == t.running.end() || t.mode == target_mode::kFrozen) {
      return;
    }
    if (done.request.poison) {
      Crash(target);
      return;
    }
    t.running.erase(found);
    BeginQueued(target);
    report_(done, attempt_outcome::kAnswered);
  }

  void BeginQueued(int target) {
    state& t = At(target);
    if (!t.queued.empty() && t.running.size() < slots_) {
      const job next = t.queued.front();
      t.queued.pop_front();
      Begin(target, next);
    }
  }

  void Crash(int target) {
    state& t = At(target);
    crashes_++;
    t.mode = target_mode::kDown;
    std::vector<job> broken = std::move(t.running);
    broken.insert(broken.end(), t.queued.begin(), t.queued.end());
    t.running.clear();
    t.queued.clear();
    for (const job& j : broken) {
      report_(j, attempt_outcome::kConnectionBroken);
    }
    loop_.After(kRestartTime,
                [this, target] { At(target).mode = target_mode::kServing; });
  }

  event_loop& loop_;
  std::vector<state> targets_;
  size_t slots_;
  size_t connections_;
  on_end report_;
  uint64_t serial_ = 0;
  int crashes_ = 0;
};

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_TARGET_FLEET_H_
