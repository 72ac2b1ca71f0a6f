#ifndef REVIEW_STAND_IN_2_STAND_IN_H_
#define REVIEW_STAND_IN_2_STAND_IN_H_

/// @file
/// A small deployment on loopback for the cases of the second review: entry
/// hosts as processes of their own, and stand-ins for the platform's store,
/// targets and callers in this one.

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "net/caller_server.h"
#include "net/connection_pool.h"
#include "net/loop.h"
#include "net/poller.h"
#include "platform/stand_in/platform_store.h"
#include "platform/stand_in/platform_target.h"

namespace foxtailspread::review {

/// Exit codes of a case.
inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

/// Where a case finds its files.
struct case_paths {
  std::string program;       ///< Of an entry host.
  std::string declarations;  ///< A JSON file.
  std::string work;          ///< A temporary folder.
  std::string record;        ///< Gets what was sent, answered and run.
};

/// One entry host: a process, its addresses and its own way to the store.
struct entry_process {
  std::string name;
  std::string zone;
  std::string callers;
  std::string readiness;
  std::string hosts;
  pid_t pid = 0;
  std::unique_ptr<caller_server> store;  ///< The store, as this host meets it.
  bool is_cut_from_store = false;        ///< Its calls get no answer.
};

/// One target, which registers itself in the store.
struct target_process {
  std::unique_ptr<stand_in::platform_target> target;
  std::unique_ptr<caller_server> server;
  std::string address;
  uint64_t sequence = 0;
  int silent_heartbeats = 0;
  bool is_cut_from_store = false;  ///< Its heartbeats do not arrive.
};

/// What one caller's attempt came to.
struct attempt {
  bool has_ended = false;
  int status = 0;  ///< 0 without an answer.
};

class small_deployment {
 public:
  small_deployment(case_paths paths, uint64_t seed);
  ~small_deployment();
  small_deployment(const small_deployment&) = delete;
  small_deployment& operator=(const small_deployment&) = delete;

  /// Adds an entry host, which is not started yet. Returns whether its
  /// addresses could be had.
  bool AddHost(const std::string& name, const std::string& zone);
  bool StartHost(entry_process& host);
  void KillHost(entry_process& host);
  /// Whether all hosts that were started still run.
  bool AllHostsRun();
  std::vector<entry_process>& hosts() { return hosts_; }
  /// The host that the store's lease names; null if there is none.
  entry_process* LeaseHolder();

  /// Adds a target and lets it register; null if it could not listen.
  target_process* AddTarget(const std::string& service, const std::string& id,
                            const std::string& zone, bool keyed);
  std::list<target_process>& targets() { return targets_; }
  stand_in::platform_store& store() { return store_; }
  /// While true, no call of the store is answered.
  void SetStoreAway(bool is_away) { store_is_away_ = is_away; }
  /// What the operator and the targets wrote is written again.
  bool WriteDeclarations();
  void WriteHeartbeats();

  /// Callers send so many requests a second to each service, through any host
  /// that runs.
  void StartLoad(int per_second);
  void StopLoad() { load_.Cancel(); }

  /// Runs the loop for a time.
  void RunFor(duration time);
  /// Writes a line into the record.
  void Note(const std::string& line);
  poller& events() { return events_; }

  /// Watches for keys of the keyed service that two targets hold.
  void WatchOwners();
  void StopWatchingOwners() { owners_.Cancel(); }
  /// What is broken of rule OWNER; empty if nothing is.
  const std::string& owner_problem() const { return owner_problem_; }

  const std::map<std::string, attempt>& attempts() const { return attempts_; }
  size_t served() const { return served_; }

 private:
  /// A time in which two targets hold the same keys.
  struct overlap {
    time_point since{};
    bool is_noted = false;
    bool first_began = false;   ///< The first target began a request on them.
    bool second_began = false;  ///< The second one did.
  };
  using target_pair = std::pair<std::string, std::string>;

  void OnStoreCall(entry_process& host, size_t index, exchange_id id,
                   const http_message& request);
  void OnTargetRequest(target_process& target, exchange_id id,
                       const http_message& request);
  void Turn();
  void CheckOwners();
  void OnBegan(const std::string& target, key_point key);
  void SendOne(bool to_keyed_service);

  case_paths paths_;
  std::FILE* record_;
  time_point started_at_;
  std::mt19937_64 random_;
  poller events_;
  event_loop loop_;
  stand_in::platform_store store_;
  bool store_is_away_ = false;
  std::vector<entry_process> hosts_;
  std::list<target_process> targets_;
  connection_pool callers_;
  std::map<std::string, attempt> attempts_;
  size_t served_ = 0;
  std::map<target_pair, overlap> overlaps_;
  std::string owner_problem_;
  timer turn_;
  timer heartbeat_;
  timer owners_;
  timer load_;
};

}  // namespace foxtailspread::review

#endif  // REVIEW_STAND_IN_2_STAND_IN_H_
