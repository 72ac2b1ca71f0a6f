// Distribution of one host's datagrams to hundreds of others.

#include "foxtailspread/zone_fanout.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace foxtailspread {
namespace {

class ZoneFanoutTest : public ::testing::Test {
 protected:
  /// Six zones of thirty hosts each; the sender is a further host of zone-0.
  void SetUp() override {
    for (int zone = 0; zone < 6; ++zone) {
      for (int i = 0; i < 30; ++i) {
        zone_addresses_.push_back(
            {"zone-" + std::to_string(zone),
             std::to_string(zone) + ".host-" + std::to_string(i) + ":1"});
      }
    }
    for (const auto& [zone, address] : zone_addresses_) {
      hosts_.push_back({.zone = zone, .address = address, .link_mbps = 20.0});
    }
  }

  /// Returns how often each host receives a datagram with `rotation` if the
  /// hosts in `failed` forward nothing.
  std::map<std::string, int> DeliveryCounts(
      uint64_t rotation, const std::set<std::string>& failed) {
    std::map<std::string, int> received;
    for (const fanout_hop& hop : PlanFanout(hosts_, "zone-0", rotation)) {
      ++received[hop.address];
      for (const std::string& address : hop.forward_to) {
        received[address] += failed.contains(hop.address) ? 0 : 1;
      }
    }
    return received;
  }

  /// Returns how many datagrams leave the sender's zone.
  size_t CrossZoneDatagrams(uint64_t rotation) const {
    const auto hops = PlanFanout(hosts_, "zone-0", rotation);
    return static_cast<size_t>(std::count_if(
        hops.begin(), hops.end(),
        [](const fanout_hop& hop) { return !hop.address.starts_with("0."); }));
  }

  std::vector<std::pair<std::string, std::string>> zone_addresses_;
  std::vector<fanout_host> hosts_;
};

TEST_F(ZoneFanoutTest, EveryHostGetsEachDatagramOnce) {
  for (uint64_t rotation = 0; rotation < 10; ++rotation) {
    const auto received = DeliveryCounts(rotation, {});
    EXPECT_EQ(received.size(), hosts_.size());
    for (const auto& [address, times] : received) {
      EXPECT_EQ(times, 1) << address;
    }
  }
}

// While keys move, each change goes to two hundred hosts. Sent to each host
// directly, the changes would cross zone boundaries once per host, saturate the
// lease holder's link and be lost there.
TEST_F(ZoneFanoutTest, DatagramCrossesToEachOtherZoneOnce) {
  EXPECT_EQ(CrossZoneDatagrams(0), 5U);
}

// A relay has failed and the sender does not know it yet. Without rotation its
// zone would receive nothing, and each of its hosts would read the store.
TEST_F(ZoneFanoutTest, FailedRelayLosesOnlySomeDatagrams) {
  const std::string failed = PlanFanout(hosts_, "zone-0", 0).back().address;
  int received = 0;
  constexpr int kRotations = 12;
  const std::string other = failed.substr(0, 2) + "host-29:1";
  for (uint64_t rotation = 0; rotation < kRotations; ++rotation) {
    received += DeliveryCounts(rotation, {failed})[other];
  }
  EXPECT_GE(received, kRotations / 2);
}

TEST_F(ZoneFanoutTest, HostsWithTheFastestLinksRelay) {
  hosts_[47].link_mbps = 200.0;  // Of zone-1.
  hosts_[48].link_mbps = 200.0;
  hosts_[49].link_mbps = 200.0;
  for (uint64_t rotation = 0; rotation < 6; ++rotation) {
    for (const fanout_hop& hop : PlanFanout(hosts_, "zone-0", rotation)) {
      if (hop.address.starts_with("1.")) {
        EXPECT_TRUE(hop.address == hosts_[47].address ||
                    hop.address == hosts_[48].address ||
                    hop.address == hosts_[49].address);
      }
    }
  }
}

// A host that has not reported recently may have failed.
TEST_F(ZoneFanoutTest, SilentHostDoesNotRelay) {
  for (fanout_host& host : hosts_) {
    host.may_relay = !host.zone.ends_with("1");
  }
  EXPECT_EQ(CrossZoneDatagrams(0), 30U + 4U);
}

// A successor that receives nothing because its relay has failed would take the
// lease from a live holder.
TEST_F(ZoneFanoutTest, DirectHostReceivesWithoutRelays) {
  hosts_[100].direct = true;
  const std::string direct{hosts_[100].address};
  for (uint64_t rotation = 0; rotation < 6; ++rotation) {
    std::set<std::string> all_hosts;
    for (const auto& [zone, address] : zone_addresses_) {
      all_hosts.insert(address);
    }
    EXPECT_EQ(DeliveryCounts(rotation, all_hosts)[direct], 1);
  }
}

TEST_F(ZoneFanoutTest, SmallZoneNeedsNoRelay) {
  hosts_ = {{.zone = "zone-1", .address = "1.a:1"},
            {.zone = "zone-1", .address = "1.b:1"}};
  EXPECT_EQ(CrossZoneDatagrams(0), 2U);
}

}  // namespace
}  // namespace foxtailspread
