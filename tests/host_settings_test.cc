#include "foxtailspread/host_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

class HostSettingsTest : public ::testing::Test {
 protected:
  result<host_settings> Parse() const {
    return ParseHostSettings(settings_.dump());
  }

  error Failure() const {
    const result<host_settings> parsed = Parse();
    EXPECT_FALSE(parsed);
    return parsed ? error{} : parsed.error();
  }

  nlohmann::json settings_ = {{"name", "entry-1"},
                              {"zone", "trnje"},
                              {"deployment", "vlahovic"},
                              {"listen", "127.0.0.1:0"},
                              {"peer_listen", "127.0.0.1:7001"},
                              {"platform", "127.0.0.1:7100"},
                              {"host_secret", "sesame-sesame-sesame"}};
};

TEST_F(HostSettingsTest, FieldsLeftOutKeepTheirDefaults) {
  const result<host_settings> parsed = Parse();
  ASSERT_TRUE(parsed) << parsed.error().Message();
  EXPECT_EQ(parsed.value().advertise, "127.0.0.1:0");
  EXPECT_EQ(parsed.value().timing, host_timing{});
  EXPECT_EQ(parsed.value().limits, host_limits{});
}

TEST_F(HostSettingsTest, AllFieldsAreRead) {
  settings_["advertise"] = "10.0.0.1:80";
  settings_["peer_advertise"] = "10.0.0.1:81";
  settings_["peers"] = {{{"name", "entry-2"},
                         {"zone", "trnje"},
                         {"http", "10.0.0.2:80"},
                         {"peer", "10.0.0.2:81"}}};
  settings_["operator_token_digests"] = {std::string(64, 'c')};
  settings_["limits"] = {{"max_body_bytes", 4096}, {"max_in_flight", 10}};
  settings_["timing"] = {{"lease_ms", 600},
                         {"renew_ms", 200},
                         {"drain_ready_lag_ms", 50},
                         {"drain_limit_ms", 60}};
  settings_["log"] = {{"level", "debug"}, {"file", "/tmp/log"}};
  settings_["trace_file"] = "/tmp/trace";
  const result<host_settings> parsed = Parse();
  ASSERT_TRUE(parsed) << parsed.error().Message();
  EXPECT_EQ(parsed.value().peers[0].peer, "10.0.0.2:81");
  EXPECT_EQ(parsed.value().limits.max_body_bytes, 4096U);
  EXPECT_EQ(parsed.value().timing.renew, std::chrono::milliseconds(200));
  EXPECT_EQ(parsed.value().log.level, log_level::kDebug);
}

// The lease is shortened and the renewal is not. One lost renewal would end
// every lease, and callers would see their keys without an owner.
TEST_F(HostSettingsTest, RenewalSlowerThanAThirdOfTheLeaseIsRefused) {
  settings_["timing"] = {{"lease_ms", 300}, {"renew_ms", 101}};
  EXPECT_EQ(Failure().path, "timing.renew_ms");
}

// A host that stops before the balancer has heard of it cuts off requests that
// the balancer still sends.
TEST_F(HostSettingsTest, DrainLimitBelowTheBalancersLagIsRefused) {
  settings_["timing"] = {{"drain_ready_lag_ms", 900}, {"drain_limit_ms", 800}};
  EXPECT_EQ(Failure().path, "timing.drain_limit_ms");
}

// Listening on all interfaces without saying by which the others get here: they
// would be told to connect to 0.0.0.0, that is, to themselves.
TEST_F(HostSettingsTest, WildcardWithoutAdvertisedAddressIsRefused) {
  settings_["peer_listen"] = "0.0.0.0:7001";
  EXPECT_EQ(Failure().path, "peer_advertise");
}

TEST_F(HostSettingsTest, ShortSecretIsRefusedAndNotQuoted) {
  settings_["host_secret"] = "sesame";
  EXPECT_THAT(Failure().Message(), Not(HasSubstr("sesame")));
}

TEST_F(HostSettingsTest, SecretAndSecretFileExcludeEachOther) {
  settings_["host_secret_file"] = "/run/secret";
  EXPECT_EQ(Failure().path, "host_secret");
  settings_.erase("host_secret");
  EXPECT_TRUE(Parse());
}

TEST_F(HostSettingsTest, HostNameInAnAddressIsRefused) {
  settings_["platform"] = "platform.example:80";
  EXPECT_THAT(Failure().remedy, HasSubstr("IP:port"));
  settings_["platform"] = "127.0.0.1:0";
  EXPECT_EQ(Failure().path, "platform");
  settings_["platform"] = "[::1]:80";
  EXPECT_TRUE(Parse());
}

TEST_F(HostSettingsTest, PeerNamedAsThisHostIsRefused) {
  settings_["peers"] = {{{"name", "entry-1"},
                         {"zone", "trnje"},
                         {"http", "10.0.0.2:80"},
                         {"peer", "10.0.0.2:81"}}};
  EXPECT_EQ(Failure().path, "peers[0].name");
}

}  // namespace
}  // namespace foxtailspread
