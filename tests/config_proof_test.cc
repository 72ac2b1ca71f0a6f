#include <gtest/gtest.h>

#include <algorithm>

#include "support/virtual_deployment.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_options;
using testing::call_result;
using testing::deployment_options;
using testing::SmallConfig;
using testing::virtual_deployment;

constexpr int64_t kAimUs = 1'000'000;
constexpr int64_t kMostUs = 8'000'000;

deployment_options Options(uint64_t seed, int hosts_per_zone = 3) {
  deployment_options options;
  options.config = SmallConfig(2, true);
  options.hosts_per_zone = hosts_per_zone;
  options.seed = seed;
  options.keep_traces = false;
  return options;
}

class config_world : public virtual_deployment {
 public:
  explicit config_world(uint64_t seed, int hosts_per_zone = 3)
      : virtual_deployment(Options(seed, hosts_per_zone)),
        config_(Options(seed).config) {
    RunFor(seconds{2} + duration{static_cast<int64_t>(seed * 7919 % 100'000)});
  }

  /// Switches the preset as an operator would; returns the revision.
  uint64_t Switch(const std::string& preset) {
    config_.preset = preset;
    return Apply(config_);
  }
  uint64_t VersionAt(const std::string& host) {
    const deployment_config* config = Host(host).config();
    return config == nullptr ? 0 : config->version;
  }
  /// Returns the time until every one of `hosts` has it, kMostUs at most.
  int64_t TimeUntilInForce(uint64_t version,
                           const std::vector<std::string>& hosts) {
    const int64_t start = now_us();
    const auto has_it = [&](const std::string& host) {
      return VersionAt(host) >= version;
    };
    while (!std::all_of(hosts.begin(), hosts.end(), has_it) &&
           now_us() - start < kMostUs) {
      RunFor(milliseconds{1});
    }
    return now_us() - start;
  }
  /// Writes any text where the configuration stands.
  void Write(const std::string& text) { ASSERT_TRUE(store_written(text)); }

 private:
  bool store_written(const std::string& text) {
    const auto written =
        Store().Put(kConfigKey, text, Store().Get(kConfigKey)->revision);
    return written && written.value().verdict == write_verdict::kWritten;
  }

  deployment_config config_;
};

class ConfigProofTest : public ::testing::TestWithParam<uint64_t> {
 protected:
  void ExpectAllServe() {
    for (const std::string& host : world_.HostNames()) {
      const uint64_t call = world_.Call(host, "archive", "house");
      world_.RunFor(seconds{1});
      EXPECT_TRUE(world_.Result(call).Done()) << host;
    }
  }

  config_world world_{GetParam()};
};

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigProofTest,
                         ::testing::Range<uint64_t>(1, 11));

// An operator switches the preset for a peak. Hosts that go on with the old
// one would let archive work in. The platform must not be asked by each host:
// one watch a zone brings the news and the hosts pass it on.
TEST_P(ConfigProofTest, ChangeIsInForceEverywhereWithinASecond) {
  const uint64_t calls = world_.platform_calls();
  const uint64_t version = world_.Switch("peak");
  const int64_t time = world_.TimeUntilInForce(version, world_.HostNames());
  EXPECT_LT(time, kAimUs);
  EXPECT_LE(world_.platform_calls() - calls, 4u);
  RecordProperty("in_force_ms", std::to_string(time / 1000));
  for (const std::string& host : world_.HostNames()) {
    EXPECT_EQ(world_.Host(host).config()->preset, "peak");
  }
  EXPECT_EQ(world_.Violations(), "");
}

// The host that watches the platform for its zone dies just before the change.
// Its zone must find that out and read the change itself.
TEST_P(ConfigProofTest, ChangeIsInForceInTimeAlthoughTheWatcherDied) {
  const std::string watcher = world_.Host("zone1-1").sync().beacon()->watcher;
  world_.KillHost(watcher);
  const uint64_t version = world_.Switch("peak");
  std::vector<std::string> hosts = world_.HostNames();
  std::erase(hosts, watcher);
  const int64_t time = world_.TimeUntilInForce(version, hosts);
  EXPECT_LT(time, kMostUs);
  RecordProperty("in_force_ms", std::to_string(time / 1000));
}

// One zone cannot reach the platform. Its hosts hear the change from others.
TEST_P(ConfigProofTest, ZoneCutFromThePlatformHearsTheChangeFromItsPeers) {
  world_.CutZoneFromPlatform("zone2", true);
  const uint64_t version = world_.Switch("peak");
  EXPECT_LT(world_.TimeUntilInForce(version, world_.HostNames()), kMostUs);
}

// A host was unreachable while the preset was switched twice. Until it hears
// of it, it acts on the old one; it must then jump to the newest, and a host
// that asks it must not fall back.
TEST_P(ConfigProofTest, LaggingHostNeverTakesAnotherBack) {
  world_.CutHost("zone1-2", true);
  world_.Switch("peak");
  const uint64_t newest = world_.Switch("everyday");
  std::vector<std::string> others = world_.HostNames();
  std::erase(others, "zone1-2");
  EXPECT_LT(world_.TimeUntilInForce(newest, others), kAimUs);
  EXPECT_LT(world_.VersionAt("zone1-2"), newest);
  world_.CutHost("zone1-2", false);
  EXPECT_LT(world_.TimeUntilInForce(newest, world_.HostNames()), kMostUs);
  EXPECT_EQ(world_.Violations(), "");
}

// A host restarts while the platform is down and one peer holds an old
// configuration. It knows nothing itself: it may serve only on what peers say,
// and the newest of that must win however late the old one comes in.
TEST_P(ConfigProofTest, RestartedHostTakesTheNewestThatItsPeersKnow) {
  world_.CutHost("zone1-2", true);
  const uint64_t newest = world_.Switch("peak");
  std::vector<std::string> others = world_.HostNames();
  std::erase(others, "zone1-2");
  world_.TimeUntilInForce(newest, others);
  world_.Platform().down = true;
  world_.KillHost("zone1-1");
  world_.CutHost("zone1-2", false);
  world_.StartHost("zone1-1");
  for (int i = 0; i < 400; ++i) {
    world_.RunFor(milliseconds{10});
    if (world_.HostReady("zone1-1")) {
      ASSERT_EQ(world_.VersionAt("zone1-1"), newest);
    }
  }
  EXPECT_TRUE(world_.HostReady("zone1-1"));
  EXPECT_EQ(world_.Violations(), "");
}

// A fresh host reaches neither the platform nor a peer. It must say so, with a
// time to come back, and not act on a configuration of its own making.
TEST_P(ConfigProofTest, FreshHostWithoutPlatformAndPeersInventsNothing) {
  world_.KillHost("zone1-1");
  world_.CutHost("zone1-1", true);
  world_.StartHost("zone1-1");
  world_.RunFor(seconds{5});
  EXPECT_FALSE(world_.HostReady("zone1-1"));
  EXPECT_EQ(world_.Host("zone1-1").config(), nullptr);
  const uint64_t call = world_.Call("zone1-1", "history", "house");
  world_.RunFor(milliseconds{5});
  const call_result& answer = world_.Result(call);
  EXPECT_GE(answer.answered_us, 0);
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.outcome, request_outcome::kNotRun);
  EXPECT_GT(answer.retry_after_us, 0);
  world_.CutHost("zone1-1", false);
  world_.RunFor(seconds{6});
  EXPECT_TRUE(world_.HostReady("zone1-1"));
}

// Somebody writes an object that no host can use, past foxtailctl's checks: not
// a configuration, one of a later release, or one half of a renamed service.
// Users must notice nothing, and the next good one must take effect.
TEST_P(ConfigProofTest, UnusableObjectLeavesTheLastGoodOneInForce) {
  const uint64_t good = world_.VersionAt("zone1-1");
  deployment_config half_renamed = SmallConfig(2, true);
  half_renamed.services[0].name = "inspections";
  deployment_config newer = SmallConfig(2, true);
  newer.format = kConfigFormat + 1;
  for (const std::string& text :
       {std::string("{\"format\":1}"), std::string("[\"not one\"]"),
        FormatConfig(half_renamed), FormatConfig(newer)}) {
    world_.Write(text);
    world_.RunFor(seconds{2});
    for (const std::string& host : world_.HostNames()) {
      EXPECT_EQ(world_.VersionAt(host), good) << text.substr(0, 40);
    }
  }
  ExpectAllServe();
  EXPECT_LT(world_.TimeUntilInForce(world_.Switch("peak"), world_.HostNames()),
            kAimUs);
  EXPECT_EQ(world_.Violations(), "");
}

// The configuration is deleted on the platform, by mistake. Hosts that have
// one go on with it.
TEST_P(ConfigProofTest, DeletedConfigurationStaysInForce) {
  world_.Store().Remove(kConfigKey, world_.Store().Get(kConfigKey)->revision);
  world_.RunFor(seconds{3});
  ExpectAllServe();
  const uint64_t restored = world_.Apply(SmallConfig(2, true));
  EXPECT_LT(world_.TimeUntilInForce(restored, world_.HostNames()), kAimUs);
}

// The preset closes archive work. Exactly one preset counts at every host: no
// host lets archive work in after the switch is in force, all do before.
TEST_P(ConfigProofTest, SwitchedPresetDecidesAtEveryHost) {
  ExpectAllServe();
  world_.TimeUntilInForce(world_.Switch("peak"), world_.HostNames());
  call_options archive;
  archive.urgency = "archive";
  for (const std::string& host : world_.HostNames()) {
    const uint64_t call = world_.Call(host, "archive", "house", archive);
    world_.RunFor(milliseconds{100});
    EXPECT_EQ(world_.Result(call).code, "archive-closed") << host;
    EXPECT_EQ(world_.Result(call).outcome, request_outcome::kNotRun);
    EXPECT_GT(world_.Result(call).retry_after_us, 0);
  }
}

// Each answer to a host's write is lost for a while. The hosts must find out
// what stands there instead of writing again or giving up.
TEST_P(ConfigProofTest, HostsComeUpAlthoughAnswersToTheirWritesAreLost) {
  world_.KillHost("zone1-1");
  world_.Platform().lose_write_answers = 3;
  world_.StartHost("zone1-1");
  world_.RunFor(seconds{6});
  EXPECT_TRUE(world_.HostReady("zone1-1"));
  const stored_object* entry =
      world_.Store().Get(std::string(kHostKeyPrefix) + "zone1-1");
  ASSERT_NE(entry, nullptr);
  ExpectAllServe();
  EXPECT_EQ(world_.Violations(), "");
}

// What a change costs the platform must not grow with the fleet.
TEST(ConfigCallsTest, ChangeCostsTheSameCallsInALargerFleet) {
  for (const int hosts_per_zone : {3, 6}) {
    config_world world(1, hosts_per_zone);
    world.RunFor(seconds{3});
    const uint64_t calls = world.platform_calls();
    const uint64_t version = world.Switch("peak");
    EXPECT_LT(world.TimeUntilInForce(version, world.HostNames()), kAimUs);
    EXPECT_LE(world.platform_calls() - calls, 4u) << hosts_per_zone;
  }
}

}  // namespace
}  // namespace foxtailspread
