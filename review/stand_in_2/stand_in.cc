#include "stand_in.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "platform/config_codec.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

namespace foxtailspread::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// The users' heartbeat; an entry is removed after three of silence.
constexpr duration kHeartbeat{milliseconds{870}};
constexpr int kHeartbeatsUntilRemoved = 3;

constexpr duration kTurn{milliseconds{2}};
constexpr duration kOwnerCheck{milliseconds{50}};

/// Two targets hold the same keys for longer than this: rule OWNER.
constexpr duration kLongestOverlap{milliseconds{500}};

/// The lease of the host that gives keys, an object of the system's own.
constexpr std::string_view kLeaseName = "assigner";

constexpr int kMostHosts = 64;
constexpr int kPatienceMs = 1200;
constexpr duration kWork{milliseconds{40}};
constexpr int kReadWrite = 0644;

http_message WithEcho(http_message answer, const http_message& request) {
  const std::string_view id = platform::AttemptId(request);
  if (!answer.Header(platform::kAttemptId)) {
    answer.headers.push_back(
        {std::string{platform::kAttemptId}, std::string{id}});
  }
  return answer;
}

/// A loopback address with a port that is free now, below those that the
/// system gives to outgoing connections.
std::string FreeAddress(poller& events) {
  constexpr int kFirstPort = 18000;
  constexpr int kPorts = 13000;
  static int next = static_cast<int>(getpid()) * 97 % kPorts;
  for (int i = 0; i < kPorts; ++i) {
    std::string address =
        "127.0.0.1:" + std::to_string(kFirstPort + next++ % kPorts);
    caller_server probe(events,
                        {.on_request = [](exchange_id, const http_message&) {},
                         .on_gone = [](exchange_id) {}});
    if (probe.Listen(address)) {
      return address;
    }
  }
  return {};
}

}  // namespace

small_deployment::small_deployment(case_paths paths, uint64_t seed)
    : paths_(std::move(paths)),
      record_(std::fopen(paths_.record.c_str(), "w")),
      started_at_(Now()),
      random_(seed),
      callers_(events_, {}) {
  hosts_.reserve(kMostHosts);
  turn_ = RunEvery(kTurn, [this] { Turn(); });
  heartbeat_ = RunEvery(kHeartbeat, [this] { WriteHeartbeats(); });
}

small_deployment::~small_deployment() {
  for (entry_process& host : hosts_) {
    KillHost(host);
  }
  if (record_ != nullptr) {
    std::fclose(record_);
  }
}

void small_deployment::Note(const std::string& line) {
  if (record_ == nullptr) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(Now() - started_at_).count();
  std::fprintf(record_, "%8.3f %s\n", seconds, line.c_str());
  std::fflush(record_);
}

void small_deployment::RunFor(duration time) {
  const timer end = RunAfter(time, [this] { loop_.Stop(); });
  loop_.Run();
}

bool small_deployment::AddHost(const std::string& name,
                               const std::string& zone) {
  const size_t index = hosts_.size();
  entry_process& host = hosts_.emplace_back();
  host.name = name;
  host.zone = zone;
  host.callers = FreeAddress(events_);
  host.readiness = FreeAddress(events_);
  host.hosts = FreeAddress(events_);
  host.store = std::make_unique<caller_server>(
      events_,
      caller_events{.on_request =
                        [this, &host, index](exchange_id id,
                                             const http_message& request) {
                          OnStoreCall(host, index, id, request);
                        },
                    .on_gone = [](exchange_id) {}});
  return !host.callers.empty() && !host.readiness.empty() &&
         !host.hosts.empty() &&
         static_cast<bool>(host.store->Listen("127.0.0.1:0"));
}

bool small_deployment::StartHost(entry_process& host) {
  const std::string settings = paths_.work + "/" + host.name + ".json";
  const std::string log = paths_.work + "/" + host.name + ".log";
  std::ofstream(settings) << json{
      {"name", host.name},
      {"zone", host.zone},
      {"callers", host.callers},
      {"readiness", host.readiness},
      {"hosts", host.hosts},
      {"store", "127.0.0.1:" + std::to_string(host.store->port())},
      {"max_hold", "10000ms"},
      {"drain", "2000ms"},
      {"target_heartbeat", "870ms"},
      {"stop_grace", "6s"},
      {"memory_mb", 260},
      {"link_mbps", 1000.0},
      {"retries", {{"ratio", 0.2}, {"slack", 58}, {"window", "10s"}}}};
  const pid_t pid = fork();
  if (pid < 0) {
    return false;
  }
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // No host outlives the case.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                         kReadWrite);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("FOXTAILSPREAD_CONFIG", settings.c_str(), 1);
    execl(paths_.program.c_str(), paths_.program.c_str(), nullptr);
    _exit(kExitNotRun);
  }
  host.pid = pid;
  Note("host " + host.name + " starts");
  return true;
}

