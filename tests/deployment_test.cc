#include <gtest/gtest.h>

#include "support/virtual_deployment.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_options;
using testing::deployment_options;
using testing::SmallConfig;
using testing::virtual_deployment;

deployment_options Options(int zones, bool targets_check_grants,
                           uint64_t seed = 1) {
  deployment_options options;
  options.config = SmallConfig(zones, targets_check_grants);
  options.seed = seed;
  return options;
}

class DeploymentTest : public ::testing::Test {
 protected:
  virtual_deployment world_{Options(2, true)};
};

TEST_F(DeploymentTest, FreshStartServesLookupsWithinTwoSeconds) {
  world_.RunFor(seconds{2});
  for (const std::string& host : world_.HostNames()) {
    world_.Call(host, "history", "house-" + host);
    world_.Call(host, "archive", "house-" + host);
  }
  world_.RunFor(seconds{1});
  for (const auto& [id, call] : world_.calls()) {
    EXPECT_TRUE(call.Done())
        << call.host << " " << call.service << " " << call.code;
  }
  EXPECT_EQ(world_.Violations(), "");
}

TEST_F(DeploymentTest, ActionWithMintedIdentifierIsDoneOnceHoweverOftenSent) {
  world_.RunFor(seconds{2});
  call_options options;
  options.action = world_.Mint("zone1-1", "signing");
  ASSERT_NE(options.action, "");
  options.body = "sign report 7";
  const auto first = world_.Call("zone1-1", "signing", "report-7", options);
  const auto second = world_.Call("zone2-2", "signing", "report-7", options);
  world_.RunFor(seconds{1});
  EXPECT_TRUE(world_.Result(first).Done()) << world_.Result(first).code;
  EXPECT_TRUE(world_.Result(second).Done()) << world_.Result(second).code;
  EXPECT_EQ(world_.Result(first).body, world_.Result(second).body);
  EXPECT_EQ(world_.Violations(), "");
}

// A host hears of one object out of turn, then fills the gap from another
// source, and tells its neighbours. If it passed on only what was news to
// itself, they would take themselves for complete without the object: in a
// trial one entry host never learnt of another and of its ranges.
TEST(ObjectRelayTest, ObjectKnownOutOfTurnIsPassedOnWithTheGap) {
  host_identity identity;
  identity.self = {"a", "zone1", "http:a", "peer:a", 1, false};
  identity.seeds = {{"b", "zone1", "http:b", "peer:b", 1, false},
                    {"c", "zone1", "http:c", "peer:c", 1, false}};
  entry_host host(identity, decision_timing{});
  const auto receive = [&](uint64_t since, uint64_t revision,
                           std::vector<object_change> changes) {
    peer_received event;
    event.message.from = {"b", 1};
    event.message.revision = revision;
    event.message.changes = change_batch{since, revision, std::move(changes)};
    action_list out;
    host.Handle(event, time_point{seconds{1}}, out);
    return out;
  };
  receive(2, 3, {{"x", 3, false, "{}"}});
  const action_list out = receive(
      0, 3,
      {{"w", 1, false, "{}"}, {"v", 2, false, "{}"}, {"x", 3, false, "{}"}});
  std::vector<std::string> relayed;
  for (const host_action& action : out) {
    const auto* peer = std::get_if<peer_action>(&action);
    if (peer != nullptr && peer->host == "c" && peer->message.changes) {
      for (const object_change& change : peer->message.changes->changes) {
        relayed.push_back(change.key);
      }
    }
  }
  EXPECT_EQ(relayed, (std::vector<std::string>{"w", "v", "x"}));
}

}  // namespace
}  // namespace foxtailspread
