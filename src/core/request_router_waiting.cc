// Queues of waiting requests and the order in which they are sent.
//
// Load patterns that these rules are made for: bursts above the capacity of the
// targets, and keys whose owner has more load than other targets.

#include <algorithm>
#include <vector>

#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {

request_router::waiting_queue& request_router::QueueFor(service& service_state,
                                                        target* owner) {
  return owner == nullptr ? service_state.queue : owner->queue;
}

void request_router::JoinQueue(request& pending_request) {
  service& service_state = *pending_request.service_state;
  pending_request.queue_owner = FindOwner(service_state, pending_request);
  pending_request.queue =
      &QueueFor(service_state, pending_request.queue_owner.get());
  pending_request.queue->Add(pending_request);
  ++service_state.waiting_count;
}

void request_router::LeaveQueue(request& pending_request) {
  if (!pending_request.is_waiting()) {
    return;
  }
  pending_request.queue->Remove(pending_request);
  pending_request.queue = nullptr;
  pending_request.queue_owner.reset();
  --pending_request.service_state->waiting_count;
}

void request_router::StartWaiting(request& pending_request, time_point now) {
  pending_request.wait_start = now;
  JoinQueue(pending_request);
  Schedule(std::min(pending_request.wait_deadline, now + kRecheckPeriod),
           pending_request.id);
}

void request_router::RedistributeQueues(service& service_state) {
  if (!service_state.keyed || service_state.waiting_count == 0) {
    return;
  }
  std::vector<request*> waiting;
  for (auto& [id, pending_request] : requests_) {
    if (pending_request->service_state == &service_state &&
        pending_request->is_waiting()) {
      waiting.push_back(pending_request.get());
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const request* a, const request* b) {
              return a->wait_start < b->wait_start ||
                     (a->wait_start == b->wait_start && a->id < b->id);
            });
  for (request* pending_request : waiting) {
    LeaveQueue(*pending_request);
    JoinQueue(*pending_request);
  }
}

void request_router::SendWaiting(service& service_state, time_point now,
                                 router_actions& out) {
  SendFromQueue(service_state.queue, now, out);
  if (!service_state.keyed || service_state.waiting_count == 0) {
    return;
  }
  for (const auto& owner : service_state.targets) {
    SendFromQueue(owner->queue, now, out);
  }
}

void request_router::SendAfterFreedSlot(service& service_state,
                                        const target_ptr& freed_target,
                                        time_point now, router_actions& out) {
  SendFromQueue(service_state.keyed && freed_target ? freed_target->queue
                                                    : service_state.queue,
                now, out);
}

void request_router::SendFromQueue(waiting_queue& queue, time_point now,
                                   router_actions& out) {
  std::vector<request*> send_order;
  for (auto& [rank, requests] : queue.ranks()) {
    if (requests.empty()) {
      continue;
    }
    const request& oldest = requests.front();
    const bool newest_first = ShouldSendNewestFirst(
        now - oldest.wait_start, oldest.matched_route->objective);
    send_order.clear();
    for (request& pending_request : requests) {
      send_order.push_back(&pending_request);
    }
    if (newest_first) {
      std::reverse(send_order.begin(), send_order.end());
    }
    for (request* next : send_order) {
      if (RefuseIfItCrashesTargets(*next, now, out) ||
          RefuseIfStopComesFirst(*next, now, out) ||
          (is_cut_off() && TryRelay(*next, now, out)) ||
          next->earliest_send > now) {
        continue;
      }
      const bool sent = TrySend(*next, now, out);
      // If a request that may go to every target of the queue finds no free
      // slot, the requests behind it find none either.
      const bool same_targets_for_all =
          (next->queue_owner || !next->service_state->keyed) &&
          next->body_bytes <= body_room::kSmallBody;
      if (!sent && same_targets_for_all && next->tried_targets.empty()) {
        return;
      }
    }
  }
}

}  // namespace foxtailspread
