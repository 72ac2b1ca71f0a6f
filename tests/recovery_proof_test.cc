#include <gtest/gtest.h>

#include <algorithm>

#include "support/proof_world.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::proof_options;
using testing::proof_world;

constexpr uint64_t kSeeds = 50;
constexpr duration kPatience{seconds{5}};
constexpr int64_t kServedAgainUs = 1'000'000;

/// What one fault cost over all seeds.
struct recovery_times {
  std::vector<int64_t> us;
  std::string broken;

  void Add(uint64_t seed, int64_t time_us, const std::string& found) {
    us.push_back(time_us);
    if (!found.empty()) {
      broken += "seed " + std::to_string(seed) + ": " + found;
    }
  }
  int64_t Worst() const { return *std::max_element(us.begin(), us.end()); }
  int64_t Median() {
    std::sort(us.begin(), us.end());
    return us[us.size() / 2];
  }
  void Report(const std::string& name) {
    ::testing::Test::RecordProperty(name + "_median_ms",
                                    std::to_string(Median() / 1000));
    ::testing::Test::RecordProperty(name + "_worst_ms",
                                    std::to_string(Worst() / 1000));
  }
};

/// The parameter says whether the targets check who orders them.
class RecoveryProofTest : public ::testing::TestWithParam<bool> {
 protected:
  /// Measures the time until a key of zone 1 is served again after `fault`,
  /// by a caller that sends through all hosts that still run.
  template <typename fault>
  recovery_times Measure(fault inflict) {
    recovery_times times;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      proof_options options;
      options.seed = seed;
      options.targets_check_grants = GetParam();
      proof_world world(options);
      world.Watch();
      const std::string key = world.KeyHomedIn("zone1", static_cast<int>(seed));
      const std::string steward = world.StewardOf("history@zone1");
      const std::string owner = world.OwnerOf("history", key);
      inflict(world, steward, owner);
      std::vector<std::string> hosts = world.RunningHosts();
      std::erase(hosts, steward);
      const int64_t time = world.TimeUntilServed(key, hosts, kPatience);
      world.RunFor(seconds{1});
      times.Add(seed, time, world.Broken());
    }
    return times;
  }
};

// The target that owns a key dies. Its users wait until the steward has given
// the key to another target, which it may do only when the lease has ended.
TEST_P(RecoveryProofTest, KeyOfAKilledTargetIsServedWithinASecond) {
  recovery_times times =
      Measure([](proof_world& world, const std::string&,
                 const std::string& owner) { world.KillTarget(owner); });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("target_killed");
}

// The target freezes and answers nothing, though its connections stay open.
// Users see the key hang; the target wakes later and must find that the key
// is not its own any more.
TEST_P(RecoveryProofTest, KeyOfAFrozenTargetIsServedWithinASecond) {
  recovery_times times = Measure(
      [](proof_world& world, const std::string&, const std::string& owner) {
        target_faults frozen;
        frozen.freeze_ms = 1500;
        world.SetTargetFaults(owner, frozen);
      });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("target_frozen");
}

// The entry host that is steward of a key dies. No other host may order its
// targets until the promises made to it have lapsed; till then its users wait.
TEST_P(RecoveryProofTest, KeyOfAKilledStewardIsServedWithinASecond) {
  recovery_times times =
      Measure([](proof_world& world, const std::string& steward,
                 const std::string&) { world.KillHost(steward); });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("steward_killed");
}

// A switch takes the steward off the network, so that nobody sees its
// connections close; requests sent to it just hang.
TEST_P(RecoveryProofTest, KeyOfACutStewardIsServedWithinASecond) {
  recovery_times times =
      Measure([](proof_world& world, const std::string& steward,
                 const std::string&) { world.CutHost(steward, true); });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("steward_cut");
}

// A rack goes with the steward of a key and the target that owned it. The
// successor must find out for itself that the owner it has on record is dead.
TEST_P(RecoveryProofTest, KeyOfBothKilledIsServedWithinASecond) {
  recovery_times times =
      Measure([](proof_world& world, const std::string& steward,
                 const std::string& owner) {
        world.KillHost(steward);
        world.KillTarget(owner);
      });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("both_killed");
}

// The platform is down when the steward and the target die. Succession was
// fixed beforehand, so users notice no difference.
TEST_P(RecoveryProofTest, BothKilledWithoutPlatformIsServedWithinASecond) {
  recovery_times times =
      Measure([](proof_world& world, const std::string& steward,
                 const std::string& owner) {
        world.Platform().down = true;
        world.RunFor(seconds{3});
        world.KillHost(steward);
        world.KillTarget(owner);
      });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("both_killed_without_platform");
}

// One host dies, its successor two seconds later, once the roster is repaired.
// Each loss must cost no more than the first.
TEST_P(RecoveryProofTest, SecondStewardKilledAfterRepairIsServedWithinASecond) {
  recovery_times times = Measure(
      [](proof_world& world, const std::string& steward, const std::string&) {
        world.KillHost(steward);
        world.RunFor(seconds{2});
        world.StartHost(steward);
        world.RunFor(seconds{6});
        world.KillHost(world.StewardOf("history@zone1"));
      });
  EXPECT_LT(times.Worst(), kServedAgainUs);
  EXPECT_EQ(times.broken, "");
  times.Report("second_killed");
}

INSTANTIATE_TEST_SUITE_P(Class, RecoveryProofTest, ::testing::Bool(),
                         [](const auto& info) {
                           return info.param ? "Checking" : "NotChecking";
                         });

}  // namespace
}  // namespace foxtailspread
