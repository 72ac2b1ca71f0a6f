// The platform around the entry hosts of one case, on loopback: the store, the
// servers, the ingress and the clients. Commands come on standard input, one a
// line; `end RULE` judges and ends with 1 if the rule was broken, else 0.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "net/caller_server.h"
#include "net/connection_pool.h"
#include "net/http_types.h"
#include "net/loop.h"
#include "platform/config_codec.h"
#include "platform/stand_in/platform_store.h"
#include "platform/store_codec.h"
#include "platform/wire.h"
#include "review_target.h"

namespace foxtailspread::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCouldNotRun = 2;

/// An entry of a server lapses after so many heartbeats of silence.
constexpr int kHeartbeatsUntilLapse = 3;
/// Two servers may hold the same keys for so long at most.
constexpr duration kMostShared{milliseconds{500}};
constexpr duration kOwnerSample{milliseconds{50}};

/// Stands in a foreign entry for bytes that cannot be read. Nobody can put
/// them into a JSON value, so that they are set into the store's answers.
constexpr std::string_view kUnreadableMark = "@unreadable@";

struct edge {
  std::string name;
  std::string zone;
  std::string front;
  std::string readiness;
  int misses = 2;  ///< Not in rotation before its first 200.
};

struct service {
  std::string name;
  bool keyed = false;
  bool is_unsafe = false;
  bool sends_keys = false;
  std::string method;
  std::string prefix;
  duration work{};
  size_t queue = 0;
  std::vector<double> speeds;
  int64_t patience_ms = 0;
  double rate = 0.0;
  double owed = 0.0;
};

struct phase_counts {
  size_t sent = 0;
  size_t served = 0;
  size_t refused = 0;
  size_t failed = 0;
};

