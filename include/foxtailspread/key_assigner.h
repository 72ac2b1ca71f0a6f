#ifndef FOXTAILSPREAD_KEY_ASSIGNER_H_
#define FOXTAILSPREAD_KEY_ASSIGNER_H_

/// @file
/// Gives the keys of keyed services to targets. One host at a time does it;
/// the others stand by.
///
/// The host that does it holds a lease, an object of the store that it writes
/// again and again. Others take the lease over when the object has stood still
/// for longer than its holder may act on it. Who owns which keys is recorded
/// in the store before any target is told, so that a new holder knows every
/// grant that may ever have been sent.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/key_balance.h"
#include "foxtailspread/key_load.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/routing_config.h"
#include "foxtailspread/target_availability.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"
#include "foxtailspread/zone_fanout.h"

namespace foxtailspread {

/// How long a host whose lease has lapsed goes on renewing what it granted,
/// while it cannot reach the store: keys stay served through an outage of the
/// store, when nobody can take over. Longer outages than twice the users'
/// worst lose keys; a successor waits so much longer for targets that it
/// cannot reach.
inline constexpr duration kKeepAfterLapse{std::chrono::seconds{10}};

/// How long after the start of its last successful write the lease's holder
/// moves keys. Two renewals may fail in between.
inline constexpr duration kLeaseTerm{std::chrono::milliseconds{5000}};

/// How long a host that leaves may keep what it granted while the store does
/// not take its release; its process has ended by then.
inline constexpr duration kLeaveTime{std::chrono::seconds{6}};

/// A host that held the lease before and may still renew what it granted.
struct former_holder {
  std::string host;
  /// How much longer it may, from the write of the record that says so. A
  /// successor goes on with that wait: begun anew by each, it kept keys of a
  /// lost target without an owner for as long as holders changed.
  duration may_renew{};

  bool operator==(const former_holder&) const = default;
};

/// The lease, as the store keeps it.
struct assigner_lease {
  std::string host;       ///< Who holds it.
  std::string address;    ///< Where it takes load reports, "IP:port".
  uint64_t renewal = 0;   ///< Counts its writes, so that each one changes it.
  bool released = false;  ///< Given up; anyone may take it at once.
  size_t hosts = 1;       ///< Hosts that report to it.
  /// Former holders that are not known to have stopped renewing grants.
  std::vector<former_holder> predecessors{};

  bool operator==(const assigner_lease&) const = default;
};

std::string FormatLease(const assigner_lease& lease);
result<assigner_lease> ParseLease(std::string_view text);

/// Writes an object of the system's own kind under a condition.
struct store_write {
  uint64_t id = 0;
  std::string name{};
  std::string content{};
  uint64_t expected_revision = 0;  ///< 0: there must be no such object.
};

/// How a conditional write ended.
enum class write_end {
  kWritten,
  kConflict,  ///< Another revision stands there, with the content given.
  kRefused,   ///< The store did nothing.
  kUnknown,   ///< No answer: it may have taken effect, or may yet.
};

struct write_report {
  uint64_t id = 0;
  write_end end = write_end::kUnknown;
  uint64_t revision = 0;  ///< With kWritten and kConflict.
  std::string content{};  ///< With kConflict.
};

/// An order to a target: to take keys or to give them up.
struct key_order {
  uint64_t id = 0;
  bool grant = true;
  target_life target{};
  std::string address{};
  key_point first = 0;
  key_point last = 0;
  fence_number fence = 0;
  duration hold{};         ///< Of a grant.
  std::string handover{};  ///< Of a grant: the former owner's token, if any.
  /// Send it on a connection with a number up to this one or not at all: then
  /// it reaches a process that was there when this host's lease was good, and
  /// that refuses it if the keys were moved since. A process started anew
  /// remembers no fences. 0 for any connection.
  uint64_t newest_connection = 0;
};

/// How an order ended.
enum class order_end {
  kDone,
  kFenced,      ///< The target has seen a higher fence on one of the keys.
  kRejected,    ///< The target does not accept the order at all.
  kNoProcess,   ///< Nobody listens at its address.
  kNotSent,     ///< No connection was made: the target has not seen it.
  kUnanswered,  ///< No answer: it may have been carried out, or may yet.
};

/// The name of an end, in lower case, for the log.
std::string_view ToString(order_end end);

/// Gives an order up: its connection is closed without sending what is left.
struct order_cancel {
  uint64_t id = 0;
};

struct order_report {
  uint64_t id = 0;
  order_end end = order_end::kUnanswered;
  std::string handover{};   ///< Of a release.
  uint64_t connection = 0;  ///< That brought the answer.
};

/// What an operator wants to know of a decision, for the log.
struct assigner_note {
  enum class kind {
    kLeaseTaken,
    kLeaseLost,
    kTargetLost,
    kKeysMoving,
    kKeysGranted,
    kGrantFenced,
    kKeysFree,
    kOrderFailed,
  };
  kind what = kind::kLeaseTaken;
  std::string service{};
  std::string target{};
  key_point first = 0;
  key_point last = 0;
  fence_number fence = 0;
  /// Why or how, in words that are stable; empty if there is nothing to say.
  std::string detail{};
};

/// Sends a sign of life to the other hosts.
struct heartbeat_action {
  assigner_heartbeat heartbeat{};
  std::vector<fanout_hop> hops{};
};

/// Tells all other hosts of a record that was written.
struct share_action {
  owners_record record{};
  std::vector<fanout_hop> hops{};
};

/// Tells a successor which hosts there are.
struct hosts_action {
  std::string address{};
  hosts_record record{};
};

using assigner_action =
    std::variant<store_write, key_order, order_cancel, heartbeat_action,
                 share_action, hosts_action, assigner_note>;
using assigner_actions = std::vector<assigner_action>;

/// What an assigner goes by.
struct assigner_settings {
  std::string host;
  std::string zone;
  std::string address;  ///< Where this host takes load reports.
  /// Targets remember the fence of a release also for keys that they do not
  /// hold, and refuse a lower grant that is carried out after it. Without that
  /// keys wait until every grant that may still be carried out has run out.
  bool targets_keep_release_fences = false;
  duration hold{std::chrono::seconds{3}};  ///< Validity of a grant.
  double link_mbps = 1000.0;               ///< What this host's link carries.
  uint64_t seed = 1;  ///< Spreads the hosts' attempts to take the lease.
};

/// One host's part in giving keys to targets.
///
/// @code
/// assigner.OnTargets(targets, false, now);
/// assigner.OnTime(now, actions);
/// @endcode
class key_assigner {
 public:
  using own_objects = std::map<std::string, store_object<std::string>>;

