#include "edge/edge_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <utility>

#include "foxtailspread/hash.h"
#include "net/log.h"
#include "platform/config_codec.h"
#include "platform/request_codec.h"
#include "platform/wire.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Targets write all the time, so their kind is fetched in batches. A leaving
/// target must get no work two seconds after it said so; the pause, the answer
/// and the loop stay well inside.
constexpr duration kTargetPace{milliseconds{650}};
/// For the same reason a watch of them that waits this long is no longer heard
/// by the store; a new one finds out.
constexpr duration kTargetWait{milliseconds{500}};

/// Validity of a grant of keys. A lost target's keys wait for its end; a lost
/// assigner must be followed within it.
constexpr duration kHold{seconds{3}};

/// How often this host tells the assigner of keys about its requests.
constexpr duration kReportEvery{milliseconds{250}};

/// A stall of the loop of this length can make requests late.
constexpr duration kLoggedStall{milliseconds{200}};

/// Longest sleep of the loop while something may be due.
constexpr duration kLongestSleep{seconds{1}};

/// A watch that waits on is not proof that nothing has changed: the store may
/// have stopped hearing it. Changes must be in force within two seconds, so a
/// watch of the declarations or of the owners of keys is renewed each second.
constexpr duration kConfigWait{milliseconds{1000}};

/// The holder writes the owners of keys many times a second while keys move,
/// and its own watch would come back for each; the others are told by datagram.
constexpr duration kOwnPace{milliseconds{400}};

/// A watch of evacuations is renewed for the same reason; they must be in force
/// within five seconds.
constexpr duration kEvacuationWait{milliseconds{1500}};
/// Heartbeats, which tell of evacuations, reach a new host by then.
constexpr duration kToldWithin{milliseconds{1500}};

/// Each target writes about once a second: a watch from an older revision
/// brings more than a list does, and takes tens of megabytes to read.
constexpr duration kTargetHistory{seconds{3}};

/// The most memory that the process has used, if the system tells.
std::optional<double> PeakMemoryBytes() {
  rusage used{};
  if (getrusage(RUSAGE_SELF, &used) != 0) {
    return std::nullopt;
  }
  constexpr double kKilobyte = 1024.0;  // The unit of ru_maxrss.
  return static_cast<double>(used.ru_maxrss) * kKilobyte;
}

/// A probe whose answer is late has failed; a full target answers it when it
/// has room.
constexpr duration kProbeTimeout{seconds{5}};
constexpr size_t kMaxProbeAnswer = 65536;

pool_settings ProbePoolSettings() {
  pool_settings made;
  made.call_timeout = kProbeTimeout;
  made.limits.max_body_bytes = kMaxProbeAnswer;
  return made;
}