void small_deployment::KillHost(entry_process& host) {
  if (host.pid == 0) {
    return;
  }
  kill(host.pid, SIGKILL);
  waitpid(host.pid, nullptr, 0);
  host.pid = 0;
  Note("host " + host.name + " is killed");
}

bool small_deployment::AllHostsRun() {
  bool all_run = true;
  for (entry_process& host : hosts_) {
    int state = 0;
    if (host.pid != 0 && waitpid(host.pid, &state, WNOHANG) == host.pid) {
      Note("host " + host.name + " ended by itself, state " +
           std::to_string(state));
      host.pid = 0;
      all_run = false;
    }
  }
  return all_run;
}

entry_process* small_deployment::LeaseHolder() {
  http_message request;
  request.method = "GET";
  request.target = std::string{platform::kObjectsPath} +
                   std::string{platform::kOwnKind} + "/" +
                   std::string{kLeaseName};
  const auto answer = store_.Handle(0, request, Now());
  if (!answer || answer->status != kHttpOk) {
    return nullptr;
  }
  const json lease = json::parse(answer->body, nullptr, false);
  const std::string name =
      lease.value("spec", json::object()).value("host", std::string{});
  for (entry_process& host : hosts_) {
    if (host.name == name) {
      return &host;
    }
  }
  return nullptr;
}

void small_deployment::OnStoreCall(entry_process& host, size_t index,
                                   exchange_id id,
                                   const http_message& request) {
  if (store_is_away_ || host.is_cut_from_store) {
    return;  // Silence.
  }
  const auto answer = store_.Handle(id * kMostHosts + index, request, Now());
  if (answer) {
    host.store->Answer(id, *answer);
  }
}

target_process* small_deployment::AddTarget(const std::string& service,
                                            const std::string& id,
                                            const std::string& zone,
                                            bool keyed) {
  target_process& added = targets_.emplace_back();
  added.target =
      std::make_unique<stand_in::platform_target>(stand_in::target_options{
          .life = {.id = id, .started = 1000000 + targets_.size()},
          .service = service,
          .zone = zone,
          .keyed = keyed,
          .work = kWork});
  added.server = std::make_unique<caller_server>(
      events_, caller_events{.on_request =
                                 [this, &added](exchange_id exchange,
                                                const http_message& request) {
                                   OnTargetRequest(added, exchange, request);
                                 },
                             .on_gone =
                                 [&added](exchange_id exchange) {
                                   added.target->Cancel(exchange);
                                 }});
  if (!added.server->Listen("127.0.0.1:0")) {
    return nullptr;
  }
  added.address = "127.0.0.1:" + std::to_string(added.server->port());
  Note("target " + id + " registers");
  WriteHeartbeats();
  return &added;
}

void small_deployment::OnTargetRequest(target_process& target, exchange_id id,
                                       const http_message& request) {
  const std::string& name = target.target->options().life.id;
  const bool is_order = request.target == platform::kGrantPath ||
                        request.target == platform::kReleasePath;
  if (request.target == "/healthz") {
    http_message good;
    good.status = kHttpOk;
    target.server->Answer(id, good);
    return;
  }
  const std::string attempt{platform::AttemptId(request)};
  const auto answer = target.target->Handle(id, request, Now());
  if (is_order) {
    if (!request.body.empty()) {
      Note("order " + request.target + " to " + name + " " + request.body +
           " answered " + std::to_string(answer ? answer->status : 0));
    }
    target.server->Answer(id, *answer);
    return;
  }
  if (answer) {
    target.server->Answer(id, WithEcho(*answer, request));
    return;
  }
  Note("run " + attempt + " at " + name);
  if (target.target->options().keyed) {
    const auto key = request.Header(platform::kShardKey);
    OnBegan(name, static_cast<key_point>(
                      std::atoi(std::string{key.value_or("0")}.c_str())));
  }
}

bool small_deployment::WriteDeclarations() {
  std::ifstream file(paths_.declarations);
  std::stringstream text;
  text << file.rdbuf();
  json content = json::parse(text.str(), nullptr, false);
  if (!content.is_object()) {
    return false;
  }
  store_.Put(std::string{platform::kConfigKind},
             std::string{platform::kConfigName}, std::move(content));
  return true;
}

void small_deployment::WriteHeartbeats() {
  if (store_is_away_) {
    return;
  }
  const std::string kind{platform::kTargetKind};
  for (target_process& each : targets_) {
    const std::string& id = each.target->options().life.id;
    ++each.sequence;
    if (!each.is_cut_from_store) {
      each.silent_heartbeats = 0;
      store_.Put(kind, id, each.target->Entry(each.address, each.sequence));
    } else if (++each.silent_heartbeats == kHeartbeatsUntilRemoved) {
      Note("the store removes the entry of " + id);
      store_.Remove(kind, id);
    }
  }
}

