#ifndef FOXTAILSPREAD_KEY_ASSIGNER_H_
#define FOXTAILSPREAD_KEY_ASSIGNER_H_

/// @file
/// Assigns the keys of keyed services to targets. One host at a time, the
/// lease holder, makes the assignments; the other hosts are on standby.
///
/// The lease is an object in the store that its holder rewrites periodically.
/// Another host takes the lease over when the object has not changed for
/// longer than the lease term. The owner of each key is recorded in the store
/// before any grant is sent to a target, so that a new holder knows every
/// grant that a former holder may have sent.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/key_balance.h"
#include "foxtailspread/key_load.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/load/key_throttle.h"
#include "foxtailspread/routing_config.h"
#include "foxtailspread/store_revision.h"
#include "foxtailspread/target_availability.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"
#include "foxtailspread/zone_fanout.h"

namespace foxtailspread {

/// How long a host whose lease has lapsed keeps renewing its grants while it
/// cannot reach the store. Keys stay available during a store outage, when no
/// host can take the lease. The value is twice the longest outage that the
/// users have seen; in a longer one keys lose their owners. A larger value
/// makes a new holder wait longer before it reassigns the keys of targets that
/// it cannot reach.
inline constexpr duration kMaxRenewalAfterLapse{std::chrono::seconds{10}};

/// How long the lease is valid, measured by its holder from the start of its
/// last successful write. Two consecutive renewals may fail within a term.
inline constexpr duration kLeaseTerm{std::chrono::milliseconds{5000}};

/// How long a stopping host may keep renewing its grants while the store has
/// not confirmed that the lease was released. Its process has ended by then.
inline constexpr duration kLeaseReleaseTimeout{std::chrono::seconds{6}};

/// A grant is written within this time after the assigner has sent it, or not
/// at all.
inline constexpr duration kGrantWriteTimeout{std::chrono::milliseconds{400}};

/// A host that held the lease before and may still renew its grants.
struct former_holder {
  std::string host;
  /// How much longer it may renew them, counted from the write of the record
  /// that contains this value. Each new holder continues this countdown. If
  /// each restarted it, the keys of a lost target would have no owner for as
  /// long as the lease kept changing hands.
  duration renewal_time_left{};

  bool operator==(const former_holder&) const = default;
};

/// The lease as stored.
struct assigner_lease {
  std::string host;     ///< The holder.
  std::string address;  ///< Where the holder receives load reports, "IP:port".
  /// Number of writes, also those of earlier eras of the store that its holder
  /// knew of; makes each write a change.
  uint64_t renewal_count = 0;
  bool released = false;  ///< Given up by its holder; free to take at once.
  size_t host_count = 1;  ///< Number of hosts that report to the holder.
  /// Former holders that may still be renewing their grants.
  std::vector<former_holder> predecessors{};
  /// Era of the store in which it was written. A lease of an earlier era is
  /// valid no more: the store may have lost later ones.
  uint64_t era = 0;

