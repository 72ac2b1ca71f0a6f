#include "foxtailspread/routing_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace foxtailspread {
namespace {

/// Returns the host in lower case, without its port.
std::string NormalizeHost(std::string_view host) {
  std::string name{host.substr(0, host.find(':'))};
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

bool HasLongerPrefix(const route* a, const route* b) {
  return a->prefix.size() > b->prefix.size();
}

}  // namespace

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& added : config_.routes) {
    by_host_[NormalizeHost(added.host)].push_back(&added);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), HasLongerPrefix);
  }
}

const route* route_table::FindRoute(std::string_view host,
                                    std::string_view path) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path_without_query = path.substr(0, path.find('?'));
  for (const route* candidate : found->second) {
    if (path_without_query.starts_with(candidate->prefix)) {
      return candidate;
    }
  }
  return nullptr;
}

const service_settings* route_table::FindService(std::string_view name) const {
  for (const service_settings& service : config_.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

size_t weighted_round_robin::Next(
    const std::vector<weighted_service>& services) {
  if (services.size() < 2) {
    return 0;
  }
  credit_.resize(services.size(), 0.0);
  double total_weight = 0.0;
  for (const weighted_service& service : services) {
    total_weight += service.weight;
  }
  size_t best = 0;
  for (size_t i = 0; i < services.size(); ++i) {
    credit_[i] += total_weight > 0.0
                      ? services[i].weight / total_weight
                      : 1.0 / static_cast<double>(services.size());
    if (credit_[i] > credit_[best]) {
      best = i;
    }
  }
  credit_[best] -= 1.0;
  return best;
}

}  // namespace foxtailspread
