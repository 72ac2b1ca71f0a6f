#ifndef FOXTAILSPREAD_NET_CALLER_SERVER_H_
#define FOXTAILSPREAD_NET_CALLER_SERVER_H_

/// @file
/// The HTTP/1.1 server that callers connect to.
///
/// Requests are read whole before they are handed on. Pipelined ones are
/// worked on at the same time and answered in the order in which they came.

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <unordered_map>

#include "foxtailspread/load/held_memory.h"
#include "foxtailspread/time.h"
#include "net/caller_connection.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"

namespace foxtailspread {

/// Bytes kept for all connections unless the owner says otherwise: a quarter of
/// the memory that a host of the users' smaller sites has.
inline constexpr size_t kDefaultMostBuffered = size_t{64} << 20;

/// What a caller may send and how long it may take.
struct caller_limits {
  http_parse_limits sizes{};
  /// Time to send the headers, from their first byte.
  duration header_timeout{std::chrono::seconds{3}};
  /// Time without a byte on a connection without a request in work.
  duration idle_timeout{std::chrono::seconds{15}};
  /// Time without progress of a caller that lives and does not take its answer.
  duration untaken_timeout{std::chrono::seconds{15}};
  /// A connection without a request for this time is closed if another caller
  /// has no room. Sooner, its next request could be on its way.
  duration room_timeout{std::chrono::seconds{1}};
};

/// What the server did for want of room for connections.
struct room_counts {
  uint64_t closed = 0;   ///< Idle connections closed for others.
  uint64_t refused = 0;  ///< Connections whose requests are refused.
  uint64_t waits = 0;    ///< Times that accepting stopped.
  uint64_t total() const { return closed + refused + waits; }
};

/// What the server tells its owner.
struct caller_events {
  std::function<void(exchange_id, http_message)> on_request;
  /// The caller closed its connection before the answer.
  std::function<void(exchange_id)> on_gone;
};

/// What callers sent on connections that were to be closed, and nobody read.
struct dropped_input {
  int64_t requests = 0;     ///< Whole requests behind the last one answered.
  int64_t reads = 0;        ///< Reads while that one was still in work.
  int64_t connections = 0;  ///< Connections with bytes after the last answer.
};

/// Listens for callers.
///
/// @code
/// caller_server server(events, {.on_request = ..., .on_gone = ...});
/// if (status listening = server.Listen("10.0.0.1:80"); !listening) ...
/// server.Answer(id, answer);
/// @endcode
class caller_server {
 public:
  /// `memory` counts what this server and others of the process hold; null for
  /// a count of its own. The count must outlive requests that were handed on:
  /// their large bodies stay in it until they are released.
  caller_server(poller& events, caller_events owner,
                held_memory* memory = nullptr);
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  status Listen(std::string_view address);
  uint16_t port() const { return listener_.port(); }

  /// Answers a request. Does nothing when the caller is gone.
  void Answer(exchange_id id, http_message answer);

  /// Changes the limits, for requests that begin later.
  void SetLimits(const caller_limits& limits) { limits_ = limits; }

  /// Changes how many bytes all connections of this server together may keep
  /// of requests that arrive and answers that leave. A request that would take
  /// them, or the count of the process, beyond is refused as not run, before
  /// its body is read if its length is stated.
  void SetMostBuffered(size_t bytes) { most_buffered_ = bytes; }

  /// Bounds the connections. Beyond `most` a new one takes the place of the one
  /// that has been idle longest; if none is, its requests are refused as not
  /// run. Beyond `refused` of these, connections wait in the backlog.
  void SetMostConnections(size_t most, size_t refused) {
    most_connections_ = most;
    most_refused_ = refused;
  }
  room_counts room() const {
    return {.closed = closed_for_room_,
            .refused = refused_for_room_,
            .waits = listener_.waits()};
  }

  /// Stops or resumes accepting connections, which wait in the backlog
  /// meanwhile with what was sent on them.
  void PauseAccepting(bool paused) { listener_.PauseAccepting(paused); }

  /// Closes idle connections now, and each other one after the answer to the
  /// last request that was handed on.
  void BeginClosing();

  /// Requests handed on and not answered yet.
  size_t pending() const { return exchanges_.size(); }
  size_t connections() const { return connections_.size(); }
  /// Calls `visit` for each request whose answer has not been written yet,
  /// refused ones among them; those of one connection in order.
  void VisitUnanswered(
      const std::function<void(const unanswered_request&)>& visit) const;
  /// Bytes of answers that have not reached their callers.
  size_t UnreceivedBytes() const;
  const dropped_input& dropped() const { return dropped_; }
  /// Connections that were ended with answers which their callers had not
  /// taken.
  uint64_t untaken(untaken_reason reason) const {
    return untaken_[static_cast<size_t>(reason)];
  }
  /// Bytes of requests and answers kept for all connections, but for the large
  /// bodies of requests that were handed on.
  size_t buffered() const { return buffered_; }
  const held_memory& memory() const { return memory_; }

 private:
  friend class caller_connection;
  /// Whether the bytes kept, among them those of the request that asks, are
  /// too many.
  bool IsFull() const {
    return buffered_ > most_buffered_ || memory_.IsExceeded();
  }
  /// Whether a request with a body of this size fits that is not counted yet.
  bool HasRoom(size_t bytes) const {
    return buffered_ + bytes <= most_buffered_ && memory_.HasRoom(bytes);
  }
  using connection_list =
      boost::intrusive::list<caller_connection,
                             boost::intrusive::constant_time_size<true>>;

  void OnAccepted(int fd);
  /// Ends the connection that has been idle longest. False if none has been for
  /// long enough.
  bool CloseLongestIdle();
  caller_connection* LongestIdle(time_point now);
  exchange_id Register(caller_connection* from);
  void Forget(exchange_id id) { exchanges_.erase(id); }
  void Remove(caller_connection* connection);
  void CloseIdle();
  void OnUntaken(untaken_reason reason) {
    ++untaken_[static_cast<size_t>(reason)];
  }
  void OnRefusedForMemory();
  bool IsHalfFull() const {
    return buffered_ > most_buffered_ / 2 ||
           memory_.total() > memory_.bound() / 2;
  }
  /// If a request was refused for want of memory since the last call, or more
  /// is held than may be, ends connections of callers that do not take their
  /// answers, the ones that have stalled longest first, until half of it is
  /// free.
  void GiveUpStalled(time_point now);
  void Sweep();
  void ArmSweep();

  poller& events_;
  caller_events owner_;
  tcp_listener listener_;
  caller_limits limits_;
  connection_list connections_;
  std::unordered_map<exchange_id, caller_connection*> exchanges_;
  exchange_id last_id_ = 0;
  held_memory own_memory_{std::numeric_limits<size_t>::max()};
  held_memory& memory_;
  size_t buffered_ = 0;
  size_t most_buffered_ = kDefaultMostBuffered;
  size_t most_connections_ = std::numeric_limits<size_t>::max() / 2;
  size_t most_refused_ = std::numeric_limits<size_t>::max() / 2;
  uint64_t closed_for_room_ = 0;
  uint64_t refused_for_room_ = 0;
  dropped_input dropped_;
  std::array<uint64_t, kUntakenReasons> untaken_{};
  bool has_refused_for_memory_ = false;  ///< Since the last sweep.
  bool closing_ = false;
  bool close_idle_ = false;  ///< Idle connections are still to be closed.
  /// In a walk over the connections: a second one within, from a callback,
  /// could end the connection that the first one is to visit next.
  bool walking_ = false;
  bool sweep_armed_ = false;
  timer sweep_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_CALLER_SERVER_H_
