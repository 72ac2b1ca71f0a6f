#ifndef FOXTAILSPREAD_REQUEST_FRONT_H_
#define FOXTAILSPREAD_REQUEST_FRONT_H_

/// @file
/// The requests that callers send to this host: who sends them, which range
/// they belong to, and the way to that range's steward.

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

/// Receives what is said of each ended request, for the burn report.
struct request_report {
  std::string organisation;
  std::string service;
  request_outcome outcome = request_outcome::kNotRun;
  int status = 0;
  duration latency{0};
};

/// The requests that callers sent to this host and that are not yet answered.
class request_front {
 public:
  request_front(const host_context& context, range_table& ranges)
      : context_(context), ranges_(ranges) {}

  void Configure(const deployment_config* config);

  /// Takes a caller's request in; `ready` is false while this host has no
  /// configuration that it may act on.
  void OnCaller(const caller_request& request, bool ready, time_point now,
                steward_output& out);
  void OnMint(const mint_request& request, bool ready, time_point now,
              steward_output& out);
  /// Takes a request that another host sent here as the steward.
  void OnForwarded(const forwarded_request& request, time_point now,
                   steward_output& out);
  void OnForwardEnded(const forward_ended& ended, time_point now,
                      steward_output& out);
  void OnGone(const caller_gone& gone, time_point now, steward_output& out);

  /// Sends waiting requests on and gives up those whose time is over.
  void Tick(time_point now, steward_output& out);

  /// Turns what stewards here decided into answers, or sends the request on
  /// where a steward lost its authority before the request began.
  void Settle(time_point now, steward_output& out);

  /// Notes that the range's roster changed: identifiers held ready may be of
  /// an epoch that nobody remembers.
  void OnRosterChange(std::string_view range) { actions_.Forget(range); }

  /// Returns the number of requests not yet answered.
  size_t size() const { return requests_.size() + forwarded_.size(); }

  /// Returns what ended since the last call.
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
    urgency level = urgency::kOrdinary;
    time_point arrived{};
    time_point deadline{};
    time_point give_up{};
    time_point next_try{};
    std::string action;
    uint64_t body_hash = 0;
    bool mint = false;
    bool pinned = false;         ///< No other range may serve it.
    bool maybe_started = false;  ///< A forward broke after it was sent.
    bool at_steward = false;
    uint64_t forward_id = 0;
    std::string forward_host;
    time_point forwarded_at{};
    uint64_t forward_epoch = 0;  ///< Of the steward that was meant.
    int tries = 0;
  };
  struct caller_context {
    const organisation_config* organisation = nullptr;
    const service_config* service = nullptr;
  };

  result<caller_context> Identify(std::string_view token_digest,
                                  std::string_view service) const;
  result<std::string> ChooseRange(const front_request& request) const;
  std::string ChoosePooled(const front_request& request) const;
  void Accept(front_request request, time_point now, steward_output& out);
  void Route(front_request& request, time_point now, steward_output& out);
  const host_entry* NextHost(const range_node& node, int tries,
                             time_point now) const;
  void SubmitHere(const front_request& request, range_node& node,
                  time_point now, steward_output& out);
  void GiveUp(front_request& request, time_point now, steward_output& out);
  void Refuse(uint64_t request_id, const error& e, duration retry_after,
              steward_output& out,
              request_outcome outcome = request_outcome::kNotRun);
  void Answer(const front_request& request, answer_action answer,
              time_point now, steward_output& out);
  void RetryLater(front_request& request, time_point now);
  /// Probes the host of a forward that takes long; returns whether the
  /// forward is to be given up.
  bool ForwardLost(const front_request& request, time_point now);
  /// Returns a kept identifier that the range's steward still knows.
  std::optional<std::string> TakePooled(std::string_view organisation,
                                        std::string_view range);
  /// Keeps what a steward minted and returns one identifier for the caller.
  std::string PoolActions(const front_request& request,
                          std::string_view minted);
  /// Asks stewards for identifiers of ranges whose turn found none at hand.
  void Replenish(time_point now, steward_output& out);

  const host_context& context_;
  range_table& ranges_;
  const deployment_config* config_ = nullptr;
  std::unordered_map<std::string, const organisation_config*> by_token_;
  std::unordered_map<std::string, std::vector<std::string>> homes_;
  std::unordered_map<uint64_t, front_request> requests_;
  /// The ranges of requests that other hosts sent here.
  std::unordered_map<uint64_t, std::string> forwarded_;
  std::unordered_map<uint64_t, uint64_t> forwards_;  ///< Forward to request.
  std::vector<request_report> reports_;
  action_pool actions_;
  struct wanted_actions {
    std::string organisation;
    std::string service;
    std::string range;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const wanted_actions&) const = default;
  };
  std::set<wanted_actions> wanted_actions_;
  std::set<wanted_actions> minting_;
  struct probe_state {
    time_point since{};
    time_point next{};
    time_point avoid_until{};
  };
  std::map<std::string, probe_state, std::less<>> probes_;  ///< By host.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_REQUEST_FRONT_H_