  bool operator==(const assigner_lease&) const = default;
};

std::string FormatLease(const assigner_lease& lease);
result<assigner_lease> ParseLease(std::string_view text);

/// Requests a conditional write of a system object to the store.
struct store_write {
  uint64_t id = 0;
  std::string name{};
  std::string content{};
  store_revision expected_revision{};  ///< Counter 0: it must not exist.
};

/// The outcome of a conditional write.
enum class conditional_write_outcome {
  kWritten,
  kConflict,  ///< The object has another revision; the report has its content.
  kRefused,   ///< The store rejected the write without effect.
  kUnknown,   ///< No answer: the write may have taken effect or still may.
};

struct write_report {
  uint64_t id = 0;
  conditional_write_outcome outcome = conditional_write_outcome::kUnknown;
  store_revision revision{};  ///< Set for kWritten and kConflict.
  std::string content{};      ///< Set for kConflict.
};

/// An order that tells a target to take keys (grant) or to give them up
/// (release).
struct key_order {
  uint64_t id = 0;
  bool is_grant = true;
  target_life target{};
  std::string address{};
  key_point first = 0;
  key_point last = 0;
  fence_number fence = 0;
  duration grant_ttl{};  ///< Validity of a grant.
  std::string
      handover_token{};  ///< For a grant: the former owner's token, if any.
  /// If not 0, the order must be sent on a connection whose number is at most
  /// this one, or not at all. Such a connection leads to a process that was
  /// running while this host's lease was valid and that refuses the order if
  /// the keys were moved since. A restarted process has no record of fences.
  uint64_t max_connection_number = 0;
  /// If true, the order must be written within kGrantWriteTimeout on a
  /// connection on which the target has answered before, or not at all. A busy
  /// target reads a new connection late: it would take a grant long after it
  /// was given up, even if the connection was reset, and count its validity
  /// from then.
  bool requires_answered_connection = false;
};

/// The outcome of an order.
enum class order_outcome {
  kDone,
  kFenced,      ///< The target has seen a higher fence for one of the keys.
  kRejected,    ///< The target does not accept such orders.
  kNoProcess,   ///< No process listens at the target's address.
  kNotSent,     ///< No connection was made; the target has not received it.
  kUnanswered,  ///< No answer: the target may have executed it or still may.
};

/// Returns the name of an outcome in lower case, for the log.
std::string_view ToString(order_outcome outcome);

/// Cancels an order: its connection is closed and unsent data is discarded.
struct order_cancel {
  uint64_t id = 0;
};

struct order_report {
  uint64_t id = 0;
  order_outcome outcome = order_outcome::kUnanswered;
  std::string handover_token{};  ///< For a release: the target's token, if any.
  uint64_t connection_number =
      0;  ///< Number of the connection that was answered on.
};

/// A decision or event for the operator's log.
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
  kind note_kind = kind::kLeaseTaken;
  std::string service{};
  std::string target{};
  key_point first = 0;
  key_point last = 0;
  fence_number fence = 0;
  /// The reason or further detail, possibly empty. The wording is stable, so
  /// that tools can match it.
  std::string detail{};
};

/// Sends a heartbeat to the other hosts.
struct heartbeat_action {
  assigner_heartbeat heartbeat{};
  std::vector<fanout_hop> hops{};
};

/// Sends an owners record that was written to the store to all other hosts.
struct share_owners_action {
  owners_record record{};
  std::vector<fanout_hop> hops{};
};

/// Sends the list of known hosts to a successor.
struct share_hosts_action {
  std::string address{};
  hosts_record record{};
};

using assigner_action =
    std::variant<store_write, key_order, order_cancel, heartbeat_action,
                 share_owners_action, share_hosts_action, assigner_note>;
using assigner_actions = std::vector<assigner_action>;

/// Settings of a key_assigner.
struct assigner_settings {
  std::string host;
  std::string zone;
  std::string address;  ///< Where this host receives load reports.
  /// Whether targets record the fence of a release even for keys that they do
  /// not hold, and refuse grants with a lower fence that arrive later. If they
  /// do not, released keys stay without an owner until every grant that may
  /// still be executed has expired.
  bool targets_keep_release_fences = false;
  duration grant_ttl{std::chrono::seconds{3}};  ///< Validity of a grant.
  double link_mbps = 1000.0;  ///< Bandwidth of this host's link.
  uint64_t seed = 1;  ///< Staggers the hosts' attempts to take the lease.
};

/// Takes part in the election of the lease holder and, while this host holds
/// the lease, assigns keys to targets. It does no I/O: it appends the actions
/// for the caller to execute to `out`.
///
/// @code
/// assigner.OnTargets(targets, false, now);
/// assigner.OnTime(now, actions);
/// @endcode
class key_assigner {
 public:
  using system_objects = std::map<std::string, store_object<std::string>>;

  explicit key_assigner(assigner_settings settings);

  /// Updates the state from the system objects in the store. Fails, once for
  /// each revision, if an object cannot be parsed; the others are still used.
  status OnObjects(const system_objects& objects, time_point now);
  /// Takes the era of the store, before anything that was read in it. In a new
  /// era no lease is valid: this host gives up its own, but goes on renewing
  /// its grants, and takes the lease again if it was the last holder.
  void OnEra(uint64_t era, time_point now, assigner_actions& out);
  uint64_t era() const { return era_; }

