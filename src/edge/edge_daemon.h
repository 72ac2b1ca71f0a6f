#ifndef FOXTAILSPREAD_EDGE_EDGE_DAEMON_H_
#define FOXTAILSPREAD_EDGE_EDGE_DAEMON_H_

/// @file
/// One entry host: connects the decisions of the library with callers,
/// targets, the store and the other hosts.

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/edge_metrics.h"
#include "foxtailspread/config_trust.h"
#include "foxtailspread/evacuations.h"
#include "foxtailspread/events.h"
#include "foxtailspread/graceful_stop.h"
#include "foxtailspread/host_messages.h"
#include "foxtailspread/key_assigner.h"
#include "foxtailspread/load/held_memory.h"
#include "foxtailspread/load/load_board.h"
#include "foxtailspread/missed_changes.h"
#include "foxtailspread/permit_issuer.h"
#include "foxtailspread/request_router.h"
#include "foxtailspread/target_history.h"
#include "foxtailspread/targets_sharing.h"
#include "foxtailspread/traffic_by_zone.h"
#include "net/caller_server.h"
#include "net/connection_pool.h"
#include "net/datagram.h"
#include "net/loop.h"
#include "net/poller.h"
#include "platform/edge_settings.h"
#include "platform/store_client.h"

namespace foxtailspread {

/// Declarations in force, and what they were read from.
struct shared_config {
  route_table_ptr table;
  std::string content;  ///< JSON, as the store has it.
};

/// An object that asks for the evacuation of the zone it is named after.
struct evacuation_request {};

/// The entry host's process.
class edge_daemon {
 public:
  edge_daemon(platform::edge_settings settings, std::function<void()> on_done);
  edge_daemon(const edge_daemon&) = delete;
  edge_daemon& operator=(const edge_daemon&) = delete;

  /// Listens and begins. After an error it may be called again.
  status Start();

  /// Where callers and the balancer reach it, also when the settings asked for
  /// any port.
  uint16_t callers_port() const { return callers_.port(); }
  uint16_t readiness_port() const { return readiness_.port(); }
  /// Where other hosts hand requests over.
  uint16_t relayed_port() const { return relayed_.port(); }

  /// Takes changed settings; those that a running process can change.
  void Reload(const platform::edge_settings& settings);

  /// Leaves in order: no new callers, what is in work finishes, then done.
  void Leave();

 private:
  /// Set in the number of an exchange with a host that relays a request, to
  /// tell it from those with callers.
  static constexpr exchange_id kRelayedExchange = exchange_id{1} << 63U;

  /// Bytes of an object that is sent to hosts; with what relays add to it it
  /// still fits in a datagram.
  static constexpr size_t kMostShared = 48000;

  /// A request from its arrival to its answer.
  struct flight {
    http_message request;
    std::optional<call_id> call;
    std::optional<http_message> answer;
    target_life target;
    bool unwritten = false;   ///< The cancelled attempt was never written.
    bool is_relayed = false;  ///< `call` goes to another host, not to a target.
    /// An attempt before it was relayed may have run.
    bool may_have_run = false;
    std::string service{};    ///< Of the target.
    std::string zone{};       ///< Of the target.
    uint64_t connection = 0;  ///< To the target, of the last attempt's end.
  };

  /// An order from its sending to its end.
  struct sent_order {
    key_order order;
    call_id call = 0;
    time_point sent_at{};
  };

