#ifndef FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_

/// @file
/// Simulates hosts with a key_assigner each, a store and targets in virtual
/// time, for tests of key ownership under faults.

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "foxtailspread/key_assigner.h"

namespace foxtailspread::testing {

/// Number of keys whose ownership is checked, spaced evenly over the key space.
inline constexpr size_t kWatchedKeyCount = 128;

/// The key point of watched key `index`.
constexpr key_point WatchedKey(size_t index) {
  return static_cast<key_point>(index *
                                ((size_t{kLastKey} + 1) / kWatchedKeyCount));
}

/// A simulated target, which accepts grants with fence numbers.
struct world_target {
  /// A grant that the target accepted for one watched key.
  struct held_grant {
    fence_number fence = 0;
    time_point expires_at{};
  };

  target_entry entry;
  bool alive = true;
  bool reaches_store = true;
  bool rejects_orders =
      false;  ///< Another process at its address rejects orders.
  /// Names of hosts that cannot connect to it.
  std::set<std::string> unreachable_from{};
  /// Names of hosts whose orders arrive but which do not receive the answers.
  std::set<std::string> answers_lost_to{};
  /// The highest fence that the target has seen, by watched key.
  std::array<fence_number, kWatchedKeyCount> highest_seen_fences{};
  std::array<std::optional<held_grant>, kWatchedKeyCount>
      held_grants{};  ///< By watched key.
  /// When its reports to the store stopped; empty while they arrive.
  std::optional<time_point> silent_since{};
  /// How long a new connection waits until the target reads from it.
  duration accept_delay{};
  /// Its entry in the copy of the store, if it has one there.
  std::optional<target_entry> copied_entry{};
  /// Until then the store lists it as the copy does.
  time_point entry_stale_until{};
};

/// A connection from a host to a target.
struct world_connection {
  uint64_t number = 0;  ///< 0 if closed.
  /// When the target begins to read from it, and has answered on it.
  time_point read_from{};
};

/// A simulated host. A restart of its process creates a new assigner.
struct world_host {
  std::string name;
  std::string zone;
  std::unique_ptr<key_assigner> assigner;
  bool alive = true;
  bool reaches_store = true;
  bool gets_target_list =
      true;  ///< Whether it gets updates of the target list.
  std::set<std::string> unreachable_hosts{};  ///< Names, in both directions.
  time_point frozen_until{};
  /// The end of its last stall, in which it handles no answers either.
  time_point stalled_until{};
  /// Whether it handles the answers that arrive during its stall only after it
  /// has read the store.
  bool reads_before_answers = false;
  time_point next_report_at{};  ///< When its next load report is due.
  uint64_t seen_revision = 0;   ///< The store revision that it last read.
  uint64_t seen_era = 0;        ///< The era of that revision.
  /// Changes whenever the process stops or starts, so that answers to an
  /// earlier process are dropped.
  uint64_t incarnation = 0;
  uint64_t last_connection =
      0;  ///< Number of the newest connection to a target.
  /// By target process, "ID@STARTED".
  std::map<std::string, world_connection> connection_by_target{};
};

/// Runs the hosts, the store and the targets in steps of 10 ms of virtual time
/// and checks after each step that no watched key has two owners.
///
/// @code
/// assigner_world world({.hosts = 3, .targets = 4, .seed = 1});
/// world.Run(std::chrono::seconds{3});
/// world.host(0).alive = false;
/// world.Run(std::chrono::seconds{5});
/// EXPECT_EQ(world.problem(), "");
/// @endcode
class assigner_world {
 public:
  struct options {
    size_t hosts = 4;
    size_t targets = 4;
    uint64_t seed = 1;
    /// Targets accept grants whatever their fence: an injected fault that the
    /// ownership checks must detect.
    bool targets_ignore_fences = false;
    /// Targets remember the fence of a release only for keys that they held.
    bool targets_forget_releases = false;
    /// Targets execute what was sent on a connection before they read from it,
    /// even if the connection was reset meanwhile.
    bool targets_keep_reset_orders = false;
    /// Hosts send each other ownership records and host lists by datagram, in
    /// addition to heartbeats.
    bool datagrams = false;
    /// How long targets are cold after a start; 0 if they can take full load at
    /// once.
    duration cold_time{};
  };

  explicit assigner_world(options settings);

  /// Advances the virtual time by `time`.
  void Run(duration time);
  time_point now() const { return now_; }

  world_host& host(size_t index) { return hosts_[index]; }
  world_target& target(size_t index) { return targets_[index]; }
  size_t host_count() const { return hosts_.size(); }
  size_t target_count() const { return targets_.size(); }
  /// The index of the live host that holds the lease, if any.
  std::optional<size_t> holder() const;

  void AddTarget();
  /// Starts a new process of target `index` under the same id.
  void RestartTarget(size_t index);
  /// Adds a target of another service at the address of target `index`.
  void ReuseAddress(size_t index);
  void KillHost(size_t index);
  /// Closes the connections of all hosts to target `index`.
  void CloseConnections(size_t index);
  void StartHost(size_t index);

  /// Keeps a copy of the store as it is now.
  void CopyStore();
  /// Makes the store lose everything since the last CopyStore() and begin a new
  /// era. Revisions go on `skipped` above those of the copy. Targets' entries
  /// are those of the copy until each target writes its own again, within two
  /// seconds.
  void ReturnStoreToCopy(uint64_t skipped = 0);
  /// The counter of the store's revisions.
  uint64_t store_counter() const { return revision_; }

