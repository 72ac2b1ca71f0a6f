#ifndef FOXTAILSPREAD_REQUEST_FRONT_H_
#define FOXTAILSPREAD_REQUEST_FRONT_H_

/// @file
/// Handles the requests that callers send to this host: authenticates the
/// caller, selects the range and forwards the request to the range's steward.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxtailspread/action_pool.h"
#include "foxtailspread/config.h"
#include "foxtailspread/host_io.h"
#include "foxtailspread/range_table.h"

namespace foxtailspread {

/// The result of one ended request, for the burn report.
struct request_report {
  std::string organisation;
  std::string service;
  request_outcome outcome = request_outcome::kNotRun;
  int status = 0;
  duration latency{0};  ///< From arrival to answer.
};

/// Holds the unanswered requests that callers sent to this host, and routes
/// each to the steward of its range, on this host or another.
class request_front {
 public:
  request_front(const host_context& context, range_table& ranges)
      : context_(context), ranges_(ranges) {}

  /// Sets the configuration, which must outlive its use here.
  void Configure(const deployment_config* config);

  /// Accepts or refuses a caller's request. `ready` is false while this host
  /// has no configuration that it may act on; all requests are refused then.
  void OnCallerRequest(const caller_request& request, bool ready,
                       time_point now, steward_output& out);
  /// Handles a caller's request for an action identifier.
  void OnMintRequest(const mint_request& request, bool ready, time_point now,
                     steward_output& out);
  /// Handles a request that another host forwarded to this host as the steward.
  void OnForwardedRequest(const forwarded_request& request, time_point now,
                          steward_output& out);
  /// Handles the end of a forward to another host: answers the caller, or
  /// schedules another attempt.
  void OnForwardEnded(const forward_ended& ended, time_point now,
                      steward_output& out);
  /// Drops the request of a caller that disconnected.
  void OnCallerGone(const caller_gone& gone, time_point now,
                    steward_output& out);

  /// Routes waiting requests, and answers those whose time limit has passed.
  void Tick(time_point now, steward_output& out);

  /// Converts the results of this host's stewards into answers. A request whose
  /// steward lost its authority before the request started is routed again.
  void HandleStewardResults(time_point now, steward_output& out);

  /// Drops the pooled action identifiers of a range whose roster changed: their
  /// epoch may be unknown to the new steward.
  void OnRosterChange(std::string_view range) { actions_.RemoveRange(range); }

  /// Returns the number of requests not yet answered.
  size_t size() const { return requests_.size() + forwarded_ranges_.size(); }

  /// Returns the reports of requests that ended since the last call.
  std::vector<request_report> TakeReports() {
    return std::exchange(reports_, {});
  }

 private:
  struct front_request {
    uint64_t request_id = 0;
    std::string organisation;
    const service_config* service = nullptr;
    std::string service_name;
    std::string range;
    std::string key;
    urgency urgency_level = urgency::kOrdinary;
    time_point arrived_at{};
    time_point deadline{};
    time_point give_up_at{};       ///< Not routed again from this time on.
    time_point next_attempt_at{};  ///< Not routed again before this time.
    std::string action;
    uint64_t body_hash = 0;
    bool is_mint = false;           ///< Asks for an action identifier.
    bool range_pinned = false;      ///< Only `range` may serve it.
    bool may_have_started = false;  ///< A forward was lost after it was sent.
    bool at_local_steward = false;  ///< Submitted to a steward on this host.
    uint64_t forward_id = 0;        ///< Of the forward in progress; 0: none.
    std::string forward_host;
    time_point forwarded_at{};
    uint64_t forward_epoch = 0;  ///< Epoch of the steward it was sent to.
    int forward_attempts = 0;    ///< Forwards sent for the current range.
  };
  struct caller_context {
    const organisation_config* organisation = nullptr;
    const service_config* service = nullptr;
  };

  /// Authenticates the token and checks that its organisation may use the
  /// service.
  result<caller_context> Identify(std::string_view token_digest,
                                  std::string_view service) const;
  result<std::string> ChooseRange(const front_request& request) const;
  /// Returns a range for a request that any range of the service may serve.
  std::string ChoosePooledRange(const front_request& request) const;
  void Accept(front_request request, time_point now, steward_output& out);
  void Route(front_request& request, time_point now, steward_output& out);
  /// Returns the host to forward to, null if none is reachable.
  const host_entry* NextHost(const range_state& node, int forward_attempts,
                             time_point now) const;
  void SubmitToLocalSteward(const front_request& request, range_state& node,
                            time_point now, steward_output& out);
  void GiveUp(front_request& request, time_point now, steward_output& out);
  void Refuse(uint64_t request_id, const error& e, duration retry_after,
              steward_output& out,
              request_outcome outcome = request_outcome::kNotRun);
  void Answer(const front_request& request, answer_action answer,
              time_point now, steward_output& out);
  void RetryLater(front_request& request, time_point now);
  /// Probes the host of a forward that takes long. Returns whether the forward
  /// must be abandoned.
  bool IsForwardLost(const front_request& request, time_point now);
  /// Returns a pooled action identifier that the range's steward still knows.
  std::optional<std::string> TakePooledAction(std::string_view organisation,
                                              std::string_view range);
  /// Adds the identifiers that a steward minted to the pool, and takes one out
  /// of it for the caller.
  std::string PoolActions(const front_request& request,
                          std::string_view minted);
  /// Requests identifiers from the stewards of ranges for which the pool was
  /// found empty.
  void RequestWantedActions(time_point now, steward_output& out);

  const host_context& context_;
  range_table& ranges_;
  const deployment_config* config_ = nullptr;
  std::unordered_map<std::string, const organisation_config*>
      organisations_by_token_digest_;
  std::unordered_map<std::string, std::vector<std::string>> home_zones_;
  std::unordered_map<uint64_t, front_request> requests_;
  /// The range of each request that another host forwarded to this one.
  std::unordered_map<uint64_t, std::string> forwarded_ranges_;
  /// Request ID by forward ID.
  std::unordered_map<uint64_t, uint64_t> request_ids_by_forward_;
  std::vector<request_report> reports_;
  action_pool actions_;
  struct wanted_actions {
    std::string organisation;
    std::string service;
    std::string range;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const wanted_actions&) const = default;
  };
  /// To be requested at the next tick.
  std::set<wanted_actions> wanted_actions_;
  /// Requested and not yet answered.
  std::set<wanted_actions> mints_in_flight_;
  struct probe_state {
    time_point silent_since{};   ///< Start of the current silence.
    time_point next_probe_at{};  ///< When to send the next probe.
    time_point avoid_until{};
  };
  std::map<std::string, probe_state, std::less<>> probes_;  ///< By host.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_REQUEST_FRONT_H_
