#ifndef FOXTAILSPREAD_TESTS_SUPPORT_ROUTER_WORLD_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_ROUTER_WORLD_H_

/// @file
/// Simulation in virtual time of hosts, each with a request_router, and the
/// targets of one service. Tests measure with it what callers get under load.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "foxtailspread/request_router.h"

namespace foxtailspread::testing {

/// Number of requests by their result, as callers see it.
struct caller_tally {
  size_t asked = 0;
  size_t in_time = 0;  ///< Answered within the objective.
  size_t late = 0;
  size_t refused = 0;
  size_t failed = 0;        ///< Not answered before the caller's timeout.
  duration refused_wait{};  ///< Sum of the times from arrival to refusal.

  /// Fraction of the requests that were answered within the objective.
  double InTimeShare() const;
  /// Mean time from arrival to refusal.
  duration MeanRefusedWait() const;
};

/// The hosts, the service and its callers. Callers don't retry.
struct router_world_options {
  size_t hosts = 9;
  size_t targets = 12;
  int slots = 6;      ///< Requests that a target works on at a time.
  size_t queue = 24;  ///< Requests that wait at a target; it sheds more.
  /// Relative speeds, assigned to the targets in turn. At speed 1 a request
  /// takes `mean_work` on average.
  std::vector<double> speeds{0.6, 1.0, 1.4};
  bool keyed = true;
  duration mean_work{std::chrono::milliseconds{71}};
  double spread = 0.8;  ///< Standard deviation of the logarithm of the work.
  duration objective{std::chrono::milliseconds{250}};
  duration patience{std::chrono::milliseconds{1500}};
  uint64_t seed = 1;
  /// Targets report their load, and hosts share these reports.
  bool tells_load = false;
  /// Fraction of the time in which another tenant of its machine slows a target
  /// down threefold.
  double noise = 0.0;
};

/// Simulates hosts, targets and callers.
///
/// @code
/// router_world world({.keyed = true, .seed = 3});
/// const caller_results results =
///     world.Run(1.3 * world.Capacity(), seconds{10});
/// @endcode
class router_world {
 public:
  explicit router_world(router_world_options options);

  /// Requests per second that all targets together can answer.
  double Capacity() const;

  /// Simulates requests at `rate_per_second` for `length`, spread evenly over
  /// the hosts and the keys; a target's share of the keys follows its capacity.
  caller_tally Run(double rate, duration time);

  /// Multiplies the work time at every target by `factor` from now on.
  void SlowDown(double factor) { slowness_ = factor; }

 private:
  struct work {
    size_t host = 0;
    request_id id = 0;
    uint64_t attempt = 0;
  };
  struct target_model {
    target_entry entry;
    double speed = 1.0;
    double noise = 1.0;  ///< Current factor of the work time; 1 is normal.
    int busy = 0;
    std::deque<work> waiting;
  };
  struct caller {
    time_point arrived{};
    uint64_t attempt = 0;  ///< Attempt under way; 0 if there is none.
  };
  struct event {
    time_point at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return at > other.at || (at == other.at && order > other.order);
    }
  };

  void Prepare();
  void ShareLoads();
  void ChangeNoise();
  void At(time_point at, std::function<void()> run);
  void Ask(double rate, time_point end);
  void Carry(size_t host, const router_actions& actions);
  void Send(size_t host, const send_action& action);
  void Arrive(size_t target, work arrived);
  void Begin(size_t target, work begun);
  void End(size_t target, const work& ended);
  void Report(const work& of, attempt_verdict verdict,
              std::optional<told_load> load = std::nullopt);
  void Wake(size_t host);
  bool IsWanted(const work& of) const;
  duration Work(const target_model& at);

  router_world_options options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<request_router>> routers_;
  std::vector<time_point> wake_at_;
  std::vector<target_model> targets_;
  load_board loads_;
  std::map<std::string, size_t> target_of_;  ///< Index in `targets_` by id.
  std::map<request_id, caller> callers_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  caller_tally tally_;
  time_point now_{std::chrono::seconds{1000}};
  uint64_t last_order_ = 0;
  uint64_t last_attempt_ = 0;
  request_id last_request_ = 0;
  double slowness_ = 1.0;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_ROUTER_WORLD_H_
