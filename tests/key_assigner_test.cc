#include "foxtailspread/key_assigner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string_view>

#include "support/assigner_world.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::assigner_world;

/// Time from the start until all keys are owned.
constexpr duration kSettled{seconds{4}};

class KeyAssignerTest : public ::testing::Test {
 protected:
  /// Whether a note says that keys of `target` are free, for that reason.
  bool IsReportedFree(std::string_view target, std::string_view reason) const {
    return std::any_of(world_.notes().begin(), world_.notes().end(),
                       [&](const assigner_note& note) {
                         return note.what == assigner_note::kind::kKeysFree &&
                                note.target == target && note.detail == reason;
                       });
  }

  void TearDown() override { EXPECT_EQ(world_.problem(), ""); }

  assigner_world world_{{.hosts = 5, .targets = 6, .seed = 7}};
};

TEST_F(KeyAssignerTest, CalmStartGivesEveryKeyAnOwner) {
  world_.Run(kSettled);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
  ASSERT_TRUE(world_.Recorded());
  EXPECT_TRUE(CheckKeyMap(*world_.Recorded()));
  for (size_t i = 0; i < world_.target_count(); ++i) {
    EXPECT_GT(world_.KeysOf(i), 0U) << i;
  }
}

TEST_F(KeyAssignerTest, CalmMinutesMoveNoKey) {
  world_.Run(kSettled);
  const auto before = world_.Recorded();
  for (int i = 0; i < 600; ++i) {
    world_.Run(milliseconds{500});
    ASSERT_EQ(world_.UnownedKeys(), 0U) << i;
  }
  EXPECT_EQ(world_.Recorded(), before);
}

// The host that gives keys is killed. Targets hold their keys for three
// seconds; if nobody renews them in time, every caller of the keyed service is
// refused.
TEST_F(KeyAssignerTest, KilledHolderIsFollowedBeforeGrantsEnd) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  world_.KillHost(holder);
  for (int i = 0; i < 100; ++i) {
    world_.Run(milliseconds{100});
    ASSERT_EQ(world_.UnownedKeys(), 0U) << i;
  }
  ASSERT_TRUE(world_.holder());
  EXPECT_NE(world_.holder().value(), holder);
}

// Hosts remember heartbeats of holders before. A takeover made some of them
// take the lease from one another every ten milliseconds, and no key ever
// moved.
TEST_F(KeyAssignerTest, TakeoversInARowEndWithOneHolder) {
  world_.Run(kSettled);
  for (int i = 0; i < 3; ++i) {
    const size_t holder = world_.holder().value();
    world_.KillHost(holder);
    world_.Run(seconds{3});
    world_.StartHost(holder);
    world_.Run(seconds{3});
  }
  const size_t holder = world_.holder().value();
  for (int i = 0; i < 50; ++i) {
    world_.Run(milliseconds{100});
    ASSERT_EQ(world_.holder(), holder) << i;
  }
}

// The lease goes from one host to another and back, and a third one has heard
// no heartbeat since the first time. An old heartbeat must not count as silence
// of the present holder: hosts that went by it took the lease from one another
// every ten milliseconds.
TEST_F(KeyAssignerTest, LeaseThatCameBackIsNotTakenForAnOldBeat) {
  key_assigner third({.host = "third", .zone = "z", .address = "third"});
  third.OnServices({});
  third.OnStoreAnswers(true, world_.now());
  time_point now = world_.now();
  const auto read = [&](const std::string& holder, uint64_t revision) {
    const assigner_lease lease{
        .host = holder, .address = holder, .renewal = revision};
    ASSERT_TRUE(
        third.OnObjects({{std::string{key_assigner::kLeaseName},
                          {.name = std::string{key_assigner::kLeaseName},
                           .revision = revision,
                           .item = FormatLease(lease)}}},
                        now));
  };
  read("first", 1);
  third.OnHeartbeat(
      {.host = "first", .lease_revision = 1, .successors = {"third"}}, now);
  now += milliseconds{200};
  read("second", 2);
  now += seconds{3};
  read("first", 3);
  assigner_actions actions;
  now += milliseconds{10};
  third.OnTime(now, actions);
  EXPECT_TRUE(actions.empty());
  now += seconds{1};
  third.OnTime(now, actions);
  EXPECT_EQ(actions.size(), 1U) << "real silence is acted on";
}

