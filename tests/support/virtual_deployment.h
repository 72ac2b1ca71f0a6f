#ifndef FOXTAILSPREAD_TESTS_SUPPORT_VIRTUAL_DEPLOYMENT_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_VIRTUAL_DEPLOYMENT_H_

/// @file
/// The decisions of several entry hosts with fakes at their interfaces: the
/// platform's store, target machines and links that delay and drop. All in
/// virtual time and from one seed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "foxtailspread/entry_host.h"
#include "foxtailspread/object_store.h"
#include "foxtailspread/target_machine.h"

namespace foxtailspread::testing {

/// What a caller sends.
struct call_options {
  std::string token = "dev-field-token";
  std::string action;
  std::string urgency;
  duration deadline{0};
  std::string body;
  std::optional<duration> work;
};

/// What a caller got.
struct call_result {
  uint64_t call = 0;
  std::string host;
  std::string service;
  std::string key;
  std::string action;
  std::string sent_body;
  int64_t sent_us = 0;
  int64_t answered_us = -1;  ///< -1 while there is no answer.
  bool connection_lost = false;
  request_outcome outcome = request_outcome::kUnknown;
  int status = 0;
  std::string code;
  std::string body;
  std::string target;
  std::string next_action;
  int64_t retry_after_us = 0;

  bool Done() const {
    return answered_us >= 0 && outcome == request_outcome::kDone;
  }
};

struct deployment_options {
  deployment_config config;
  int hosts_per_zone = 3;
  uint64_t seed = 1;
  duration link_delay{std::chrono::microseconds{500}};
  duration work_time{std::chrono::milliseconds{2}};
  decision_timing timing;
  /// The clocks of entry hosts run wrong by up to so many parts in a million.
  int64_t most_drift_ppm = 450;
  bool keep_traces = true;  ///< Off for long runs.
  duration tick{std::chrono::milliseconds{10}};
};

/// Entry hosts, targets and a platform in virtual time.
class virtual_deployment {
 public:
  explicit virtual_deployment(const deployment_options& options);
  virtual_deployment(const virtual_deployment&) = delete;
  virtual_deployment& operator=(const virtual_deployment&) = delete;

  /// Runs for that long.
  void RunFor(duration length);
  int64_t now_us() const { return now_us_; }
  /// Runs `action` at a later virtual time.
  void At(duration later, std::function<void()> action);

  /// Sends a request; its result is in `calls()` under the returned number.
  uint64_t Call(const std::string& host, const std::string& service,
                const std::string& key, const call_options& options = {});
  /// Asks for an action identifier and runs until it is there.
  std::string Mint(const std::string& host, const std::string& service,
                   const std::string& token = "dev-field-token");
  const call_result& Result(uint64_t call) const { return calls_.at(call); }
  const std::map<uint64_t, call_result>& calls() const { return calls_; }

  // Entry hosts.
  void KillHost(const std::string& name);
  /// Starts a killed host again, without its memory.
  void StartHost(const std::string& name);
  void PauseHost(const std::string& name, duration length);
  void LeaveHost(const std::string& name);
  bool HostRuns(const std::string& name) const;
  /// Returns whether the balancer would send callers to the host.
  bool HostReady(const std::string& name) const;
  entry_host& Host(const std::string& name) {
    return *hosts_.at(name).decisions;
  }
  std::vector<std::string> HostNames() const;
  /// Returns the host that acts as steward of the range, or "".
  std::string StewardOf(const std::string& range) const;

  // Targets.
  void KillTarget(const std::string& name);
  void StartTarget(const std::string& name);
  target_machine& Target(const std::string& name) {
    return *targets_.at(name).machine;
  }
  void SetTargetFaults(const std::string& name, const target_faults& faults);
  /// Returns the target that owns the key according to its steward, or "".
  std::string OwnerOf(const std::string& service, const std::string& key) const;

  // Links. Cutting is symmetric; messages under way are lost.
  void CutHost(const std::string& name, bool cut);
  void CutZone(const std::string& zone, bool cut);
  void CutZoneFromPlatform(const std::string& zone, bool cut);
  /// Cuts one host off from the targets of one name.
  void CutHostFromTarget(const std::string& host, const std::string& target,
                         bool cut);

