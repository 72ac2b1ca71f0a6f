#ifndef FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_
#define FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_

/// @file
/// State that a request_router keeps of targets, requests and services.

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailspread/load/body_room.h"
#include "foxtailspread/load/key_throttle.h"
#include "foxtailspread/load/load_sharing.h"
#include "foxtailspread/load/rejection_form.h"
#include "foxtailspread/load/zone_placement.h"
#include "foxtailspread/permit_cache.h"
#include "foxtailspread/request_router.h"
#include "foxtailspread/service_limit.h"
#include "foxtailspread/target_availability.h"
#include "foxtailspread/target_limit.h"
#include "foxtailspread/waiting_policy.h"

namespace foxtailspread {

/// Requests that wait for the same target, or for any target of a service.
class request_router::waiting_queue {
 public:
  using list =
      boost::intrusive::list<request,
                             boost::intrusive::constant_time_size<true>>;

  void Add(request& pending_request);
  void Remove(request& pending_request);
  void Clear();
  /// Number of requests.
  size_t Count() const;
  /// Number of requests that are at least as urgent as `rank`.
  size_t CountAtLeastAsUrgent(int rank) const;
  /// The requests by rank, the most urgent first; within a rank in the order in
  /// which they were added.
  std::map<int, list>& ranks() { return ranks_; }

  /// Records that a request was refused because no slot became free in time.
  void RecordRefusal(const request& refused_request, time_point now);
  bool IsOverloaded(time_point now) const { return now < overloaded_until_; }

 private:
  time_point last_refusal_{};
  time_point overloaded_until_{};
  std::map<int, list> ranks_;
};

/// This host's requests at one target that ended since it last told of them.
struct target_activity {
  uint32_t served = 0;
  uint32_t rejected = 0;
  uint32_t unqueued = 0;         ///< Served ones that found a free slot.
  duration unqueued_latency{0};  ///< Sum of theirs.

  bool operator==(const target_activity&) const = default;
};

/// One target. Requests in flight keep it alive after it is no longer listed.
struct request_router::target
    : boost::intrusive_ref_counter<target, boost::thread_unsafe_counter> {
  target(target_entry listed, duration first_latency, double permit_phase)
      : entry(std::move(listed)),
        short_id(ShortIdOf(entry.life.id)),
        health(entry.slots, first_latency),
        permits(permit_phase) {}

  target_entry entry;
  uint32_t short_id;
  target_health health;
  body_room bodies;           ///< Of this host's requests under way to it.
  return_schedule returns;    ///< Of callers refused for want of room at it.
  bool has_new_load = false;  ///< It reported its load since TakeLoads().
  target_activity activity;
  target_availability availability;
  target_limit limit;
  permit_cache permits;               ///< For its limit.
  bool has_unreadable_limit = false;  ///< It was reported.
  /// Since when its answers say that it shuts down.
  std::optional<time_point> leaving_since;
  time_point
      backoff_until{};  ///< It wants no requests of this host before then.
  /// When this host sends to it again. Later than the end of its backoff, so
  /// that hosts that were rejected together do not return together.
  time_point resumes_at{};
  bool has_unreadable_backoff = false;  ///< It was reported.
  /// Earliest time at which it can have begun to drain.
  std::optional<time_point> draining_since;
  /// When it was first missing from the list.
  std::optional<time_point> missing_since;
  /// Requests that only this target can serve, as it owns their keys.
  waiting_queue queue;
  time_point rejected_at{};  ///< It last rejected a request of this host.
};

/// One request from its arrival to its answer.
struct request_router::request : boost::intrusive::list_base_hook<> {
  request_id id = 0;
  route_table_ptr table;  ///< Keeps `matched_route` alive.
  const route* matched_route = nullptr;
  service* service_state = nullptr;
  std::optional<key_point> key;
  uint64_t content_hash = 0;
  size_t body_bytes = 0;
  time_point arrival_time{};
  time_point deadline{};         ///< Its deadline on this host.
  time_point caller_deadline{};  ///< When the caller gives up.
  time_point wait_start{};       ///< Start of the wait for the next send.
  time_point wait_deadline{};    ///< Refused if still waiting by then.
  time_point earliest_send{};    ///< Earliest time of the next send.
  int attempt_count = 0;         ///< Attempts that reached a target.
  int unreachable_count = 0;     ///< Attempts that reached no target.
  int relay_count = 0;           ///< Times that it was handed to another host.
  std::string relayed_to{};      ///< The host that has it now; else empty.
  std::optional<int> relayed_attempts;  ///< As in incoming_request.
  bool may_have_run = false;
  bool is_capped_by_stop = false;  ///< `deadline` is that of the host's stop.
  bool has_answer = false;  ///< A target's error answer is kept for the caller.
  target_ptr current_target;       ///< Set while an attempt is under way.
  waiting_queue* queue = nullptr;  ///< Queue that it waits in.
  target_ptr queue_owner;          ///< Target that `queue` belongs to, if any.
  time_point sent_time{};
  /// Requests at its target when it was sent, without it, if that was known.
  std::optional<double> occupancy_at_send{};
  std::optional<time_point> first_sent_time{};
  std::vector<target_ptr> tried_targets;

