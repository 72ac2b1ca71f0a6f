#ifndef FOXTAILSPREAD_FAIR_QUEUE_H_
#define FOXTAILSPREAD_FAIR_QUEUE_H_

/// @file
/// Orders waiting requests: slots are divided between organisations by share;
/// among organisations within their share, urgent requests go first.

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "foxtailspread/dispatch_types.h"

namespace foxtailspread {

struct running_attempt;

/// The state of a live request. A request is live from its admission until its
/// final answer.
enum class request_state : uint8_t {
  kFree,    ///< Not live; its memory is in the pool.
  kQueued,  ///< In a fair_queue.
  kRetry,   ///< Pooled services: waits to run on another target.
  /// Waits for its bucket's owner, or for the end of a running copy whose
  /// content has crashed a target.
  kHeld,
  kRunning,  ///< Has a running attempt.
};

/// A live request and its links to the dispatcher's containers.
struct live_request {
  boost::intrusive::list_member_hook<> wait_hook;
  boost::intrusive::set_member_hook<> expiry_hook;
  boost::intrusive::unordered_set_member_hook<> id_hook;
  dispatch_request request;
  time_point expires_at;  ///< Finished at this time at the latest.
  time_point queued_since;
  running_attempt* attempt = nullptr;
  target_index last_target = kNoTarget;
  /// Keyed services: the target in whose queue it waits.
  target_index queue_target = kNoTarget;
  request_state state = request_state::kFree;
  /// An earlier attempt may have run it, so the outcome must not be kNotRun.
  bool may_have_run = false;
};

using request_list = boost::intrusive::list<
    live_request, boost::intrusive::member_hook<
                      live_request, boost::intrusive::list_member_hook<>,
                      &live_request::wait_hook>>;

/// Weighted fair queueing between organisations with urgency classes.
///
/// Each organisation has a virtual time that advances by the cost of its starts
/// divided by its share. The queue has a virtual time of its own that advances
/// by the cost of each start divided by the sum of the shares of all waiting
/// organisations. An organisation is within its share while it is at most
/// kMaxStartsAhead starts ahead of the queue's virtual time. Among these
/// organisations the most urgent class goes first. If all waiting organisations
/// have exceeded their share, the most urgent class goes first as well. An
/// organisation that becomes active again begins at most one start behind the
/// queue's virtual time: it gets the next free slot, but no credit for the time
/// it was idle.
///
/// The queue links requests but does not own them. A request must outlive its
/// time in the queue.
class fair_queue {
 public:
  /// After this many other starts, a waiting archive request starts next if
  /// archive requests are allowed. They thus make progress under load.
  static constexpr int kMaxStartsBeforeArchive = 64;
  /// Starts by which an organisation may be ahead of the queue and still count
  /// as within its share. If this is too small, a short burst of urgent
  /// requests waits behind ordinary requests of other organisations.
  static constexpr int kMaxStartsAhead = 16;
  /// Starts by which an organisation may be behind the queue, for example
  /// because of the limit on archive requests. A larger deficit is forfeited.
  static constexpr int kMaxStartsBehind = 4;

  fair_queue() = default;
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;

  /// Sets the share of one organisation. The default is 1.
  void SetShare(int32_t organisation, double share);

  /// Adds a request at the back (retries: at the front) of its organisation's
  /// queue for its urgency class.
  void PushBack(live_request& waiting);
  void PushFront(live_request& waiting);
  /// Removes a request from any position.
  void Erase(live_request& waiting);

  /// Removes and returns the next request, or nullptr if none may start.
  /// `cost_us` is its expected slot time.
  live_request* Pop(bool archive_allowed, double cost_us);

  /// Adjusts the charge of a start by `difference_us`, the measured slot time
  /// minus the expected one.
  void AdjustCharge(int32_t organisation, double difference_us);

  bool Empty() const { return size_ == 0; }
  int Size() const { return size_; }
  /// Returns how many requests of this class wait, over all organisations.
  int Size(urgency level) const { return by_class_[Index(level)].size; }
  /// Returns since when at least one urgent request has been waiting without
  /// interruption. Valid only while an urgent request waits.
  time_point UrgentWaitsSince() const { return urgent_since_; }
  /// Returns how many waiting requests of the organisation would start before
  /// a new request of this class.
  int CountAhead(int32_t organisation, urgency level) const;
  /// Returns the organisation's share divided by the sum of the shares of all
  /// waiting organisations and itself.
  double ShareAmongWaiting(int32_t organisation) const;

  /// Calls `visit` for each waiting request. `visit` may erase the request
  /// that it is called with.
  template <typename visitor>
  void ForEach(visitor visit);

 private:
  struct flow;
  struct class_flow {
    boost::intrusive::set_member_hook<> order_hook;
    request_list waiting;
    flow* parent = nullptr;
  };
  struct flow {
    std::array<class_flow, kUrgencyCount> classes;
    double virtual_time = 0;
    double share = 1;
    int size = 0;
    int32_t organisation = 0;
  };
  struct earlier_flow {
    bool operator()(const class_flow& a, const class_flow& b) const {
      return a.parent->virtual_time != b.parent->virtual_time
                 ? a.parent->virtual_time < b.parent->virtual_time
                 : a.parent->organisation < b.parent->organisation;
    }
  };
  using flow_order =
      boost::intrusive::set<class_flow,
                            boost::intrusive::member_hook<
                                class_flow, boost::intrusive::set_member_hook<>,
                                &class_flow::order_hook>,
                            boost::intrusive::compare<earlier_flow>>;
  struct class_state {
    flow_order order;
    int size = 0;
  };

  static constexpr size_t Index(urgency level) {
    return static_cast<size_t>(level);
  }
  flow& FindOrCreateFlow(int32_t organisation);
  const flow* FindFlow(int32_t organisation) const;
  class_flow& AddToFlow(live_request& waiting);
  class_flow* SelectNext(bool archive_allowed, double cost_us);
  void Charge(flow& charged, double cost_us);
  void SetVirtualTime(flow& moved, double virtual_time);
  void RemoveFromFlow(class_flow& class_entry, live_request& waiting);

  // Declared before by_class_, whose orders link to the flows and must be
  // destroyed first.
  std::vector<std::unique_ptr<flow>> flows_;  // Indexed by organisation.
  std::array<class_state, kUrgencyCount> by_class_;
  double virtual_time_ = 0;
  double last_cost_us_ = 0;
  double waiting_share_sum_ = 0;  // Sum of the shares of waiting organisations.
  int size_ = 0;
  int starts_since_archive_ = 0;
  time_point urgent_since_;
};

template <typename visitor>
void fair_queue::ForEach(visitor visit) {
  for (const std::unique_ptr<flow>& f : flows_) {
    if (f == nullptr || f->size == 0) {
      continue;
    }
    for (class_flow& class_entry : f->classes) {
      auto next = class_entry.waiting.begin();
      while (next != class_entry.waiting.end()) {
        live_request& current = *next;
        ++next;
        visit(current);
      }
    }
  }
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_FAIR_QUEUE_H_
