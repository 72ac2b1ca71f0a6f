#include "foxtailspread/bucket_homes.h"

#include <map>

#include "foxtailspread/placement.h"

namespace foxtailspread {

std::vector<std::string> HomeZones(const service_config& service) {
  std::map<std::string_view, int> targets;
  for (const target_config& target : service.targets) {
    ++targets[target.zone];
  }
  std::vector<zone_weight> zones;
  zones.reserve(targets.size());
  for (const auto& [zone, count] : targets) {
    zones.push_back(zone_weight{zone, count});
  }
  std::vector<std::string> homes;
  if (zones.empty()) {
    return homes;
  }
  homes.reserve(service.buckets);
  for (const int zone : AssignZones(service.buckets, zones)) {
    homes.emplace_back(zones[zone].zone);
  }
  return homes;
}

std::vector<int> BucketsOfZone(const service_config& service,
                               std::string_view zone) {
  const std::vector<std::string> homes = HomeZones(service);
  std::vector<int> buckets;
  for (size_t bucket = 0; bucket < homes.size(); ++bucket) {
    if (homes[bucket] == zone) {
      buckets.push_back(static_cast<int>(bucket));
    }
  }
  return buckets;
}

}  // namespace foxtailspread
