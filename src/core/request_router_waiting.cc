// Who waits where, and who is sent first when there is room. Load patterns:
// bursts beyond what the targets can do, and keys whose owner has more to do
// than others.

#include <algorithm>
#include <vector>

#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {

request_router::waiting_queue& request_router::QueueOf(service& at,
                                                       target* owner) {
  return owner == nullptr ? at.queue : owner->queue;
}

void request_router::JoinQueue(request& waiting) {
  service& at = *waiting.at;
  waiting.waits_for = FindOwner(at, waiting);
  waiting.queue = &QueueOf(at, waiting.waits_for.get());
  waiting.queue->Add(waiting);
  ++at.waiting_count;
}

void request_router::LeaveQueue(request& waiting) {
  if (!waiting.is_waiting()) {
    return;
  }
  waiting.queue->Remove(waiting);
  waiting.queue = nullptr;
  waiting.waits_for.reset();
  --waiting.at->waiting_count;
}

void request_router::Wait(request& waiting, time_point now) {
  waiting.waits_since = now;
  JoinQueue(waiting);
  Schedule(std::min(waiting.wait_until, now + kRecheck), waiting.id);
}

void request_router::RedistributeQueues(service& of) {
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
    LeaveQueue(*each);
    JoinQueue(*each);
  }
}

void request_router::Pump(service& pumped, time_point now,
                          router_actions& out) {
  PumpQueue(pumped.queue, now, out);
  if (!pumped.keyed || pumped.waiting_count == 0) {
    return;
  }
  for (const auto& each : pumped.targets) {
    PumpQueue(each->queue, now, out);
  }
}

void request_router::PumpAfter(service& at, const target_ptr& freed,
                               time_point now, router_actions& out) {
  PumpQueue(at.keyed && freed ? freed->queue : at.queue, now, out);
}

void request_router::PumpQueue(waiting_queue& queue, time_point now,
                               router_actions& out) {
  std::vector<request*> turn;
  for (auto& [rank, members] : queue.ranks()) {
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
      // What one that may go to any of the queue's targets does not find, none
      // of the others finds.
      const bool same_for_all = next->waits_for || !next->at->keyed;
      if (!sent && same_for_all && next->tried.empty()) {
        return;
      }
    }
  }
}

}  // namespace foxtailspread