  explicit key_assigner(assigner_settings settings);

  /// Takes the system's own objects as the store has them. Fails, once for
  /// each revision, if one of them cannot be read; the others are taken.
  status OnObjects(const own_objects& objects, time_point now);
  /// Takes whether the store answers this host.
  void OnStoreAnswers(bool answers, time_point now);

  /// Takes the services of the declarations.
  void OnServices(const std::vector<service_settings>& services);

  /// Takes the targets of all services. `doubtful` as in request_router.
  void OnTargets(const std::vector<target_entry>& targets, bool doubtful,
                 time_point now);

  /// Takes the availability zones that are evacuated: keys leave their targets.
  void OnEvacuations(const std::set<std::string>& zones, time_point now);

  /// Take other hosts' messages in.
  void OnReport(const load_report& report, time_point now);
  void OnHeartbeat(const assigner_heartbeat& heartbeat, time_point now);
  void OnHosts(hosts_record record, time_point now);
  /// Fails if the record cannot be read or does not fit; one to another map
  /// than this host has is left aside.
  status OnOwners(const owners_record& record);
  /// Lets the next heartbeat go out at once: there is news to tell.
  void HeartbeatSoon() { heartbeat_at_ = {}; }

  void OnWriteEnded(const write_report& report, time_point now,
                    assigner_actions& out);
  void OnOrderEnded(const order_report& report, time_point now,
                    assigner_actions& out);
  /// Does what is due; call at NextDue() or earlier.
  void OnTime(time_point now, assigner_actions& out);
  time_point NextDue(time_point now) const;

  /// Sets where this host takes datagrams, once it listens.
  void SetAddress(std::string address) {
    settings_.address = std::move(address);
  }

  /// Gives the lease up, before this host stops. `BusyLeaving()` tells whether
  /// the store has yet to confirm it.
  void Leave(time_point now, assigner_actions& out);
  bool BusyLeaving() const { return leaving_ && lease_write_.has_value(); }

  bool IsHolder(time_point now) const { return now < held_until_; }
  /// How many hosts there are, as far as is known; at least 1.
  size_t HostCount() const;
  /// How a datagram reaches the other hosts that report to this one.
  std::vector<fanout_hop> OtherHosts(time_point now) const;
  const std::optional<assigner_lease>& lease() const { return lease_; }
  uint64_t lease_revision() const { return lease_revision_; }
  /// The recorded map of a service, nullptr if there is none.
  const key_map* MapOf(const std::string& service) const;
  /// The revision of that map's record, 0 if there is none.
  uint64_t MapRevision(const std::string& service) const;