  /// Sets whether the store is reachable from this host.
  void OnStoreAvailability(bool available, time_point now);

  /// Sets the declared services.
  void OnServices(const std::vector<service_settings>& services);

  /// Sets the targets of all services. `may_be_incomplete` is true shortly
  /// after a store outage, when missing targets may reappear within seconds.
  void OnTargets(const std::vector<target_entry>& targets,
                 bool may_be_incomplete, time_point now);

  /// Sets the evacuated availability zones. Keys are moved away from targets
  /// in these zones.
  void OnEvacuations(const std::set<std::string>& zones, time_point now);

  /// Sets what targets have stated in their answers: limits on the rate of
  /// requests, and which of them shut down.
  void OnTargetStatements(const target_statements& statements);

  /// Sets how fast owners of a service's keys answer while they have a free
  /// slot. Only then is the hottest key placed by speed: the latency over all
  /// requests is that of its owner's queue.
  void OnOwnerSpeeds(const std::string& service,
                     std::span<const owner_capacity> owners, time_point now);
  /// Process messages from other hosts.
  void OnReport(const load_report& report, time_point now);
  void OnHeartbeat(const assigner_heartbeat& heartbeat, time_point now);
  void OnHosts(hosts_record record, time_point now);
  /// Fails if the record cannot be parsed or its changes do not fit the map. A
  /// record that is based on another revision than this host has is ignored.
  status OnOwners(const owners_record& record);
  /// Makes the next heartbeat due at once, because its content has changed.
  void RequestHeartbeat() { next_heartbeat_at_ = {}; }

  void OnWriteEnded(const write_report& report, time_point now,
                    assigner_actions& out);
  void OnOrderEnded(const order_report& report, time_point now,
                    assigner_actions& out);
  /// Performs all actions that are due. Must be called no later than
  /// NextDue().
  void OnTime(time_point now, assigner_actions& out);
  time_point NextDue(time_point now) const;

  /// Sets the address at which this host receives datagrams, once it listens.
  void SetAddress(std::string address) {
    settings_.address = std::move(address);
  }

  /// Sets which targets this host reaches. One that reaches none neither takes
  /// the lease nor keeps it: it could renew no grant.
  void OnTargetPaths(target_paths paths) { paths_ = paths; }
  /// Returns where hosts that reach the targets take relayed requests, at most
  /// `max_count`, other ones each time if there are more.
  std::vector<std::string> HostsReachingTargets(size_t max_count,
                                                time_point now);

  /// Releases the lease before this host stops. IsReleasingLease() is true
  /// until the store has confirmed the release.
  void PrepareToStop(time_point now, assigner_actions& out);
  bool IsReleasingLease() const {
    return stopping_ && lease_write_.has_value();
  }

  bool IsHolder(time_point now) const { return now < held_until_; }
  /// Returns the fraction of a target's limit that this host may issue permits
  /// for; 0 if another host issues them. It is that of the hosts that report to
  /// this one: the rest may get permits elsewhere. A host whose lease has
  /// lapsed goes on during a store outage.
  double PermitFraction(time_point now) const;

  /// Returns the number of known hosts, at least 1.
  size_t HostCount() const;
  /// Returns the first receivers of a datagram that is to reach all hosts that
  /// report to this one, each with the hosts that it forwards to.
  /// With `through_relays` also those of its own zone get it from another host.
  std::vector<fanout_hop> OtherHosts(time_point now,
                                     bool through_relays = false) const;
  const std::optional<assigner_lease>& lease() const { return lease_; }
  /// Returns the zone of the host that receives datagrams at `address`; "" if
  /// this host has not been told.
  std::string_view ZoneOfHost(std::string_view address) const;
  store_revision lease_revision() const { return lease_revision_; }
  /// Returns the holder and the number of writes of the newest lease that this
  /// host knows of from earlier eras.
  const std::string& former_lease_host() const { return former_lease_host_; }
  uint64_t former_lease_count() const { return former_lease_count_; }
  /// Returns the recorded map of a service, nullptr if there is none.
  const key_map* MapOf(const std::string& service) const;
  /// Returns the request rate of each key over about the last second, while
  /// this host holds the lease; empty if not known.
  key_loads RecentRatesOf(const std::string& service) const;
  /// Returns the revision of that map's record, 0 if there is none.
  store_revision MapRevision(const std::string& service) const;

