// Targets that read new connections late, and hosts that give grants on them
// up meanwhile. No key may have two owners.

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "support/assigner_world.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::assigner_world;

constexpr duration kAcceptDelay{seconds{2}};
/// Grants are renewed at least this often.
constexpr duration kRenewalPeriod{milliseconds{800}};
constexpr duration kStep{milliseconds{10}};

/// What happens after a target has closed its connections and the holder has
/// sent it grants on new ones.
struct late_grant_case {
  std::string name;
  bool targets_keep_reset_orders = false;
  void (*cut)(assigner_world& world, size_t target) = nullptr;
};

void PrintTo(const late_grant_case& printed, std::ostream* out) {
  *out << printed.name;
}

void CutZone(assigner_world& world, size_t target) {
  world.isolated_zone = world.target(target).entry.zone;
}

void CutTarget(assigner_world& world, size_t target) {
  for (size_t i = 0; i < world.host_count(); ++i) {
    world.target(target).unreachable_from.insert(world.host(i).name);
  }
  world.target(target).reaches_store = false;
}

/// Kills the holder's process and starts another one after `pause`.
void CutTargetAndRestartHolder(assigner_world& world, size_t target,
                               duration pause) {
  const size_t holder = *world.holder();
  CutTarget(world, target);
  world.KillHost(holder);
  world.Run(pause);
  world.StartHost(holder);
}

/// The new process takes the lease again.
void CutTargetAndRestartHolderAtOnce(assigner_world& world, size_t target) {
  CutTargetAndRestartHolder(world, target, milliseconds{100});
}

/// A successor takes the lease, and then the new process confirms that it
/// renews nothing.
void CutTargetAndReplaceHolder(assigner_world& world, size_t target) {
  CutTargetAndRestartHolder(world, target, milliseconds{1200});
}

/// The holder stands still until a successor has taken the lease.
void CutTargetAndFreezeHolder(assigner_world& world, size_t target) {
  const size_t holder = *world.holder();
  CutTarget(world, target);
  world.host(holder).frozen_until = world.now() + milliseconds{1200};
}

class LateGrantTest : public ::testing::TestWithParam<late_grant_case> {
 protected:
  /// Cuts off a busy target `delay` after it has closed its connections.
  /// Returns the first violation.
  static std::string Play(const late_grant_case& played, duration delay) {
    assigner_world world(
        {.hosts = 4,
         .targets = 6,
         .seed = 7,
         .targets_keep_reset_orders = played.targets_keep_reset_orders});
    world.Run(seconds{6});
    const size_t target = TargetOutsideTheHoldersZone(world);
    EXPECT_GT(world.HeldKeyCount(target), 0U);
    world.target(target).accept_delay = kAcceptDelay;
    world.CloseConnections(target);
    world.Run(delay);
    played.cut(world, target);
    world.Run(seconds{25});
    EXPECT_EQ(world.UnownedKeyCount(), 0U);
    return world.problem();
  }

  static size_t TargetOutsideTheHoldersZone(assigner_world& world) {
    const std::string& zone = world.host(*world.holder()).zone;
    size_t target = 0;
    while (world.target(target).entry.zone == zone) {
      ++target;
    }
    return target;
  }
};

// Guards against a grant that is given up in a network partition, whose reset
// is lost, and that the target takes from its queue of new connections later
// than its sender allows for.
TEST_P(LateGrantTest, GrantGivenUpBeforeItIsReadGivesNoKeyTwoOwners) {
  for (duration delay = kStep; delay <= kRenewalPeriod; delay += kStep) {
    EXPECT_EQ(Play(GetParam(), delay), "")
        << std::chrono::duration_cast<milliseconds>(delay).count()
        << " ms after the target closed its connections";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, LateGrantTest,
    ::testing::Values(late_grant_case{.name = "ZoneCut", .cut = CutZone},
                      late_grant_case{.name = "TargetCut", .cut = CutTarget},
                      late_grant_case{.name = "TargetCutThatKeepsResetOrders",
                                      .targets_keep_reset_orders = true,
                                      .cut = CutTarget},
                      late_grant_case{.name = "HolderRestarted",
                                      .cut = CutTargetAndRestartHolderAtOnce},
                      late_grant_case{.name = "HolderReplaced",
                                      .cut = CutTargetAndReplaceHolder},
                      late_grant_case{.name = "HolderFrozen",
                                      .cut = CutTargetAndFreezeHolder}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace foxtailspread
