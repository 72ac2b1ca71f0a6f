#ifndef FOXTAILSPREAD_TARGET_MACHINE_H_
#define FOXTAILSPREAD_TARGET_MACHINE_H_

/// @file
/// A target of docs/protocols/TARGET.md without its sockets and clock: the
/// stand-in program runs it in real time, tests run it in virtual time.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What a target is built to do.
struct target_settings {
  std::string name = "target";
  int slots = 3;
  int queue = 16;  ///< Requests that may wait for a slot.
  duration work_time{std::chrono::milliseconds{2}};
  /// Half-width of the uniform spread of the work time, as a part of it: 0 is
  /// a fixed time, 1 goes from none to twice the time.
  double work_spread = 0;
  bool checks_grants = false;
  /// Requests are slower for so long after the start.
  duration cold_time{0};
  /// How old the answers of the health and load endpoints are.
  duration health_lag{0};
  uint64_t seed = 1;
};

/// Faults that a test sets while the target runs.
struct target_faults {
  bool shed = false;             ///< Refuses new requests.
  bool drain = false;            ///< Refuses new requests, finishes the others.
  bool lie_healthy = false;      ///< Says that it is healthy in any case.
  int64_t lie_load = -1;         ///< The load it claims; -1 is the true one.
  int64_t truncate_answers = 0;  ///< So many answers to come are cut.
  double slow_factor = 1;        ///< Multiplies the work time.
  std::string poison{};          ///< A request with this text ends the process.
  int64_t cold_ms = 0;           ///< Starts a cold phase of that length.
  int64_t freeze_ms = 0;         ///< Freezes the target for that long.
};

/// Parses the body of `POST /admin/faults` over `faults`, those in force.
result<target_faults> ParseTargetFaults(std::string_view text,
                                        target_faults faults);

/// Limits of the numbers that a grant may carry.
inline constexpr int kMaxBuckets = 1 << 20;
inline constexpr duration kMaxLease{std::chrono::hours{1}};

/// An order of a steward, see TARGET.md.
struct target_grant {
  std::string range;
  uint64_t epoch = 0;
  uint64_t seq = 0;
  duration echo{0};   ///< A reading of the target's clock; 0 is none.
  duration lease{0};  ///< Counted from `echo`.
  std::optional<std::set<int>> buckets;  ///< Nothing leaves them as they are.
};

/// Parses the body of `POST /grant`.
result<target_grant> ParseTargetGrant(std::string_view text);

/// Whether an order was followed.
enum class grant_verdict {
  kAccepted,
  kStale,  ///< The epoch, or the number within it, is below the highest seen.
};

/// What the target answers to an order.
struct grant_answer {
  grant_verdict verdict = grant_verdict::kAccepted;
  uint64_t epoch = 0;  ///< The highest seen.
  uint64_t seq = 0;
  int running = 0;
};

/// What a target holds of one range.
struct held_range {
  uint64_t epoch = 0;
  uint64_t seq = 0;
  std::set<int> buckets;
  time_point valid_until{};
};

/// One request to run.
struct target_request {
  std::string attempt{};
  std::string key{};
  std::string range{};
  uint64_t epoch = 0;
  int bucket = -1;  ///< -1 for services whose targets are interchangeable.
  std::optional<duration> deadline{};  ///< Time left.
  /// A reading of this target's clock after which it may not start or run.
  std::optional<time_point> clock_deadline{};
  std::optional<duration> work_time{};  ///< In place of the configured one.
  std::string body{};
};

/// The headers of `POST /work` as they arrived.
struct target_headers {
  std::optional<std::string_view> attempt{};
  std::optional<std::string_view> key{};
  std::optional<std::string_view> range{};
  std::optional<std::string_view> epoch{};
  std::optional<std::string_view> bucket{};
  std::optional<std::string_view> deadline_ms{};
  std::optional<std::string_view> deadline_clock_us{};
  std::optional<std::string_view> work_ms{};
};

/// Checks the headers of a request. Those that are absent leave the defaults.
result<target_request> ParseTargetRequest(const target_headers& headers,
                                          std::string_view body);

/// How a request ended.
enum class target_verdict {
  kDone,
  kNotOwner,          ///< Not started: the bucket is not owned here.
  kStaleEpoch,        ///< Not started: a newer steward has been seen.
  kShed,              ///< Not started: shedding or draining.
  kFull,              ///< Not started: no slot and no place to wait.
  kExpiredUnstarted,  ///< Not started: the deadline passed while waiting.
  kExpiredRunning,    ///< Given up at its deadline while running.
};

/// Returns a name such as "not-owner".
std::string_view ToString(target_verdict verdict);

/// Whether the target promises that the request was not begun.
bool NotStarted(target_verdict verdict);

/// Names a request until its outcome was taken or it was cancelled.
using target_ticket = uint64_t;

