// Injects random faults into hosts, the store and targets. No key may ever have
// two owners or change its owner without a higher fence, and every key must
// have an owner again after the faults have ended.

#include <gtest/gtest.h>

#include <cstdlib>
#include <optional>
#include <random>
#include <set>

#include "support/assigner_world.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::assigner_world;

/// Number of random schedules; each takes some tens of milliseconds to run.
constexpr uint64_t kScheduleCount = 200;
/// Number of random schedules for each optional kind of fault.
constexpr uint64_t kVariantScheduleCount = 60;

/// Returns the number in an environment variable, which selects other or more
/// schedules for a manual run, or `default_value` if it is not set.
uint64_t EnvironmentNumber(const char* variable, uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Number of targets of the keyed service.
constexpr size_t kKeyedTargetCount = 6;

/// Kinds of faults that a schedule injects in addition to the basic ones.
struct schedule_options {
  bool targets_forget_releases = false;
  /// Evacuates zones and ends their evacuation; targets start cold.
  bool evacuations = false;
  /// Injects correlated faults, and sends records by datagram.
  bool correlated_faults = false;
  /// Stalls hosts that have sent a store write, adds targets in groups and cuts
  /// off the lease holder's zone.
  bool stalls = false;
  /// Targets close connections and read new ones late.
  bool late_connections = false;
  /// The store returns to copies that are up to some seconds old.
  bool copies = false;
  /// Targets send copies of answers to earlier orders.
  bool copied_answers = false;
};

/// Injects random faults for about 40 s of virtual time.
class fault_injector {
 public:
  fault_injector(assigner_world& world, uint64_t seed)
      : world_(world), random_(seed) {}

  void InjectFaults(const schedule_options& options) {
    world_.Run(seconds{4});
    for (int i = 0; i < 25; ++i) {
      InjectFault();
      if (options.evacuations) {
        ToggleEvacuation();
      }
      if (options.correlated_faults) {
        InjectCorrelatedFault();
      }
      if (options.stalls) {
        InjectStallFault();
      }
      if (options.late_connections) {
        InjectLateConnections();
      }
      if (options.copies) {
        InjectCopy();
      }
      if (options.copied_answers) {
        world_.copied_answer_probability = RandomBelow(2) == 0 ? 0.0 : 0.3;
      }
      world_.Run(milliseconds{RandomBelow(2500)});
    }
  }

  /// Ends all faults and gives the system time to recover.
  void EndFaults() {
    world_.store_down = false;
    world_.evacuated_zones.clear();
    world_.isolated_zone.clear();
    world_.lost_write_answer_probability = 0.0;
    world_.late_write_probability = 0.0;
    world_.late_order_probability = 0.0;
    world_.copied_answer_probability = 0.0;
    world_.stall_after_write_probability = 0.0;
    for (size_t i = 0; i < world_.host_count(); ++i) {
      auto& host = world_.host(i);
      host.reaches_store = true;
      host.unreachable_hosts.clear();
      host.frozen_until = {};
      if (!host.alive) {
        world_.StartHost(i);
      }
    }
    for (size_t i = 0; i < world_.target_count(); ++i) {
      auto& target = world_.target(i);
      target.reaches_store = true;
      target.unreachable_from.clear();
      target.answers_lost_to.clear();
      target.accept_delay = {};
      if (!target.alive && !replaced_targets_.contains(i)) {
        world_.RestartTarget(i);
      }
    }
    world_.Run(seconds{30});
  }

 private:
  size_t RandomBelow(size_t limit) { return random_() % limit; }

  void ToggleEvacuation() {
    const std::string zone = "zone-" + std::to_string(RandomBelow(3));
    if (!world_.evacuated_zones.erase(zone)) {
      world_.evacuated_zones.insert(zone);
    }
  }

  /// Injects at most one fault that affects several hosts or targets at once,
  /// or only one direction of a connection.
  void InjectCorrelatedFault() {
    auto& target = world_.target(RandomBelow(world_.target_count()));
    const size_t replaced_index = RandomBelow(world_.target_count());
    switch (RandomBelow(8)) {
      case 0:
        world_.isolated_zone = "zone-" + std::to_string(RandomBelow(3));
        break;
      case 1:
        world_.isolated_zone.clear();
        break;
      case 2:
        target.answers_lost_to.insert(
            world_.host(RandomBelow(world_.host_count())).name);
        break;
      case 3:
        target.answers_lost_to.clear();
        break;
      case 4:
        RestartAllHosts();
        break;
      case 5:
        ReplaceTarget(replaced_index);
        break;
      default:
        break;
    }
  }

  void InjectStallFault() {
    constexpr size_t kMaxTargets = 18;
    const auto holder = world_.holder();
    switch (RandomBelow(6)) {
      case 0:
      case 1:
        world_.stall_after_write_probability = 0.2;
        break;
      case 2:
        world_.stall_after_write_probability = 0.0;
        break;
      case 3:
        if (holder) {
          world_.isolated_zone = world_.host(*holder).zone;
        }
        break;
      case 4:
        world_.isolated_zone.clear();
        break;
      case 5:
        for (int i = 0; i < 3 && world_.target_count() < kMaxTargets; ++i) {
          world_.AddTarget();
        }
        break;
      default:
        break;
    }
  }

  /// Lets a target close all connections and read new ones late, or at once
  /// again.
  void InjectLateConnections() {
    constexpr size_t kMaxAcceptDelayMs = 4000;
    const size_t index = RandomBelow(world_.target_count());
    world_.target(index).accept_delay =
        RandomBelow(3) == 0 ? duration{0}
                            : milliseconds{RandomBelow(kMaxAcceptDelayMs)};
    world_.CloseConnections(index);
  }

  /// Copies the store, or lets it return to a copy of some seconds ago. The
  /// counter of its revisions goes on below, near or above the former one.
  void InjectCopy() {
    constexpr duration kMaxCopyAge{seconds{8}};
    constexpr size_t kMaxSkipped = 40;
    switch (RandomBelow(4)) {
      case 0:
        world_.CopyStore();
        copied_at_ = world_.now();
        break;
      case 1:
      case 2:
        if (copied_at_ && world_.now() - *copied_at_ < kMaxCopyAge) {
          world_.ReturnStoreToCopy(RandomBelow(2) * RandomBelow(kMaxSkipped));
        }
        break;
      default:
        break;
    }
  }

  void RestartAllHosts() {
    for (size_t i = 0; i < world_.host_count(); ++i) {
      world_.KillHost(i);
    }
    world_.Run(milliseconds{RandomBelow(1000)});
    for (size_t i = 0; i < world_.host_count(); ++i) {
      world_.StartHost(i);
    }
  }

  /// Stops a target for good and then starts a target of another service at its
  /// address.
  void ReplaceTarget(size_t index) {
    constexpr size_t kMaxReplacedTargets = 3;
    if (replaced_targets_.size() >= kMaxReplacedTargets ||
        index >= kKeyedTargetCount || replaced_targets_.contains(index)) {
      return;
    }
    replaced_targets_.insert(index);
    world_.target(index).alive = false;
    world_.Run(seconds{2});
    world_.ReuseAddress(index);
  }

  /// Injects or ends one random fault.
  void InjectFault() {
    auto& host = world_.host(RandomBelow(world_.host_count()));
    auto& target = world_.target(RandomBelow(world_.target_count()));
    const size_t host_index = RandomBelow(world_.host_count());
    const size_t target_index = RandomBelow(world_.target_count());
    switch (RandomBelow(15)) {
      case 0:
        world_.KillHost(host_index);
        break;
      case 1:
        if (!world_.host(host_index).alive) {
          world_.StartHost(host_index);
        }
        break;
      case 2:
        host.frozen_until = world_.now() + milliseconds{RandomBelow(6000)};
        break;
      case 3:
        host.reaches_store = !host.reaches_store;
        break;
      case 4:
        host.unreachable_hosts.insert(world_.host(host_index).name);
        break;
      case 5:
        host.unreachable_hosts.clear();
        break;
      case 6:
        target.unreachable_from.insert(host.name);
        break;
      case 7:
        target.unreachable_from.clear();
        break;
      case 8:
        target.alive = false;
        break;
      case 9:
        if (!world_.target(target_index).alive &&
            !replaced_targets_.contains(target_index)) {
          world_.RestartTarget(target_index);
        }
        break;
      case 10:
        target.reaches_store = !target.reaches_store;
        break;
      case 11:
        world_.store_down = !world_.store_down;
        break;
      case 12:
        world_.lost_write_answer_probability = RandomBelow(2) == 0 ? 0.0 : 0.3;
        break;
      case 13:
        world_.late_write_probability = RandomBelow(2) == 0 ? 0.0 : 0.3;
        break;
      case 14:
        world_.late_order_probability = RandomBelow(2) == 0 ? 0.0 : 0.3;
        break;
      default:
        break;
    }
  }

  assigner_world& world_;
  std::mt19937_64 random_;
  std::optional<time_point> copied_at_;
  /// Indices of stopped targets whose address was given to another one.
  std::set<size_t> replaced_targets_;
};

/// Runs one schedule of faults and checks ownership and recovery.
void RunSchedule(uint64_t seed, const schedule_options& options) {
  assigner_world world(
      {.hosts = 5,
       .targets = kKeyedTargetCount,
       .seed = seed,
       .targets_forget_releases = options.targets_forget_releases,
       .datagrams = options.correlated_faults,
       .cold_time = options.evacuations ? seconds{3} : seconds{0}});
  fault_injector injector(world, seed);
  injector.InjectFaults(options);
  injector.EndFaults();
  EXPECT_EQ(world.problem(), "") << "seed " << seed << '\n' << world.History();
  EXPECT_EQ(world.UnownedKeyCount(), 0U) << "seed " << seed;
  EXPECT_TRUE(world.holder()) << "seed " << seed;
}

void RunSchedules(uint64_t default_count, const schedule_options& options) {
  const uint64_t first = EnvironmentNumber("FOXTAIL_FIRST_SEED", 1);
  const uint64_t count = EnvironmentNumber("FOXTAIL_SEEDS", default_count);
  for (uint64_t seed = first; seed < first + count; ++seed) {
    RunSchedule(seed, options);
    if (::testing::Test::HasFailure()) {
      return;
    }
  }
}

TEST(KeyAssignerProofTest, RandomFaultsNeverGiveKeyTwoOwners) {
  RunSchedules(kScheduleCount, {});
}

// Guards against a delayed grant that a target executes after an order to
// release keys that it did not hold yet. A target that keeps no fence of that
// release accepts the grant, and the keys have two owners.
TEST(KeyAssignerProofTest, ForgottenReleasesNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount, {.targets_forget_releases = true});
}

