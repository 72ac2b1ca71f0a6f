#ifndef FOXTAILSPREAD_SRC_PROGRAMS_FOXTAIL_LOAD_LOAD_RUNNER_H_
#define FOXTAILSPREAD_SRC_PROGRAMS_FOXTAIL_LOAD_LOAD_RUNNER_H_

/// @file
/// Sends the requests of a scenario and collects what comes back.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "load/checker.h"
#include "load/scenario.h"
#include "load/statistics.h"
#include "load/workload.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace foxtailspread {

/// What happened since the last call of TakeProgress.
struct load_progress {
  uint64_t sent = 0;
  uint64_t done = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t in_flight = 0;
  uint64_t dropped = 0;  ///< Arrivals beyond max_in_flight, since the start.
  duration behind{};     ///< The longest that a request began after its time.
  latency_histogram latency;
};

/// One load run on the loop.
class load_runner {
 public:
  /// Refers to `scenario`; `finished` runs once the last request has ended.
  load_runner(const load_scenario& scenario, std::function<void()> finished);
  load_runner(const load_runner&) = delete;
  load_runner& operator=(const load_runner&) = delete;

  void Start();

  /// Lets no further requests begin; those in flight end as usual.
  void StopSending() { stopped_ = true; }

  load_progress TakeProgress();
  const load_statistics& statistics() const { return statistics_; }
  uint64_t dropped() const { return dropped_; }
  /// The longest that a request of the run began after its time.
  duration behind() const { return behind_; }

  /// Reads the logs of all targets and checks the run against them. Call it
  /// after the run.
  void Check(std::function<void(check_report)> done);

 private:
  // A request from its arrival to its last answer.
  struct exchange {
    size_t stream = 0;
    load_arrival arrival;
    std::string body;
    std::string action;
    request_record record;
    std::string target;
    std::string code;  // of the last answer's error
    int sends = 0;
    size_t host = 0;  // that the next send goes to
    bool recorded = true;
    bool may_have_arrived = false;
    timer wait;
    http_call_ptr call;
  };
  using exchange_ptr = std::unique_ptr<exchange>;

  void Tick();
  void Begin(size_t stream, load_arrival arrival);
  void MakeRecord(exchange& e);
  void ObtainAction(uint64_t id);
  void Mint(uint64_t id);
  void OnMinted(uint64_t id, const http_call_result& answer);
  void Send(uint64_t id);
  void OnAnswer(uint64_t id, const http_call_result& answer);
  void NoteAnswer(exchange& e, const http_call_result& answer);
  bool MaySendAgain(const exchange& e, const http_call_result& answer) const;
  duration WaitBefore(const http_call_result& answer) const;
  void SendLater(uint64_t id, duration wait);
  void Finish(uint64_t id);
  http_client& ClientOf(uint64_t id) { return *clients_[id % clients_.size()]; }
  std::string NextHost(exchange& e);
  void PrepareResend(exchange& e);
  http_header Authorization(size_t stream) const;
  void KeepNextAction(size_t stream, const http_call_result& answer);
  void ReadLogs();
  void OnRuns(const load_target& target, const http_call_result& answer);

  const load_scenario& scenario_;
  std::function<void()> finished_;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::vector<load_generator> generators_;
  load_statistics statistics_;
  std::vector<request_record> records_;
  // Unused identifiers from earlier answers, by stream, the newest last.
  std::vector<std::vector<std::string>> next_actions_;
  std::unordered_map<uint64_t, exchange_ptr> exchanges_;
  uint64_t next_id_ = 0;
  uint64_t next_body_ = 0;
  uint64_t dropped_ = 0;
  duration behind_{};
  bool stopped_ = false;
  load_progress progress_;
  time_point started_{};
  timer tick_;

  std::vector<observed_run> runs_;
  std::vector<std::string> unread_targets_;
  size_t logs_awaited_ = 0;
  timer settle_;
  std::function<void(check_report)> checked_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_PROGRAMS_FOXTAIL_LOAD_LOAD_RUNNER_H_