  void OnRequest(exchange_id id, http_message request,
                 std::optional<int> relayed_attempts = std::nullopt);
  /// A request that another host, which reaches no target, hands over.
  void OnRelayedRequest(exchange_id id, http_message request);
  void OnRelayEnded(request_id id, call_result result);
  /// Answers a caller, or the host that relays its request.
  void Answer(exchange_id id, http_message answer);
  void OnCallerGone(exchange_id id);
  void OnReadinessRequest(exchange_id id, const http_message& request);
  void OnAttemptEnded(request_id id, call_result result);
  void OnEra(uint64_t era);
  void OnEraHeard(uint64_t era);
  static std::optional<shared_config> ReadConfig(std::string_view name,
                                                 const nlohmann::json& content);
  void OnConfigChanged();
  void TakeConfig(const shared_config& offered, store_revision revision);
  uint64_t ConfigVersion() const;
  shared_object DeclarationsInForce() const;
  void SendConfigTo(const std::string& address, uint64_t version,
                    time_point now);
  void OnHeardConfig(uint64_t version, time_point now);
  void OnTargetsChanged();
  void OnOwnObjectsChanged();
  void OnEvacuationsRead();
  void TakeEvacuations(std::set<std::string> zones, time_point as_of,
                       time_point now);
  std::optional<evacuation_view> Evacuated(time_point now) const;
  void TakeOwnObjects(time_point now);
  void ReadStoreNow();
  void ShareLease();
  void OnStoreState();
  void OnDatagram(std::string_view bytes);
  void OnHostMessage(result<host_message> message);
  void SendToHosts(std::span<const fanout_hop> hops, const std::string& bytes);
  void SendToHost(std::string_view address, std::string_view bytes);
  /// Counts a datagram to or from the host at `address`.
  void CountDatagram(std::string_view cause, std::string_view kind,
                     std::string_view zone, size_t bytes);
  std::optional<store_view> View(time_point now) const;
  void OnView(const store_view& view, time_point now);
  void OnEvacuationView(const evacuation_view& view, time_point now);
  void ShareTargets(targets_record record, time_point now);
  void ShareObject(const shared_object& object, time_point now);
  void OnSharedObject(const shared_object& object);
  shared_object LeaseObject(const assigner_lease& lease) const;
  /// Asks the lease holder to repeat the announcements that this host lacks.
  void AskForRepeat();
  void OnRepeatRequest(const repeat_request& request);
  void ReportLoad();
  void ShareLoadsSoon();
  void ShareLoads();
  void OnLoads(const loads_record& record, time_point now);
  /// Whether this host sums the loads that all hosts tell. It goes on while the
  /// store is away, as nobody else can begin.
  bool SumsLoads(time_point now) const;
  /// While this host holds the lease: has all hosts throttle the keys that get
  /// more requests than their owners serve.
  void ThrottleKeys();
  void OnKeyThrottles(const key_throttles& throttles, time_point now);
  /// `is_own_answer`: the target told this host, not another one.
  void OnStatementChanged(const target_life& target, bool is_own_answer);
  void ShareStatementsSoon();
  void ShareStatements();
  void OnStatements(const target_statements& statements, time_point now);
  void OnHeartbeatStatements(const target_statements& statements,
                             time_point now);
  void ShareStatementOf(const target_life& target);
  /// Whether this host passes on what the others report: all reports go to the
  /// host that the lease names, also while the store is away.
  bool PassesOnReports() const;
  void OnCrashes(const crash_evidence& evidence, time_point now);
  void ShareCrashesSoon();
  void ShareCrashes();
  void OnLimits(std::span<const limit_sample> limits, time_point now);
  void OnPermitRequest(const permit_request& request, time_point now);
  void OnPermitReply(const permit_reply& reply, time_point now);
  void TakeHostCount();
  void ShareKeyMaps(time_point now, router_actions& out);

  void LogCrashes();

  void Carry(router_actions& actions);
  void CarryOne(const send_action& action);
  void CarryOne(const local_reply_action& action);
  void CarryOne(const deliver_action& action);
  void CarryOne(const cancel_action& action);
  void CarryOne(const limit_change_action& action);
  void CarryOne(const leaving_action& action);
  void CarryOne(const backoff_action& action);
  void CarryOne(const reach_change_action& action);
  void CarryOne(const probe_action& action);
  void CarryOne(const relay_action& action);
  void CarryOne(const permit_request_action& action);
  void CarryOne(const load_sharing_action& action);
  void Carry(assigner_actions& actions);
  void CarryOne(const store_write& action);
  void CarryOne(const key_order& action);
  void CarryOne(const order_cancel& action);
  void OnOrderEnded(uint64_t id, const call_result& result);
  /// Logs how old an order is and how it was sent.
  static void LogOrder(event_id event, const sent_order& sent,
                       const call_progress& progress);
  void CarryOne(const heartbeat_action& action);
  void CarryOne(const share_owners_action& action);
  void CarryOne(const share_hosts_action& action);
  void CarryOne(const assigner_note& action);

  /// Adds what this host does about surplus answers of targets.
  pool_settings WithSurplusEvents(pool_settings settings);

