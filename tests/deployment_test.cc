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

}  // namespace
}  // namespace foxtailspread
