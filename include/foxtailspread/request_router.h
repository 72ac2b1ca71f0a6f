#ifndef FOXTAILSPREAD_REQUEST_ROUTER_H_
#define FOXTAILSPREAD_REQUEST_ROUTER_H_

/// @file
/// Routing, queueing and retry decisions for the requests of callers.
///
/// The router does no I/O and reads no clock: it is given events and the
/// current time and returns actions to carry out. Each host has one router.

#include <array>
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
#include "foxtailspread/load/key_throttle.h"
#include "foxtailspread/load/load_samples.h"
#include "foxtailspread/load/owner_admission.h"
#include "foxtailspread/load/return_schedule.h"
#include "foxtailspread/load/target_load.h"
#include "foxtailspread/load/zone_placement.h"
#include "foxtailspread/permit_cache.h"
#include "foxtailspread/relay_hosts.h"
#include "foxtailspread/retry_budget.h"
#include "foxtailspread/routing_config.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/target_health.h"
#include "foxtailspread/target_reach.h"
#include "foxtailspread/target_statements.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Identifies one request on this host.
using request_id = uint64_t;

/// A caller's request as passed to OnRequest(). The string views need to be
/// valid during the call only.
struct incoming_request {
  request_id id = 0;
  std::string_view host{};
  std::string_view path{};
  std::optional<key_point> key{};
  std::optional<duration> caller_timeout{};  ///< How long the caller waits.
  uint64_t content_hash = 0;  ///< Hash of the request's content; 0 for none.
  size_t body_bytes = 0;
  /// Set if another host, which reaches no target, relays the request: how many
  /// attempts are left of those that its route allows.
  std::optional<int> relayed_attempts{};
};

/// Sends a request to a target.
struct send_action {
  request_id id = 0;
  target_life target{};
  std::string address{};
  duration time_left{};  ///< Until the request's deadline.
  /// Once it is written whole, the request is not sent again.
  bool is_last = false;
  std::string service{};
  std::string zone{};  ///< The target's.
};

/// The answer that the host itself gives when it has no target's answer to
/// pass on.
enum class local_reply {
  kNoRoute,   ///< The configuration has no route for the request.
  kNotRun,    ///< No target ran the request, and none will.
  kUnknown,   ///< A target may have run it; the result is lost.
  kTimedOut,  ///< Deadline exceeded; a target may have run it.
};

/// Why a request was not served; written to the log.
enum class refusal_reason {
  kNone,
  kNoConfig,
  kConfigInDoubt,
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
  kTargetLimited,
  kTargetBackoff,
  kTargetsUnreachable,
  kOwnerBusy,     ///< The key's owner would answer too late.
  kKeyThrottled,  ///< The key gets more requests than its share.
  kNoDescriptor,  ///< This host had none left to reach a target with.
};

/// Returns the name of `reason` in log and metrics. Names are stable.
std::string_view ToString(refusal_reason reason);

/// Statistics of a finished request for the log and the metrics.
struct request_summary {
  std::string service{};  ///< Empty if no route was found.
  int attempts = 0;       ///< Attempts that reached a target.
  duration age{};         ///< Time since its arrival.
  /// Time from its arrival to its first send; empty if it was never sent.
  std::optional<duration> queue_time{};
};

/// Answers a request on behalf of this host, which ends the request.
struct local_reply_action {
  request_id id = 0;
  local_reply reply = local_reply::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  std::optional<duration> retry_after{};
  /// Only the attempt that is being cancelled may have run: if no byte of it
  /// was written to the target, answer kNotRun instead of `reply`.
  bool not_run_if_unwritten = false;
  request_summary summary{};
  std::optional<key_point> key{};
  uint64_t config_version = 0;  ///< Configuration that it was routed by.
};

/// Passes the answer of the last attempt on to the caller, which ends the
/// request.
struct deliver_action {
  request_id id = 0;
  request_summary summary{};
};

/// Hands a request to another host, which serves it instead of this one.
struct relay_action {
  request_id id = 0;
  std::string address{};  ///< Of the other host.
  duration time_left{};   ///< Until the request's deadline.
  int attempts_left = 0;  ///< Attempts that the other host may make.
  /// An earlier attempt may have run, so that the other host's word that its
  /// own did not is no answer for the caller.
  bool may_have_run = false;
};

