// The memory that requests and answers hold on this host.

#include <string>
#include <utility>

#include "edge/edge_daemon.h"
#include "net/log.h"
#include "platform/request_codec.h"

namespace foxtailspread {
namespace {

/// The parts of the memory, in eighths, that may be held for requests and
/// answers in all, of which callers' connections and other hosts' may take so
/// much for what arrives and leaves. The rest is for the process itself and for
/// what the system keeps in the buffers of connections.
constexpr size_t kMemoryParts = 8;
constexpr size_t kHeldParts = 3;
constexpr size_t kCallersParts = 2;
constexpr size_t kRelayedParts = 1;

/// The parts of the memory that answers may take while they arrive: all of one
/// pool, and one alone. A faulty target may send bytes without end.
constexpr size_t kArrivingParts = 1;
constexpr size_t kAnswersInPart = 4;

}  // namespace

void edge_daemon::LimitMemory() {
  const size_t part = (settings_.memory_mb << 20) / kMemoryParts;
  memory_.SetBound(part * kHeldParts);
  callers_.SetMostBuffered(part * kCallersParts);
  relayed_.SetMostBuffered(part * kRelayedParts);
  for (connection_pool* pool : {&targets_pool_, &relays_pool_}) {
    pool->SetAnswerLimits(part / kAnswersInPart, part * kArrivingParts);
  }
}

void edge_daemon::LogMemory() {
  if (memory_.is_short() == memory_is_short_) {
    return;
  }
  memory_is_short_ = memory_.is_short();
  LogEvent(
      memory_is_short_ ? event_id::kMemoryShort : event_id::kMemoryFree,
      {{"requests", static_cast<int64_t>(memory_.bytes(held_kind::kRequests))},
       {"answers", static_cast<int64_t>(memory_.bytes(held_kind::kAnswers))},
       {"to_targets",
        static_cast<int64_t>(memory_.bytes(held_kind::kToTargets))},
       {"bound", static_cast<int64_t>(memory_.bound())},
       {"refused", static_cast<int64_t>(memory_.refused())}});
}

void edge_daemon::AppendMemoryMetrics(std::string& text) const {
  for (const held_kind kind :
       {held_kind::kRequests, held_kind::kAnswers, held_kind::kToTargets}) {
    AppendMetric(text, "held_bytes", MetricLabel("kind", ToString(kind)),
                 static_cast<double>(memory_.bytes(kind)));
  }
  AppendMetric(text, "held_bytes_bound", "",
               static_cast<double>(memory_.bound()));
  AppendMetric(text, "refused_for_memory_total", "",
               static_cast<double>(memory_.refused()));
  for (const untaken_reason reason :
       {untaken_reason::kCallerGone, untaken_reason::kStalled,
        untaken_reason::kMemory}) {
    AppendMetric(text, "answers_untaken_total",
                 MetricLabel("reason", ToString(reason)),
                 static_cast<double>(callers_.untaken(reason) +
                                     relayed_.untaken(reason)));
  }
  const router_counts& counts = router_.counts();
  for (const auto& [room, count] :
       {std::pair{"yes", counts.returns_with_room},
        std::pair{"no", counts.returns_without_room}}) {
    AppendMetric(text, "returns_total", MetricLabel("has_room", room),
                 static_cast<double>(count));
  }
}

void edge_daemon::SendToTarget(flight& sent, const send_action& action) {
  sent.target = action.target;
  sent.is_relayed = false;
  sent.service = action.service;
  sent.zone = action.zone;
  pool_call call = platform::ToTarget(sent.request, action);
  traffic_.Count(
      "request", action.service, PeerZoneOf(action.zone, settings_.zone),
      call.request.size() + (call.body ? call.body->bytes().size() : 0));
  sent.call = targets_pool_.Send(std::move(call),
                                 [this, id = action.id](call_result result) {
                                   OnAttemptEnded(id, std::move(result));
                                 });
  if (action.is_last) {
    // If it is not written, the result of the call gives it back.
    sent.request.large_body.reset();
  }
}

}  // namespace foxtailspread