void small_deployment::Turn() {
  const time_point now = Now();
  for (target_process& each : targets_) {
    const auto done = each.target->TakeDone(now);
    for (const auto& [id, answer] : done) {
      each.server->Answer(id, answer);
    }
  }
  if (store_is_away_) {
    return;
  }
  for (const auto& [id, answer] : store_.TakeDue(now)) {
    entry_process& host = hosts_[id % kMostHosts];
    if (!host.is_cut_from_store) {
      host.store->Answer(id / kMostHosts, answer);
    }
  }
}

void small_deployment::WatchOwners() {
  owners_ = RunEvery(kOwnerCheck, [this] { CheckOwners(); });
}

void small_deployment::CheckOwners() {
  const time_point now = Now();
  std::map<target_pair, std::pair<uint32_t, uint32_t>> shared;
  for (uint32_t key = 0; key <= kLastKey; ++key) {
    const std::string* holder = nullptr;
    for (const target_process& each : targets_) {
      if (!each.target->options().keyed ||
          !each.target->Holds(static_cast<key_point>(key), now)) {
        continue;
      }
      const std::string& name = each.target->options().life.id;
      if (holder != nullptr) {
        const auto added = shared.try_emplace({*holder, name}, key, key);
        added.first->second.second = key;
      }
      holder = &name;
    }
  }
  std::erase_if(overlaps_,
                [&](const auto& each) { return !shared.contains(each.first); });
  for (const auto& [pair, keys] : shared) {
    const auto [found, is_new] = overlaps_.try_emplace(pair);
    overlap& both = found->second;
    const std::string who = pair.first + " and " + pair.second +
                            " hold keys between " + std::to_string(keys.first) +
                            " and " + std::to_string(keys.second);
    if (is_new) {
      both.since = now;
      Note(who);
    }
    const bool is_long = now - both.since > kLongestOverlap;
    const bool both_began = both.first_began && both.second_began;
    if ((is_long || both_began) && !std::exchange(both.is_noted, true)) {
      owner_problem_ = who + (both_began ? ", and both began requests on them"
                                         : ", for over half a second");
      Note("OWNER: " + owner_problem_);
    }
  }
}

void small_deployment::OnBegan(const std::string& target, key_point key) {
  const time_point now = Now();
  for (auto& [pair, both] : overlaps_) {
    if (pair.first != target && pair.second != target) {
      continue;
    }
    bool both_hold = true;
    for (const target_process& each : targets_) {
      const std::string& name = each.target->options().life.id;
      const bool is_of_pair = name == pair.first || name == pair.second;
      both_hold = both_hold && (!is_of_pair || each.target->Holds(key, now));
    }
    if (both_hold) {
      Note(target + " begins a request on key " + std::to_string(key) +
           ", which " + pair.first + " and " + pair.second + " hold");
      (pair.first == target ? both.first_began : both.second_began) = true;
    }
  }
}

void small_deployment::StartLoad(int per_second) {
  load_ = RunEvery(duration{std::chrono::seconds{1}} / per_second, [this] {
    SendOne(true);
    SendOne(false);
  });
}

void small_deployment::SendOne(bool to_keyed_service) {
  std::vector<const entry_process*> running;
  for (const entry_process& host : hosts_) {
    if (host.pid != 0) {
      running.push_back(&host);
    }
  }
  if (running.empty()) {
    return;
  }
  const entry_process& host = *running[random_() % running.size()];
  const std::string id = "try-" + std::to_string(attempts_.size() + 1);
  const uint64_t key = random_() % (uint64_t{kLastKey} + 1);
  http_message request;
  request.method = to_keyed_service ? "GET" : "POST";
  request.target = "/" + id;
  request.body = to_keyed_service ? "" : "order " + id;
  request.headers = {
      {"Host", to_keyed_service ? "history.example" : "signing.example"},
      {std::string{platform::kAttemptId}, id},
      {std::string{platform::kDeadline}, std::to_string(kPatienceMs)},
      {std::string{platform::kShardKey}, std::to_string(key)}};
  attempts_[id] = {};
  Note("send " + id + " to " + host.name + " key " + std::to_string(key));
  pool_call call;
  call.address = host.callers;
  call.request = FormatRequest(request);
  callers_.Send(std::move(call), [this, id](const call_result& result) {
    attempt& ended = attempts_[id];
    ended.has_ended = true;
    ended.status = result.end == call_end::kAnswered ? result.answer.status : 0;
    served_ += ended.status == kHttpOk ? 1 : 0;
    Note("end " + id + " " + std::to_string(ended.status));
  });
}

}  // namespace foxtailspread::review