/// How a relayed request ended.
enum class relay_end {
  kAnswered,  ///< The other host answered, whatever it answered.
  kNotSent,   ///< No byte of the request was sent to it.
  kBroken,    ///< It may have served the request; the answer is lost.
};

/// Cancels the request's current attempt by closing its connection.
struct cancel_action {
  request_id id = 0;
};

/// Reports that what is known of a target's limit has changed, or that an
/// answer states one that cannot be parsed; the latter is reported once per
/// target.
struct limit_change_action {
  std::string service{};
  target_life target{};
  limit_notice notice{};
  /// The target stated it to this host, not to another one.
  bool is_own_answer = true;
};

/// What an answer says of a time in which its target wants no more requests of
/// this host.
struct backoff_notice {
  std::optional<duration> time{};  ///< Empty if it wants none.
  bool is_readable = true;         ///< False if the time cannot be parsed.

  bool operator==(const backoff_notice&) const = default;
};

/// Reports that a target shuts down, as its answers say.
struct leaving_action {
  std::string service{};
  target_life target{};
  /// The target told this host, not another one.
  bool is_own_answer = true;
};

/// Reports that a target wants no requests of this host for a time, or that it
/// asked for one that cannot be parsed; the latter is reported once per target.
struct backoff_action {
  std::string service{};
  target_life target{};
  backoff_notice notice{};
};

/// Requests permits from the lease holder.
struct permit_request_action {
  uint64_t sequence = 0;
  limit_sample limit{};
  permit_demand demand{};
};

/// Reports a change of which targets this host reaches.
struct reach_change_action {
  target_paths paths = target_paths::kAll;
};

/// Asks a target for any answer, to find out whether it can be reached.
struct probe_action {
  std::string target{};
  std::string address{};
  std::string path{};
};

/// Reports that this host begins or ceases to tell the others of its requests
/// at a service's targets, see load_sharing, and why.
struct load_sharing_action {
  std::string service{};
  bool is_on = false;
  size_t hosts = 0;
  int slots = 0;
  duration work{};
  duration objective{};
};

using router_action =
    std::variant<reach_change_action, probe_action, relay_action, send_action,
                 local_reply_action, deliver_action, cancel_action,
                 limit_change_action, leaving_action, backoff_action,
                 permit_request_action, load_sharing_action>;
using router_actions = std::vector<router_action>;

/// How an attempt ended.
struct attempt_report {
  request_id id = 0;
  attempt_verdict verdict = attempt_verdict::kBroken;
  std::optional<reported_load> load{};  ///< Reported by the target, if at all.
  /// What the target's answer says of its limit; empty without an answer.
  std::optional<limit_notice> limit{};
  bool leaving = false;      ///< The target's answer says that it shuts down.
  backoff_notice backoff{};  ///< What the target's answer says of a backoff.
};

/// Current state of one service for the metrics.
struct service_gauges {
  std::string service;
  size_t waiting_requests = 0;  ///< Requests not sent yet.
  size_t usable_targets = 0;    ///< Listed, not draining and reachable.
  size_t cold_targets = 0;      ///< Not warmed up yet after their start.
  size_t limited_targets = 0;   ///< Limit the rate of requests to them.
  size_t leaving_targets = 0;   ///< Shut down, as their answers say.
  size_t backoff_targets = 0;   ///< Want no requests of this host now.
  size_t known_loads = 0;       ///< Targets whose load over all hosts is known.
  double occupied = 0.0;        ///< Requests at those, from all hosts.
  size_t throttled_keys = 0;    ///< Entries of keys or ranges of keys.
  int in_flight = 0;            ///< Attempts of this host under way.
  double retries_left = 0.0;    ///< In this host's share of the retry budget.
  zone_send_counts zone_sends{};  ///< Since the start of the host.
};

/// Counters since the start of the host.
struct router_counts {
  uint64_t requests = 0;
  uint64_t retries = 0;
  uint64_t limited_sends = 0;      ///< Attempts sent to targets with a limit.
  uint64_t relayed = 0;            ///< Requests handed to other hosts.
  uint64_t returns_with_room = 0;  ///< Refused callers that were promised room.
  uint64_t returns_without_room = 0;  ///< Those that could not wait for any.
};

