#ifndef FOXTAILSPREAD_TESTS_SUPPORT_PROOF_WORLD_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_PROOF_WORLD_H_

/// @file
/// What the proofs of ownership, recovery and membership share: a deployment
/// under steady load behind a balancer, watched for double owners.

#include <cstdint>
#include <string>
#include <vector>

#include "support/virtual_deployment.h"

namespace foxtailspread::testing {

struct proof_options {
  uint64_t seed = 1;
  bool targets_check_grants = true;
  int zones = 2;
  duration work_time{std::chrono::milliseconds{2}};
  bool all_services = false;  ///< Otherwise only the keyed one.
  /// One request in 40 of the load takes that long; 0 is none.
  duration long_work{0};
  duration tick{std::chrono::milliseconds{10}};  ///< Longer for long runs.
};

/// A deployment that has come up, with a caller that retries.
class proof_world : public virtual_deployment {
 public:
  explicit proof_world(const proof_options& options);

  /// Looks for double owners each `pause` from now on.
  void Watch(duration pause = std::chrono::milliseconds{5});
  /// Sends a lookup each `pause` for so long, through the hosts that the
  /// balancer believes to be ready. Its belief lags by up to half a second.
  void Load(duration pause, duration length);
  /// Ends the load and waits for the answers that are still to come.
  void EndLoad();

  /// Calls the key each 20 ms, each time through the next of `hosts`, and
  /// returns how long from now the first whole answer took, in microseconds;
  /// `most` if none came.
  int64_t TimeUntilServed(const std::string& key,
                          const std::vector<std::string>& hosts, duration most);

  /// Calls `count` keys through each running host; returns the calls that
  /// were not done within a second, one a line.
  std::string NotServed(const std::vector<std::string>& hosts, int count);

  /// All that was broken so far.
  std::string Broken();

  std::vector<std::string> RunningHosts() const;
  std::vector<std::string> HostsOf(const std::string& zone) const;
  std::vector<std::string> TargetNames() const;
  /// Returns a key that is homed in the zone; `number` tells keys apart.
  std::string KeyHomedIn(const std::string& zone, int number) const;
  uint64_t Random(uint64_t bound) { return proof_random_() % bound; }

 private:
  void Sample(duration pause);
  void SendNext(int64_t pause_us, int64_t until_us);
  void RefreshBalancer();
  /// Returns an identifier that an earlier answer brought, or "".
  std::string TakeAction();

  std::mt19937_64 proof_random_;
  deployment_config config_;
  std::vector<std::string> balancer_;
  std::string double_owners_;
  uint64_t sent_ = 0;
  bool load_ended_ = false;
  std::vector<std::string> actions_;
  std::vector<uint64_t> signings_;
  duration long_work_;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_PROOF_WORLD_H_