  /// Returns a digest of the lease holder and of the map revisions of all
  /// services. Hosts that have read the same records get the same digest.
  uint64_t OwnersDigest() const;

  /// Names of the system objects in the store.
  static constexpr std::string_view kLeaseName = "assigner";
  static std::string MapName(std::string_view service);

 private:
  struct pending_write {
    uint64_t id = 0;
    std::string name{};
    std::string content{};
    store_revision expected_revision{};
    time_point first_sent_at{};
    bool in_flight = false;
    time_point retry_at{};
  };

  /// Progress of the transfer of one range to its new owner. It is kept in
  /// memory by the lease holder; a new holder starts again with the release.
  struct transfer {
    bool keys_free = false;   ///< The former owner can no longer hold the keys.
    bool grant_sent = false;  ///< This host has sent a grant to the new owner.
    bool grant_confirmed = false;  ///< The new owner has accepted the grant.
    bool grant_fenced = false;     ///< The new owner has seen a higher fence.
    /// Started by a former lease holder, which may have sent the grant.
    bool inherited = true;
    /// The former owner has answered the release.
    bool release_answered = false;
    std::string handover_token;
    uint64_t order_id = 0;  ///< The pending order, or 0.
    time_point retry_at{};
  };

  struct renewal_state {
    uint64_t order_id = 0;  ///< The pending order, or 0.
    time_point due_at{};
  };

  using range_id = std::pair<fence_number, key_point>;

  /// Releases of all keys at all targets of a service, which prove that no
  /// target holds a key by a grant with a lower fence.
  struct release_barrier {
    struct target_release {
      uint64_t order_id = 0;  ///< The pending order, or 0.
      bool answered = false;
      std::string handover_token;
      time_point retry_at{};
    };

    fence_number fence = 0;  ///< Of the grants that wait for it.
    bool complete = false;   ///< No target holds a key by an earlier grant.
    std::map<std::string, target_release> releases;  ///< By LifeKey().
  };

  struct keyed_service {
    std::string name;
    key_map map;                ///< As recorded in the store.
    store_revision revision{};  ///< Of the record that `map` was read from.
    /// Of the record in the store, on which the next one is written. Another
    /// one than `revision` if the store has returned to a copy.
    store_revision stored_revision{};
    std::optional<pending_write> record_write;
    store_revision pending_base{};  ///< What `pending_changes` apply to.
    /// Another host held the lease after the record that `map` goes back to.
    bool distrusted = false;
    bool pending_is_distrusted = false;  ///< `pending_map` allows for that.
    release_barrier barrier;
    /// A barrier has been completed since this host took the lease.
    bool passed_barrier = false;
    key_map pending_map;      ///< The map that `record_write` writes.
    key_map pending_changes;  ///< The differences of `pending_map` from `map`.
    std::map<range_id, transfer> transfers;
    std::map<range_id, renewal_state> renewals;
    key_load load;
    time_point updated_at{};  ///< Of the last pass over all ranges.
    /// An order or a write has ended since then, so that the next pass is due
    /// as soon as NextUpdateAt().
    bool update_pending = false;
    time_point balanced_at{};
    time_point steady_balanced_at{};
    time_point speeds_known_until{};  ///< By OnOwnerSpeeds().
    cold_policy cold;
  };

  struct target_state {
    target_entry entry;
    bool listed = false;
    time_point first_listed{};
    std::optional<time_point> missing_since;
    int consecutive_failures =
        0;  ///< Failed orders since the last answered one.
    time_point failing_since{};
    /// The sequence number of its entry when its orders began to fail.
    uint64_t sequence_at_failure = 0;
    int pending_grants = 0;   ///< Grants without an outcome yet.
    double latency_us = 0.0;  ///< Running mean over all hosts' requests.
    double unqueued_latency_us = 0.0;  ///< By OnOwnerSpeeds(); 0 if unknown.
    /// Upper bound for the expiry of this host's grants that have an outcome.
    time_point grants_expire_at{};
    /// The same for the grants that were not answered.
    time_point unanswered_grants_expire_at{};
    target_availability availability;
    /// When it last answered an order that this host sent as lease holder.
    time_point last_answer_at{};
  };

