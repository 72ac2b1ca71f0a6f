#ifndef FOXTAILSPREAD_TESTS_SUPPORT_ROUTER_WORLD_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_ROUTER_WORLD_H_

/// @file
/// Hosts with a request_router each and the targets of one service in virtual
/// time, for tests and experiments of what callers get under load.

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

/// What callers got.
struct caller_tally {
  size_t asked = 0;
  size_t in_time = 0;  ///< Answered within the objective.
  size_t late = 0;
  size_t refused = 0;
  size_t failed = 0;        ///< No answer before the caller's patience ended.
  duration refused_wait{};  ///< Held before they were refused, in sum.

  double InTimeShare() const;
  /// Mean time from arrival to refusal.
  duration MeanRefusedWait() const;
};

/// One service and its callers, who do not come again.
struct router_world_options {
  size_t hosts = 9;
  size_t targets = 12;
  int slots = 6;
  size_t queue = 24;  ///< Requests that wait at a target; more are shed.
  /// Speeds of the targets, in turn.
  std::vector<double> speeds{0.6, 1.0, 1.4};
  bool keyed = true;
  duration mean_work{std::chrono::milliseconds{71}};
  double spread = 0.8;  ///< Of the logarithm of the work.
  duration objective{std::chrono::milliseconds{250}};
  duration patience{std::chrono::milliseconds{1500}};
  uint64_t seed = 1;
  /// Targets tell their load, and hosts share what they hear.
  bool tells_load = false;
  /// Part of the time in which another tenant slows a target threefold.
  double noise = 0.0;
};

/// Hosts, targets and callers.
///
/// @code
/// router_world world({.keyed = true, .seed = 3});
/// const caller_tally tally = world.Run(1.3 * world.Capacity(), seconds{10});
/// @endcode
class router_world {
 public:
  explicit router_world(router_world_options options);

  /// Requests a second that the targets can answer together.
  double Capacity() const;

  /// Lets requests come at `rate` a second for so long, evenly spread over
  /// hosts and, by capacity, over keys.
  caller_tally Run(double rate, duration time);

  /// Makes every target so many times as slow, from now on.
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
    double noise = 1.0;  ///< How long work takes there now.
    int busy = 0;
    std::deque<work> waiting;
  };
  struct caller {
    time_point arrived{};
    uint64_t attempt = 0;  ///< Of the send under way, 0 if there is none.
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
  std::map<std::string, size_t> target_of_;  ///< By id.
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
