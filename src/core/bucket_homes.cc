#include "foxtailspread/bucket_homes.h"

#include <map>

#include "foxtailspread/placement.h"

namespace foxtailspread {

std::vector<std::string> HomeZones(const service_config& service) {
  std::map<std::string_view, int> target_counts;
  for (const target_config& target : service.targets) {
    ++target_counts[target.zone];
  }
  std::vector<zone_weight> zones;
  zones.reserve(target_counts.size());
  for (const auto& [zone, count] : target_counts) {
    zones.push_back(zone_weight{zone, count});
  }
  std::vector<std::string> home_zones;
  if (zones.empty()) {
    return home_zones;
  }
  home_zones.reserve(service.buckets);
  for (const int zone : AssignZones(service.buckets, zones)) {
    home_zones.emplace_back(zones[zone].zone);
  }
  return home_zones;
}

std::vector<int> BucketsOfZone(const service_config& service,
                               std::string_view zone) {
  const std::vector<std::string> home_zones = HomeZones(service);
  std::vector<int> buckets;
  for (size_t bucket = 0; bucket < home_zones.size(); ++bucket) {
    if (home_zones[bucket] == zone) {
      buckets.push_back(static_cast<int>(bucket));
    }
  }
  return buckets;
}

}  // namespace foxtailspread