// Guards against keys with two owners while zones are evacuated and return.
TEST(KeyAssignerProofTest, EvacuationsNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount, {.evacuations = true});
}

// Guards against keys with two owners when whole zones are partitioned, answers
// are lost while orders arrive, all hosts restart at once, addresses are
// reused, and hosts receive records by datagram.
TEST(KeyAssignerProofTest, CorrelatedFaultsNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount, {.correlated_faults = true});
}

// Guards against keys with two owners when hosts stall while a store write is
// in flight and then read a later lease before the answer to the write.
TEST(KeyAssignerProofTest, StalledHostsNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount,
               {.correlated_faults = true, .stalls = true});
}

// Guards against grants that a target takes from its queue of new connections
// after they were given up, while hosts and zones fail.
TEST(KeyAssignerProofTest, LateConnectionsNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount,
               {.correlated_faults = true, .late_connections = true});
}

// Guards against copies of a target's earlier answers that are taken for the
// answers to grants and releases.
TEST(KeyAssignerProofTest, CopiedAnswersNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount,
               {.correlated_faults = true, .copied_answers = true});
}

// Guards against keys with two owners when the store has lost leases and
// records of owners, and gives out their revisions again.
TEST(KeyAssignerProofTest, CopiesOfTheStoreNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount, {.copies = true});
}