// The first holder is gone for good. The second renews the lease for fourteen
// seconds, of which a third host hears by heartbeats alone, and is lost as
// well. The third must go on with the wait for the first: begun anew, keys of
// targets that were lost with it are refused for fifteen seconds more.
TEST_F(KeyAssignerTest, WaitForALostHolderGoesOnWhereOnlyHeartbeatsWereHeard) {
  key_assigner third({.host = "third", .zone = "z", .address = "third"});
  third.OnServices({});
  third.OnStoreAnswers(true, world_.now());
  time_point now = world_.now();
  const assigner_lease lease{
      .host = "second",
      .address = "second",
      .predecessors = {{.host = "first", .may_renew = seconds{15}}}};
  ASSERT_TRUE(third.OnObjects({{std::string{key_assigner::kLeaseName},
                                {.name = std::string{key_assigner::kLeaseName},
                                 .revision = 2,
                                 .item = FormatLease(lease)}}},
                              now));
  assigner_actions actions;
  for (uint64_t revision = 3; revision < 59; ++revision) {
    third.OnHeartbeat(
        {.host = "second", .lease_revision = revision, .successors = {"third"}},
        now);
    now += milliseconds{250};
    third.OnTime(now, actions);
  }
  ASSERT_TRUE(actions.empty());
  now += seconds{1};
  third.OnTime(now, actions);
  ASSERT_EQ(actions.size(), 1U);
  const auto taken = ParseLease(std::get<store_write>(actions[0]).content);
  ASSERT_TRUE(taken);
  for (const former_holder& each : taken.value().predecessors) {
    EXPECT_TRUE(each.host == "second" || each.may_renew <= seconds{1})
        << each.host;
  }
}

// A host restarts and is chosen as successor in the place of another, which
// hears no more heartbeats. It must not take the silence for a lost holder.
TEST_F(KeyAssignerTest, SuccessorThatIsReplacedDoesNotTakeOver) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  const size_t other = (holder + 1) % world_.host_count();
  for (int i = 0; i < 4; ++i) {
    world_.KillHost(other);
    world_.Run(seconds{3});
    world_.StartHost(other);
    world_.Run(seconds{3});
    ASSERT_EQ(world_.holder(), holder) << i;
  }
}

// A target loses power. Nobody can tell that from a cut, so its keys wait for
// the end of its hold; callers of these keys are refused meanwhile.
TEST_F(KeyAssignerTest, LostTargetsKeysAreOwnedAgainAfterTheHold) {
  world_.Run(kSettled);
  world_.target(2).alive = false;
  world_.Run(milliseconds{5200});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
  EXPECT_EQ(world_.KeysOf(2), 0U);
}

// Guards against moves whose reason no log tells.
TEST_F(KeyAssignerTest, LostTargetsKeysAreReportedFreeWithTheReason) {
  world_.Run(kSettled);
  world_.target(2).alive = false;
  world_.Run(milliseconds{5200});
  EXPECT_TRUE(IsReportedFree("t2", "grants-expired"));
}

// Guards against moves whose reason no log tells.
TEST_F(KeyAssignerTest, LeavingTargetsKeysAreReportedFreeWithTheReason) {
  world_.Run(kSettled);
  world_.target(2).entry.draining = true;
  world_.Run(seconds{2});
  EXPECT_TRUE(IsReportedFree("t2", "released"));
}

// A target and the host that gives keys go at the same moment. The successor
// cannot know what was granted last.
TEST_F(KeyAssignerTest, LostTargetAndLostHolderRecoverTogether) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  world_.target(2).alive = false;
  world_.KillHost(holder);
  world_.Run(seconds{2});
  world_.StartHost(holder);
  world_.Run(seconds{6});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// A holder is gone for good together with a target, and its successor is