/// The end of one request.
struct target_outcome {
  target_ticket ticket = 0;
  target_verdict verdict = target_verdict::kDone;
  std::string attempt;
  std::string key;
  uint64_t run = 0;       ///< Numbers the requests begun since start, from 1.
  uint64_t sum = 0;       ///< xxHash of the body.
  bool truncate = false;  ///< A fault wants the answer to be cut.
};

/// How a request that was begun has ended so far.
enum class run_end { kRunning, kDone, kCancelled, kExpired };

/// Returns "running", "done", "cancelled" or "expired".
std::string_view ToString(run_end end);

/// One entry of the log of what was begun.
struct target_run {
  std::string attempt;
  std::string key;
  std::string range;
  uint64_t epoch = 0;
  int bucket = -1;
  uint64_t body_sum = 0;
  time_point started{};
  time_point ended{};
  run_end end = run_end::kRunning;
};

/// What a target says of itself.
struct target_report {
  bool ok = true;
  int64_t running = 0;
  int64_t queued = 0;
};

/// The log keeps the newest so many entries.
inline constexpr size_t kMaxRuns = 200'000;

/// One key-owning target.
///
/// Every member that takes a time first brings the target up to it; times must
/// not go back. Whoever drives it calls Advance() at NextEvent() and takes the
/// outcomes after each call.
///
/// @code
/// target_machine target{{.slots = 3}, start};
/// target_ticket ticket = target.Submit({.key = "k"}, now);
/// target.Advance(*target.NextEvent());
/// for (const target_outcome& outcome : target.TakeOutcomes()) { ... }
/// @endcode
class target_machine {
 public:
  target_machine(target_settings settings, time_point start);

  /// Follows or refuses an order. Fails for a clock reading that this target
  /// cannot have given yet.
  result<grant_answer> Grant(const target_grant& grant, time_point now);

  /// What is held of `range`, or nullptr.
  const held_range* Held(std::string_view range) const;

  /// Takes a request in, or refuses it; see TakeOutcomes().
  target_ticket Submit(target_request request, time_point now);

  /// Gives a request up because its caller is gone; it has no outcome.
  void Cancel(target_ticket ticket, time_point now);

  /// Ends, expires and starts requests up to `now`.
  void Advance(time_point now);

  /// When Advance() has something to do next, or nothing.
  std::optional<time_point> NextEvent() const;

  /// The ends of requests since the last call, in order.
  std::vector<target_outcome> TakeOutcomes();

  void SetFaults(target_faults faults, time_point now);
  const target_faults& Faults() const { return faults_; }

  /// Whether all processing stands still (target_faults::freeze_ms). Until it
  /// ends, requests are taken in but have no outcome; grants and reports must
  /// be held back by whoever drives the target. Afterwards the target goes on
  /// as if no time had passed for the work that was running.
  bool Frozen() const { return frozen_until_.has_value(); }

  /// Whether a poisoned request was begun: the process has to end.
  bool Crashed() const { return crashed_; }

  /// What the endpoints say; it lags and may be a lie.
  target_report Report(time_point now);

  const std::deque<target_run>& Runs() const { return runs_; }
  const target_settings& Settings() const { return settings_; }

 private:
  struct waiting_request {
    target_ticket ticket;
    target_request request;
    std::optional<time_point> deadline;
  };
  struct running_request {
    waiting_request from;
    uint64_t run;
    time_point end;
  };
  struct timed_report {
    time_point at;
    target_report report;
  };

  void Freeze(duration length, time_point now);
  void Admit(waiting_request waiting, time_point now);
  void NoteEpoch(held_range& range, uint64_t epoch);
  std::optional<target_verdict> Check(const target_request& request,
                                      time_point now);
  std::optional<target_verdict> Refuse(const target_request& request,
                                       time_point now);
  void Start(waiting_request waiting, time_point now);
  void StartWaiting(time_point now);
  void EndDue(time_point now);
  void ExpireWaiting(time_point now);
  void Settle(const waiting_request& request, target_verdict verdict,
              uint64_t run);
  void EndRun(uint64_t run, run_end end, time_point now);
  void Thaw(time_point now);
  void Remember(time_point now);
  duration WorkTime(const target_request& request, time_point now);
  double NextFraction();

  target_settings settings_;
  target_faults faults_;
  time_point start_;
  time_point cold_until_;
  std::optional<time_point> frozen_until_;
  time_point frozen_since_{};
  std::map<std::string, held_range, std::less<>> ranges_;
  std::deque<waiting_request> waiting_;
  std::vector<waiting_request> arrived_;  // While frozen.
  std::vector<target_ticket> cancelled_;  // While frozen.
  std::vector<running_request> running_;
  std::vector<target_outcome> outcomes_;
  std::deque<target_run> runs_;
  std::deque<timed_report> history_;
  target_ticket last_ticket_ = 0;
  uint64_t last_run_ = 0;
  uint64_t random_;
  bool crashed_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_MACHINE_H_