  struct order_context {
    std::string service;
    range_id range;
    key_point last_key = 0;
    std::string target;
    bool is_grant = true;
    bool is_renewal = false;
    /// A release that was sent to the former owner itself rather than to a
    /// later process of the same target.
    bool is_former_owner = false;
    bool is_barrier = false;  ///< A release of a release_barrier.
    time_point deadline{};
  };

  cold_policy ColdPolicyFor(const target_entry& entry) const;
  static void AddLatency(target_state& target, const target_latency& sample);
  static std::string LifeKey(const target_life& life);
  target_state* FindTarget(const target_life& life);
  bool IsUsable(const target_life& life, time_point now) const;
  /// Returns the listed process that started later under the same id, nullptr
  /// if there is none. If there is one, the process `life` has ended.
  const target_state* LaterLife(const target_life& life) const;
  /// Returns whether it is proven that the process has ended.
  bool IsKnownDead(const target_life& life) const;
  /// Returns whether the target is no longer listed and another one was first
  /// listed later at the same address.
  bool IsAddressReused(const target_life& life) const;
  /// Returns an upper bound for the time, by this host's clock, that a grant
  /// is valid after its arrival, given the error of the target's clock.
  duration MaxGrantValidity() const;
  /// Returns when all grants of former lease holders have expired.
  time_point InheritedGrantsExpireAt() const;
  /// Returns when all grants to the target have expired.
  time_point GrantsExpireAt(const target_life& life) const;
  /// Returns the reason why the former owner of `range` can no longer hold its
  /// keys; empty if it may still hold them.
  std::string_view KeysFreeReason(const key_range& range, const transfer& state,
                                  time_point now) const;
  /// Returns whether an answered release proves that the former owner does not
  /// hold the keys and that no grant in transit can give them back to it.
  bool IsReleaseConclusive(const target_life& former, time_point now) const;
  /// Returns whether a grant of keys in `range` to `life` has no outcome yet.
  bool IsGrantPending(const target_life& life, const key_range& range) const;
  /// Returns the owners that have not answered an order since this host took
  /// the lease, by LifeKey(). A network partition may separate them from it.
  std::set<std::string> UnansweringOwners(const std::string& service) const;
  std::vector<balance_target> BalanceCandidates(const std::string& service,
                                                time_point now) const;

  /// Takes the lease record as the store has it.
  void TakeLease(const assigner_lease& stored, store_revision revision,
                 time_point now);
  /// Returns whether this host may write the first lease of an era.
  bool MayTakeFirstLease(time_point now) const;
  /// Returns whether targets may be missing in the list although they run.
  bool IsTargetListInDoubt(time_point now) const;
  /// Returns whether the owners that this host knows of were given their keys
  /// last, so that their grants may be renewed.
  bool TrustsOwners(const keyed_service& service) const;
  /// Returns whether this host has recorded the map under its lease.
  bool HasRecorded(const key_map& map) const {
    return map.era == era_ && map.term == term_;
  }
  /// Returns whether this host knows of all grants of the service that hold. If
  /// not, keys move only after a release_barrier.
  bool KnowsAllGrants(const keyed_service& service, time_point now) const;
  void UpdateLease(time_point now, assigner_actions& out);
  void UpdateReadiness(time_point now);
  bool MayTakeLease(time_point now) const;
  void ReleaseLease(time_point now, assigner_actions& out);
  void WriteLease(const assigner_lease& next, time_point now,
                  assigner_actions& out);
  void SendWrite(pending_write& write, time_point now, assigner_actions& out);
  void RetryWrite(std::optional<pending_write>& write, time_point now,
                  assigner_actions& out);
  void OnLeaseWritten(const write_report& report, time_point now,
                      assigner_actions& out);
  void OnMapWritten(keyed_service& service, const write_report& report,
                    time_point now, assigner_actions& out);
  void OnLeaseLost(assigner_actions& out);
  void OnLeaseLapsed(std::string_view detail, assigner_actions& out);
  void SendHeartbeat(time_point now, assigner_actions& out);
  void ShareHosts(time_point now, assigner_actions& out);
  void AdoptSharedHosts(time_point now);
  void ChooseSuccessors(time_point now);
  std::vector<std::string> SuccessorCandidates(time_point now) const;
  duration TakeoverDelay() const;
  bool MaySucceed(time_point now) const;
  std::vector<former_holder> Predecessors(time_point now) const;
  void OnFormerLease(std::string_view host, uint64_t count, time_point now);
  bool AllHostsKnowLease(time_point now) const;
  bool IsFailing(const target_state& state, time_point now) const;
  void ResetFailureCounts();
  void RecordOrderOutcome(target_state& state, const order_context& context,
                          const order_report& report, time_point now);
  void NoteOrderFailure(const order_context& context, order_outcome outcome,
                        assigner_actions& out) const;
  void CancelOverdueOrders(time_point now, assigner_actions& out);

