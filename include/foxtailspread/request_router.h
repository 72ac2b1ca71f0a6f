#ifndef FOXTAILSPREAD_REQUEST_ROUTER_H_
#define FOXTAILSPREAD_REQUEST_ROUTER_H_

/// @file
/// Decides for each request of a caller where it is sent, how long it waits,
/// when it is sent again and what is said when it cannot be served.
///
/// Events and the time go in, actions come out. One router serves one host.

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/crash_watch.h"
#include "foxtailspread/host_messages.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/retry_budget.h"
#include "foxtailspread/routing_config.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/target_health.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Names one request on this host.
using request_id = uint64_t;

/// What the router needs to know of a request. The views need only live
/// through the call.
struct incoming_request {
  request_id id = 0;
  std::string_view host{};
  std::string_view path{};
  std::optional<key_point> key{};
  std::optional<duration> patience{};  ///< How long the caller will wait.
  uint64_t content = 0;  ///< The same for requests of the same content.
};

/// Sends a request to a target.
struct send_action {
  request_id id = 0;
  target_life target{};
  std::string address{};
  duration time_left{};  ///< What the target may take.
};

/// What a host says itself when no target's answer can be passed on.
enum class own_answer {
  kNoRoute,   ///< The declarations allow no such request.
  kNotRun,    ///< No target ran the request, and none will.
  kUnknown,   ///< A target may have run it.
  kTimedOut,  ///< Out of time; a target may have run it.
};

/// Why a request was not served, for the log.
enum class refusal_reason {
  kNone,
  kNoConfig,
  kNoRoute,
  kNoTarget,
  kNoWarmTarget,
  kNoOwner,
  kQueueFull,
  kWaitedTooLong,
  kTargetShed,
  kNoRetryLeft,
  kTargetBroke,
  kDeadline,
  kStopping,
  kCrashesTargets,
};

/// Returns the stable name of a reason.
std::string_view ToString(refusal_reason reason);

/// What became of a request, for the log and the metrics.
struct request_account {
  std::string service{};  ///< Empty if no route was found.
  int attempts = 0;       ///< Sends that reached a target.
  duration age{};         ///< Since its arrival.
  /// From its arrival to its first send, if it was sent.
  std::optional<duration> wait{};
};

/// Ends a request with an answer of this host.
struct own_answer_action {
  request_id id = 0;
  own_answer answer = own_answer::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  std::optional<duration> retry_after{};
  /// Only the attempt that is being cancelled may have run: the answer is
  /// kNotRun if no byte of it was written.
  bool not_run_if_unwritten = false;
  request_account account{};
  std::optional<key_point> key{};
  uint64_t config_version = 0;  ///< By which it was routed.
};

/// Ends a request with the answer that its last attempt brought.
struct deliver_action {
  request_id id = 0;
  request_account account{};
};

/// Ends the request's attempt under way by closing its connection.
struct cancel_action {
  request_id id = 0;
};

using router_action =
    std::variant<send_action, own_answer_action, deliver_action, cancel_action>;
using router_actions = std::vector<router_action>;

/// How an attempt ended.
struct attempt_report {
  request_id id = 0;
  attempt_verdict verdict = attempt_verdict::kBroken;
  std::optional<told_load> load{};  ///< What the target told, if it did.
};

/// How one service stands now.
struct service_gauges {
  std::string service;
  size_t waiting = 0;         ///< Requests not sent yet.
  size_t usable_targets = 0;  ///< Listed, not leaving and reachable.
  size_t cold_targets = 0;
  int in_flight = 0;          ///< This host's requests at the targets.
  double repeats_left = 0.0;  ///< This host's part of the budget.
};

/// Counts since the start.
struct router_counts {
  uint64_t requests = 0;
  uint64_t repeats = 0;
};

/// What a router goes by.
struct router_settings {
  std::string zone;
  retry_bounds retries;
  /// A leaving target must get no request later than this after its word.
  duration drain{std::chrono::seconds{2}};
  uint64_t seed = 1;
};

/// The decisions of one host.
///
/// @code
/// router.OnRequest(request, now, actions);
/// for (const router_action& action : actions) Carry(action);
/// @endcode
class request_router {
 public:
  explicit request_router(router_settings settings);
  ~request_router();

  /// Puts a new version of the declarations in force.
  void OnConfig(route_table_ptr table, time_point now, router_actions& out);

  /// Takes the targets of all services as the store lists them now.
  /// `doubtful` tells that the store was away of late: targets that are
  /// missing may be back within seconds. What differs from the list before
  /// happened after `same_until`, when that one was still current.
  void OnTargets(const std::vector<target_entry>& targets, bool doubtful,
                 time_point same_until, time_point now, router_actions& out);

  /// Takes the availability zones that are evacuated.
  void OnEvacuations(std::set<std::string> zones, time_point now,
                     router_actions& out);

  /// Takes the owners of a keyed service's keys.
  void OnKeyMap(const std::string& service, const key_map& map, time_point now,
                router_actions& out);

  /// Takes the number of hosts that share the retry budgets.
  void OnHostCount(size_t hosts);

  void OnRequest(const incoming_request& request, time_point now,
                 router_actions& out);
  void OnAttemptEnded(const attempt_report& report, time_point now,
                      router_actions& out);
  /// The caller left before its answer.
  void OnCallerGone(request_id id, time_point now, router_actions& out);

