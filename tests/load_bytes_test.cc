// Tests of what the sharing of loads costs in bytes.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/load/load_board.h"
#include "foxtailspread/zone_fanout.h"

namespace foxtailspread {
namespace {

using std::chrono::seconds;

/// Headers of a datagram: IP and UDP.
constexpr size_t kHeaderBytes = 28;
/// The smallest links, of 10 Mbit/s.
constexpr double kLinkBytesPerSecond = 1.25e6;

/// Bytes per second of one deployment at full load.
struct sharing_cost {
  double host_out = 0.0;   ///< Of a host.
  double holder_in = 0.0;  ///< Of the host that sums.
  double holder_out = 0.0;
  double relay_out = 0.0;  ///< Of a host that passes sums on.
};

/// All targets are busy and each load changes from period to period. `zones` of
/// equal size.
sharing_cost CostOf(size_t hosts, size_t targets, size_t zones) {
  constexpr size_t kInFlight = 1000;  // Per hundred targets of four slots.
  const size_t at_targets =
      std::max<size_t>(1, kInFlight * targets / 100 / hosts);
  load_board board;
  board.SetHostCount(hosts);
  std::vector<std::string> addresses;
  const time_point start{seconds{100}};
  const duration period = LoadSharingPeriod(hosts);
  size_t host_bytes = 0;
  size_t told_bytes = 0;
  uint64_t sequence = 100'000;
  for (time_point now = start; now < start + 2 * HostLoadTtl(hosts);
       now += period) {
    ++sequence;
    for (size_t host = 0; host < hosts; ++host) {
      loads_record record{.host = "edge-" + std::to_string(1000 + host),
                          .sequence = sequence};
      for (size_t i = 0; i < at_targets; ++i) {
        const size_t target = (host * at_targets + i) % targets;
        record.activity.push_back(
            {.target = static_cast<uint32_t>(3'000'000'000U + target),
             .in_flight = static_cast<uint32_t>(1 + sequence % 2),
             .served = 1,
             .rejected = static_cast<uint32_t>(sequence % 2),
             .latency_us = 160'000,
             .unqueued = 1});
      }
      host_bytes = FormatHostMessage(record).size();
      board.OnRecord(record, now);
    }
    told_bytes = FormatHostMessage(board.TakeChanged(now)).size();
  }
  std::vector<std::string> zone_names;
  for (size_t zone = 0; zone < zones; ++zone) {
    zone_names.push_back("zone-" + std::to_string(zone));
  }
  for (size_t host = 1; host < hosts; ++host) {
    addresses.push_back("10.0.0." + std::to_string(100 + host) + ":40123");
  }
  std::vector<fanout_host> others;
  for (size_t host = 1; host < hosts; ++host) {
    others.push_back(
        {.zone = zone_names[host % zones], .address = addresses[host - 1]});
  }
  const bool through_relays = NeedsRelays(told_bytes, hosts);
  const auto hops = PlanFanout(
      others, through_relays ? std::string_view{} : zone_names[0], 0);
  const double per_second = 1.0 / std::chrono::duration<double>(period).count();
  sharing_cost cost{
      .host_out = static_cast<double>(host_bytes + kHeaderBytes) * per_second,
      .holder_in =
          static_cast<double>((host_bytes + kHeaderBytes) * (hosts - 1)) *
          per_second};
  for (const fanout_hop& hop : hops) {
    size_t bytes = told_bytes + kHeaderBytes;
    for (const std::string& address : hop.forward_to) {
      bytes += address.size() + 1;
    }
    cost.holder_out += static_cast<double>(bytes) * per_second;
    cost.relay_out = std::max(cost.relay_out,
                              static_cast<double>(hop.forward_to.size() *
                                                  (told_bytes + kHeaderBytes)) *
                                  per_second);
  }
  for (const auto& [name, value] : {std::pair{"host_out", cost.host_out},
                                    std::pair{"holder_in", cost.holder_in},
                                    std::pair{"holder_out", cost.holder_out},
                                    std::pair{"relay_out", cost.relay_out}}) {
    ::testing::Test::RecordProperty(
        name, std::to_string(static_cast<int>(value / 1000)) + " kB/s");
  }
  return cost;
}

/// Guards against hosts with small links that the sharing of loads fills.
void ExpectRoom(const sharing_cost& cost) {
  EXPECT_LT(cost.host_out, 0.01 * kLinkBytesPerSecond);
  EXPECT_LT(cost.holder_in, 0.25 * kLinkBytesPerSecond);
  EXPECT_LT(cost.holder_out, 0.25 * kLinkBytesPerSecond);
}

TEST(LoadBytesTest, NineHostsHaveRoom) { ExpectRoom(CostOf(9, 40, 4)); }

TEST(LoadBytesTest, EightyFiveHostsHaveRoom) {
  const sharing_cost cost = CostOf(85, 250, 3);
  ExpectRoom(cost);
  EXPECT_LT(cost.relay_out, 0.5 * kLinkBytesPerSecond);
}

// Relays are the hosts with the fastest links of their zones.
TEST(LoadBytesTest, ThreeHundredHostsHaveRoom) {
  const sharing_cost cost = CostOf(300, 900, 6);
  ExpectRoom(cost);
  EXPECT_LT(cost.relay_out, kLinkBytesPerSecond);
}

// Guards against a datagram that is too large to send.
TEST(LoadBytesTest, SumsOfThousandsOfTargetsFitInADatagram) {
  constexpr uint32_t kTargets = 5000;
  load_board board;
  time_point now{seconds{100}};
  std::vector<bool> told(kTargets);
  for (uint64_t round = 1; round <= 20; ++round) {
    now += LoadSharingPeriod(1);
    loads_record record{.host = "a", .sequence = round};
    for (uint32_t target = 0; target < kTargets; ++target) {
      record.activity.push_back(
          {.target = target, .in_flight = static_cast<uint32_t>(round)});
    }
    board.OnRecord(record, now);
    const loads_record sums = board.TakeChanged(now);
    EXPECT_LT(FormatHostMessage(sums).size(), 20'000U);
    for (const load_sum& sum : sums.sums) {
      told[sum.target] = true;
    }
  }
  EXPECT_EQ(std::count(told.begin(), told.end(), false), 0);
}

}  // namespace
}  // namespace foxtailspread