  /// A digest of who holds the lease and of the records of all maps, the same
  /// on every host that has read the same.
  uint64_t OwnersDigest() const;

  /// The names of the system's own objects.
  static constexpr std::string_view kLeaseName = "assigner";
  static std::string MapName(std::string_view service);

 private:
  struct pending_write {
    uint64_t id = 0;
    std::string name{};
    std::string content{};
    uint64_t expected = 0;
    time_point first_sent{};
    bool in_flight = false;
    time_point retry_at{};
  };

  /// How far the change of hands of one range has come. Known to the holder
  /// alone: a new one begins again with the release.
  struct transfer {
    bool let_go = false;   ///< The former owner cannot hold the keys.
    bool offered = false;  ///< A grant was sent to the new owner by this host.
    bool confirmed = false;  ///< The new owner took them.
    bool fenced = false;     ///< The new owner has seen a higher fence.
    /// Begun by a former holder of the lease, which may have sent the grant.
    bool inherited = true;
    /// The former owner has answered the release.
    bool released = false;
    std::string handover;
    uint64_t order = 0;  ///< Under way, or 0.
    time_point retry_at{};
  };

  struct renewal {
    uint64_t order = 0;
    time_point due{};
  };

  using range_id = std::pair<fence_number, key_point>;

  struct keyed_service {
    std::string name;
    key_map map;            ///< As recorded.
    uint64_t revision = 0;  ///< Of the record; 0 if there is none.
    std::optional<pending_write> write;
    key_map draft;    ///< What `write` records.
    key_map changes;  ///< What of it differs from the record before.
    std::map<range_id, transfer> transfers;
    std::map<range_id, renewal> renewals;
    key_load load;
    time_point balanced_at{};
    time_point refined_at{};
    cold_policy cold;
  };

  struct target_state {
    target_entry entry;
    bool listed = false;
    time_point first_listed{};
    std::optional<time_point> missing_since;
    int failed_orders = 0;  ///< Since the last answered one.
    time_point failing_since{};
    uint64_t failed_sequence = 0;  ///< Its report when it began to fail.
    int orders = 0;                ///< Under way.
    double latency_us = 0.0;       ///< Running mean over all hosts' requests.
    /// It may hold keys until then, by the grants of this host that ended.
    time_point held_until{};
    /// The same, by those of them that it did not answer.
    time_point unanswered_until{};
    target_availability availability;
    time_point answered_at{};  ///< An order of this host, as holder.
  };

  struct order_context {
    std::string service;
    range_id range;
    key_point last = 0;
    std::string target;
    bool grant = true;
    bool renews = false;
    bool hands_over = false;  ///< A release by the former owner itself.
    time_point deadline{};
  };

  cold_policy ColdPolicyFor(const target_entry& entry) const;
  static void AddLatency(target_state& target, const target_latency& seen);
  static std::string LifeKey(const target_life& life);
  target_state* StateOf(const target_life& life);
  bool IsUsable(const target_life& life, time_point now) const;
  /// The listed process that started later under the same id, nullptr if there
  /// is none: the one before has ended.
  const target_state* LaterLife(const target_life& life) const;
  /// Whether that process has certainly ended.
  bool IsKnownDead(const target_life& life) const;
  /// Whether another target has been listed at its address since it was last.
  bool IsAddressReused(const target_life& life) const;
  /// How long after its arrival a grant may hold, by the target's clock.
  duration LongestHold() const;
  /// When the last grant of a former holder of the lease has run out.
  time_point InheritedUntil() const;
  time_point HeldUntil(const target_life& life) const;
  /// Why the former owner of `range` cannot hold its keys any more, empty while
  /// it may.
  std::string_view WhyFree(const key_range& range, const transfer& state,
                           time_point now) const;
  /// Whether a release that the former owner answered proves that it does not
  /// hold the keys and will not.
  bool IsReleaseProof(const target_life& former, time_point now) const;
  /// Whether a grant of keys of `range` to `life` is under way.
  bool IsGrantUnderWay(const target_life& life, const key_range& range) const;
  /// The lives of owners that have not answered an order since this host took
  /// the lease. This host may be cut off from them.
  std::set<std::string> SilentOwners(const std::string& service) const;
  std::vector<balance_target> Candidates(const std::string& service,
                                         time_point now) const;