// restarted while it still waits for what the first may have granted. The next
// one must go on with that wait; each that began it anew left the lost target's
// keys without an owner for as long as holders kept changing.
TEST_F(KeyAssignerTest, WaitForALostHolderIsNotBegunAnewByEachSuccessor) {
  world_.Run(kSettled);
  const size_t first = world_.holder().value();
  world_.target(2).alive = false;
  world_.KillHost(first);
  world_.Run(seconds{14});
  ASSERT_GT(world_.UnownedKeys(), 0U);
  ASSERT_TRUE(world_.holder());
  const size_t second = world_.holder().value();
  ASSERT_NE(second, first);
  world_.KillHost(second);
  world_.Run(milliseconds{500});
  world_.StartHost(second);
  world_.Run(milliseconds{8500});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// A holder is gone for good, and so is a target whose address another service's
// target has now. Until the lost holder's time is over nobody may take the lost
// target's keys, unless it is certain that it holds none: callers were refused
// for nineteen seconds.
TEST_F(KeyAssignerTest, LostTargetWhoseAddressIsReusedKeepsNoKeysFromOthers) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  world_.target(2).alive = false;
  world_.KillHost(holder);
  world_.Run(seconds{3});
  ASSERT_GT(world_.UnownedKeys(), 0U);
  world_.ReuseAddress(2);
  world_.Run(seconds{2});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// A target has ended and is still listed; another process answers at its
// address and takes no orders. Callers of the keys are refused until they have
// another owner, and for longer with each time that the target is given more.
TEST_F(KeyAssignerTest, TargetThatRejectsOrdersLosesItsKeys) {
  world_.Run(kSettled);
  ASSERT_GT(world_.KeysOf(2), 0U);
  world_.target(2).rejects = true;
  world_.Run(seconds{8});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
  EXPECT_EQ(world_.KeysOf(2), 0U);
}

// The holder's zone is cut off from the store and from all targets but one, and
// nobody can take over. When the cut ends its copy of the list of targets is
// still the one from before. It must not take the others for lost: their keys
// went to the one target, which callers overran.
TEST_F(KeyAssignerTest, HolderThatWasCutOffDoesNotTakeTargetsForLost) {
  assigner_world world{{.hosts = 1, .targets = 6, .seed = 7}};
  world.Run(kSettled);
  const auto before = world.Recorded();
  const auto cut = [&](bool off) {
    world.host(0).reaches_store = !off;
    world.host(0).lists_targets = !off;
    for (size_t i = 1; i < world.target_count(); ++i) {
      world.target(i).unreachable_from =
          off ? std::set<std::string>{world.host(0).name}
              : std::set<std::string>{};
    }
  };
  cut(true);
  world.Run(seconds{5});
  cut(false);
  world.host(0).lists_targets = false;
  world.Run(seconds{1});
  world.host(0).lists_targets = true;
  world.Run(seconds{11});
  EXPECT_EQ(world.Recorded(), before);
  EXPECT_EQ(world.UnownedKeys(), 0U);
  EXPECT_EQ(world.problem(), "");
}

// A crashed target is back under the id that it had and holds nothing. Callers
// of its keys get 421 until they are granted anew.
TEST_F(KeyAssignerTest, ReturnedTargetGetsItsKeysWithAHigherFence) {
  world_.Run(kSettled);
  const fence_number before = world_.Recorded()->last_fence;
  world_.RestartTarget(1);
  world_.Run(seconds{1});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
  EXPECT_GT(world_.Recorded()->last_fence, before);
}

// A target says that it leaves. Work must not reach it two seconds later, so
// its keys are elsewhere by then.
TEST_F(KeyAssignerTest, LeavingTargetsKeysMoveWithoutAGap) {
  world_.Run(kSettled);
  world_.target(3).entry.draining = true;
  world_.Run(milliseconds{600});
  EXPECT_EQ(world_.KeysOf(3), 0U);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// The store is away for longer than a grant lasts. Every key would be without
// an owner, and every caller refused, if grants ended with the store.
TEST_F(KeyAssignerTest, OutageOfTheStoreTakesNoKeys) {
  world_.Run(kSettled);
  world_.store_down = true;
  for (int i = 0; i < 100; ++i) {
    world_.Run(milliseconds{100});
    ASSERT_EQ(world_.UnownedKeys(), 0U) << i;
  }
  world_.store_down = false;
  world_.Run(seconds{2});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// The holder is asked to stop while the store is away, so nobody can follow
// it. It keeps what it granted for as long as its process lives.
TEST_F(KeyAssignerTest, HolderThatLeavesWithoutTheStoreKeepsWhatItGranted) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  world_.store_down = true;
  assigner_actions ignored;
  world_.host(holder).assigner->Leave(world_.now(), ignored);
  for (int i = 0; i < 55; ++i) {
    world_.Run(milliseconds{100});
    ASSERT_EQ(world_.UnownedKeys(), 0U) << i;
  }
}

// The holder alone is cut from the store. It cannot move keys any more; a
// successor must.
TEST_F(KeyAssignerTest, HolderCutFromTheStoreIsFollowed) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  world_.host(holder).reaches_store = false;
  world_.Run(seconds{3});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
  world_.target(2).entry.draining = true;
  world_.Run(seconds{1});
  EXPECT_EQ(world_.KeysOf(2), 0U);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// A host loses the lease while orders of its own are under way, and gets it
// back later. If it still waited for their ends, keys of a target that is lost
// then would never be served again.
TEST_F(KeyAssignerTest, HolderThatComesBackStillRecoversLostTargets) {
  world_.Run(kSettled);
  const size_t first = world_.holder().value();
  world_.late_orders = 0.9;
  world_.Run(milliseconds{900});
  world_.host(first).reaches_store = false;
  world_.Run(seconds{3});
  world_.late_orders = 0.0;
  world_.host(first).reaches_store = true;
  world_.Run(seconds{12});
  for (size_t i = 0; i < world_.host_count(); ++i) {
    if (i != first) {
      world_.KillHost(i);
    }
  }
  world_.Run(seconds{25});
  ASSERT_EQ(world_.holder(), first);
  for (size_t i = 0; i + 1 < world_.target_count(); ++i) {
    world_.target(i).alive = false;
    world_.Run(seconds{7});
    EXPECT_EQ(world_.UnownedKeys(), 0U) << i;
  }
}

// A partition that answers in the targets' place makes them look dead. Keys
// granted elsewhere at once would have two owners.
TEST_F(KeyAssignerTest, RefusedConnectionsDoNotCountAsDeath) {
  world_.Run(kSettled);
  const size_t holder = world_.holder().value();
  for (size_t i = 0; i < 3; ++i) {
    world_.target(i).unreachable_from.insert(world_.host(holder).name);
  }
  world_.Run(seconds{8});
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

TEST_F(KeyAssignerTest, AddedTargetGetsKeysWithinFourSeconds) {
  world_.Run(kSettled);
  world_.AddTarget();
  world_.Run(seconds{4});
  EXPECT_GT(world_.KeysOf(world_.target_count() - 1), 0U);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// Guards against keys that stay with the targets of an evacuated zone.
class LapsedHolderTest : public ::testing::TestWithParam<bool> {
 protected:
  assigner_world world_{{.hosts = 5,
                         .targets = 6,
                         .seed = 7,
                         .targets_forget_releases = GetParam()}};
};

// Guards against keys with two owners when the store turns away the holder,
// which goes on renewing at targets that its successor moves keys from.
TEST_P(LapsedHolderTest, RenewalsAfterTheLapseReviveNoMovedKeys) {
  world_.Run(kSettled);
  const size_t lapsed = world_.holder().value();
  world_.host(lapsed).reaches_store = false;
  world_.Run(seconds{6});
  ASSERT_TRUE(world_.holder());
  ASSERT_NE(world_.holder().value(), lapsed);
  world_.target(2).entry.draining = true;
  world_.late_orders = 0.3;
  world_.Run(seconds{3});
  world_.late_orders = 0.0;
  world_.Run(seconds{25});
  EXPECT_EQ(world_.problem(), "") << world_.History();
  EXPECT_EQ(world_.KeysOf(2), 0U);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

INSTANTIATE_TEST_SUITE_P(TargetsForgetReleases, LapsedHolderTest,
                         ::testing::Bool());

TEST_F(KeyAssignerTest, EvacuatedZoneLosesItsKeysAtOnce) {
  world_.Run(kSettled);
  world_.evacuated_zones = {"zone-1"};
  world_.Run(milliseconds{500});
  EXPECT_EQ(world_.KeysOf(1) + world_.KeysOf(4), 0U);
  EXPECT_EQ(world_.UnownedKeys(), 0U);
}

// Guards against keys taken from all targets when there is nowhere to go.
TEST_F(KeyAssignerTest, EvacuationOfAllZonesMovesNoKey) {
  world_.Run(kSettled);
  const auto before = world_.Recorded();
  world_.evacuated_zones = {"zone-0", "zone-1", "zone-2"};
  world_.Run(seconds{2});
  EXPECT_EQ(world_.Recorded(), before);
}

// Guards against a returned zone whose cold targets get keys.
TEST(KeyAssignerColdTest, ReturnedZoneGetsKeysWhenItsTargetsAreWarm) {
  assigner_world world(
      {.hosts = 5, .targets = 6, .seed = 7, .cold_time = seconds{3}});
  world.Run(kSettled);
  world.evacuated_zones = {"zone-1"};
  world.Run(seconds{2});
  world.evacuated_zones.clear();
  world.Run(milliseconds{2900});
  EXPECT_EQ(world.KeysOf(1) + world.KeysOf(4), 0U);
  world.Run(seconds{5});
  EXPECT_GT(world.KeysOf(1), 0U);
  EXPECT_EQ(world.problem(), "");
}

// Guards against a target that starts again and gets its former keys while it
// is cold.
TEST(KeyAssignerColdTest, RestartedTargetGetsKeysWhenItIsWarm) {
  assigner_world world(
      {.hosts = 5, .targets = 6, .seed = 7, .cold_time = seconds{3}});
  world.Run(kSettled);
  world.RestartTarget(2);
  world.Run(milliseconds{2500});
  EXPECT_EQ(world.KeysOf(2), 0U);
  EXPECT_EQ(world.UnownedKeys(), 0U);
  world.Run(seconds{6});
  EXPECT_GT(world.KeysOf(2), 0U);
  EXPECT_EQ(world.problem(), "");
}

}  // namespace
}  // namespace foxtailspread
