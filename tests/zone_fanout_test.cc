// How a datagram of one host reaches hundreds of others.

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
  /// Six zones of thirty hosts; the sender is another one of zone-0.
  void SetUp() override {
    for (int zone = 0; zone < 6; ++zone) {
      for (int i = 0; i < 30; ++i) {
        names_.push_back(
            {"zone-" + std::to_string(zone),
             std::to_string(zone) + ".host-" + std::to_string(i) + ":1"});
      }
    }
    for (const auto& [zone, address] : names_) {
      hosts_.push_back({.zone = zone, .address = address, .link_mbps = 20.0});
    }
  }

  /// How often each host gets a datagram that is sent at `turn`, if those in
  /// `lost` pass nothing on.
  std::map<std::string, int> Receivers(uint64_t turn,
                                       const std::set<std::string>& lost) {
    std::map<std::string, int> received;
    for (const fanout_hop& hop : PlanFanout(hosts_, "zone-0", turn)) {
      ++received[hop.address];
      for (const std::string& next : hop.forward_to) {
        received[next] += lost.contains(hop.address) ? 0 : 1;
      }
    }
    return received;
  }

  /// Datagrams that leave the sender's zone.
  size_t CrossingZones(uint64_t turn) const {
    const auto hops = PlanFanout(hosts_, "zone-0", turn);
    return static_cast<size_t>(std::count_if(
        hops.begin(), hops.end(),
        [](const fanout_hop& hop) { return !hop.address.starts_with("0."); }));
  }

  std::vector<std::pair<std::string, std::string>> names_;
  std::vector<fanout_host> hosts_;
};

TEST_F(ZoneFanoutTest, EveryHostGetsEachDatagramOnce) {
  for (uint64_t turn = 0; turn < 10; ++turn) {
    const auto received = Receivers(turn, {});
    EXPECT_EQ(received.size(), hosts_.size());
    for (const auto& [address, times] : received) {
      EXPECT_EQ(times, 1) << address;
    }
  }
}

// Keys move, and each change goes to two hundred hosts. Sent to each of them it
// would cross the zones once a host, fill the holder's link and be lost there.
TEST_F(ZoneFanoutTest, DatagramCrossesOnceToEachOtherZone) {
  EXPECT_EQ(CrossingZones(0), 5U);
}

// A relay is gone, and the sender does not know yet. Its zone would hear
// nothing, and each of its hosts would read the store.
TEST_F(ZoneFanoutTest, LostRelayCostsItsZoneAPartOfTheDatagrams) {
  const std::string lost = PlanFanout(hosts_, "zone-0", 0).back().address;
  int received = 0;
  constexpr int kTurns = 12;
  const std::string other = lost.substr(0, 2) + "host-29:1";
  for (uint64_t turn = 0; turn < kTurns; ++turn) {
    received += Receivers(turn, {lost})[other];
  }
  EXPECT_GE(received, kTurns / 2);
}

TEST_F(ZoneFanoutTest, WideLinksRelay) {
  hosts_[47].link_mbps = 200.0;  // Of zone-1.
  hosts_[48].link_mbps = 200.0;
  hosts_[49].link_mbps = 200.0;
  for (uint64_t turn = 0; turn < 6; ++turn) {
    for (const fanout_hop& hop : PlanFanout(hosts_, "zone-0", turn)) {
      if (hop.address.starts_with("1.")) {
        EXPECT_TRUE(hop.address == hosts_[47].address ||
                    hop.address == hosts_[48].address ||
                    hop.address == hosts_[49].address);
      }
    }
  }
}

// A host that has not reported of late may be gone.
TEST_F(ZoneFanoutTest, SilentHostDoesNotRelay) {
  for (fanout_host& each : hosts_) {
    each.may_relay = !each.zone.ends_with("1");
  }
  EXPECT_EQ(CrossingZones(0), 30U + 4U);
}

// A successor that hears nothing because its relay is lost would take the lease
// from a holder that lives.
TEST_F(ZoneFanoutTest, DirectHostNeedsNoRelay) {
  hosts_[100].direct = true;
  const std::string direct{hosts_[100].address};
  for (uint64_t turn = 0; turn < 6; ++turn) {
    std::set<std::string> all;
    for (const auto& [zone, address] : names_) {
      all.insert(address);
    }
    EXPECT_EQ(Receivers(turn, all)[direct], 1);
  }
}

TEST_F(ZoneFanoutTest, FewHostsOfAZoneNeedNoRelay) {
  hosts_ = {{.zone = "zone-1", .address = "1.a:1"},
            {.zone = "zone-1", .address = "1.b:1"}};
  EXPECT_EQ(CrossingZones(0), 2U);
}

}  // namespace
}  // namespace foxtailspread
