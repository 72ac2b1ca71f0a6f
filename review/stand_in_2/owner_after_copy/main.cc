// A target joins and gets keys. Then it and the entry host that gives the keys
// are partitioned from the store, the other hosts are killed and start again,
// and the store comes back from a copy of some seconds ago, in which the target
// is not listed. Its keys must not get a second owner.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "../stand_in.h"

namespace foxtailspread::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartUp{seconds{8}};
/// The users' longest partition of targets and hosts from the store.
constexpr duration kCut{seconds{10}};
constexpr duration kRestart{milliseconds{600}};
/// The store is away for this time before it comes back from a copy.
constexpr duration kStoreAway{milliseconds{700}};
constexpr duration kStep{milliseconds{100}};
constexpr int kMostSteps = 80;
constexpr int kRequestsPerSecond = 50;

bool HoldsAny(const target_process& target) {
  const time_point now = Now();
  for (uint32_t key = 0; key <= kLastKey; ++key) {
    if (target.target->Holds(static_cast<key_point>(key), now)) {
      return true;
    }
  }
  return false;
}

bool StartDeployment(small_deployment& deployment) {
  const std::vector<std::string> zones = {"dubrava", "trnje", "sesvete"};
  bool good = deployment.WriteDeclarations();
  for (size_t i = 0; i < 5; ++i) {
    good =
        good && deployment.AddTarget("history", "history-" + std::to_string(i),
                                     zones[i % zones.size()], true);
  }
  for (size_t i = 0; i < 4; ++i) {
    good =
        good && deployment.AddTarget("signing", "signing-" + std::to_string(i),
                                     zones[i % zones.size()], false);
  }
  for (size_t i = 0; i < 6; ++i) {
    const std::string& zone = zones[i % zones.size()];
    good = good &&
           deployment.AddHost("edge-" + zone + "-" + std::to_string(i), zone);
  }
  for (entry_process& host : deployment.hosts()) {
    good = good && deployment.StartHost(host);
  }
  return good;
}

/// Kills all hosts but `spared`, lets the store be away and come back from its
/// copy, and starts the hosts again.
bool KillAndReturnToCopy(small_deployment& deployment,
                         const entry_process& spared) {
  deployment.Note("the store is away; all hosts but one are killed");
  deployment.SetStoreAway(true);
  for (entry_process& host : deployment.hosts()) {
    if (&host != &spared) {
      deployment.KillHost(host);
    }
  }
  deployment.RunFor(kRestart);
  bool good = true;
  for (entry_process& host : deployment.hosts()) {
    if (&host != &spared) {
      good = good && deployment.StartHost(host);
    }
  }
  deployment.RunFor(kStoreAway - kRestart);
  deployment.store().ReturnToCopy();
  deployment.SetStoreAway(false);
  deployment.Note("the store is back from the copy");
  good = good && deployment.WriteDeclarations();
  deployment.WriteHeartbeats();
  return good;
}

int Run(const case_paths& paths, bool has_trouble) {
  small_deployment deployment(paths, 1);
  if (!StartDeployment(deployment)) {
    return kExitNotRun;
  }
  deployment.RunFor(kStartUp);
  deployment.StartLoad(kRequestsPerSecond);
  deployment.WatchOwners();
  deployment.RunFor(seconds{2});
  deployment.store().Copy();
  deployment.Note("the store's copy is made");
  deployment.RunFor(milliseconds{200});
  target_process* joined =
      deployment.AddTarget("history", "history-new", "dubrava", true);
  if (joined == nullptr) {
    return kExitNotRun;
  }
  for (int i = 0; i < kMostSteps && !HoldsAny(*joined); ++i) {
    deployment.RunFor(kStep);
  }
  entry_process* holder = deployment.LeaseHolder();
  if (!HoldsAny(*joined) || holder == nullptr || !deployment.AllHostsRun()) {
    deployment.Note("the new target got no keys");
    return kExitNotRun;
  }
  deployment.RunFor(milliseconds{500});
  if (has_trouble) {
    deployment.Note("history-new and " + holder->name +
                    " are cut off from the store");
    joined->is_cut_from_store = true;
    holder->is_cut_from_store = true;
    deployment.RunFor(milliseconds{200});
    if (!KillAndReturnToCopy(deployment, *holder)) {
      return kExitNotRun;
    }
  }
  deployment.RunFor(kCut - milliseconds{200} - kStoreAway);
  // What arrives when the links heal is not judged.
  deployment.StopWatchingOwners();
  joined->is_cut_from_store = false;
  holder->is_cut_from_store = false;
  deployment.Note("the cut ends");
  deployment.RunFor(seconds{3});
  deployment.StopLoad();
  deployment.RunFor(seconds{2});
  if (!deployment.AllHostsRun() || deployment.served() == 0) {
    return kExitNotRun;
  }
  const bool is_broken = !deployment.owner_problem().empty();
  std::printf("%s\n", is_broken
                          ? ("broken: " + deployment.owner_problem()).c_str()
                          : "held");
  return is_broken ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace foxtailspread::review

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::fprintf(stderr, "usage: %s PROGRAM DECLARATIONS WORK RECORD\n",
                 argv[0]);
    return foxtailspread::review::kExitNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string{trouble} != "0";
  return foxtailspread::review::Run({.program = argv[1],
                                     .declarations = argv[2],
                                     .work = argv[3],
                                     .record = argv[4]},
                                    has_trouble);
}
