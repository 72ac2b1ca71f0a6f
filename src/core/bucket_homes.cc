#include "foxtailspread/bucket_homes.h"

#include <algorithm>
#include <map>

#include "foxtailspread/hash.h"

namespace foxtailspread {
namespace {

struct zone_quota {
  std::string zone;
  int targets = 0;
  int left = 0;
};

/// Splits the buckets over the zones by the largest remainders.
std::vector<zone_quota> Quotas(const service_config& service) {
  std::map<std::string, int> targets;
  for (const target_config& target : service.targets) {
    ++targets[target.zone];
  }
  const int total = static_cast<int>(service.targets.size());
  std::vector<zone_quota> quotas;
  int given = 0;
  for (const auto& [zone, count] : targets) {
    quotas.push_back({zone, count, service.buckets * count / total});
    given += quotas.back().left;
  }
  const auto remainder = [&](const zone_quota& q) {
    return service.buckets * q.targets % total;
  };
  std::vector<size_t> order(quotas.size());
  for (size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return remainder(quotas[a]) > remainder(quotas[b]);
  });
  for (size_t i = 0; given < service.buckets; ++i, ++given) {
    ++quotas[order[i]].left;
  }
  return quotas;
}

}  // namespace

std::vector<std::string> HomeZones(const service_config& service) {
  if (service.targets.empty()) {
    return {};
  }
  std::vector<zone_quota> quotas = Quotas(service);
  std::vector<std::string> homes;
  homes.reserve(service.buckets);
  for (int bucket = 0; bucket < service.buckets; ++bucket) {
    // Each bucket ranks the zones by a hash of its own, so that when quotas
    // change most buckets still get the zone they had.
    zone_quota* best = nullptr;
    uint64_t best_score = 0;
    for (zone_quota& quota : quotas) {
      const uint64_t score =
          HashParts({service.name, quota.zone}, static_cast<uint64_t>(bucket));
      if (quota.left > 0 && (best == nullptr || score > best_score)) {
        best = &quota;
        best_score = score;
      }
    }
    --best->left;
    homes.push_back(best->zone);
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