/// Returns the size of a message's content, about that on the wire.
size_t SizeOf(const http_message& message) {
  size_t size = message.body.size();
  for (const http_header& header : message.headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

std::optional<std::string> ReadText(std::string_view /*name*/,
                                    const nlohmann::json& content) {
  return content.dump();
}

std::optional<evacuation_request> ReadEvacuation(
    std::string_view /*name*/, const nlohmann::json& /*content*/) {
  return evacuation_request{};
}

}  // namespace

std::optional<shared_config> edge_daemon::ReadConfig(
    std::string_view name, const nlohmann::json& content) {
  if (name != platform::kConfigName) {
    return std::nullopt;
  }
  auto config = platform::ReadConfig(content);
  if (!config) {
    const std::string problem = config.error().Message();
    LogEvent(event_id::kConfigRefused, {{"problem", problem}});
    return std::nullopt;
  }
  return shared_config{
      .table = route_table_ptr{new route_table(std::move(config.value()))},
      .content = content.dump()};
}

edge_daemon::edge_daemon(platform::edge_settings settings,
                         std::function<void()> on_done)
    : settings_(std::move(settings)),
      on_done_(std::move(on_done)),
      memory_(kDefaultMostBuffered),
      callers_(events_,
               {.on_request =
                    [this](exchange_id id, http_message request) {
                      OnRequest(id, std::move(request));
                    },
                .on_gone = [this](exchange_id id) { OnCallerGone(id); }},
               &memory_),
      readiness_(events_,
                 {.on_request =
                      [this](exchange_id id, const http_message& request) {
                        OnReadinessRequest(id, request);
                      },
                  .on_gone = [](exchange_id) {}}),
      relayed_(
          events_,
          {.on_request =
               [this](exchange_id id, http_message request) {
                 OnRelayedRequest(id, std::move(request));
               },
           .on_gone =
               [this](exchange_id id) { OnCallerGone(id | kRelayedExchange); }},
          &memory_),
      targets_pool_(events_,
                    WithSurplusEvents(platform::TargetPoolSettings(&memory_))),
      orders_pool_(events_, WithSurplusEvents(platform::OrderPoolSettings())),
      probes_pool_(events_, ProbePoolSettings()),
      relays_pool_(events_, {.memory = &memory_}),
      hosts_(events_, [this](std::string_view bytes) { OnDatagram(bytes); }),
      store_(events_, settings_.store, [this](uint64_t era) { OnEra(era); }),
      config_(
          store_, platform::kConfigKind, ReadConfig,
          {.watch_timeout = kConfigWait}, [this] { OnConfigChanged(); },
          [this] { OnStoreState(); }),
      targets_(
          store_, platform::kTargetKind, platform::ReadTarget,
          {.watch_timeout = kTargetWait,
           .min_watch_interval = kTargetPace,
           .stale_lists = true,
           .history_retention = kTargetHistory},
          [this] { OnTargetsChanged(); }, [this] { OnStoreState(); }),
      own_(
          store_, platform::kOwnKind, ReadText,
          {.watch_timeout = kConfigWait, .min_watch_interval = kOwnPace},
          [this] { OnOwnObjectsChanged(); }, [this] { OnStoreState(); }),
      evacuation_requests_(
          store_, platform::kEvacuationKind, ReadEvacuation,
          {.watch_timeout = kEvacuationWait, .pushed_by_peer = true}, [] {},
          [this] { OnEvacuationsRead(); }),
      router_({.zone = settings_.zone,
               .retries = settings_.retries,
               .drain_timeout = settings_.drain,
               .target_heartbeat = settings_.target_heartbeat,
               .seed = HashText(settings_.name),
               .placement = settings_.placement}),
      assigner_(
          {.host = settings_.name,
           .zone = settings_.zone,
           .address = settings_.hosts,
           .targets_keep_release_fences = platform::kTargetsKeepReleaseFences,
           .grant_ttl = std::min(settings_.max_hold, kHold),
           .link_mbps = settings_.link_mbps,
           .seed = HashText(settings_.name)}),
      stop_(settings_.stop_grace) {
  LimitMemory();
  LimitDescriptors();
}

pool_settings edge_daemon::WithSurplusEvents(pool_settings settings) {
  settings.on_surplus = [this](const surplus_answer& surplus) {
    metrics_.OnSurplusAnswer();
    LogEvent(event_id::kSurplusAnswer,
             {{"address", surplus.address},
              {"connection", static_cast<int64_t>(surplus.connection)},
              {"status", int64_t{surplus.status}},
              {"request", surplus.echo},
              {"awaited", surplus.awaited},
              {"idle", int64_t{surplus.is_idle ? 1 : 0}}});
  };
  return settings;
}

status edge_daemon::Listen() {
  // What listens already, since a former try, may have connections.
  const auto listen_once = [](auto& server, const std::string& address) {
    return server.port() != 0 ? OkStatus() : server.Listen(address);
  };
  if (status done = listen_once(readiness_, settings_.readiness); !done) {
    return done;
  }
  // Requests that other hosts hand over arrive over TCP at the port of the
  // datagrams. Any port is chosen for TCP first: no two hosts listen there.
  if (status done = listen_once(relayed_, settings_.hosts); !done) {
    return done;
  }
  if (status done = listen_once(hosts_, HostsAddress()); !done) {
    return done;
  }
  // Last: until all else listens, callers are better served by another host.
  return listen_once(callers_, settings_.callers);
}

std::string edge_daemon::HostsAddress() const {
  return settings_.hosts.substr(0, settings_.hosts.rfind(':') + 1) +
         std::to_string(relayed_.port());
}

status edge_daemon::Start() {
  if (status listening = Listen(); !listening) {
    return listening;
  }
  for (const std::string* address :
       {&settings_.callers, &settings_.readiness}) {
    LogEvent(event_id::kListening, {{"address", *address}});
  }
  settings_.hosts = HostsAddress();
  assigner_.SetAddress(settings_.hosts);
  LogEvent(
      event_id::kHostStarted,
      {{"zone", settings_.zone},
       {"store", settings_.store},
       {"target_heartbeat_ms", settings_.target_heartbeat / milliseconds{1}}});
  report_ = RunEvery(kReportEvery, [this] { ReportLoad(); });
  Step();
  return OkStatus();
}

void edge_daemon::Reload(const platform::edge_settings& settings) {
  // Addresses, names and bounds belong to a process's life.
  settings_.memory_mb = settings.memory_mb;
  settings_.max_descriptors = settings.max_descriptors;
  LimitMemory();
  LimitDescriptors();
  LogEvent(event_id::kSettingsReloaded, {{"host", settings.name}});
}

bool edge_daemon::IsReady() const {
  return !stop_.has_begun() && router_.table() != nullptr &&
         targets_.copy().complete();
}

void edge_daemon::OnReadinessRequest(exchange_id id,
                                     const http_message& request) {
  http_message answer;
  if (request.target == platform::kReadinessPath) {
    answer.status = IsReady() ? kHttpOk : kHttpUnavailable;
  } else if (request.target == "/metrics") {
    answer.status = kHttpOk;
    answer.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    answer.body = MetricsText();
  } else {
    answer.status = kHttpNotFound;
  }
  readiness_.Answer(id, answer);
}

void edge_daemon::OnRelayedRequest(exchange_id id, http_message request) {
  const auto attempts = platform::TakeRelayedAttempts(request);
  OnRequest(id | kRelayedExchange, std::move(request), attempts.value_or(1));
}

void edge_daemon::Answer(exchange_id id, http_message answer) {
  if ((id & kRelayedExchange) != 0) {
    relayed_.Answer(id & ~kRelayedExchange, std::move(answer));
  } else {
    callers_.Answer(id, std::move(answer));
  }
}

void edge_daemon::OnRequest(exchange_id id, http_message request,
                            std::optional<int> relayed_attempts) {
  const time_point now = Now();
  flight& added = flights_[id];
  added.request = std::move(request);
  router_actions actions;
  constexpr bool kHasWork = true;  // This request.
  if (stop_.Phase(now, kHasWork) >= stop_phase::kRefusing) {
    actions.emplace_back(local_reply_action{.id = id,
                                            .reply = local_reply::kNotRun,
                                            .reason = refusal_reason::kStopping,
                                            .retry_after = duration{0}});
  } else {
    incoming_request described = platform::Describe(id, added.request);
    described.relayed_attempts = relayed_attempts;
    router_.OnConfigDoubt(!config_trust_.IsNewest(
        ConfigVersion(), config_.copy().current_as_of(), now));
    router_.OnRequest(described, now, actions);
  }
  Carry(actions);
}

void edge_daemon::OnCallerGone(exchange_id id) {
  const auto found = flights_.find(id);
  if (found != flights_.end()) {
    const std::string attempt{platform::AttemptId(found->second.request)};
    LogEvent(event_id::kCallerGone,
             {{"request", attempt}, {"target", found->second.target.id}});
  }
  router_actions actions;
  router_.OnCallerGone(id, Now(), actions);
  Carry(actions);
  flights_.erase(id);
}

void edge_daemon::OnAttemptEnded(request_id id, call_result result) {
  const auto found = flights_.find(id);
  if (found == flights_.end()) {
    return;
  }
  flight& ended = found->second;
  ended.call.reset();
  ended.connection = result.connection;
  if (result.unsent_body) {
    ended.request.large_body = std::move(result.unsent_body);
  }
  const time_point now = Now();
  const attempt_verdict verdict = platform::Judge(result);
  attempt_report report{.id = id, .verdict = verdict};
  if (result.excess_bytes > 0) {
    LogEvent(event_id::kAnswerGivenUp,
             {{"request", platform::AttemptId(ended.request)},
              {"target", ended.target.id},
              {"bytes", static_cast<int64_t>(result.excess_bytes)}});
  }
  if (!result.malformed.empty()) {
    metrics_.OnMalformedAnswer();
    LogEvent(event_id::kAnswerMalformed,
             {{"request", platform::AttemptId(ended.request)},
              {"target", ended.target.id},
              {"problem", result.malformed}});
  }
  if (result.end == call_end::kAnswered) {
    traffic_.Count("answer", ended.service,
                   PeerZoneOf(ended.zone, settings_.zone),
                   SizeOf(result.answer));
    report.load = platform::ReadLoad(result.answer);
    report.limit = platform::ReadLimit(result.answer);
    report.leaving = platform::ReadLeaving(result.answer);
    report.backoff = platform::ReadBackoff(result.answer);
  }
  if (verdict == attempt_verdict::kServed ||
      verdict == attempt_verdict::kFailed) {
    ended.answer = std::move(result.answer);
  }
  if (report.load) {
    ShareLoadsSoon();
  }
  router_actions actions;
  router_.OnAttemptEnded(report, now, actions);
  Carry(actions);
  ShareCrashesSoon();
}

void edge_daemon::Carry(router_actions& actions) {
  for (const router_action& action : actions) {
    std::visit([this](const auto& each) { CarryOne(each); }, action);
  }
  LogCrashes();
  if (router_.HasLoadNews()) {
    ShareLoadsSoon();
  }
  LogMemory();
  Arm();
}

void edge_daemon::LogCrashes() {
  using kind = crash_note::kind;
  for (const crash_note& note : router_.crashes().TakeNotes()) {
    event_id event = event_id::kCrashSuspected;
    switch (note.note_kind) {
      case kind::kSuspected:
        break;
      case kind::kCounted:
        event = event_id::kCrashCounted;
        break;
      case kind::kSurvived:
        event = event_id::kTargetSurvived;
        break;
      case kind::kRefused:
        event = event_id::kContentRefused;
        break;
      case kind::kCleared:
        event = event_id::kContentCleared;
        break;
    }
    LogEvent(event, {{"content", std::to_string(note.content_hash)},
                     {"target", note.target},
                     {"crashes", int64_t{note.crashes}}});
  }
}

void edge_daemon::CarryOne(const send_action& action) {
  const auto found = flights_.find(action.id);
  if (found == flights_.end()) {
    return;
  }
  SendToTarget(found->second, action);
}

void edge_daemon::CarryOne(const local_reply_action& action) {
  const auto found = flights_.find(action.id);
  if (found == flights_.end()) {
    return;
  }
  metrics_.OnRefused(action.summary, action.reason);
  const std::string attempt{platform::AttemptId(found->second.request)};
  LogEvent(event_id::kRequestRefused,
           {{"request", attempt},
            {"reason", ToString(action.reason)},
            {"service", action.summary.service},
            {"attempts", int64_t{action.summary.attempts}},
            {"age_ms", action.summary.age.count() / 1000},
            {"target", found->second.target.id},
            {"connection", static_cast<int64_t>(found->second.connection)},
            {"key", action.key ? int64_t{*action.key} : int64_t{-1}},
            {"config", static_cast<int64_t>(action.config_version)}});
  local_reply_action said = action;
  if (action.not_run_if_unwritten && found->second.unwritten) {
    said.reply = local_reply::kNotRun;
  } else if (action.not_run_if_unwritten) {
    said.retry_after.reset();
  }
  http_message answer = platform::OwnAnswer(said);
  if ((action.id & kRelayedExchange) != 0 &&
      action.reason == refusal_reason::kStopping) {
    platform::MarkStopping(answer);
  }
  Answer(action.id, std::move(answer));
  flights_.erase(found);
}

void edge_daemon::CarryOne(const deliver_action& action) {
  const auto found = flights_.find(action.id);
  if (found == flights_.end()) {
    return;
  }
  metrics_.OnDelivered(action.summary);
  flight done = std::move(found->second);
  flights_.erase(found);
  if (done.answer) {
    const bool head = done.request.method == "HEAD";
    // What the other host says of its own attempts holds for all of them only
    // if there was none before.
    const bool is_from_host = done.is_relayed && !done.may_have_run;
    Answer(action.id, is_from_host
                          ? platform::FromHost(std::move(*done.answer), head)
                          : platform::ToCaller(std::move(*done.answer), head));
  }
}

void edge_daemon::CarryOne(const cancel_action& action) {
  const auto found = flights_.find(action.id);
  if (found != flights_.end() && found->second.call) {
    connection_pool& pool =
        found->second.is_relayed ? relays_pool_ : targets_pool_;
    found->second.unwritten = !pool.HasWritten(*found->second.call);
    pool.Cancel(*found->second.call);
    found->second.call.reset();
  }
}

void edge_daemon::CarryOne(const limit_change_action& action) {
  const limit_notice& notice = action.notice;
  event_id event = event_id::kTargetLimitEnded;
  if (!notice.is_readable) {
    event = event_id::kTargetLimitUnreadable;
  } else if (notice.per_second) {
    event = event_id::kTargetLimited;
  }
  LogEvent(event, {{"service", action.service},
                   {"target", action.target.id},
                   {"per_second", notice.per_second.value_or(0.0)}});
  if (!notice.is_readable) {
    return;
  }
  OnStatementChanged(action.target, action.is_own_answer);
}

void edge_daemon::CarryOne(const leaving_action& action) {
  LogEvent(event_id::kTargetLeaving,
           {{"service", action.service}, {"target", action.target.id}});
  OnStatementChanged(action.target, action.is_own_answer);
}

void edge_daemon::CarryOne(const backoff_action& action) {
  const duration backoff = action.notice.time.value_or(duration{0});
  LogEvent(action.notice.is_readable ? event_id::kTargetBackoff
                                     : event_id::kTargetBackoffUnreadable,
           {{"service", action.service},
            {"target", action.target.id},
            {"backoff_ms", backoff.count() / 1000}});
}

void edge_daemon::CarryOne(const reach_change_action& action) {
  const bool any = action.paths != target_paths::kNone;
  LogEvent(any ? event_id::kTargetsReachable : event_id::kTargetsUnreachable,
           {{"reaches", action.paths == target_paths::kAll ? "all"
                        : any                              ? "some"
                                                           : "none"}});
  assigner_.OnTargetPaths(action.paths);
  ReportLoad();
}

void edge_daemon::CarryOne(const relay_action& action) {
  const auto found = flights_.find(action.id);
  if (found == flights_.end()) {
    return;
  }
  const std::string attempt{platform::AttemptId(found->second.request)};
  LogEvent(event_id::kRequestRelayed,
           {{"request", attempt}, {"address", action.address}});
  found->second.is_relayed = true;
  found->second.may_have_run = action.may_have_run;
  found->second.call =
      relays_pool_.Send(platform::ToHost(found->second.request, action),
                        [this, id = action.id](call_result result) {
                          OnRelayEnded(id, std::move(result));
                        });
}

void edge_daemon::OnRelayEnded(request_id id, call_result result) {
  const auto found = flights_.find(id);
  if (found == flights_.end()) {
    return;
  }
  found->second.call.reset();
  const relay_end end = platform::RelayEndOf(result);
  if (end == relay_end::kAnswered) {
    found->second.answer = std::move(result.answer);
  }
  router_actions actions;
  router_.OnRelayEnded(id, end, Now(), actions);
  Carry(actions);
}

void edge_daemon::CarryOne(const probe_action& action) {
  pool_call call;
  call.address = action.address;
  call.request = FormatRequest(
      {.method = "GET",
       .target = action.path,
       .headers = {{"Host", action.address}, {"Connection", "close"}}});
  probes_pool_.Send(std::move(call), [this, target = action.target](
                                         const call_result& result) {
    router_actions actions;
    router_.OnProbeEnded(target, result.end == call_end::kAnswered, Now(),
                         actions);
    Carry(actions);
  });
}

void edge_daemon::Step() {
  const time_point now = Now();
  if (armed_for_ != time_point::max()) {
    const duration lag = std::max(now - armed_for_, duration{0});
    metrics_.OnLoopLag(lag);
    if (lag >= kLoggedStall) {
      LogEvent(event_id::kLoopStalled, {{"lag_ms", lag.count() / 1000}});
    }
  }
  armed_for_ = time_point::max();
  LogDescriptors(now);
  config_.Step(now);
  if (ReadsTargets()) {
    targets_.Step(now);
  }
  own_.Step(now);
  if (ReadsEvacuations(now)) {
    evacuation_requests_.Step(now);
  }
  router_actions actions;
  router_.OnTime(now, actions);
  Carry(actions);
  assigner_actions orders;
  assigner_.OnTime(now, orders);
  Carry(orders);
  Arm();
}

void edge_daemon::Arm() {
  const time_point now = Now();
  const time_point targets_due =
      ReadsTargets() ? targets_.NextDue() : time_point::max();
  const time_point evacuations_due = ReadsEvacuations(now)
                                         ? evacuation_requests_.NextDue()
                                         : time_point::max();
  const time_point due = std::min(
      {router_.NextDue(), assigner_.NextDue(now), config_.NextDue(),
       targets_due, own_.NextDue(), evacuations_due, now + kLongestSleep});
  // An earlier wake-up than needed finds nothing due and arms again; arming
  // anew for each event would cost more.
  if (due < armed_for_) {
    armed_for_ = due;
    step_ = RunAfter(std::max(due - now, duration{0}), [this] { Step(); });
  }
}

bool edge_daemon::ReadsEvacuations(time_point now) const {
  return router_.table() != nullptr &&
         (assigner_.IsHolder(now) || now >= configured_at_ + kToldWithin);
}

std::string edge_daemon::MetricsText() {
  const time_point now = Now();
  std::string text = metrics_.Text() + traffic_.Text() + store_.TrafficText();
  const auto line = [&](std::string_view name, double value) {
    AppendMetric(text, name, "", value);
  };
  const auto age = [&](std::string_view name, const auto& follower) {
    line(name,
         std::chrono::duration<double>(now - follower.copy().current_as_of())
             .count());
  };
  const router_counts& counts = router_.counts();
  line("requests_total", static_cast<double>(counts.requests));
  line("repeats_total", static_cast<double>(counts.retries));
  line("limited_sends_total", static_cast<double>(counts.limited_sends));
  line("relayed_total", static_cast<double>(counts.relayed));
  line("requests_pending", static_cast<double>(router_.pending()));
  line("log_lines_lost_total", static_cast<double>(LostLogLines()));
  for (const service_gauges& each : router_.Gauges(now)) {
    const std::string labels = MetricLabel("service", each.service);
    AppendMetric(text, "requests_waiting", labels,
                 static_cast<double>(each.waiting_requests));
    AppendMetric(text, "targets_usable", labels,
                 static_cast<double>(each.usable_targets));
    AppendMetric(text, "targets_cold", labels,
                 static_cast<double>(each.cold_targets));
    AppendMetric(text, "targets_limited", labels,
                 static_cast<double>(each.limited_targets));
    AppendMetric(text, "targets_leaving", labels,
                 static_cast<double>(each.leaving_targets));
    AppendMetric(text, "targets_backoff", labels,
                 static_cast<double>(each.backoff_targets));
    AppendMetric(text, "targets_load_known", labels,
                 static_cast<double>(each.known_loads));
    AppendMetric(text, "targets_occupied", labels, each.occupied);
    AppendMetric(text, "keys_throttled", labels,
                 static_cast<double>(each.throttled_keys));
    AppendMetric(text, "requests_in_flight", labels,
                 static_cast<double>(each.in_flight));
    AppendMetric(text, "repeats_left", labels, each.retries_left);
    AppendZoneSends(text, labels, each.zone_sends);
  }
  line("contents_refused",
       static_cast<double>(router_.crashes().QuarantinedCount(now)));
  line("targets_unreachable",
       router_.paths() == target_paths::kNone ? 1.0 : 0.0);
  line("zones_evacuated", static_cast<double>(evacuations_.zones().size()));
  line("store_calls_total", static_cast<double>(store_.calls()));
  line("target_connections_total",
       static_cast<double>(targets_pool_.connections_made()));
  line("callers_connections", static_cast<double>(callers_.connections()));
  line("callers_buffered_bytes", static_cast<double>(callers_.buffered()));
  AppendUnansweredMetrics(text);
  AppendMemoryMetrics(text);
  AppendDescriptorMetrics(text);
  line("hosts_telling_loads", static_cast<double>(loads_.reporting_hosts()));
  line("hosts_known", static_cast<double>(assigner_.HostCount()));
  line("assigner_lease_held", assigner_.IsHolder(now) ? 1.0 : 0.0);
  line("config_version",
       router_.table() == nullptr
           ? 0.0
           : static_cast<double>(router_.table()->config().version));
  age("config_age_seconds", config_);
  age("targets_age_seconds", targets_);
  age("owners_age_seconds", own_);
  if (const auto peak = PeakMemoryBytes()) {
    line("memory_peak_bytes", *peak);
  }
  return text;
}

}  // namespace foxtailspread