// The same with faults of several hosts at once, and hosts that stall between a
// write and its answer.
TEST(KeyAssignerProofTest, CopiesBesideOtherFaultsNeverGiveKeyTwoOwners) {
  RunSchedules(kVariantScheduleCount,
               {.correlated_faults = true, .stalls = true, .copies = true});
}

// Seeds of random schedules that gave a key two owners:
// - A grant was sent while the record that replaces it was being written.
// - A host that held the lease two holders earlier kept renewing its grants.
// - A holder ignored its own new record until the write was answered. Meanwhile
//   it renewed the old owner's grant, and the renewal reached that owner's next
//   process.
TEST(KeyAssignerProofTest, FormerlyFailingSchedulesPass) {
  for (const uint64_t seed : {45, 310, 2795, 3293}) {
    RunSchedule(seed, {});
  }
}

// Guards against a record of owners that a former holder writes after its
// successor has read the one before it, so that both grant the same keys.
TEST(KeyAssignerProofTest, FormerlyFailingStalledSchedulesPass) {
  RunSchedule(10013, {.correlated_faults = true, .stalls = true});
}

// Seeds of random schedules with copies of the store that gave a key two
// owners:
// - A holder renewed grants by a record of an earlier era.
// - A holder that found no record began with fences that had been used.
// - A former holder that was cut off through two eras was no longer counted.
TEST(KeyAssignerProofTest, FormerlyFailingCopySchedulesPass) {
  for (const uint64_t seed : {10120, 20117, 20362, 30042, 40287, 60141}) {
    RunSchedule(seed,
                {.correlated_faults = true, .stalls = true, .copies = true});
  }
}

// Guards against keys that stay without an owner: a range whose owners were
// unknown and whose grant was refused began the barrier of releases anew, which
// made targets refuse the other grants.
TEST(KeyAssignerProofTest, RefusedGrantBehindABarrierLeavesNoKeyUnowned) {
  RunSchedule(70072,
              {.correlated_faults = true, .stalls = true, .copies = true});
}

// Guards against a renewal that a target executes after it answered a release
// of keys that it no longer held.
TEST(KeyAssignerProofTest, FormerlyFailingForgottenReleaseSchedulesPass) {
  for (const uint64_t seed : {1000149, 1000251}) {
    RunSchedule(seed, {.targets_forget_releases = true});
  }
}

// Targets that accept grants whatever their fence let a delayed grant replace a
// newer one. The simulation must detect this; otherwise the other tests here
// could not fail.
TEST(KeyAssignerProofTest, TargetsWithoutFencingAreDetected) {
  size_t violations = 0;
  for (uint64_t seed = 1; seed <= kScheduleCount && violations == 0; ++seed) {
    assigner_world world({.hosts = 5,
                          .targets = 6,
                          .seed = seed,
                          .targets_ignore_fences = true});
    fault_injector injector(world, seed);
    injector.InjectFaults({});
    violations += world.problem().empty() ? 0 : 1;
  }
  EXPECT_GT(violations, 0U);
}

}  // namespace
}  // namespace foxtailspread