/// Settings of a request_router.
struct router_settings {
  std::string zone;
  retry_bounds retries;
  /// A target must get no request later than this after it announced that it
  /// drains.
  duration drain_timeout{std::chrono::seconds{2}};
  /// Period at which targets write to the store.
  duration target_heartbeat{std::chrono::milliseconds{870}};
  uint64_t seed = 1;
  zone_preference placement = zone_preference::kOwnZoneFirst;
};

/// Routes the requests of one host.
///
/// @code
/// router.OnRequest(request, now, actions);
/// for (const router_action& action : actions) Execute(action);
/// @endcode
class request_router {
 public:
  explicit request_router(router_settings settings);
  ~request_router();

  /// Applies a new version of the configuration.
  void OnConfig(route_table_ptr table, time_point now, router_actions& out);
  /// Sets whether the configuration may not be the newest one. Requests without
  /// a route are then told to come back instead of that there is none.
  void OnConfigDoubt(bool in_doubt) { config_in_doubt_ = in_doubt; }

  /// Replaces the targets of all services by those that the store lists.
  /// `may_be_incomplete` is set when the store was unavailable recently, so
  /// that missing targets may be listed again within seconds. `unchanged_until`
  /// is the last time at which the previous list was known to be current:
  /// whatever differs from it changed after that.
  void OnTargets(const std::vector<target_entry>& targets,
                 bool may_be_incomplete, time_point unchanged_until,
                 time_point now, router_actions& out);

  /// Sets the availability zones that are evacuated.
  void OnEvacuations(std::set<std::string> zones, time_point now,
                     router_actions& out);

  /// Sets the owners of a keyed service's keys.
  void OnKeyMap(const std::string& service, const key_map& map, time_point now,
                router_actions& out);

  /// Sets the number of hosts that share the retry budgets and the targets'
  /// connections and slots. `is_known` is false while this host has not read
  /// the number and assumes one; it then sends nothing to targets with a limit
  /// without a permit.
  void OnHostCount(size_t hosts, bool is_known = true);

  void OnRequest(const incoming_request& request, time_point now,
                 router_actions& out);
  void OnAttemptEnded(const attempt_report& report, time_point now,
                      router_actions& out);
  /// Sets the hosts that reach targets, for use while this host reaches none.
  void OnRelays(std::span<const std::string> addresses, time_point now,
                router_actions& out);
  /// Applies the end of a relay_action.
  void OnRelayEnded(request_id id, relay_end end, time_point now,
                    router_actions& out);
  /// Applies the end of a probe_action.
  void OnProbeEnded(const std::string& target, bool is_answered, time_point now,
                    router_actions& out);
  /// Drops a request whose caller disconnected before the answer.
  void OnCallerGone(request_id id, time_point now, router_actions& out);

  /// Answers every request, present and future, by `answer_by` at the latest,
  /// as this host ends soon after.
  void OnStop(time_point answer_by);

  /// Runs the timers that are due. Call at NextDue() or later.
  void OnTime(time_point now, router_actions& out);
  /// Time of the first timer; time_point::max() if there is none.
  time_point NextDue() const;

  /// Returns the keys of a keyed service that were requested since the last
  /// call, each with its number of requests: the busiest ones if there are more
  /// than a datagram carries.
  std::vector<std::pair<uint32_t, uint32_t>> TakeKeyLoad(
      const std::string& service);
  /// Returns the loads that a service's targets reported since the last call.
  std::vector<load_sample> TakeLoads(const std::string& service,
                                     time_point now);
  /// Returns this host's requests at a service's targets, without targets at
  /// which it has had none since the last call; empty while the service's loads
  /// are not shared.
  std::vector<activity_sample> TakeActivity(const std::string& service,
                                            time_point now);
  /// Returns all of that for the host that sums the loads of all hosts; empty
  /// if there is nothing to tell.
  std::optional<loads_record> TakeLoadNews(std::string_view host,
                                           time_point now);
  /// Whether TakeLoadNews() has something to tell in a sharing period's time.
  bool HasLoadNews() const { return has_load_news_; }
  /// Applies loads that targets reported to other hosts.
  void OnLoads(std::span<const load_sample> loads, time_point now);
  /// Applies the loads of targets over all hosts.
  void OnLoadSums(std::span<const load_sum> sums, time_point now);
  /// The loads of targets over all hosts, as far as this host knows them.
  const load_view& loads() const { return loads_; }
  /// Returns the mean latency of a service's targets since the last call,
  /// without the targets that served nothing.
  std::vector<target_latency> TakeLatencies(const std::string& service);

