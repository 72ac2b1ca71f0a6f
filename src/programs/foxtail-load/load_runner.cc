#include "load_runner.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailspread {
namespace {

constexpr duration kTick{std::chrono::milliseconds{1}};
constexpr int kConnectionsPerHost = 2000;
// libsoup goes over all waiting calls and all connections of a session at each
// event. With some thousands of both in one session the tool does nothing
// else (seen: 2,400 calls in flight kept it busy for over a minute), so calls
// are spread over many sessions.
constexpr size_t kClients = 64;
constexpr size_t kKeptActions = 16;
// A request told `not run` that starts all the same does so a little later;
// logs read at once would not show it.
constexpr duration kSettle{std::chrono::seconds{1}};
constexpr duration kLogTimeout{std::chrono::seconds{30}};
constexpr size_t kMaxLogBytes = size_t{256} << 20;
constexpr int64_t kMicrosecondsPerMillisecond = 1000;

int64_t HeaderNumber(const http_call_result& answer, std::string_view name) {
  const std::string_view text = answer.Header(name).value_or("0");
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

duration RetryAfter(const http_call_result& answer) {
  const int64_t milliseconds = HeaderNumber(answer, "Foxtail-Retry-After-Ms");
  if (milliseconds > 0) {
    return std::chrono::milliseconds{milliseconds};
  }
  return std::chrono::seconds{HeaderNumber(answer, "Retry-After")};
}

// The error's code for the report, or how the call failed.
std::string CodeOf(const http_call_result& answer) {
  if (answer.outcome != http_outcome::kAnswered) {
    return std::string(ToString(answer.outcome));
  }
  const nlohmann::json json =
      nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  const nlohmann::json::json_pointer place("/error/code");
  if (json.is_object() && json.contains(place) && json[place].is_string()) {
    return json[place].get<std::string>();
  }
  return "http-" + std::to_string(answer.status);
}

// The request itself is at fault; the same again gets the same answer.
bool IsRequestAtFault(int status) {
  return status == kHttpBadRequest || status == kHttpUnauthorized ||
         status == kHttpForbidden || status == kHttpNotFound ||
         status == kHttpTooLarge;
}

}  // namespace

load_runner::load_runner(const load_scenario& scenario,
                         std::function<void()> finished)
    : scenario_(scenario),
      finished_(std::move(finished)),
      statistics_(scenario),
      next_actions_(scenario.streams.size()) {
  for (size_t i = 0; i < kClients; ++i) {
    clients_.push_back(std::make_unique<http_client>(
        http_client_settings{.max_connections_per_host = kConnectionsPerHost}));
  }
  for (size_t i = 0; i < scenario.streams.size(); ++i) {
    generators_.emplace_back(scenario, i);
  }
}

void load_runner::Start() {
  started_ = Now();
  tick_ = RunEvery(kTick, [this] { Tick(); });
}

void load_runner::Tick() {
  const duration since = Now() - started_;
  for (size_t i = 0; i < generators_.size() && !stopped_; ++i) {
    for (load_arrival& arrival :
         generators_[i].Until(std::min(since, scenario_.length))) {
      Begin(i, std::move(arrival));
    }
  }
  const bool over = stopped_ || since >= scenario_.length;
  if (over && exchanges_.empty()) {
    tick_.Cancel();
    finished_();
  }
}

void load_runner::Begin(size_t stream, load_arrival arrival) {
  const auto limit = static_cast<size_t>(scenario_.max_in_flight);
  if (exchanges_.size() >= limit) {
    ++dropped_;
    return;
  }
  // A tool that is late itself adds to every latency; the report says so.
  const duration late = Now() - started_ - arrival.at;
  progress_.behind = std::max(progress_.behind, late);
  behind_ = std::max(behind_, late);
  const uint64_t id = next_id_++;
  auto e = std::make_unique<exchange>();
  e->stream = stream;
  e->arrival = std::move(arrival);
  e->host = static_cast<size_t>(id);
  MakeRecord(*e);
  const bool needs_action = e->record.at_most_once;
  exchanges_.emplace(id, std::move(e));
  ++progress_.sent;
  if (needs_action) {
    ObtainAction(id);
  } else {
    Send(id);
  }
}

// The start of the run in the body keeps the hashes of several runs against
// the same targets apart.
void load_runner::MakeRecord(exchange& e) {
  const load_stream& stream = scenario_.streams[e.stream];
  e.body = "load " + std::to_string(started_.time_since_epoch().count()) + ' ' +
           std::to_string(next_body_++);
  if (e.arrival.poisoned) {
    e.body += ' ' + stream.poison.text;
  }
  e.record = {};
  e.record.service = stream.service;
  e.record.key = e.arrival.key;
  e.record.body_sum = XXH3_64bits(e.body.data(), e.body.size());
  e.record.at_most_once = stream.at_most_once;
}

// Nothing tells the system that a lookup is sent again: `not run` is said of
// the send that it answers, and an earlier one may have run all the same (seen
// when a host was killed). So each send of a lookup gets a body and a record
// of its own. A poisoned one keeps its body, by which the system knows it,
// and its further sends are not checked.
void load_runner::PrepareResend(exchange& e) {
  if (e.record.at_most_once) {
    return;
  }
  if (e.recorded) {
    records_.push_back(e.record);
  }
  e.may_have_arrived = false;
  if (e.arrival.poisoned) {
    e.recorded = false;
    return;
  }
  MakeRecord(e);
}

// The hosts in turn, and after a failure always another one.
std::string load_runner::NextHost(exchange& e) {
  const size_t index = e.host++ % scenario_.entry_hosts.size();
  return "http://" + scenario_.entry_hosts[index];
}

http_header load_runner::Authorization(size_t stream) const {
  const std::string& name = scenario_.streams[stream].organisation;
  return {"Authorization", "Bearer " + scenario_.Organisation(name).token};
}

void load_runner::ObtainAction(uint64_t id) {
  exchange& e = *exchanges_.at(id);
  if (scenario_.streams[e.stream].caller_made_actions) {
    e.action = "load-" + std::to_string(started_.time_since_epoch().count()) +
               '-' + std::to_string(id);
    Send(id);
    return;
  }
  std::vector<std::string>& kept = next_actions_[e.stream];
  if (kept.empty()) {
    Mint(id);
    return;
  }
  e.action = std::move(kept.back());
  kept.pop_back();
  Send(id);
}

void load_runner::Mint(uint64_t id) {
  exchange& e = *exchanges_.at(id);
  const load_stream& stream = scenario_.streams[e.stream];
  ++e.sends;
  http_call_request call;
  call.method = "POST";
  call.url = NextHost(e) + "/v1/actions";
  call.headers = {Authorization(e.stream)};
  call.body = nlohmann::json({{"service", stream.service}}).dump();
  call.timeout = stream.deadline;
  e.call = ClientOf(id).Send(
      std::move(call),
      [this, id](const http_call_result& answer) { OnMinted(id, answer); });
}

void load_runner::OnMinted(uint64_t id, const http_call_result& answer) {
  exchange& e = *exchanges_.at(id);
  const nlohmann::json json =
      nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  const bool minted = answer.status == kHttpOk && json.is_object() &&
                      json.contains("action") && json["action"].is_string();
  if (minted) {
    e.action = json["action"].get<std::string>();
    e.sends = 0;
    Send(id);
    return;
  }
  e.code = CodeOf(answer);
  if (!MaySendAgain(e, answer)) {
    Finish(id);
    return;
  }
  e.wait = RunAfter(WaitBefore(answer), [this, id] { Mint(id); });
}

void load_runner::Send(uint64_t id) {
  exchange& e = *exchanges_.at(id);
  const load_stream& stream = scenario_.streams[e.stream];
  const auto deadline =
      std::chrono::ceil<std::chrono::milliseconds>(stream.deadline);
  ++e.sends;
  http_call_request call;
  call.method = "POST";
  call.url =
      NextHost(e) + "/v1/services/" + stream.service + "/keys/" + e.arrival.key;
  call.headers = {Authorization(e.stream),
                  {"Foxtail-Urgency", std::string(ToString(e.arrival.level))},
                  {"Foxtail-Deadline-Ms", std::to_string(deadline.count())}};
  if (!e.action.empty()) {
    call.headers.push_back({"Foxtail-Action", e.action});
  }
  if (stream.work > duration{}) {
    const int64_t work = stream.work.count() / kMicrosecondsPerMillisecond;
    call.headers.push_back({"X-Work-Ms", std::to_string(work)});
  }
  call.body = e.body;
  call.content_type = "text/plain";
  call.timeout = stream.deadline + scenario_.retries.timeout_slack;
  e.call = ClientOf(id).Send(
      std::move(call),
      [this, id](const http_call_result& answer) { OnAnswer(id, answer); });
}

void load_runner::NoteAnswer(exchange& e, const http_call_result& answer) {
  const result<action_outcome> said =
      ParseActionOutcome(answer.Header("Foxtail-Outcome").value_or(""));
  const bool answered = answer.outcome == http_outcome::kAnswered && said;
  e.may_have_arrived |= answer.delivery == http_delivery::kMaybeWritten;
  e.record.answers.push_back(
      {answered ? said.value() : action_outcome::kUnknown, Now(), answered});
  if (!answered) {
    return;
  }
  KeepNextAction(e.stream, answer);
  e.target = answer.Header("Foxtail-Target").value_or("");
  // A resend of a done action may be told that the body was not kept.
  const bool body_may_be_gone = e.sends > 1 && answer.body.empty();
  if (said.value() != action_outcome::kDone || body_may_be_gone) {
    return;
  }
  std::string foreign =
      FindForeignAnswer(answer.body, e.record.key, e.record.body_sum);
  if (!foreign.empty()) {
    e.record.foreign_answers.push_back(std::move(foreign));
  }
}

void load_runner::OnAnswer(uint64_t id, const http_call_result& answer) {
  exchange& e = *exchanges_.at(id);
  NoteAnswer(e, answer);
  const bool done = e.record.answers.back().outcome == action_outcome::kDone;
  e.code = done ? "" : CodeOf(answer);
  if (done || !MaySendAgain(e, answer)) {
    Finish(id);
    return;
  }
  SendLater(id, WaitBefore(answer));
}

bool load_runner::MaySendAgain(const exchange& e,
                               const http_call_result& answer) const {
  return e.sends <= scenario_.retries.resends &&
         !IsRequestAtFault(answer.status);
}

duration load_runner::WaitBefore(const http_call_result& answer) const {
  if (!scenario_.retries.honour_retry_after) {
    return scenario_.retries.wait;
  }
  return std::max(scenario_.retries.wait, RetryAfter(answer));
}

void load_runner::SendLater(uint64_t id, duration wait) {
  exchange& e = *exchanges_.at(id);
  PrepareResend(e);
  e.wait = RunAfter(wait, [this, id] { Send(id); });
}

// Identifiers of a steward that was lost since read `unknown`, so the newest
// are used first and only a few are kept.
void load_runner::KeepNextAction(size_t stream,
                                 const http_call_result& answer) {
  const auto next = answer.Header("Foxtail-Next-Action");
  if (!next || next->empty()) {
    return;
  }
  std::vector<std::string>& kept = next_actions_[stream];
  if (kept.size() >= kKeptActions) {
    kept.erase(kept.begin());
  }
  kept.emplace_back(*next);
}

void load_runner::Finish(uint64_t id) {
  const auto found = exchanges_.find(id);
  exchange& e = *found->second;
  // What never left this program did not run, whatever came back.
  const bool never_left = !e.may_have_arrived;
  load_result outcome;
  outcome.organisation = scenario_.streams[e.stream].organisation;
  outcome.service = e.record.service;
  outcome.at = e.arrival.at;
  outcome.latency = Now() - started_ - e.arrival.at;
  outcome.outcome =
      never_left ? action_outcome::kNotRun : e.record.answers.back().outcome;
  outcome.target = e.target;
  outcome.code = e.code;
  statistics_.Add(outcome);
  switch (outcome.outcome) {
    case action_outcome::kDone:
      ++progress_.done;
      progress_.latency.Add(outcome.latency);
      break;
    case action_outcome::kNotRun:
      ++progress_.not_run;
      break;
    case action_outcome::kUnknown:
      ++progress_.unknown;
      break;
  }
  if (e.recorded) {
    records_.push_back(std::move(e.record));
  }
  exchanges_.erase(found);
}

load_progress load_runner::TakeProgress() {
  load_progress taken = std::exchange(progress_, {});
  taken.in_flight = exchanges_.size();
  taken.dropped = dropped_;
  return taken;
}

void load_runner::Check(std::function<void(check_report)> done) {
  checked_ = std::move(done);
  settle_ = RunAfter(kSettle, [this] { ReadLogs(); });
}

void load_runner::ReadLogs() {
  logs_awaited_ = scenario_.targets.size();
  for (const load_target& target : scenario_.targets) {
    http_call_request call;
    call.url = "http://" + target.address + "/admin/runs";
    call.timeout = kLogTimeout;
    call.max_body = kMaxLogBytes;
    ClientOf(0).Send(std::move(call),
                     [this, &target](const http_call_result& answer) {
                       OnRuns(target, answer);
                     });
  }
}

void load_runner::OnRuns(const load_target& target,
                         const http_call_result& answer) {
  const result<std::vector<observed_run>> runs =
      ParseRuns(target.name, answer.body);
  const bool whole = answer.outcome == http_outcome::kAnswered && runs &&
                     runs.value().size() < kMaxRuns;
  if (!whole) {
    unread_targets_.push_back(target.name);
  }
  if (runs) {
    runs_.insert(runs_.end(), runs.value().begin(), runs.value().end());
  }
  if (--logs_awaited_ == 0) {
    checked_(CheckRuns(records_, runs_, std::move(unread_targets_)));
  }
}

}  // namespace foxtailspread