void Replace(std::string& text, std::string_view from, std::string_view to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

uint64_t UnixMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// A client that sends a HEAD request and behind it a GET request, and reads
/// strictly what comes: an answer to HEAD has no body.
class head_client {
 public:
  head_client(poller& events, const std::string& to,
              const std::string& requests,
              std::function<void(std::string)> on_ended)
      : stream_(events, HandlerFor<&head_client::OnReady>(this)),
        on_ended_(std::move(on_ended)) {
    const auto address = ParseAddress(to);
    if (address && stream_.Connect(address.value())) {
      stream_.Write(requests);
    }
    limit_ = RunAfter(std::chrono::seconds{6}, [this] { End(); });
  }

 private:
  void OnReady(uint32_t events) {
    if (!stream_.OnWritable(events)) {
      End();
      return;
    }
    const read_result read = stream_.Read();
    if (read.end == read_end::kData) {
      got_.append(read.bytes);
    } else if (read.end != read_end::kNothing) {
      End();
    }
  }
  void End() {
    stream_.Close();
    if (on_ended_) {
      std::exchange(on_ended_, nullptr)(got_);
    }
  }

  tcp_stream stream_;
  std::string got_;
  std::function<void(std::string)> on_ended_;
  timer limit_;
};

class world {
 public:
  world(event_loop& loop, const json& deployment, const std::string& path)
      : loop_(loop),
        log_(path),
        seen_(log_),
        deployment_(deployment),
        store_server_(
            events_,
            {.on_request =
                 [this](exchange_id id, http_message request) {
                   OnStoreRequest(id, std::move(request));
                 },
             .on_gone = [this](exchange_id id) { store_.Forget(id); }}),
        clients_(events_, {}),
        checks_(events_, {}) {}

  bool Start(const std::string& store_address) {
    if (!store_server_.Listen(store_address)) {
      return false;
    }
    for (const json& each : deployment_["services"]) {
      service& added = services_.emplace_back();
      added.name = each["name"];
      added.keyed = each["keyed"];
      added.is_unsafe = each["unsafe"];
      added.sends_keys = each.value("sends_keys", added.keyed);
      added.method = each["method"];
      added.work = milliseconds{each["work_ms"].get<int>()};
      added.patience_ms = each["patience_ms"];
      added.queue = each["queue"];
      added.speeds = each["speeds"].get<std::vector<double>>();
      for (const json& listener : deployment_["config"]["listeners"]) {
        if (listener["host"] == added.name + ".example") {
          added.prefix =
              listener["rules"][0]["match"].begin()->get<std::string>();
        }
      }
      for (size_t i = 0; i < each["targets"].get<size_t>(); ++i) {
        AddServer(added, i);
      }
    }
    seen_.is_at_work = [this](const std::string& taker, key_point first,
                              key_point last) {
      return std::ranges::any_of(servers_, [&](const auto& each) {
        return each && each->options().keyed && each->options().id != taker &&
               each->IsAtWork(first, last, Now());
      });
    };
    store_.Put("config", "main", deployment_["config"]);
    Heartbeat();
    turn_ = RunEvery(milliseconds{2}, [this] { Turn(); });
    heartbeat_ = RunEvery(milliseconds{deployment_["heartbeat_ms"].get<int>()},
                          [this] { Heartbeat(); });
    ingress_ = RunEvery(std::chrono::seconds{1}, [this] { AskReadiness(); });
    owners_ = RunEvery(kOwnerSample, [this] { CheckOwners(); });
    send_ = RunEvery(milliseconds{10}, [this] { SendSome(); });
    input_ =
        RunOnDescriptor(STDIN_FILENO, POLLIN | POLLHUP, [this] { OnInput(); });
    return true;
  }

  int result() const { return result_; }

 private:
  void AddServer(const service& of, size_t index) {
    const auto& zones = deployment_["zones"];
    auto made = std::make_unique<review_target>(
        events_,
        server_options{
            .id = "i-" + of.name + "-" + std::to_string(index),
            .born = UnixMs(),
            .service = of.name,
            .zone = zones[index % zones.size()],
            .keyed = of.keyed,
            .queue = of.queue,
            .work = Part(of.work, 1.0 / of.speeds[index % of.speeds.size()])},
        seen_);
    if (made->Listen("127.0.0.1:0")) {
      servers_.push_back(std::move(made));
    }
  }

  void OnStoreRequest(exchange_id id, http_message request) {
    if (request.large_body) {
      request.body = request.Body();
      request.large_body.reset();
    }
    if (auto answer = store_.Handle(id, request, Now())) {
      AnswerFromStore(id, std::move(*answer));
    }
  }

  void AnswerFromStore(exchange_id id, http_message answer) {
    Replace(answer.body, kUnreadableMark, unreadable_);
    store_server_.Answer(id, std::move(answer));
  }

  void Turn() {
    const time_point now = Now();
    for (const auto& each : servers_) {
      if (each) {
        each->Turn(now);
      }
    }
    for (auto& [id, answer] : store_.TakeDue(now)) {
      AnswerFromStore(id, std::move(answer));
    }
  }

  /// All live servers, and the writer of the foreign entry, report.
  void Heartbeat() {
    ++sequence_;
    for (const auto& each : servers_) {
      if (each && !store_.down) {
        json entry = each->Entry(sequence_);
        entry.update(deployment_["entry"]);
        store_.Put("servers", each->options().id, entry);
        silent_.erase(each->options().id);
      }
    }
    for (auto& [id, beats] : silent_) {
      if (++beats == kHeartbeatsUntilLapse) {
        store_.Remove("servers", id);
      }
    }
    if (foreign_) {
      json entry = servers_.front()->Entry(sequence_);
      entry.update(deployment_["entry"]);
      entry["address"] = "127.0.0.1:9";
      entry["zone"] = "x" + std::string{kUnreadableMark};
      store_.Put("servers", "i-foreign", entry);
    }
  }

  void AskReadiness() {
    for (edge& each : edges_) {
      pool_call call;
      call.address = each.readiness;
      call.request = FormatRequest(
          {.method = "GET",
           .target = std::string{platform::kReadinessPath},
           .headers = {{"Host", each.readiness}, {"Connection", "close"}}});
      checks_.Send(std::move(call), [&each](const call_result& result) {
        const bool ready = result.end == call_end::kAnswered &&
                           result.answer.status == kHttpOk;
        each.misses = ready ? 0 : each.misses + 1;
      });
    }
  }

  /// The ingress: a ready node of the client's zone; all of the zone's if fewer
  /// than half are ready; those of other zones if none is and others are.
  const edge* Pick(const std::string& zone) {
    std::vector<const edge*> all;
    std::vector<const edge*> ready;
    std::vector<const edge*> elsewhere;
    for (const edge& each : edges_) {
      const bool is_ready = each.misses < 2;
      if (each.zone == zone) {
        all.push_back(&each);
      }
      if (is_ready) {
        (each.zone == zone ? ready : elsewhere).push_back(&each);
      }
    }
    const auto& from = ready.empty() && !elsewhere.empty() ? elsewhere
                       : ready.size() * 2 < all.size()     ? all
                                                           : ready;
    return from.empty() ? nullptr : from[seen_.random() % from.size()];
  }

  http_message Request(const service& to, const std::string& method) {
    const std::string attempt = "a" + std::to_string(++attempts_);
    http_message request;
    request.method = method;
    request.target = to.prefix + attempt;
    request.headers = {
        {"Host", to.name + ".example"},
        {std::string{platform::kAttemptId}, attempt},
        {std::string{platform::kDeadline}, std::to_string(to.patience_ms)}};
    if (to.sends_keys) {
      request.headers.push_back(
          {std::string{platform::kShardKey}, std::to_string(DrawKey())});
    }
    if (to.is_unsafe) {
      request.body = "order " + attempt;
    }
    return request;
  }

  /// A part of the requests is about keys that are close to one another.
  uint64_t DrawKey() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    return share(seen_.random) < hot_share_
               ? hot_first_ + seen_.random() % hot_count_
               : seen_.random() % (uint64_t{kLastKey} + 1);
  }

  void SendSome() {
    for (service& each : services_) {
      for (each.owed += each.rate / 100.0; each.owed >= 1.0; each.owed -= 1.0) {
        SendOne(each);
      }
    }
  }

  void SendOne(const service& to) {
    const auto& zones = deployment_["zones"];
    const edge* host = Pick(zones[seen_.random() % zones.size()]);
    if (host == nullptr) {
      return;
    }
    const http_message request = Request(to, to.method);
    const std::string attempt = "a" + std::to_string(attempts_);
    log_.Line("sent " + attempt + " " + request.method + " to " + to.name +
              " through " + host->name);
    pool_call call;
    call.address = host->front;
    call.request = FormatRequest(request);
    phase_counts& counts = phases_[phase_];
    ++counts.sent;
    clients_.Send(std::move(call), [this, attempt, &to,
                                    &counts](const call_result& result) {
      const bool answered = result.end == call_end::kAnswered;
      const int status = answered ? result.answer.status : 0;
      log_.Line("answer " + attempt + " " +
                (answered ? std::to_string(status) : "none"));
      counts.served += status == kHttpOk ? 1 : 0;
      counts.refused += status == kHttpUnavailable ? 1 : 0;
      counts.failed += status != kHttpOk && status != kHttpUnavailable ? 1 : 0;
      const bool promise = status == kHttpUnavailable ||
                           status == kHttpTooManyRequests || status == 408 ||
                           status == platform::kMisdirectedStatus;
      if (to.is_unsafe) {
        (promise ? told_not_run_ : unsafe_).push_back(attempt);
      }
    });
  }

  void SendHead(const service& to, const service& then) {
    const edge& host = edges_[heads_ % edges_.size()];
    ++heads_;
    const std::string requests = FormatRequest(Request(to, "HEAD")) +
                                 FormatRequest(Request(then, "GET"));
    log_.Line("sent HEAD to " + to.name + " and behind it GET to " + then.name +
              " through " + host.name);
    head_clients_.push_back(std::make_unique<head_client>(
        events_, host.front, requests,
        [this](const std::string& got) { OnHeadAnswered(got); }));
  }

  /// An answer to HEAD ends with its head; the next bytes must begin the answer
  /// to the request behind it.
  void OnHeadAnswered(const std::string& got) {
    ++heads_ended_;
    std::string shown = got;
    Replace(shown, "\r\n", " | ");
    log_.Line("bytes: " + shown);
    const size_t head_end = got.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return;
    }
    const std::string rest = got.substr(head_end + 4);
    if (!rest.empty() && !rest.starts_with("HTTP/1.1 ")) {
      ++mixed_;
      log_.Line("broken: bytes that are no answer: " +
                rest.substr(0, rest.find("HTTP/1.1")));
    }
  }

  void CheckOwners() {
    const time_point now = Now();
    for (const service& each : services_) {
      if (!each.keyed) {
        continue;
      }
      std::vector<const review_target*> owners_of;
      for (const auto& server : servers_) {
        if (server && server->options().service == each.name) {
          owners_of.push_back(server.get());
        }
      }
      auto& since = shared_since_[each.name];
      since.resize(size_t{kLastKey} + 1);
      for (size_t key = 0; key <= kLastKey; ++key) {
        const auto owners =
            std::ranges::count_if(owners_of, [&](const review_target* server) {
              return server->Holds(key, now);
            });
        if (owners < 2) {
          since[key] = {};
        } else if (since[key] == time_point{}) {
          since[key] = now;
        } else if (now - since[key] > kMostShared) {
          since[key] = now;
          const std::string fault = "key " + std::to_string(key) + " had " +
                                    std::to_string(owners) +
                                    " owners for over half a second";
          log_.Line("broken: " + fault);
          seen_.owner_faults.push_back(fault);
        }
      }
    }
  }

  void OnInput() {
    std::array<char, 4096> buffer{};
    const ssize_t got = read(STDIN_FILENO, buffer.data(), buffer.size());
    if (got <= 0) {
      result_ = kExitCouldNotRun;
      input_.Cancel();
      loop_.Stop();
      return;
    }
    typed_.append(buffer.data(), static_cast<size_t>(got));
    for (size_t end = typed_.find('\n'); end != std::string::npos;
         end = typed_.find('\n')) {
      const std::string line = typed_.substr(0, end);
      typed_.erase(0, end + 1);
      Carry(line);
    }
  }

  service* Find(const std::string& name) {
    const auto found = std::ranges::find(services_, name, &service::name);
    return found == services_.end() ? nullptr : &*found;
  }

  void Carry(const std::string& line) {
    log_.Line("# " + line);
    std::istringstream words(line);
    std::string verb;
    std::string name;
    words >> verb;
    if (verb == "edge") {
      edge& added = edges_.emplace_back();
      words >> added.name >> added.zone >> added.front >> added.readiness;
    } else if (verb == "load") {
      double rate = 0.0;
      words >> name >> rate;
      for (service& each : services_) {
        each.rate = name == "all" || name == each.name ? rate : each.rate;
      }
    } else if (verb == "phase") {
      words >> phase_;
    } else if (verb == "extra") {
      double servers = 0.0;
      double answers = 0.0;
      words >> name >> servers >> answers;
      SendExtra(name, servers, answers);
    } else if (verb == "grey") {
      double answers = 0.0;
      words >> name >> answers;
      for (const auto& each : servers_) {
        if (each && each->options().service == name) {
          each->RejectSome(answers);
        }
      }
    } else if (verb == "reject-without-id") {
      for (const auto& each : servers_) {
        each->RejectWithoutId();
      }
    } else if (verb == "hot") {
      words >> hot_share_ >> hot_first_ >> hot_count_;
    } else if (verb == "foreign") {
      words >> unreadable_;
      foreign_ = true;
      Heartbeat();
    } else if (verb == "crash") {
      words >> name;
      for (auto& each : servers_) {
        if (each && each->options().service == name) {
          silent_[each->options().id] = 0;
          each.reset();
        }
      }
    } else if (verb == "head") {
      std::string then;
      words >> name >> then;
      SendHead(*Find(name), *Find(then));
    } else if (verb == "copy") {
      store_.Copy();
    } else if (verb == "return") {
      store_.ReturnToCopy();
      Heartbeat();
    } else if (verb == "down") {
      words >> store_.down;
    } else if (verb == "end") {
      words >> name;
      Judge(name);
    }
  }

  void SendExtra(const std::string& of, double servers, double answers) {
    std::vector<review_target*> chosen;
    for (const auto& each : servers_) {
      if (each && each->options().service == of) {
        each->SendExtra(0.0);
        chosen.push_back(each.get());
      }
    }
    std::shuffle(chosen.begin(), chosen.end(), seen_.random);
    chosen.resize(
        static_cast<size_t>(static_cast<double>(chosen.size()) * servers));
    for (review_target* each : chosen) {
      each->SendExtra(answers);
    }
  }

  double ServedShare(const std::string& phase) {
    const phase_counts& counts = phases_[phase];
    return counts.sent == 0 ? 0.0
                            : static_cast<double>(counts.served) /
                                  static_cast<double>(counts.sent);
  }

  void Judge(const std::string& rule) {
    for (const auto& [name, counts] : phases_) {
      Say("phase " + name + ": sent " + std::to_string(counts.sent) +
          ", served " + std::to_string(counts.served) + ", refused " +
          std::to_string(counts.refused) + ", failed " +
          std::to_string(counts.failed));
    }
    size_t twice = 0;
    size_t denied = 0;
    for (const auto* list : {&unsafe_, &told_not_run_}) {
      for (const std::string& attempt : *list) {
        const auto found = seen_.runs.find(attempt);
        const int runs = found == seen_.runs.end() ? 0 : found->second;
        twice += runs > 1 ? 1 : 0;
        const bool is_denied = list == &told_not_run_ && runs > 0;
        denied += is_denied ? 1 : 0;
        if (runs > 1 || is_denied) {
          Say("broken: " + attempt + " ran " + std::to_string(runs) + " times" +
              (is_denied ? ", and its client was told not" : ""));
        }
      }
    }
    uint64_t extras = 0;
    for (const auto& each : servers_) {
      extras += each ? each->extras() : 0;
    }
    Say("unsafe requests that ran twice: " + std::to_string(twice));
    Say("unsafe requests that ran and were refused: " + std::to_string(denied));
    Say("extra answers that servers sent: " + std::to_string(extras));
    Say("HEAD requests: " + std::to_string(heads_) + ", ended " +
        std::to_string(heads_ended_) +
        ", followed by bytes of no answer: " + std::to_string(mixed_));
    for (const std::string& fault : seen_.owner_faults) {
      Say("owner: " + fault);
    }
    bool broken = false;
    bool could_run = true;
    if (rule == "REFUSED") {
      broken = denied > 0;
      could_run = ServedShare("before") >= 0.25;
    } else if (rule == "RECOVER") {
      could_run = ServedShare("before") >= 0.25;
      broken = ServedShare("after") < 0.25;
    } else if (rule == "MIXED") {
      broken = mixed_ > 0;
      could_run = heads_ended_ > 0;
    } else if (rule == "OWNER") {
      broken = !seen_.owner_faults.empty();
      could_run = ServedShare(phase_) >= 0.25;
    } else {
      could_run = false;
    }
    result_ = !could_run ? kExitCouldNotRun : broken ? kExitBroken : kExitHeld;
    Say(!could_run ? "could not run"
        : broken   ? rule + " broken"
                   : rule + " held");
    loop_.Stop();
  }

  void Say(const std::string& text) {
    log_.Line(text);
    std::cout << text << std::endl;
  }

  event_loop& loop_;
  poller events_;
  record log_;
  ledger seen_;
  json deployment_;
  stand_in::platform_store store_;
  caller_server store_server_;
  connection_pool clients_;
  connection_pool checks_;
  std::deque<edge> edges_;
  std::deque<service> services_;
  std::vector<std::unique_ptr<review_target>> servers_;
  std::map<std::string, int> silent_;
  std::map<std::string, phase_counts> phases_;
  std::string phase_ = "start";
  std::vector<std::string> unsafe_;
  std::vector<std::string> told_not_run_;
  std::map<std::string, std::vector<time_point>> shared_since_;
  std::vector<std::unique_ptr<head_client>> head_clients_;
  size_t heads_ = 0;
  size_t heads_ended_ = 0;
  size_t mixed_ = 0;
  uint64_t attempts_ = 0;
  uint64_t sequence_ = 0;
  double hot_share_ = 0.0;
  uint64_t hot_first_ = 0;
  uint64_t hot_count_ = 1;
  bool foreign_ = false;
  std::string unreadable_;
  std::string typed_;
  int result_ = kExitCouldNotRun;
  timer turn_;
  timer heartbeat_;
  timer ingress_;
  timer owners_;
  timer send_;
  timer input_;
};