  /// Returns whether this host holds the lease and knows what the holders
  /// before it have recorded.
  bool MayAssign(time_point now) const;
  void UpdateService(keyed_service& service, time_point now,
                     assigner_actions& out);
  /// Updates the service now, or in OnTime() if the last pass over all ranges
  /// is too recent for their number.
  void UpdateSoon(keyed_service& service, time_point now,
                  assigner_actions& out);
  /// The same; the transfer of range `id` proceeds now in either case.
  void UpdateRangeSoon(keyed_service& service, const range_id& id,
                       time_point now, assigner_actions& out);
  static time_point NextUpdateAt(const keyed_service& service);
  void UpdateTransfer(keyed_service& service, const key_range& range,
                      time_point now, assigner_actions& out);
  static bool IsBeingReplaced(const keyed_service& service,
                              const key_range& range);
  void RenewGrant(keyed_service& service, const key_range& range,
                  time_point now, assigner_actions& out);
  bool PlanChanges(keyed_service& service, key_map& draft, time_point now,
                   assigner_actions& out);
  key_map PlanFirstMap(std::span<const balance_target> candidates,
                       const key_map& draft) const;
  void MoveToEra(keyed_service& service, key_map& draft) const;
  static void DistrustOwners(key_map& draft);
  void UpdateBarrier(keyed_service& service, time_point now,
                     assigner_actions& out);
  bool MayHoldKeys(const target_state& state, const keyed_service& service,
                   time_point now) const;
  /// Returns whether the releases that were answered, or the time that has
  /// passed, prove that no target holds a key of the service.
  bool IsBarrierComplete(const keyed_service& service, time_point now) const;
  /// Returns when all grants of keys of the service have expired.
  time_point AllGrantsExpireAt(const keyed_service& service) const;
  void OnRenewalFenced(keyed_service& service, time_point now) const;
  static void OnBarrierRelease(keyed_service& service,
                               const order_context& context,
                               const order_report& report, time_point now);
  bool ReplaceOwners(keyed_service& service, key_map& draft, time_point now,
                     assigner_actions& out);
  bool ConfirmGrants(keyed_service& service, key_map& draft,
                     assigner_actions& out);
  bool BalanceLoad(keyed_service& service, key_map& draft, time_point now,
                   assigner_actions& out);
  std::vector<key_move> PlanBalancingMoves(keyed_service& service,
                                           const key_map& draft,
                                           time_point now);
  static assigner_note MakeNote(assigner_note::kind note_kind,
                                const keyed_service& service,
                                const key_range& range,
                                const std::string& target);
  void Reassign(keyed_service& service, key_map& draft, key_range& range,
                const target_life& new_owner);
  uint64_t SendOrder(keyed_service& service, const key_range& range,
                     bool is_grant, bool is_renewal, const target_life& target,
                     const std::string& handover_token, time_point now,
                     assigner_actions& out);
  static range_id IdOf(const key_range& range) {
    return {range.fence, range.first};
  }

