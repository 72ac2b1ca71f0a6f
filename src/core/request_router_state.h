#ifndef FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_
#define FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_

/// @file
/// What a request_router remembers of targets, requests and services.

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailspread/request_router.h"
#include "foxtailspread/service_limit.h"
#include "foxtailspread/target_availability.h"
#include "foxtailspread/waiting_policy.h"

namespace foxtailspread {

/// Requests that wait for the same room.
class request_router::waiting_queue {
 public:
  using list =
      boost::intrusive::list<request,
                             boost::intrusive::constant_time_size<true>>;

  void Add(request& waiting);
  void Remove(request& waiting);
  void Clear();
  /// Requests that are at least as urgent as `rank`.
  size_t AheadOf(int rank) const;
  /// By rank, the most urgent first, each in order of arrival.
  std::map<int, list>& ranks() { return ranks_; }

  /// Notes that a request was refused for want of room.
  void NoteRefused(const request& refused, time_point now);
  bool IsOverloaded(time_point now) const { return now < overloaded_until_; }

 private:
  time_point refused_at_{};
  time_point overloaded_until_{};
  std::map<int, list> ranks_;
};

/// One target. Requests in flight keep it after it has left the list.
struct request_router::target
    : boost::intrusive_ref_counter<target, boost::thread_unsafe_counter> {
  target(target_entry listed, duration first_latency)
      : entry(std::move(listed)),
        short_id(ShortIdOf(entry.life.id)),
        health(entry.slots, first_latency) {}

  target_entry entry;
  uint32_t short_id;
  target_health health;
  bool has_told = false;  ///< Its load, since it was last passed on.
  target_availability availability;
  /// It began to drain after this.
  std::optional<time_point> draining_since;
  /// When it was first missing from the list.
  std::optional<time_point> missing_since;
  /// Requests that wait for it, since only it has their key.
  waiting_queue queue;
};

/// One request from its arrival to its answer.
struct request_router::request : boost::intrusive::list_base_hook<> {
  request_id id = 0;
  route_table_ptr table;  ///< Keeps `by` alive.
  const route* by = nullptr;
  service* at = nullptr;
  std::optional<key_point> key;
  uint64_t content = 0;
  time_point arrived{};
  time_point expires{};       ///< An answer is due by then.
  time_point caller_waits{};  ///< The caller leaves then.
  time_point waits_since{};   ///< Of this wait; there is one for each send.
  time_point wait_until{};    ///< Refused if not sent by then.
  time_point not_before{};    ///< No send earlier.
  int arrivals = 0;           ///< Sends that reached a target.
  int unreachable = 0;        ///< Sends that reached none.
  bool may_have_run = false;
  bool has_answer = false;  ///< A target's failure is held to be passed on.
  target_ptr current;       ///< Set while an attempt is under way.
  waiting_queue* queue = nullptr;  ///< Where it waits.
  target_ptr waits_for;            ///< Whose queue that is, if a target's.
  time_point sent{};
  std::optional<time_point> first_sent{};
  std::vector<target_ptr> tried;

  bool is_waiting() const { return is_linked(); }
  request_account Account(time_point now) const;
  bool WasTried(const target* one) const {
    for (const target_ptr& each : tried) {
      if (each.get() == one) {
        return true;
      }
    }
    return false;
  }
};

/// One service: its targets, its owners of keys and who waits for it.
struct request_router::service {
  explicit service(std::string its_name, const retry_bounds& bounds)
      : name(std::move(its_name)), budget(bounds) {}

  target* FindLife(const target_life& life) {
    for (const auto& each : targets) {
      if (each->entry.life == life) {
        return each.get();
      }
    }
    return nullptr;
  }

  std::string name;
  bool keyed = false;
  cold_policy cold;
  int in_flight = 0;    ///< Requests at its targets.
  service_limit limit;  ///< Of `in_flight`, where targets tell their load.
  std::vector<boost::intrusive_ptr<target>> targets;
  key_map owners;
  /// When each range that is changing hands was first seen doing so, by fence.
  std::map<fence_number, time_point> moving_since;
  /// Those that wait for any target, or for their keys to get an owner.
  waiting_queue queue;
  size_t waiting_count = 0;  ///< In all queues of the service.
  retry_budget budget;
  /// Running share of attempts that a target refused to run.
  double shed_share = 0.0;
  std::vector<key_point> keys_asked;  ///< One for each request.
};

inline void request_router::waiting_queue::Add(request& waiting) {
  ranks_[waiting.by->rank].push_back(waiting);
}

inline void request_router::waiting_queue::Remove(request& waiting) {
  ranks_[waiting.by->rank].erase(list::s_iterator_to(waiting));
}

inline void request_router::waiting_queue::NoteRefused(const request& refused,
                                                       time_point now) {
  const duration memory = OverloadTime(refused.by->objective);
  // One refusal alone may come by chance.
  if (now - refused_at_ < memory) {
    overloaded_until_ = now + memory;
  }
  refused_at_ = now;
}

inline void request_router::waiting_queue::Clear() {
  for (auto& [rank, each] : ranks_) {
    each.clear();
  }
}

inline size_t request_router::waiting_queue::AheadOf(int rank) const {
  size_t ahead = 0;
  for (const auto& [each, members] : ranks_) {
    ahead += each <= rank ? members.size() : 0;
  }
  return ahead;
}

inline request_account request_router::request::Account(time_point now) const {
  request_account account{
      .service = at->name, .attempts = arrivals, .age = now - arrived};
  if (first_sent) {
    account.wait = *first_sent - arrived;
  }
  return account;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_REQUEST_ROUTER_STATE_H_