  void LimitDescriptors();
  void LogDescriptors(time_point now);
  void AppendDescriptorMetrics(std::string& text) const;
  /// Connections that were not made for want of a descriptor.
  uint64_t NotConnected() const;
  /// Times that something had to make room, or found none.
  uint64_t Shortages() const;
  void LimitMemory();
  void LogMemory();
  void AppendMemoryMetrics(std::string& text) const;
  /// Sends a request to a target; the connection alone keeps its large body if
  /// it is not sent again.
  void SendToTarget(flight& sent, const send_action& action);
  status Listen();
  std::string HostsAddress() const;
  void Step();
  void Arm();
  void LeaveStep();
  stop_phase StopPhase(time_point now) const;
  /// Bytes of answers on their way to callers and other hosts.
  size_t UnreceivedBytes() const;
  /// Calls `visit` for each request of a caller or another host whose answer
  /// has not been written. The flight is null once the answer is ready.
  void VisitUnanswered(const std::function<void(const unanswered_request&,
                                                const flight*)>& visit) const;
  /// What an unanswered request waits for, as log and metrics name it.
  static std::string_view StateOf(const unanswered_request& unanswered,
                                  const flight* sent);
  /// Logs each unanswered request, and how the host stopped.
  void LogUnanswered() const;
  void AppendUnansweredMetrics(std::string& text) const;
  bool IsReady() const;
  /// Targets of services that nobody declared yet are of no use; until then
  /// they only cost calls.
  bool ReadsTargets() const { return router_.table() != nullptr; }
  bool StoreWasAway(time_point now) const;
  /// Evacuations are read by the holder of the lease, which tells the others;
  /// a host waits for that a while before it reads them itself.
  bool ReadsEvacuations(time_point now) const;
  std::string MetricsText();

  platform::edge_settings settings_;
  std::function<void()> on_done_;
  poller events_;
  held_memory memory_;  ///< What requests and answers on their way hold.
  bool memory_is_short_ = false;  ///< As last logged.
  size_t most_callers_ = 0;
  bool descriptors_are_short_ = false;  ///< As last logged.
  uint64_t shortages_ = 0;              ///< As last looked at.
  time_point descriptors_short_until_{};
  caller_server callers_;
  caller_server readiness_;
  caller_server relayed_;  ///< Requests that other hosts hand over.
  connection_pool targets_pool_;
  connection_pool orders_pool_;
  connection_pool probes_pool_;
  connection_pool relays_pool_;
  datagram_socket hosts_;
  platform::store_client store_;
  platform::store_follower<shared_config> config_;
  platform::store_follower<target_entry> targets_;
  platform::store_follower<std::string> own_;
  platform::store_follower<evacuation_request> evacuation_requests_;
  evacuations evacuations_;
  load_board loads_;       ///< While this host passes on reports.
  permit_issuer permits_;  ///< Likewise.
  struct service_throttler {
    key_throttle planner;
    uint64_t sequence = 0;
    int empty_sent = 0;  ///< Successive times that no key was throttled.
  };
  std::map<std::string, service_throttler> throttlers_;  ///< Likewise.
  request_router router_;
  key_assigner assigner_;
  std::unordered_map<exchange_id, flight> flights_;
  std::unordered_map<uint64_t, sent_order> orders_;  ///< By order id.
  std::map<std::string, store_revision> maps_shared_;
  uint64_t era_ = 0;  ///< Of the store; 0 before its first answer.
  /// When the store was first seen to have returned to a copy, if it has.
  std::optional<time_point> era_began_at_;
  config_trust config_trust_;
  shared_config config_in_force_;
  store_revision config_revision_{};  ///< From which it was read.
  time_point config_changed_at_{};
  std::map<std::string, time_point> config_sent_at_;  ///< By address.
  target_history target_history_;
  time_point configured_at_{};  ///< When the first declarations came.
  targets_sharing shared_targets_;
  copy_repairs config_repairs_;
  copy_repairs owner_repairs_;
  announced_changes announced_;  ///< While this host holds the lease.
  std::optional<time_point> store_failed_at_;
  bool store_answers_ = true;
  int failing_followers_ = 0;
  graceful_stop stop_;
  edge_metrics metrics_;
  traffic_by_zone traffic_;
  bool closing_ = false;
  time_point armed_for_ = time_point::max();
  timer step_;
  timer report_;
  timer share_loads_;
  bool loads_due_ = false;  ///< `share_loads_` is armed.
  timer share_statements_;
  bool statements_due_ = false;  ///< `share_statements_` is armed.
  time_point statements_shared_at_{};
  /// Targets whose statements have changed since then.
  std::vector<target_life> stating_targets_;
  timer share_crashes_;
  bool crashes_due_ = false;  ///< `share_crashes_` is armed.
  timer leave_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_EDGE_EDGE_DAEMON_H_