  /// Does what is due. Call at NextDue() or later.
  void OnTime(time_point now, router_actions& out);
  /// time_point::max() when nothing is due.
  time_point NextDue() const;

  /// Keys of a keyed service that were asked for since the last call, each
  /// with its number of requests. Of more than a datagram carries, the busiest.
  std::vector<std::pair<uint32_t, uint32_t>> TakeKeyLoad(
      const std::string& service);
  /// Loads that the targets of a service told since the last call.
  std::vector<load_sample> TakeLoads(const std::string& service,
                                     time_point now);
  /// Takes what other hosts heard of targets' loads.
  void OnLoads(std::span<const load_sample> loads, time_point now);
  /// What the targets of a service took since the last call; those that served
  /// nothing are left out.
  std::vector<target_latency> TakeLatencies(const std::string& service);

  const route_table* table() const { return table_.get(); }
  size_t pending() const { return requests_.size(); }
  const router_counts& counts() const { return counts_; }
  std::vector<service_gauges> Gauges(time_point now);
  /// Contents that crash targets, to be shared among the hosts.
  crash_watch& crashes() { return crashes_; }

 private:
  /// How often a waiting request is looked at again when no answer of a target
  /// gives occasion: targets become trusted again, keys get an owner.
  static constexpr duration kRecheck{std::chrono::milliseconds{40}};

  struct target;
  struct request;
  struct service;
  class waiting_queue;
  using target_ptr = boost::intrusive_ptr<target>;
  struct due {
    time_point at;
    request_id id;
    bool operator>(const due& other) const { return at > other.at; }
  };

  service& ServiceOf(const std::string& name);
  void Admit(request& admitted, time_point now, router_actions& out);
  void Refuse(request& refused, refusal_reason reason, time_point now,
              router_actions& out);
  int ConnectionsAllowed(const std::string& service) const;
  /// The latency assumed of a target that is new to this host: the others'
  /// mean, so that it gets its part of the requests at once.
  static duration FirstLatency(const service& of);
  void LimitConnections();
  /// Takes this host's share of the slots of a service's targets.
  void ShareSlots(service& of) const;
  void Finish(request& finished);
  void Wait(request& waiting, time_point now);
  /// Puts a request into the queue of its keys' owner, or else of its service.
  void JoinQueue(request& waiting);
  void LeaveQueue(request& waiting);
  /// Puts waiting requests into the queues of their keys' present owners.
  void RedistributeQueues(service& of);
  /// The queue of `owner`, or of the service if there is none.
  static waiting_queue& QueueOf(service& at, target* owner);
  /// How long an answer takes, most likely, once a request is sent; 0 if
  /// nothing is known. `owner` is that of its keys, if it has any.
  static duration LikelyLatency(const service& at, const target* owner,
                                time_point now);
  bool TrySend(request& sent, time_point now, router_actions& out);
  target* Pick(service& from, const request& by, time_point now);
  /// Finds the owner of a request's keys; nullptr if the service has none or
  /// they are changing hands.
  static target* FindOwner(service& from, const request& by);
  target* OwnerOf(service& from, const request& by, time_point now);
  target* PickPooled(service& from, const request& by, time_point now);
  /// Takes the load that target `by` told when it ended an attempt.
  static void TakeLoad(const request& ended, target& by,
                       const attempt_report& report, time_point now);
  bool MayRepeat(request& repeated, time_point now);
  void Repeat(request& repeated, refusal_reason otherwise, time_point now,
              router_actions& out);
  void Pump(service& pumped, time_point now, router_actions& out);
  void PumpQueue(waiting_queue& queue, time_point now, router_actions& out);
  /// Pumps the queue that room at `freed` is for; it may be none.
  void PumpAfter(service& at, const target_ptr& freed, time_point now,
                 router_actions& out);
  void Expire(request& expired, time_point now, router_actions& out);
  std::optional<refusal_reason> CannotServe(service& by, const request& asked,
                                            time_point now);
  duration ExpectedWait(const service& at, const request& by,
                        time_point now) const;
  duration RetryAfter(const request& refused, refusal_reason reason,
                      time_point now);
  void Schedule(time_point at, request_id id);
  /// Whether `of` may get requests of new work now, if it has room.
  static bool IsOpen(const target& of, time_point now);
  /// Whether an owner's zone was evacuated so long ago that it gets nothing.
  static bool IsEvacuationOver(const target& owner, time_point now);
  /// When the first of a service's cold targets is warm; empty if none is cold.
  static std::optional<time_point> WarmAt(const service& at, time_point now);
  /// Whether it has been missing from the list for too long to be used.
  static bool IsRetired(const target& of, time_point now);
  void DropRetired(service& from, time_point now);

  router_settings settings_;
  std::minstd_rand random_;
  route_table_ptr table_;
  std::set<std::string> evacuated_zones_;
  std::unordered_map<std::string, std::unique_ptr<service>> services_;
  std::unordered_map<std::string, split_dealer> splits_;
  std::unordered_map<request_id, std::unique_ptr<request>> requests_;
  std::priority_queue<due, std::vector<due>, std::greater<>> due_;
  size_t hosts_ = 8;
  crash_watch crashes_;
  router_counts counts_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_REQUEST_ROUTER_H_