  /// Returns what listed targets have stated, for other hosts: the limits of
  /// all that have one or whose limit ended recently, and those that shut down.
  target_statements Statements(time_point now) const;
  /// Returns what `targets` have stated, as far as they are listed.
  target_statements StatementsOf(std::span<const target_life> targets,
                                 time_point now);
  /// Returns the targets of which this host knows statements that are missing
  /// in, or newer than, those that another host knows.
  std::vector<target_life> StatingTargetsMissingIn(
      const target_statements& known_elsewhere, time_point now) const;
  /// Applies what targets have stated to other hosts.
  void OnStatements(const target_statements& statements, time_point now,
                    router_actions& out);
  /// Applies that a target told this host, in the answer to an order, that it
  /// shuts down.
  void OnLeavingTarget(const target_life& target, time_point now,
                       router_actions& out);
  /// Returns what is known of the limit that `sample` is about, which is that
  /// sample itself if the target is not listed.
  limit_sample Limit(const limit_sample& sample, time_point now);
  /// Applies what other hosts know of the targets' limits.
  void OnLimits(std::span<const limit_sample> limits, time_point now,
                router_actions& out);
  /// Applies the keys that the lease holder has hosts throttle.
  void OnKeyThrottles(const key_throttles& throttles, time_point now);
  /// Returns what the owners of a service's keys serve, as far as it is known
  /// and needed for admission.
  std::vector<owner_capacity> OwnerCapacities(const std::string& service_name,
                                              time_point now) const;
  /// Applies the lease holder's answer to a permit_request_action.
  void OnPermitReply(const permit_reply& reply, time_point now,
                     router_actions& out);

  const route_table* table() const { return table_.get(); }
  size_t pending() const { return requests_.size(); }
  const router_counts& counts() const { return counts_; }
  std::vector<service_gauges> Gauges(time_point now);
  /// Request contents that crash targets; shared among the hosts.
  crash_watch& crashes() { return crashes_; }
  /// Which targets this host reaches, as last reported.
  target_paths paths() const { return paths_; }

 private:
  /// Period at which a waiting request is tried again without an event: targets
  /// become trusted again and keys get an owner with time.
  static constexpr duration kRecheckPeriod{std::chrono::milliseconds{40}};
  /// A request with less time left than this is not sent any more.
  static constexpr duration kMinTimeToSend{std::chrono::milliseconds{15}};

  struct target;
  struct request;
  struct service;
  class waiting_queue;
  using target_ptr = boost::intrusive_ptr<target>;
  struct timer {
    time_point due_time;
    request_id id;
    bool operator>(const timer& other) const {
      return due_time > other.due_time;
    }
  };

