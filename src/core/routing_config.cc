#include "foxtailspread/routing_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace foxtailspread {
namespace {

std::string HostName(std::string_view host) {
  std::string name{host.substr(0, host.find(':'))};
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

bool IsLonger(const route* a, const route* b) {
  return a->prefix.size() > b->prefix.size();
}

}  // namespace

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& each : config_.routes) {
    by_host_[HostName(each.host)].push_back(&each);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), IsLonger);
  }
}

const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  const auto found = by_host_.find(HostName(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view bare = path.substr(0, path.find('?'));
  for (const route* each : found->second) {
    if (bare.starts_with(each->prefix)) {
      return each;
    }
  }
  return nullptr;
}

const service_settings* route_table::FindService(std::string_view name) const {
  for (const service_settings& each : config_.services) {
    if (each.name == name) {
      return &each;
    }
  }
  return nullptr;
}

size_t split_dealer::Next(const std::vector<weighted_service>& parts) {
  if (parts.size() < 2) {
    return 0;
  }
  credit_.resize(parts.size(), 0.0);
  double total = 0.0;
  for (const weighted_service& part : parts) {
    total += part.weight;
  }
  size_t best = 0;
  for (size_t i = 0; i < parts.size(); ++i) {
    credit_[i] += total > 0.0 ? parts[i].weight / total
                              : 1.0 / static_cast<double>(parts.size());
    if (credit_[i] > credit_[best]) {
      best = i;
    }
  }
  credit_[best] -= 1.0;
  return best;
}

}  // namespace foxtailspread
