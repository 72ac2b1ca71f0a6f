// The stop of an entry host, and the requests that are still unanswered.

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "edge/edge_daemon.h"
#include "net/log.h"
#include "platform/request_codec.h"

namespace foxtailspread {
namespace {

/// How often a stopping host looks whether it is done.
constexpr duration kLeaveStep{std::chrono::milliseconds{100}};

int64_t ToMilliseconds(duration time) {
  return time / std::chrono::milliseconds{1};
}

}  // namespace

void edge_daemon::Leave() {
  if (stop_.has_begun()) {
    return;
  }
  LogEvent(event_id::kStopRequested);
  const time_point now = Now();
  stop_.Begin(now);
  router_.OnStop(*stop_.AnswerBy());
  assigner_actions actions;
  assigner_.PrepareToStop(now, actions);
  Carry(actions);
  leave_ = RunEvery(kLeaveStep, [this] { LeaveStep(); });
}

stop_phase edge_daemon::StopPhase(time_point now) const {
  const bool work_left = callers_.pending() > 0 || callers_.connections() > 0 ||
                         relayed_.pending() > 0 || relayed_.connections() > 0 ||
                         assigner_.IsReleasingLease();
  return stop_.Phase(now, work_left, UnreceivedBytes() > 0);
}

size_t edge_daemon::UnreceivedBytes() const {
  return callers_.UnreceivedBytes() + relayed_.UnreceivedBytes();
}

void edge_daemon::LeaveStep() {
  const time_point now = Now();
  // A late loop may come here before it has answered what is overdue.
  router_actions overdue;
  router_.OnTime(now, overdue);
  Carry(overdue);
  const stop_phase phase = StopPhase(now);
  if (phase >= stop_phase::kClosing && !closing_) {
    closing_ = true;
    callers_.BeginClosing();
    relayed_.BeginClosing();
  }
  if (phase == stop_phase::kDone) {
    LogUnanswered();
    leave_.Cancel();
    on_done_();
  }
}

void edge_daemon::VisitUnanswered(
    const std::function<void(const unanswered_request&, const flight*)>& visit)
    const {
  const auto visit_server = [&](const caller_server& server, exchange_id mark) {
    server.VisitUnanswered([&](const unanswered_request& each) {
      const auto found = flights_.find(each.id | mark);
      visit(each, found == flights_.end() ? nullptr : &found->second);
    });
  };
  visit_server(callers_, 0);
  visit_server(relayed_, kRelayedExchange);
}

std::string_view edge_daemon::StateOf(const unanswered_request& unanswered,
                                      const flight* sent) {
  if (unanswered.answer != nullptr) {
    return "answer-held";
  }
  if (sent == nullptr) {
    return "forgotten";
  }
  if (!sent->call) {
    return "queued";
  }
  return sent->is_relayed ? "relayed" : "at-target";
}

void edge_daemon::LogUnanswered() const {
  const time_point now = Now();
  int64_t held = 0;
  VisitUnanswered([&](const unanswered_request& each, const flight* sent) {
    held += each.answer != nullptr ? 1 : 0;
    const http_message none;
    const connection_pool& pool =
        sent != nullptr && sent->is_relayed ? relays_pool_ : targets_pool_;
    const call_progress progress = sent != nullptr && sent->call
                                       ? pool.Progress(*sent->call)
                                       : call_progress{};
    const http_message& named = each.answer != nullptr ? *each.answer
                                : sent != nullptr      ? sent->request
                                                       : none;
    LogEvent(
        event_id::kRequestUnanswered,
        {{"request", platform::AttemptId(named)},
         {"state", StateOf(each, sent)},
         {"age_ms", ToMilliseconds(now - each.arrived_at)},
         {"held_ms", each.answer != nullptr
                         ? ToMilliseconds(now - each.answered_at)
                         : int64_t{0}},
         {"ahead", static_cast<int64_t>(each.ahead)},
         {"service", sent != nullptr ? std::string_view{sent->service} : ""},
         {"target", sent != nullptr ? std::string_view{sent->target.id} : ""},
         {"connection", static_cast<int64_t>(progress.connection)},
         {"written", int64_t{progress.written}}});
  });
  LogEvent(event_id::kHostStopped,
           {{"unfinished",
             static_cast<int64_t>(callers_.pending() + relayed_.pending())},
            {"held_answers", held},
            {"dropped_requests", callers_.dropped().requests},
            {"dropped_reads", callers_.dropped().reads},
            {"dropped_connections", callers_.dropped().connections},
            {"unreceived_bytes", static_cast<int64_t>(UnreceivedBytes())}});
}

void edge_daemon::AppendUnansweredMetrics(std::string& text) const {
  std::map<std::string_view, size_t> counts;
  for (const std::string_view state :
       {"queued", "at-target", "relayed", "answer-held", "forgotten"}) {
    counts[state] = 0;
  }
  VisitUnanswered([&](const unanswered_request& each, const flight* sent) {
    ++counts[StateOf(each, sent)];
  });
  for (const auto& [state, count] : counts) {
    AppendMetric(text, "requests_unanswered", MetricLabel("state", state),
                 static_cast<double>(count));
  }
}

}  // namespace foxtailspread
