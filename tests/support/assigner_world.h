#ifndef FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_

/// @file
/// Hosts with a key_assigner each, a store and targets in virtual time, for
/// tests of who owns which keys under faults.

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "foxtailspread/key_assigner.h"

namespace foxtailspread::testing {

/// Keys whose owners are watched; one every thousandth part of the space.
inline constexpr size_t kWatchedKeys = 128;

/// The key that stands for watched key `index`.
constexpr key_point WatchedKey(size_t index) {
  return static_cast<key_point>(index *
                                ((size_t{kLastKey} + 1) / kWatchedKeys));
}

/// A target that takes fenced grants.
struct world_target {
  struct hold {
    fence_number fence = 0;
    time_point until{};
  };

  target_entry entry;
  bool alive = true;
  bool reaches_store = true;
  bool rejects = false;  ///< Another process answers at its address.
  std::set<std::string> unreachable_from{};  ///< Hosts that cannot reach it.
  /// Hosts whose orders arrive while the answers do not get back.
  std::set<std::string> unheard_by{};
  std::array<fence_number, kWatchedKeys> seen{};
  std::array<std::optional<hold>, kWatchedKeys> holds{};
  std::optional<time_point> silent_since{};
};

/// One host. Its assigner is made anew when its process starts again.
struct world_host {
  std::string name;
  std::string zone;
  std::unique_ptr<key_assigner> assigner;
  bool alive = true;
  bool reaches_store = true;
  bool lists_targets = true;  ///< Its copy of their list is kept up to date.
  std::set<std::string> unreachable_hosts{};
  time_point frozen_until{};
  time_point report_at{};
  uint64_t seen_revision = 0;
  uint64_t life = 0;
  uint64_t connections = 0;
  std::map<std::string, uint64_t> connection_of{};  ///< By target's life.
};

/// Everything, in steps of ten milliseconds.
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
    /// Targets that fail to compare fences: a planted fault that the world's
    /// checks must find.
    bool targets_ignore_fences = false;
    /// Targets that remember the fence of a release only for keys they held.
    bool targets_forget_releases = false;
    /// Hosts hear of records and of each other by datagram.
    bool datagrams = false;
    /// How long targets are cold after their start; they bear any load if 0.
    duration cold_time{};
  };

  explicit assigner_world(options chosen);

  void Run(duration time);
  time_point now() const { return now_; }

  world_host& host(size_t index) { return hosts_[index]; }
  world_target& target(size_t index) { return targets_[index]; }
  size_t host_count() const { return hosts_.size(); }
  size_t target_count() const { return targets_.size(); }
  /// The index of the host that holds the lease, if any.
  std::optional<size_t> holder() const;

  void AddTarget();
  void RestartTarget(size_t index);  ///< The same id, a new life.
  /// Adds a target of another service at the address of `index`.
  void ReuseAddress(size_t index);
  void KillHost(size_t index);
  void StartHost(size_t index);

  bool store_down = false;
  /// The zone whose hosts and targets reach only each other; "" if none.
  std::string cut_zone{};
  /// Zones that are evacuated, as hosts that reach the store learn of them.
  std::set<std::string> evacuated_zones{};
  /// Part of the writes whose answer is lost, and of those that are carried
  /// out seconds later; likewise of orders to targets.
  double lost_writes = 0.0;
  double late_writes = 0.0;
  double late_orders = 0.0;

  /// What the hosts' assigners said for the log.
  const std::vector<assigner_note>& notes() const { return notes_; }

  /// What broke first, "" if nothing did: two holders of a key, a fence that
  /// does not rise.
  const std::string& problem() const { return problem_; }
  /// What was done up to the problem, to trace a seed.
  std::string History() const;
  /// Watched keys that no live, listed target holds.
  size_t UnownedKeys() const;
  /// Watched keys that `index` holds.
  size_t KeysOf(size_t index) const;
  /// The recorded map.
  std::optional<key_map> Recorded() const;

 private:
  struct stored {
    uint64_t revision = 0;
    std::string content;
  };
  struct delivery {
    time_point at;
    std::function<void()> run;
  };

  void Later(duration delay, std::function<void()> run);
  void Step();
  void StepHost(size_t index);
  void Carry(size_t index, const assigner_actions& actions);
  void CarryDatagram(size_t index, const assigner_action& action);
  /// The host that gets datagrams at `address`; nullptr if none of `from`
  /// gets there.
  world_host* Reach(const world_host& from, const std::string& address);
  /// Whether a cut stands between two zones.
  bool IsCut(const std::string& from, const std::string& to) const {
    return (from == cut_zone) != (to == cut_zone);
  }
  bool ReachesStore(const world_host& host) const {
    return host.reaches_store && !store_down && host.zone != cut_zone;
  }
  /// What listens at `address`: a live target, or the first that had it.
  world_target& TargetAt(const std::string& address);
  /// Runs `deliver` for each host that a datagram over `hops` gets to.
  void Send(const world_host& from, const std::vector<fanout_hop>& hops,
            const std::function<void(key_assigner&)>& deliver);
  void CarryWrite(size_t index, const store_write& write);
  void CarryOrder(size_t index, const key_order& order);
  write_report Apply(const store_write& write);
  order_report ApplyOrder(const key_order& order, time_point arrived);
  void Report(size_t host, uint64_t life, const order_report& report);
  void CheckHolds();
  void Fail(const std::string& problem);
  void Note(std::string what);
  std::vector<target_entry> Listed();
  bool Chance(double part);

  options options_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::seconds{1000}};
  std::vector<world_host> hosts_;
  std::vector<world_target> targets_;
  std::map<std::string, stored> objects_;
  uint64_t revision_ = 1;
  std::deque<delivery> deliveries_;
  /// The highest fence of each watched key, and who had it.
  std::array<fence_number, kWatchedKeys> highest_{};
  std::array<target_life, kWatchedKeys> highest_of_{};
  std::vector<assigner_note> notes_;
  std::string problem_;
  std::deque<std::string> history_;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_ASSIGNER_WORLD_H_