  void StepLease(time_point now, assigner_actions& out);
  void NoteAble(time_point now);
  bool MayTake(time_point now) const;
  void Release(time_point now, assigner_actions& out);
  void WriteLease(const assigner_lease& next, time_point now,
                  assigner_actions& out);
  void Send(pending_write& write, time_point now, assigner_actions& out);
  void RetryWrite(std::optional<pending_write>& write, time_point now,
                  assigner_actions& out);
  void OnLeaseWritten(const write_report& report, time_point now,
                      assigner_actions& out);
  void OnMapWritten(keyed_service& of, const write_report& report,
                    time_point now, assigner_actions& out);
  void LoseLease(assigner_actions& out);
  void Lapse(assigner_actions& out);
  void SendHeartbeat(time_point now, assigner_actions& out);
  void ShareHosts(time_point now, assigner_actions& out);
  void TakeHosts(time_point now);
  void ChooseSuccessors(time_point now);
  std::vector<std::string> SuccessorCandidates(time_point now) const;
  duration TakeoverDelay() const;
  bool MayFollow(time_point now) const;
  std::vector<former_holder> Predecessors(time_point now) const;
  bool IsFailing(const target_state& state, time_point now) const;
  void ForgetFailedOrders();
  void NoteOrder(target_state& state, const order_context& context,
                 const order_report& report, time_point now);
  void ReportFailure(const order_context& context, order_end end,
                     assigner_actions& out) const;
  void EndLateOrders(time_point now, assigner_actions& out);

  void StepService(keyed_service& of, time_point now, assigner_actions& out);
  void StepRange(keyed_service& of, const key_range& range, time_point now,
                 assigner_actions& out);
  static bool IsBeingReplaced(const keyed_service& of, const key_range& range);
  void Renew(keyed_service& of, const key_range& range, time_point now,
             assigner_actions& out);
  bool PlanChanges(keyed_service& of, key_map& draft, time_point now,
                   assigner_actions& out);
  bool ReplaceOwners(keyed_service& of, key_map& draft, time_point now,
                     assigner_actions& out);
  bool ConfirmGrants(keyed_service& of, key_map& draft, assigner_actions& out);
  bool Balance(keyed_service& of, key_map& draft, time_point now,
               assigner_actions& out);
  std::vector<key_move> PlanBalance(keyed_service& of, const key_map& draft,
                                    time_point now);
  static assigner_note NoteOf(assigner_note::kind what, const keyed_service& of,
                              const key_range& range,
                              const std::string& target);
  void Reassign(keyed_service& of, key_map& draft, key_range& range,
                const target_life& to);
  uint64_t Order(keyed_service& of, const key_range& range, bool grant,
                 bool renews, const target_life& to,
                 const std::string& handover, time_point now,
                 assigner_actions& out);
  static range_id IdOf(const key_range& range) {
    return {range.fence, range.first};
  }

  assigner_settings settings_;
  bool store_answers_ = false;
  std::optional<assigner_lease> lease_;
  uint64_t lease_revision_ = 0;
  time_point lease_seen_at_{};  ///< Its last write.
  time_point
      lease_read_at_{};  ///< When `lease_` was read; heartbeats tell less.
  time_point lease_taken_at_{};  ///< Its last change of holder.
  bool objects_read_ = false;
  std::optional<time_point> able_since_;
  std::optional<pending_write> lease_write_;
  time_point held_until_{};
  time_point renew_at_{};
  time_point keeping_until_{};
  uint64_t newest_connection_ = 0;  ///< That answered an order under the lease.
  time_point taken_at_{};
  uint64_t acting_from_revision_ = 0;
  bool synced_since_taken_ = false;
  bool was_holder_ = false;
  bool leaving_ = false;
  std::map<std::string, keyed_service> services_;
  std::set<std::string> service_names_;  ///< Keyed and others.
  std::set<std::string> evacuated_zones_;
  std::map<std::string, target_state> targets_;  ///< By life.
  struct host_state {
    std::string zone;
    std::string address;
    uint64_t lease_revision = 0;
    double link_mbps = 0.0;
    time_point seen{};
  };
  std::map<std::string, host_state> hosts_seen_;
  hosts_record hosts_told_;  ///< By the holder, for the case that it is lost.
  time_point hosts_told_at_{};
  time_point share_hosts_at_{};
  std::vector<std::string> successors_;
  time_point heartbeat_at_{};
  std::optional<assigner_heartbeat> heartbeat_heard_;
  time_point heartbeat_heard_at_{};
  /// Hosts that held the lease before and may still renew what they granted,
  /// with the time at which each stops or is known to have stopped.
  std::map<std::string, time_point> predecessors_;
  std::map<uint64_t, order_context> orders_;
  uint64_t last_id_ = 0;
  bool doubtful_ = false;
  bool services_known_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_ASSIGNER_H_
