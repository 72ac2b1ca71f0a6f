// Who waits where, and who is sent first when there is room. Load patterns:
// bursts beyond what the targets can do, and keys whose owner has more to do
// than others.

#include <algorithm>
#include <vector>

#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {

request_router::waiting_line& request_router::LineOf(service& at,
                                                     target* owner) {
  return owner == nullptr ? at.line : owner->line;
}

void request_router::JoinLine(request& waiting) {
  service& at = *waiting.at;
  waiting.waits_for = FindOwner(at, waiting);
  waiting.line = &LineOf(at, waiting.waits_for.get());
  waiting.line->Add(waiting);
  ++at.waiting_count;
}

void request_router::LeaveLine(request& waiting) {
  if (!waiting.is_waiting()) {
    return;
  }
  waiting.line->Remove(waiting);
  waiting.line = nullptr;
  waiting.waits_for.reset();
  --waiting.at->waiting_count;
}

void request_router::Wait(request& waiting, time_point now) {
  waiting.waits_since = now;
  JoinLine(waiting);
  Schedule(std::min(waiting.wait_until, now + kRecheck), waiting.id);
}

void request_router::RedealLines(service& of) {
  if (!of.keyed || of.waiting_count == 0) {
    return;
  }
  std::vector<request*> waiting;
  for (auto& [id, each] : requests_) {
    if (each->at == &of && each->is_waiting()) {
      waiting.push_back(each.get());
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const request* a, const request* b) {
              return a->waits_since < b->waits_since ||
                     (a->waits_since == b->waits_since && a->id < b->id);
            });
  for (request* each : waiting) {
    LeaveLine(*each);
    JoinLine(*each);
  }
}

void request_router::Pump(service& pumped, time_point now,
                          router_actions& out) {
  PumpLine(pumped.line, now, out);
  if (!pumped.keyed || pumped.waiting_count == 0) {
    return;
  }
  for (const auto& each : pumped.targets) {
    PumpLine(each->line, now, out);
  }
}

void request_router::PumpAfter(service& at, const target_ptr& freed,
                               time_point now, router_actions& out) {
  PumpLine(at.keyed && freed ? freed->line : at.line, now, out);
}

void request_router::PumpLine(waiting_line& line, time_point now,
                              router_actions& out) {
  std::vector<request*> turn;
  for (auto& [rank, members] : line.ranks()) {
    if (members.empty()) {
      continue;
    }
    const request& oldest = members.front();
    const bool newest_first =
        GoesNewestFirst(now - oldest.waits_since, oldest.by->objective);
    turn.clear();
    for (request& each : members) {
      turn.push_back(&each);
    }
    if (newest_first) {
      std::reverse(turn.begin(), turn.end());
    }
    for (request* next : turn) {
      if (next->not_before > now) {
        continue;
      }
      const bool sent = TrySend(*next, now, out);
      // What one that may go to any of the line's targets does not find, none
      // of the others finds.
      const bool same_for_all = next->waits_for || !next->at->keyed;
      if (!sent && same_for_all && next->tried.empty()) {
        return;
      }
    }
  }
}

}  // namespace foxtailspread
