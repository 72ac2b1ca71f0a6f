// What the control work of one entry host costs without any requests, by the
// sizes that it may depend on. Prints one line for each size; the slopes in
// docs/CAPACITY.md are differences between its lines.

#include <cstdio>
#include <string>
#include <vector>

#include "control_fleet.h"
#include "programs/foxtailspreadd/peer_codec.h"

namespace foxtailspread {
namespace {

constexpr int kSeconds = 10;
constexpr std::string_view kSecret = "a-secret-for-trials-only";

size_t WireSize(const peer_message& message) {
  return Encode(message, kSecret).ByteSizeLong();
}

/// Prints per host and second, but the heap, which is per host.
void Print(const char* varied, const fleet_size& size) {
  control_fleet fleet(size, &WireSize);
  fleet.RunFor(std::chrono::seconds{kSeconds});
  const fleet_cost& cost = fleet.cost();
  const double hosts = static_cast<double>(fleet.HostCount());
  const double each = hosts * kSeconds;
  std::printf(
      "%-14s %3d %3d %3d %4d %5d %4d | %5d %7.2f %7.2f %7.3f | %7.1f %8.0f | "
      "%6.1f %7.0f | %6.2f %6.3f | %8.0f\n",
      varied, size.zones, size.hosts_per_zone, size.services,
      size.targets_per_range, size.buckets, size.organisations,
      fleet.ActingRanges(),
      static_cast<double>(cost.tick_ns) / 1000 /
          static_cast<double>(cost.ticks),
      static_cast<double>(cost.event_ns) / 1000 / each,
      static_cast<double>(cost.tick_ns + cost.event_ns) / each / 1e7,
      static_cast<double>(cost.peer_messages) / each,
      static_cast<double>(cost.peer_bytes) / each,
      static_cast<double>(cost.grants) / each,
      static_cast<double>(cost.grant_buckets) / each,
      static_cast<double>(cost.watches) / kSeconds,
      static_cast<double>(cost.writes) / kSeconds,
      static_cast<double>(fleet.heap_per_host()) / 1024);
}

/// Returns how long after a change of the configuration all hosts have it.
duration SpreadChange(control_fleet& fleet, const fleet_size& size) {
  deployment_config config = FleetConfig(size);
  config.preset_why = "changed";
  const uint64_t former = fleet.Store().Get(kConfigKey)->revision;
  const auto written =
      fleet.Store().Put(kConfigKey, FormatConfig(config), former);
  const uint64_t version = written.value().revision;
  const time_point start = fleet.now();
  const auto behind = [&] {
    for (size_t i = 0; i < fleet.HostCount(); ++i) {
      const deployment_config* held = fleet.Host(i).config();
      if (held == nullptr || held->version < version) {
        return true;
      }
    }
    return false;
  };
  while (behind() && fleet.now() < start + std::chrono::seconds{10}) {
    fleet.RunFor(std::chrono::milliseconds{1});
  }
  return fleet.now() - start;
}

/// Prints what one change of the configuration costs.
void PrintChange(const fleet_size& size) {
  control_fleet fleet(size, &WireSize);
  fleet.RunFor(std::chrono::seconds{2});
  const uint64_t steady = fleet.cost().peer_bytes / 2;
  const uint64_t before = fleet.cost().peer_bytes;
  const duration spread = SpreadChange(fleet, size);
  const uint64_t bytes = fleet.cost().peer_bytes - before;
  std::printf(
      "%zu hosts, %d targets: configuration %zu bytes, in force everywhere "
      "after %.0f ms of virtual time, %.0f bytes sent per host beside %.0f a "
      "second of steady messages\n",
      fleet.HostCount(), size.zones * size.services * size.targets_per_range,
      FormatConfig(FleetConfig(size)).size(),
      static_cast<double>(spread.count()) / 1000,
      static_cast<double>(bytes) / static_cast<double>(fleet.HostCount()),
      static_cast<double>(steady) / static_cast<double>(fleet.HostCount()));
}

void PrintAll() {
  std::printf(
      "%-14s %3s %3s %3s %4s %5s %4s | %5s %7s %7s %7s | %7s %8s | %6s %7s | "
      "%6s %6s | %8s\n",
      "varied", "zon", "hos", "svc", "tgt", "bkt", "org", "acts", "tick_us",
      "event_us", "core_%", "msg/s", "byte/s", "ord/s", "bkt/s", "watch",
      "writes", "heap_KB");
  const fleet_size base{.zones = 2};
  for (const int zones : {1, 2, 4, 8, 14}) {
    fleet_size size = base;
    size.zones = zones;
    Print("zones", size);
  }
  for (const int hosts : {3, 6, 9, 24}) {
    fleet_size size = base;
    size.hosts_per_zone = hosts;
    Print("hosts/zone", size);
  }
  for (const int services : {1, 3, 9, 27}) {
    fleet_size size = base;
    size.services = services;
    Print("ranges", size);
  }
  for (const int targets : {3, 12, 48}) {
    fleet_size size = base;
    size.targets_per_range = targets;
    Print("targets/range", size);
  }
  for (const int buckets : {64, 256, 1024, 4096}) {
    fleet_size size = base;
    size.buckets = buckets;
    Print("buckets", size);
  }
  for (const int organisations : {2, 20, 200}) {
    fleet_size size = base;
    size.organisations = organisations;
    Print("organisations", size);
  }
  fleet_size whole{.zones = 14,
                   .hosts_per_zone = 15,
                   .services = 8,
                   .targets_per_range = 9,
                   .organisations = 20};
  Print("half of hosts", whole);
  PrintChange({.zones = 2});
  PrintChange(whole);
}

}  // namespace
}  // namespace foxtailspread

int main() {
  foxtailspread::PrintAll();
  return 0;
}
