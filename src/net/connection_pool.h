#ifndef FOXTAILSPREAD_NET_CONNECTION_POOL_H_
#define FOXTAILSPREAD_NET_CONNECTION_POOL_H_

/// @file
/// Outgoing HTTP/1.1 calls over kept connections, one call at a time on each.
///
/// The pool never sends a request twice, and says of each that ended without
/// an answer whether any byte of it was handed to the network. Whether to send
/// again is its caller's decision alone.
///
/// A peer may repeat an answer at any later time. A call goes only over a
/// connection on which its own answer can be told from a repeated one.
///
/// A call with an opening request goes out on no connection that the peer may
/// not read yet. It waits for an idle one; while calls to an address wait, one
/// connection is being opened there.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "foxtailspread/time.h"
#include "net/pooled_connection.h"
#include "net/tcp_stream.h"
#include "net/waiting_calls.h"

namespace foxtailspread {

/// How far a call under way has come.
struct call_progress {
  uint64_t connection = 0;        ///< Number of its connection.
  bool fresh_connection = false;  ///< The connection was made for this call.
  bool written = false;           ///< A byte of it was handed to the network.
};

/// Connections to any number of addresses.
class connection_pool {
 public:
  using receiver = call_receiver;

  connection_pool(poller& events, pool_settings settings);
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Starts a call. `on_ended` runs once, later, unless the call is cancelled.
  call_id Send(pool_call call, receiver on_ended);

  /// Ends a call by resetting its connection; its receiver does not run. What
  /// the network still holds of the request is lost with it.
  void Cancel(call_id id);

  /// Whether any byte of a call under way was handed to the network. While
  /// none was, nobody can have run it.
  bool HasWritten(call_id id) const { return Progress(id).written; }

  /// How far a call has come; the default value for one that is not under way.
  call_progress Progress(call_id id) const;

  /// Changes what answers may take, one and all together; one that is arriving
  /// keeps its own bound.
  void SetAnswerLimits(size_t one, size_t all);

  uint64_t connections_made() const { return connections_made_; }
  size_t connections() const { return all_.size(); }
  void SetMostConnections(size_t most) { settings_.max_connections = most; }
  /// Idle connections that were closed for others.
  uint64_t closed_for_room() const { return closed_for_room_; }
  /// Connections that were not made for want of a descriptor.
  uint64_t not_made() const { return not_made_; }

 private:
  friend class pooled_connection;
  using connection_list =
      boost::intrusive::list<pooled_connection,
                             boost::intrusive::constant_time_size<true>>;

  pooled_connection& MakeConnection(const std::string& address,
                                    duration connect_timeout, bool may_connect);
  /// Connects, if need be in place of an idle connection.
  void Connect(pooled_connection& connection, const socket_address& to,
               time_point give_up);
  /// Closes the idle connection whose time ends first. False if none is idle.
  bool CloseIdleForRoom();
  void Wait(call_id id, pool_call call, receiver on_ended);
  /// Gives calls that wait the idle connections to `address`, and opens one
  /// more if that is not enough.
  void ServeWaiting(std::string address);
  void OpenConnection(const waiting_call& waiting);
  /// Handles the end of an opening. If the connection is of no use, the calls
  /// that wait for it end as well.
  void FinishOpening(pooled_connection* connection, call_end end);
  /// Ends the calls whose time to be written is over.
  void EndOverdue();
  void ArmWriteTimer();
  /// Takes the idle connection to `address` that was used last of those that
  /// may carry `call`; nullptr if there is none.
  pooled_connection* TakeIdle(const std::string& address,
                              const pool_call& call);
  void Keep(pooled_connection* connection);
  void Drop(pooled_connection* connection);
  void Finish(pooled_connection* connection, call_result result);
  /// Counts a read of a large answer. Beyond the reads of a period, reading
  /// from the connection stops until its turn: at the speed of the link, bytes
  /// without end would take all the processor's time.
  void PaceReading(pooled_connection& connection);
  void ReadPaced();
  void ArmPacing();
  /// Gives answers up, the longest ones first, until the others fit.
  void GiveUpLongest();
  void GiveUpLongestSoon();
  void Sweep();
  void ArmSweep();

  poller& events_;
  pool_settings settings_;
  held_memory arriving_;  ///< By answers of this pool.
  connection_list all_;
  std::unordered_map<std::string, std::vector<pooled_connection*>> idle_;
  std::unordered_map<call_id, pooled_connection*> calls_;
  waiting_calls waiting_;
  std::unordered_set<std::string> opening_;  ///< Addresses with an opening.
  call_id last_call_ = 0;
  uint64_t connections_made_ = 0;
  uint64_t closed_for_room_ = 0;
  uint64_t not_made_ = 0;
  bool sweep_armed_ = false;
  timer sweep_;
  bool write_timer_armed_ = false;
  timer write_timer_;
  std::deque<call_id> paced_;  ///< Calls whose connections wait to be read.
  int paced_reads_left_;       ///< In this period.
  bool pacing_armed_ = false;
  timer pacing_;
  bool give_up_due_ = false;
  timer give_up_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_CONNECTION_POOL_H_