  bool store_down = false;
  /// The zone that is partitioned from the other zones and the store; "" if
  /// none.
  std::string isolated_zone{};
  /// Evacuated zones. Hosts learn of a change while they reach the store and
  /// get target list updates.
  std::set<std::string> evacuated_zones{};
  /// Probability that the answer to a store write is lost.
  double lost_write_answer_probability = 0.0;
  /// Probability that a store write takes effect 1 to 5 s later, without an
  /// answer.
  double late_write_probability = 0.0;
  /// Probability that a target executes an order 2 to 9 s later, without an
  /// answer.
  double late_order_probability = 0.0;
  /// Part of the orders whose answer is preceded by a copy of an earlier answer
  /// on the connection, which is taken for it.
  double copied_answer_probability = 0.0;
  /// Probability that a host stalls for up to 4 s after it has sent a store
  /// write. A stalled host handles answers and reads the store when the stall
  /// ends, in either order.
  double stall_after_write_probability = 0.0;

  /// The log notes of all hosts' assigners.
  const std::vector<assigner_note>& notes() const { return notes_; }

  /// The first violation found, "" if none: a key with two owners, a change of
  /// owner without a higher fence, or a record that an assigner cannot read.
  const std::string& problem() const { return problem_; }
  /// The last events before the first problem, one a line, to debug a seed.
  std::string History() const;
  /// Number of watched keys that no live target holds.
  size_t UnownedKeyCount() const;
  /// Number of watched keys that target `index` holds.
  size_t HeldKeyCount(size_t index) const;
  /// The key map of the keyed service in the store, if there is a valid one.
  std::optional<key_map> RecordedMap() const;

 private:
  /// An object of the store.
  struct stored_object {
    uint64_t revision = 0;
    std::string content;
  };
  /// An order on a connection that its target does not read yet.
  struct queued_order {
    size_t host = 0;
    uint64_t order_id = 0;
    size_t target = 0;
    bool discarded = false;  ///< The target drops it.
  };
  /// A callback that runs at a later virtual time.
  struct scheduled_callback {
    time_point due_at;
    std::function<void()> callback;
  };

  void ScheduleAfter(duration delay, std::function<void()> callback);
  void Step();
  void StepHost(size_t index);
  void ExecuteActions(size_t index, const assigner_actions& actions);
  void SendDatagram(size_t index, const assigner_action& action);
  /// The host that receives datagrams from `sender` at `address`; nullptr if no
  /// live host there is reachable.
  world_host* FindReachableHost(const world_host& sender,
                                const std::string& address);
  /// Whether a partition separates the two zones.
  bool IsPartitioned(const std::string& first_zone,
                     const std::string& second_zone) const {
    return (first_zone == isolated_zone) != (second_zone == isolated_zone);
  }
  bool ReachesStore(const world_host& host) const {
    return host.reaches_store && !store_down && host.zone != isolated_zone;
  }
  /// The live target at `address`, or the first one that had it if none is
  /// live.
  world_target& TargetAt(const std::string& address);
  /// Calls `deliver` with the index of each host that a datagram sent over
  /// `hops` reaches.
  void SendFanout(const world_host& sender, const std::vector<fanout_hop>& hops,
                  const std::function<void(size_t)>& deliver);
  /// Lets host `index` learn of an era of the store.
  void TellEra(size_t index, uint64_t era);
  void SendWrite(size_t index, const store_write& write);
  /// Calls `handle` when host `index` handles an answer that arrives now,
  /// unless its process has changed by then.
  void DeliverAnswer(
      size_t index, uint64_t incarnation,
      std::function<void(key_assigner&, assigner_actions&)> handle);
  void SendOrder(size_t index, const key_order& order);
  /// Sends an order that requires an answered connection once `connection` is
  /// one, or reports at `give_up_at` that it was not sent.
  void SendOnceAnswered(size_t index, uint64_t incarnation,
                        const key_order& order, time_point give_up_at);
  /// Sends an order on a connection that its target reads from `read_from` on.
  void QueueOrder(size_t index, const key_order& order,
                  const world_connection& connection);
  /// Resets the connection of an order that its target has not read yet.
  void ResetQueuedOrder(queued_order& order);
  bool IsReachable(const world_host& host, const world_target& target) const {
    return target.alive && !target.unreachable_from.contains(host.name) &&
           !IsPartitioned(host.zone, target.entry.zone);
  }
  write_report ApplyWrite(const store_write& write);
  /// Executes `order` at its target. A grant is valid from `arrived`, which is
  /// earlier than now if the target executes it late.
  order_report ApplyOrder(const key_order& order, time_point arrived);
  /// Passes `report` to the assigner of `host` unless its process has changed.
  void DeliverReport(size_t host, uint64_t incarnation,
                     const order_report& report);
  void CheckOwnership();
  void RecordProblem(const std::string& problem);
  void RecordEvent(std::string event);
  /// Updates the targets' entries by one step and returns those that the store
  /// still lists.
  std::vector<target_entry> ListedTargets();
  /// Whether the store has dropped the target's entry.
  bool IsExpired(const world_target& target) const;
  bool DrawBernoulli(double probability);
  /// What a copy of an earlier answer makes of an order that was executed.
  order_outcome CopiedOutcome(const key_order& order);

  options options_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::seconds{1000}};
  std::vector<world_host> hosts_;
  std::vector<world_target> targets_;
  std::map<std::string, stored_object> objects_;
  uint64_t revision_ = 1;
  uint64_t era_ = 1;
  std::map<std::string, stored_object> copied_objects_;
  uint64_t copied_revision_ = 1;
  std::deque<scheduled_callback> scheduled_callbacks_;
  std::list<queued_order> queued_orders_;
  /// The highest fence granted for each watched key, and its owner.
  std::array<fence_number, kWatchedKeyCount> highest_fences_{};
  std::array<target_life, kWatchedKeyCount> highest_fence_owners_{};
  std::vector<assigner_note> notes_;
  std::string problem_;
  std::deque<std::string> history_;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_
