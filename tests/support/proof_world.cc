#include "support/proof_world.h"

#include <algorithm>

#include "foxtailspread/bucket_homes.h"
#include "foxtailspread/hash.h"
#include "foxtailspread/placement.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kRetryPause{milliseconds{20}};
constexpr duration kBalancerLag{milliseconds{500}};
constexpr int kKeys = 97;
constexpr int kFirstActions = 20;
constexpr uint64_t kLongWorkEach = 40;

deployment_options Options(const proof_options& options) {
  deployment_options made;
  made.config = SmallConfig(options.zones, options.targets_check_grants);
  if (!options.all_services) {
    made.config.services.resize(1);
    for (organisation_config& organisation : made.config.organisations) {
      organisation.services = {"history"};
    }
  }
  made.seed = options.seed;
  made.work_time = options.work_time;
  made.keep_traces = false;
  made.tick = options.tick;
  return made;
}

}  // namespace

proof_world::proof_world(const proof_options& options)
    : virtual_deployment(Options(options)),
      proof_random_(options.seed * 7919 + 1),
      config_(Options(options).config),
      long_work_(options.long_work) {
  RunFor(seconds{2} + duration{Random(300'000)});
}

void proof_world::Watch(duration pause) { Sample(pause); }

void proof_world::Sample(duration pause) {
  if (double_owners_.empty()) {
    double_owners_ = DoubleOwners();
  }
  At(pause, [this, pause] { Sample(pause); });
}

void proof_world::Load(duration pause, duration length) {
  for (int i = 0; config_.services.size() > 1 && i < kFirstActions; ++i) {
    actions_.push_back(Mint("zone1-1", "signing"));
  }
  RefreshBalancer();
  SendNext(pause.count(), now_us() + length.count());
}

std::string proof_world::TakeAction() {
  std::erase_if(signings_, [this](uint64_t call) {
    const call_result& result = Result(call);
    if (result.answered_us >= 0 && !result.next_action.empty()) {
      actions_.push_back(result.next_action);
    }
    return result.answered_us >= 0;
  });
  if (actions_.empty()) {
    return "";
  }
  std::string action = actions_.back();
  actions_.pop_back();
  return action;
}

void proof_world::EndLoad() {
  load_ended_ = true;
  RunFor(seconds{2});
}

void proof_world::RefreshBalancer() {
  balancer_.clear();
  for (const std::string& name : HostNames()) {
    if (HostReady(name)) {
      balancer_.push_back(name);
    }
  }
  At(kBalancerLag, [this] { RefreshBalancer(); });
}

void proof_world::SendNext(int64_t pause_us, int64_t until_us) {
  if (now_us() >= until_us || load_ended_) {
    return;
  }
  ++sent_;
  if (!balancer_.empty()) {
    const std::string host = balancer_[Random(balancer_.size())];
    const std::string number = std::to_string(sent_);
    call_options options;
    options.body = "lookup " + number;
    if (long_work_ > duration{0} && sent_ % kLongWorkEach == 0) {
      options.work = long_work_;
    }
    if (sent_ % 4 == 0) {
      options.action = TakeAction();
    }
    if (!options.action.empty()) {
      signings_.push_back(Call(host, "signing", "report-" + number, options));
    } else {
      Call(host, "history", "house-" + std::to_string(sent_ % kKeys), options);
    }
  }
  At(duration{pause_us},
     [this, pause_us, until_us] { SendNext(pause_us, until_us); });
}

int64_t proof_world::TimeUntilServed(const std::string& key,
                                     const std::vector<std::string>& hosts,
                                     duration most) {
  const int64_t from = now_us();
  std::vector<uint64_t> sent;
  for (size_t i = 0; now_us() < from + most.count(); ++i) {
    sent.push_back(Call(hosts[i % hosts.size()], "history", key));
    RunFor(kRetryPause);
    int64_t first = most.count();
    for (const uint64_t call : sent) {
      if (Result(call).Done()) {
        first = std::min(first, Result(call).answered_us - from);
      }
    }
    if (first < most.count()) {
      return first;
    }
  }
  return most.count();
}

std::string proof_world::NotServed(const std::vector<std::string>& hosts,
                                   int count) {
  std::vector<uint64_t> sent;
  for (const std::string& host : hosts) {
    for (int i = 0; i < count; ++i) {
      sent.push_back(Call(host, "history", "served-" + std::to_string(i)));
    }
    RunFor(milliseconds{50});
  }
  RunFor(seconds{1});
  std::string missed;
  for (const uint64_t call : sent) {
    const call_result& result = Result(call);
    if (!result.Done()) {
      missed += result.host + " " + result.key + " " + result.code + "\n";
    }
  }
  return missed;
}

std::string proof_world::Broken() { return double_owners_ + Violations(); }

std::vector<std::string> proof_world::RunningHosts() const {
  std::vector<std::string> names;
  for (const std::string& name : HostNames()) {
    if (HostRuns(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> proof_world::HostsOf(const std::string& zone) const {
  std::vector<std::string> names;
  for (const std::string& name : RunningHosts()) {
    if (name.starts_with(zone + "-")) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> proof_world::TargetNames() const {
  std::vector<std::string> names;
  for (const target_config& target : config_.services[0].targets) {
    names.push_back(target.name);
  }
  return names;
}

std::string proof_world::KeyHomedIn(const std::string& zone, int number) const {
  const service_config& service = config_.services[0];
  const std::vector<std::string> homes = HomeZones(service);
  for (int i = 0;; ++i) {
    std::string key = "key-" + std::to_string(number) + "-" + std::to_string(i);
    if (homes[BucketOf(KeyHash(key), service.buckets)] == zone) {
      return key;
    }
  }
}

}  // namespace foxtailspread::testing