  service& FindOrAddService(const std::string& name);
  void Admit(request& new_request, time_point now, router_actions& out);
  void Refuse(request& pending_request, refusal_reason reason, time_point now,
              router_actions& out);
  /// Refuses a request whose content has come to be known to crash targets;
  /// returns whether it did.
  bool RefuseIfItCrashesTargets(request& pending_request, time_point now,
                                router_actions& out);
  int MaxConnections(const std::string& service) const;
  /// Returns the smallest objective of the routes to a service.
  duration LeastObjective(const std::string& service) const;
  /// The latency assumed of a target that is new to this host: the mean of the
  /// others, so that it gets its share of the requests at once.
  static duration InitialLatency(const service& service_state);
  void UpdateConnectionLimits();
  /// Updates this host's share of the slots of a service's targets.
  void UpdateSlotShare(service& service_state) const;
  void RemoveRequest(request& pending_request);
  void StartWaiting(request& pending_request, time_point now);
  /// Adds a request to the queue of its key's owner, or of its service if the
  /// key has none.
  void JoinQueue(request& pending_request);
  void LeaveQueue(request& pending_request);
  /// Moves waiting requests to the queues of their keys' current owners.
  void RedistributeQueues(service& service_state);
  /// Returns the queue of `owner`, or of the service if `owner` is nullptr.
  static waiting_queue& QueueFor(service& service_state, target* owner);
  /// Returns the most likely latency of an attempt; 0 if nothing is known.
  /// `owner` is the owner of the request's key, nullptr if there is none.
  static duration LikelyLatency(const service& service_state,
                                const target* owner, time_point now);
  bool TrySend(request& pending_request, time_point now, router_actions& out);
  /// Records what the end of an attempt tells of the paths to the targets.
  void RecordReach(const target& attempted, attempt_verdict verdict,
                   time_point now, router_actions& out);
  /// Hands a request to another host, if this host cannot serve it, any other
  /// host is known to, and the request may still be sent; returns whether it
  /// did.
  bool TryRelay(request& pending_request, time_point now, router_actions& out);
  bool is_cut_off() const { return paths_ == target_paths::kNone; }
  /// Ends the relaying of a request, however it ended.
  void StopRelaying(request& pending_request);
  static int AttemptsLeft(const request& pending_request);
  /// Reports a change of whether targets can be reached, and probes one.
  void UpdateReach(time_point now, router_actions& out);
  void SendProbes(size_t count, router_actions& out);
  target* PickTarget(service& service_state, const request& pending_request,
                     time_point now, router_actions& out);
  /// Returns the owner of a request's key; nullptr if there is none or the key
  /// is moving to another owner.
  static target* FindOwner(service& service_state,
                           const request& pending_request);
  target* PickOwner(service& service_state, const request& pending_request,
                    time_point now, router_actions& out);
  /// Number of ranks, more urgent than that of a request, of routes to its
  /// service.
  int MoreUrgentRanks(const request& pending_request) const;
  /// Returns the state of an owner, if hosts need a shared view of it and have
  /// one; else its requests are limited by this host's own counts.
  std::optional<owner_state> OwnerStateOf(const service& service_state,
                                          const target& owner,
                                          time_point now) const;
  admission_request AdmissionRequestFor(const target& owner,
                                        const request& pending_request,
                                        time_point now) const;
  /// Whether an owner may get a request now.
  bool HasRoomAt(const target& owner, const request& pending_request,
                 time_point now) const;
  /// Whether an owner would answer a request too late.
  bool IsOwnerBusy(const target& owner, const request& pending_request,
                   time_point now) const;
  /// Whether an attempt ended with a reset by a target that is expected to be
  /// full.
  bool IsResetByFullTarget(const target& attempted, attempt_verdict verdict,
                           time_point now) const;
  /// Refusal of a new request by what its key's owner can serve.
  std::optional<refusal_reason> AdmissionRefusalFor(
      service& service_state, const request& pending_request,
      const target& owner, time_point now);
  duration RetryAfterAdmission(const request& refused_request,
                               refusal_reason reason, time_point now);
  target* PickPooled(service& service_state, const request& pending_request,
                     time_point now, router_actions& out);
  /// Targets of the own zone, and those of the others.
  using zone_groups = std::array<std::vector<target*>, 2>;
  /// Whether requests of a pooled service go to the own zone while it has room:
  /// if the loads of most of the usable targets are known.
  bool OwnZoneGoesFirst(const service& service_state, const zone_groups& usable,
                        time_point now) const;
  /// Returns the expected latency of one more request, by the load of all hosts
  /// if that is known.
  duration ExpectedLatency(const target& candidate, time_point now) const;
  /// Takes random targets out of `members` and returns the best of them;
  /// nullptr if there are none.
  target* BestOf(std::vector<target*>& members, time_point now);
  /// Returns a target of the own zone, or of the others if that has no room;
  /// nullptr if there are none.
  target* PickByZone(zone_groups& usable, const request& pending_request,
                     time_point now);
  /// Whether the rate limit of a target, if any, allows this host to send now.
  static bool HasPermit(const target& candidate, time_point now);
  /// Whether this host may have the request's body at a target besides those
  /// that it has there.
  bool HasRoomForBody(const target& candidate,
                      const request& pending_request) const;
  /// Records that the current attempt of a request has ended.
  static void ReleaseBody(const request& ended_request, target& attempted);
  /// Requests the permits that `waiting` requests to a target lack.
  void RequestPermits(target& limited, size_t waiting,
                      const request& pending_request, time_point now,
                      router_actions& out) const;
  /// Requests a permit for one of the pooled targets without one, about as
  /// often as a request would have gone there.
  void RequestPooledPermit(std::span<target* const> without_permit,
                           size_t usable_count, const request& pending_request,
                           time_point now, router_actions& out);
  /// Returns what requests without a permit can expect: of their key's owner,
  /// or of all targets of a pooled service; empty if none is needed.
  static std::optional<permit_cache::outlook> PermitOutlook(
      const service& service_state, const target* owner, time_point now);
  /// Refuses waiting requests that will get no permit in time.
  void RefuseWithoutPermit(service& service_state, target* owner,
                           time_point now, router_actions& out);
  struct kept_statements {
    target_limit limit;
    std::optional<time_point> leaving_since;
    time_point backoff_until{};
    time_point resumes_at{};
    time_point kept_at{};
  };
  /// Keeps the statements of a target that is no longer listed but may be
  /// again.
  void KeepStatements(const target& unlisted, time_point now);
  /// Returns the kept statements of a target that is not listed.
  kept_statements& KeptStatements(const target_life& life, time_point now);
  /// Applies kept statements to a target that is listed again.
  void RestoreStatements(target& listed);
  /// Returns when this host sends to a target, relative to other hosts, if all
  /// would send at once; from 0 to 1.
  double SendPhase(const target_entry& entry) const;
  target* FindTarget(const target_life& life);
  static void AddStatements(const target& stating, time_point now,
                            target_statements& statements);
  /// Records the load that `reporter` reported with the end of an attempt.
  void RecordLoad(const request& ended_request, target& reporter,
                  const attempt_report& report, time_point now);
  void UpdateReported(uint32_t target_id, const reported_load& load,
                      time_point reported_at, time_point now);
  /// Records a request about to be sent, and the end of an attempt, for the
  /// load that this host tells the others.
  void RecordSend(request& sent_request, const target& chosen, time_point now,
                  router_actions& out);
  void RecordActivity(const request& ended_request, target& attempted,
                      attempt_verdict verdict, time_point now);
  /// Returns the load of a target over all hosts; nullptr if it is not known.
  const target_load* LoadOf(const target& known_target, time_point now) const;
  /// Returns how many requests are at a target, with those that this host has
  /// sent since its load was measured; empty if its load is not known.
  std::optional<double> ExpectedOccupancyOf(const target& known_target,
                                            time_point now) const;
  /// Returns the time since which this host's sends are missing in a sum.
  time_point SumAsOf(time_point summed_at) const;
  /// Applies what the answer of an attempt says of its target's limit.
  static void RecordLimit(const request& ended_request, target& answering,
                          const attempt_report& report, time_point now,
                          router_actions& out);
  /// Applies what the answer of an attempt says of its target.
  void RecordStatements(const request& ended_request, target& answering,
                        const attempt_report& report, time_point now,
                        router_actions& out);
  static void RecordLeaving(target& leaving, time_point since,
                            bool is_own_answer, router_actions& out);
  void RecordBackoff(target& answering, const backoff_notice& notice,
                     time_point now, router_actions& out);
  bool TryTakeRetry(request& pending_request, time_point now);
  void RetryOrRefuse(request& pending_request, refusal_reason reason_if_refused,
                     time_point now, router_actions& out);
  void SendWaiting(service& service_state, time_point now, router_actions& out);
  void SendFromQueue(waiting_queue& queue, time_point now, router_actions& out);
  /// Sends requests that wait for the slot freed at `freed_target`, which may
  /// be null.
  void SendAfterFreedSlot(service& service_state,
                          const target_ptr& freed_target, time_point now,
                          router_actions& out);
  void Expire(request& pending_request, time_point now, router_actions& out);
  std::optional<refusal_reason> RefusalReasonFor(service& service_state,
                                                 const request& pending_request,
                                                 time_point now);
  /// Refusal of a request whose target has no permit for it in time.
  std::optional<refusal_reason> PermitRefusalFor(service& service_state,
                                                 const request& pending_request,
                                                 target* owner, time_point now);
  duration ExpectedWait(const service& service_state,
                        const request& pending_request, time_point now) const;
  duration RetryAfter(const request& refused_request, refusal_reason reason,
                      time_point now);
  /// Whether so many hosts share the targets that returns are scheduled.
  bool SchedulesReturns(const service& service_state, const target* owner,
                        duration objective) const;
  static return_schedule& ReturnsFor(service& service_state, target* owner);
  /// Returns the room that the request lacked; empty if it is not known.
  std::optional<expected_room> RoomFor(const request& refused_request,
                                       refusal_reason reason, time_point now);
  /// Returns when the caller is to return; empty if that is not scheduled.
  std::optional<duration> ScheduledReturn(const request& refused_request,
                                          refusal_reason reason,
                                          time_point now);
  void Schedule(time_point due_time, request_id id);
  /// Refuses a request that likely gets no answer of a target before this host
  /// stops, so that its caller can go to another one; returns whether it did.
  bool RefuseIfStopComesFirst(request& pending_request, time_point now,
                              router_actions& out);
  /// Ends the time that a request has on this host with the stop, if that is
  /// sooner.
  void CapDeadline(request& pending_request) const;
  /// Whether `candidate` may get new requests now, if it has a free slot.
  static bool AcceptsRequests(const target& candidate, time_point now);
  /// Whether a target has announced that it shuts down, in the store or in its
  /// answers.
  static bool IsLeaving(const target& candidate);
  /// Whether an owner announced that so long ago that it gets no more requests.
  bool IsDrainGraceOver(const target& owner, time_point now) const;
  /// Returns why no target can serve a request until its wait ends: those that
  /// could shut down or back off. Empty if one may.
  std::optional<refusal_reason> NoTargetReason(const request& pending_request,
                                               time_point now) const;
  /// Returns when the backoff of the first of the targets that could serve a
  /// request ends.
  static time_point FirstResume(service& service_state,
                                const request& pending_request, time_point now);
  /// Returns over how long the hosts spread their first requests after a
  /// backoff.
  duration ResumeSpread(const target& rejecting, duration backoff) const;
  /// Whether an owner's zone was evacuated so long ago that the owner gets no
  /// more requests.
  static bool IsEvacuationGraceOver(const target& owner, time_point now);
  /// Returns when the first of a service's cold targets is warm; empty if none
  /// is cold.
  static std::optional<time_point> FirstWarmTime(const service& service_state,
                                                 time_point now);
  /// Whether a target has been missing from the list for too long to be used.
  static bool IsMissingTooLong(const target& candidate, time_point now);
  void DropMissingTargets(service& service_state, time_point now);

  router_settings settings_;
  std::minstd_rand random_;
  bool config_in_doubt_ = false;
  time_point stop_deadline_ = time_point::max();
  route_table_ptr table_;
  std::set<std::string> evacuated_zones_;
  std::unordered_map<std::string, std::unique_ptr<service>> services_;
  std::unordered_map<std::string, weighted_round_robin> splits_;
  std::unordered_map<request_id, std::unique_ptr<request>> requests_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  size_t host_count_ = 8;
  bool host_count_is_known_ = false;
  crash_watch crashes_;
  target_reach reach_;
  relay_hosts relays_;
  target_paths paths_ = target_paths::kAll;  ///< As last reported.
  router_counts counts_;
  load_view loads_;
  bool has_load_news_ = false;
  int last_records_ = 0;  ///< Still to be told after the last requests.
  time_point loads_taken_at_{};
  time_point former_loads_taken_at_{};
  /// Statements of targets that are not listed now, by id and start.
  std::map<std::pair<std::string, uint64_t>, kept_statements>
      unlisted_statements_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_REQUEST_ROUTER_H_