  assigner_settings settings_;
  bool store_available_ = false;
  uint64_t era_ = 0;  ///< Of the store; 0 if it names none.
  /// When the store was first seen to have returned to a copy. Not set if it
  /// hasn't since this process started, as far as is known.
  std::optional<time_point> era_began_at_;
  /// The newest lease known of from earlier eras.
  std::string former_lease_host_;
  uint64_t former_lease_count_ = 0;
  /// This host was the last holder of an earlier era, as far as it knows, so
  /// that it knows of all grants.
  bool was_last_holder_ = false;
  /// The newest lease that is known of, possibly of an earlier era.
  std::optional<assigner_lease> lease_;
  /// The newest revision of the lease that this host has read or has learned
  /// from the holder's heartbeats.
  store_revision lease_revision_{};
  /// The revision of the lease that was last read from the store.
  store_revision lease_read_revision_{};
  /// When the holder's last write or heartbeat was noticed. Never before the
  /// end of the last store outage.
  time_point lease_seen_at_{};
  /// When `lease_` was read. Heartbeats do not carry the whole lease.
  time_point lease_read_at_{};
  time_point holder_changed_at_{};  ///< When the lease last changed hands.
  bool objects_read_ = false;
  std::optional<time_point> ready_since_;
  std::optional<pending_write> lease_write_;
  time_point held_until_{};
  time_point next_lease_renewal_at_{};
  /// Until when this host renews its grants without holding the lease.
  time_point renewing_until_{};
  /// The highest number of a connection on which an order was answered while
  /// this host held the lease.
  uint64_t max_connection_number_ = 0;
  time_point acquired_at_{};
  /// The revision of the write by which this host took the lease.
  store_revision acquired_revision_{};
  /// The renewal count of that write.
  uint64_t term_ = 0;
  /// Number of hosts that may have held the lease before; empty if this is not
  /// known because an earlier holder did not learn it either.
  std::optional<size_t> hosts_at_acquisition_;
  bool inherits_unknown_holder_ = false;  ///< Of the lease it took over.
  /// This host began with a store that had no lease.
  bool began_without_lease_ = false;
  /// Whether the objects have been read at that revision or a later one.
  bool synced_since_acquired_ = false;
  /// Whether this host acted as the holder in the last update. The lease may
  /// have lapsed since; see IsHolder().
  bool was_holder_ = false;
  bool stopping_ = false;
  target_paths paths_ = target_paths::kAll;
  size_t next_relay_ = 0;  ///< Where HostsReachingTargets() begins.
  std::map<std::string, keyed_service> services_;
  std::set<std::string> service_names_;  ///< All, including those not keyed.
  std::set<std::string> evacuated_zones_;
  std::map<std::string, target_state> targets_;  ///< By LifeKey().
  /// Requests per second that targets accept from all hosts, by LifeKey().
  std::map<std::string, double> target_limits_;
  /// Targets that shut down, as their answers say, by LifeKey().
  std::set<std::string> leaving_targets_;
  struct host_state {
    std::string zone;
    std::string address;
    store_revision lease_revision{};
    double link_mbps = 0.0;
    target_paths paths = target_paths::kAll;
    time_point last_seen{};
  };
  std::map<std::string, host_state> hosts_seen_;
  /// The hosts that the holder knows, sent to successors so that they can take
  /// over from it.
  hosts_record shared_hosts_;
  time_point shared_hosts_at_{};
  time_point next_hosts_share_at_{};
  std::vector<std::string> successors_;
  time_point next_heartbeat_at_{};
  std::optional<assigner_heartbeat> last_heartbeat_;
  time_point last_heartbeat_at_{};
  /// Hosts that held the lease before, with the time from which each no longer
  /// renews its grants.
  std::map<std::string, time_point> predecessors_;
  std::map<uint64_t, order_context> orders_;
  uint64_t last_id_ = 0;
  bool targets_may_be_incomplete_ = false;
  bool services_known_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KEY_ASSIGNER_H_