  // The platform.
  platform_faults& Platform() { return platform_faults_; }
  object_store& Store() { return store_; }
  uint64_t platform_calls() const { return platform_calls_; }
  /// Writes the configuration as an operator would; returns its revision.
  uint64_t Apply(const deployment_config& config);
  /// Makes the platform list a host or target as leaving.
  void ListLeaving(const std::string& name) { listed_leaving_.insert(name); }
  /// Orders a target to be drained, as an operator would.
  void Drain(const std::string& name);

  /// Returns what breaks single ownership at this moment, "" if nothing: two
  /// hosts that each believe to be steward of a range, or two targets that
  /// each hold a lease on a bucket.
  std::string DoubleOwners() const;

  /// Returns what was broken of all that must always hold, "" if nothing:
  /// overlapping owners of a bucket, second runs, false "not run", foreign
  /// answers, "not run" after "unknown", versions that went back.
  std::string Violations();

  /// The recorded decisions of one host, as foxtail-replay reads them.
  std::string TraceOf(const std::string& host) const;

  /// One line for each answered call, for golden files.
  std::string Transcript() const;

  const action_secret& secret() const { return secret_; }

 private:
  struct fake_host {
    host_identity identity;
    std::unique_ptr<entry_host> decisions;
    int64_t offset_us = 0;
    int64_t drift_ppm = 0;
    int64_t paused_until = 0;
    bool cut = false;
    uint64_t starts = 0;
    uint64_t next_request = 1;
    std::map<uint64_t, uint64_t> callers;  ///< Request to call.
    std::map<uint64_t, std::pair<std::string, uint64_t>> forwards_in;
    std::map<uint64_t, std::string> bodies;  ///< Of requests, by request.
    std::map<uint64_t, std::optional<duration>> works;
    std::map<uint64_t, std::string> answers;  ///< By attempt or forward.
    std::map<uint64_t, call_result> forward_results;
    std::string trace;
    uint64_t last_config = 0;
  };
  struct fake_target {
    target_config config;
    std::string service;
    target_settings settings;
    std::unique_ptr<target_machine> machine;
    int64_t offset_us = 0;
    /// Where the outcome of a ticket goes.
    std::map<target_ticket, std::pair<std::string, uint64_t>> tickets;
    std::deque<target_run> former_runs;
    std::vector<std::pair<int64_t, int64_t>> freezes;  ///< From and to.
  };

  void Push(int64_t delay_us, std::function<void()> action);
  int64_t LinkDelay();
  time_point HostClock(const fake_host& host) const;
  time_point TargetClock(const fake_target& target) const;
  bool Connected(const std::string& host, const std::string& other) const;
  bool TargetReachable(const std::string& host,
                       const std::string& target) const;
  void Tick(const std::string& name, uint64_t start);
  void Deliver(const std::string& host, uint64_t start, host_event event);
  void Handle(const std::string& host, const host_event& event);
  void CarryOut(const std::string& host, const host_action& action);
  void DoAnswer(const std::string& host, const answer_action& action);
  void DoAttempt(const std::string& host, const attempt_action& action);
  void DoForward(const std::string& host, const forward_action& action);
  void DoGrant(const std::string& host, const grant_action& action);
  void DoPlatform(const std::string& host, const platform_action& action);
  platform_ended CallPlatform(const platform_action& action);
  void WakeTarget(const std::string& name);
  void TakeOutcomes(const std::string& name);
  void LoseConnections(const std::string& host);

  void CheckOwners(std::string& found) const;
  void CheckActions(std::string& found) const;
  void CheckAnswers(std::string& found) const;

  deployment_options options_;
  action_secret secret_;
  std::mt19937_64 random_;
  int64_t now_us_ = 0;
  std::multimap<int64_t, std::function<void()>> queue_;
  std::map<std::string, fake_host> hosts_;
  std::map<std::string, fake_target> targets_;
  std::set<std::string> cut_zones_;
  std::set<std::string> zones_without_platform_;
  std::set<std::pair<std::string, std::string>> cut_pairs_;
  object_store store_;
  std::set<std::string> listed_leaving_;
  platform_faults platform_faults_;
  uint64_t platform_calls_ = 0;
  uint64_t next_call_ = 1;
  std::map<uint64_t, call_result> calls_;
  std::string violations_;
};

/// Returns a small configuration: `zones` zones with two targets a service
/// each; services "history" (keyed), "signing" (pooled, at-most-once) and
/// "archive" (pooled); organisations "field" and "office".
deployment_config SmallConfig(int zones, bool targets_check_grants);

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_VIRTUAL_DEPLOYMENT_H_
