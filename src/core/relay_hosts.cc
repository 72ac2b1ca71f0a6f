#include "foxtailspread/relay_hosts.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// How long a host that failed gets no requests.
constexpr duration kAvoidTime{std::chrono::seconds{1}};

}  // namespace

relay_hosts::relay* relay_hosts::Find(const std::string& address) {
  const auto found = std::ranges::find(hosts_, address, &relay::address);
  return found == hosts_.end() ? nullptr : &*found;
}

void relay_hosts::Set(std::span<const std::string> addresses) {
  std::vector<relay> next;
  for (const std::string& address : addresses) {
    const relay* known = Find(address);
    next.push_back(known == nullptr ? relay{.address = address} : *known);
  }
  hosts_ = std::move(next);
}

std::string relay_hosts::Take(uint64_t random, time_point now) {
  std::vector<relay*> usable;
  for (relay& candidate : hosts_) {
    if (now >= candidate.avoided_until) {
      usable.push_back(&candidate);
    }
  }
  if (usable.empty()) {
    return {};
  }
  relay* first = usable[random % usable.size()];
  relay* second = usable[(random / usable.size()) % usable.size()];
  relay* chosen = second->in_flight < first->in_flight ? second : first;
  ++chosen->in_flight;
  return chosen->address;
}

void relay_hosts::OnEnded(const std::string& address) {
  if (relay* host = Find(address)) {
    host->in_flight = std::max(host->in_flight - 1, 0);
  }
}

void relay_hosts::OnFailed(const std::string& address, time_point now) {
  if (relay* host = Find(address)) {
    host->avoided_until = now + kAvoidTime;
  }
}

}  // namespace foxtailspread
