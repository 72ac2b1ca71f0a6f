#ifndef FOXTAILSPREAD_FAIR_QUEUE_H_
#define FOXTAILSPREAD_FAIR_QUEUE_H_

/// @file
/// The order in which waiting requests get slots: urgent first within each
/// organisation's share, and shares between organisations.

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

/// Where a live request is.
enum class request_place : uint8_t {
  kFree,     ///< In the pool, not live.
  kQueued,   ///< In a fair_queue.
  kRetry,    ///< Waits for a target other than its last one.
  kHeld,     ///< Waits for its bucket's owner.
  kRunning,  ///< Has an attempt.
};

/// A live request of a dispatcher.
struct live_request {
  boost::intrusive::list_member_hook<> wait_hook;
  boost::intrusive::set_member_hook<> due_hook;
  boost::intrusive::unordered_set_member_hook<> id_hook;
  dispatch_request request;
  time_point due;  ///< When it ends at the latest, as things stand.
  time_point queued_since;
  running_attempt* attempt = nullptr;
  target_index last_target = kNoTarget;
  target_index queued_at = kNoTarget;  ///< Whose queue, in a keyed service.
  request_place place = request_place::kFree;
  /// An earlier attempt may have run it, so that not run must not be said.
  bool may_have_run = false;
};

using request_list = boost::intrusive::list<
    live_request, boost::intrusive::member_hook<
                      live_request, boost::intrusive::list_member_hook<>,
                      &live_request::wait_hook>>;

/// Weighted fair queueing between organisations with classes of urgency.
///
/// Each organisation has a virtual time that grows by the cost of its starts
/// divided by its share; the queue has one that follows. An organisation not
/// ahead of the queue's is within its share, and among those the most urgent
/// class goes first. Only then are slots lent to organisations beyond their
/// share. An organisation that was idle starts just before the queue's virtual
/// time: its share is there at the next free slot, but is not saved up.
///
/// Requests are linked, never owned; they must outlive their stay here.
class fair_queue {
 public:
  /// While archive work waits, at least one start in so many is archive: it
  /// goes slowly under load, but it goes.
  static constexpr int kArchiveEvery = 64;
  /// An organisation may be ahead by so many starts and still be within its
  /// share. With few, a chance run of urgent requests waits behind others'
  /// ordinary ones.
  static constexpr int kMostAhead = 16;
  /// An organisation held back may be behind by so many starts.
  static constexpr int kMostBehind = 4;

  fair_queue() = default;
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;

  /// Sets the share of one organisation; 1 until set.
  void SetShare(int32_t organisation, double share);

  /// Adds a request behind (or, for a retry, before) those of its kind.
  void PushBack(live_request& waiting);
  void PushFront(live_request& waiting);
  /// Takes a request out, wherever it stands.
  void Erase(live_request& waiting);

  /// Removes and returns the request that goes next, nullptr if none may.
  /// `cost` is the slot time that it is expected to take.
  live_request* Pop(bool archive_allowed, double cost);

  /// Corrects a charge once the real slot time is known.
  void Correct(int32_t organisation, double difference);

  bool Empty() const { return size_ == 0; }
  int Size() const { return size_; }
  /// Returns how many wait in this class, all organisations together.
  int Size(urgency level) const { return by_class_[Index(level)].size; }
  /// Returns since when there was always an urgent request waiting; of use
  /// only while there is one.
  time_point UrgentWaitsSince() const { return urgent_since_; }
  /// Returns how many of the organisation wait that go before a new one.
  int SizeAhead(int32_t organisation, urgency level) const;
  /// Returns the organisation's part among those that wait, itself included.
  double ShareNow(int32_t organisation) const;

  /// Calls `visit` on each waiting request; it may erase the one it is given.
  template <typename visitor>
  void ForEach(visitor visit);

 private:
  struct flow;
  struct class_flow {
    boost::intrusive::set_member_hook<> order_hook;
    request_list waiting;
    flow* owner = nullptr;
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
      return a.owner->virtual_time != b.owner->virtual_time
                 ? a.owner->virtual_time < b.owner->virtual_time
                 : a.owner->organisation < b.owner->organisation;
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
  flow& FlowOf(int32_t organisation);
  const flow* FindFlow(int32_t organisation) const;
  class_flow& Admit(live_request& waiting);
  class_flow* Choose(bool archive_allowed, double cost);
  void Charge(flow& charged, double cost);
  void Reorder(flow& moved, double virtual_time);
  void Forget(class_flow& kind, live_request& waiting);

  // Flows are declared first, as the orders link into them.
  std::vector<std::unique_ptr<flow>> flows_;  // by organisation
  std::array<class_state, kUrgencyCount> by_class_;
  double virtual_time_ = 0;
  double last_cost_ = 0;
  double waiting_share_ = 0;  // sum over organisations that wait
  int size_ = 0;
  int since_archive_ = 0;
  time_point urgent_since_;
};

template <typename visitor>
void fair_queue::ForEach(visitor visit) {
  for (const std::unique_ptr<flow>& f : flows_) {
    if (f == nullptr || f->size == 0) {
      continue;
    }
    for (class_flow& kind : f->classes) {
      auto next = kind.waiting.begin();
      while (next != kind.waiting.end()) {
        live_request& current = *next;
        ++next;
        visit(current);
      }
    }
  }
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_FAIR_QUEUE_H_
