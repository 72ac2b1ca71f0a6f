#ifndef FOXTAILSPREAD_RELAY_HOSTS_H_
#define FOXTAILSPREAD_RELAY_HOSTS_H_

/// @file
/// The hosts that serve requests on behalf of a host that reaches no target.

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Chooses among the hosts that reach targets the one with the fewest of this
/// host's requests, of two random ones.
class relay_hosts {
 public:
  /// Replaces the known hosts by these addresses.
  void Set(std::span<const std::string> addresses);
  bool empty() const { return hosts_.empty(); }

  /// Returns the host for the next request and counts the request there; empty
  /// if there is none. `random` is any random number.
  std::string Take(uint64_t random, time_point now);
  /// A request at the host has ended.
  void OnEnded(const std::string& address);
  /// The host could not be reached, or broke off; it gets nothing for a while.
  void OnFailed(const std::string& address, time_point now);

 private:
  struct relay {
    std::string address;
    int in_flight = 0;
    time_point avoided_until{};
  };

  relay* Find(const std::string& address);

  std::vector<relay> hosts_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RELAY_HOSTS_H_