/// Prints free ports of the loopback address, below those that the system gives
/// to sockets that ask for any.
int PrintPorts(int count) {
  constexpr int kFirst = 18000;
  constexpr int kLast = 31000;
  std::random_device seed;
  int port = std::uniform_int_distribution<int>(kFirst, kLast)(seed);
  for (int tries = 0; count > 0; ++tries) {
    port = port >= kLast ? kFirst : port + 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (fd < 0 || tries > kLast - kFirst) {
      return kExitCouldNotRun;
    }
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
      std::cout << port << '\n';
      --count;
    }
    close(fd);
  }
  return kExitHeld;
}

int Run(const std::vector<std::string>& words) {
  if (words.size() == 2 && words[0] == "ports") {
    return PrintPorts(std::atoi(words[1].c_str()));
  }
  if (words.size() != 3) {
    std::cerr << "usage: review-world ports COUNT\n"
                 "       review-world STORE DEPLOYMENT RECORD\n";
    return kExitCouldNotRun;
  }
  std::ifstream file(words[1]);
  const json deployment = json::parse(file, nullptr, false);
  if (!deployment.is_object()) {
    std::cerr << "cannot read " << words[1] << '\n';
    return kExitCouldNotRun;
  }
  event_loop loop;
  world around(loop, deployment, words[2]);
  if (!around.Start(words[0])) {
    std::cerr << "cannot listen at " << words[0] << '\n';
    return kExitCouldNotRun;
  }
  loop.Run();
  return around.result();
}

}  // namespace
}  // namespace foxtailspread::review

int main(int argc, char** argv) {
  return foxtailspread::review::Run({argv + 1, argv + argc});
}