  bool is_waiting() const { return is_linked(); }
  request_summary Summary(time_point now) const;
  bool WasTried(const target* candidate) const {
    for (const target_ptr& tried_target : tried_targets) {
      if (tried_target.get() == candidate) {
        return true;
      }
    }
    return false;
  }
};

/// One service: its targets, the owners of its keys and its waiting requests.
struct request_router::service {
  explicit service(std::string service_name, const retry_bounds& bounds)
      : name(std::move(service_name)), budget(bounds) {}

  target* FindLife(const target_life& life) {
    for (const auto& candidate : targets) {
      if (candidate->entry.life == life) {
        return candidate.get();
      }
    }
    return nullptr;
  }

  std::string name;
  bool keyed = false;
  cold_policy cold_start;
  int in_flight = 0;    ///< Attempts under way at its targets.
  service_limit limit;  ///< Of `in_flight`, if targets report their load.
  load_sharing sharing;
  zone_placement zones;  ///< If pooled.
  rejection_form rejections;
  zone_send_counts zone_sends;
  std::vector<boost::intrusive_ptr<target>> targets;
  return_schedule returns;  ///< Of callers refused for want of any target.
  key_map owners;
  /// When each range that is moving to a new owner was first seen moving, by
  /// fence.
  std::map<fence_number, time_point> moving_since;
  /// Requests that wait for any target, or for their key to get an owner.
  waiting_queue queue;
  size_t waiting_count = 0;  ///< In all queues of the service.
  retry_budget budget;
  /// Moving average of the fraction of attempts that targets shed.
  double shed_fraction = 0.0;
  std::vector<key_point> requested_keys;  ///< One entry for each request.
  throttle_gate throttles;                ///< For keys that are too busy.
};

inline void request_router::waiting_queue::Add(request& waiting) {
  ranks_[waiting.matched_route->rank].push_back(waiting);
}

inline void request_router::waiting_queue::Remove(request& waiting) {
  ranks_[waiting.matched_route->rank].erase(list::s_iterator_to(waiting));
}

inline void request_router::waiting_queue::RecordRefusal(const request& refused,
                                                         time_point now) {
  const duration overload_time =
      OverloadDuration(refused.matched_route->objective);
  // A single refusal may be chance; two within that time mean overload.
  if (now - last_refusal_ < overload_time) {
    overloaded_until_ = now + overload_time;
  }
  last_refusal_ = now;
}

inline void request_router::waiting_queue::Clear() {
  for (auto& [rank, requests] : ranks_) {
    requests.clear();
  }
}

inline size_t request_router::waiting_queue::Count() const {
  return CountAtLeastAsUrgent(std::numeric_limits<int>::max());
}

inline size_t request_router::waiting_queue::CountAtLeastAsUrgent(
    int rank) const {
  size_t count = 0;
  for (const auto& [other_rank, requests] : ranks_) {
    count += other_rank <= rank ? requests.size() : 0;
  }
  return count;
}

inline request_summary request_router::request::Summary(time_point now) const {
  request_summary summary{.service = service_state->name,
                          .attempts = attempt_count,
                          .age = now - arrival_time};
  if (first_sent_time) {
    summary.queue_time = *first_sent_time - arrival_time;
  }
  return summary;
}

inline bool request_router::HasRoomForBody(
    const target& candidate, const request& pending_request) const {
  return candidate.bodies.HasRoom(pending_request.body_bytes,
                                  candidate.entry.slots, host_count_);
}

inline return_schedule& request_router::ReturnsFor(service& service_state,
                                                   target* owner) {
  return owner != nullptr ? owner->returns : service_state.returns;
}

inline void request_router::ReleaseBody(const request& ended_request,
                                        target& attempted) {
  attempted.bodies.OnEnded(ended_request.body_bytes);
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_
