#ifndef FOXTAILSPREAD_NET_CALLER_CONNECTION_H_
#define FOXTAILSPREAD_NET_CALLER_CONNECTION_H_

/// @file
/// One connection of a caller: its requests in order and their answers.

#include <boost/intrusive/list_hook.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "foxtailspread/load/slow_reader.h"
#include "foxtailspread/time.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"

namespace foxtailspread {

class caller_server;

/// Why a connection was ended with an answer that its caller had not taken.
enum class untaken_reason {
  kCallerGone,  ///< Its machine gives no sign of life.
  kStalled,     ///< It has taken too little for too long.
  kMemory,      ///< The same for a shorter time, while memory is short.
};
inline constexpr size_t kUntakenReasons = 3;

/// Returns the name of `reason` in logs and metrics. Names are stable.
const char* ToString(untaken_reason reason);

/// Names one request and its answer on one server. Never used twice.
using exchange_id = uint64_t;

/// A request that was handed on and whose answer has not been written yet.
struct unanswered_request {
  exchange_id id = 0;
  time_point arrived_at{};
  size_t ahead = 0;  ///< Unanswered requests before it on its connection.
  /// The answer, if it is ready and waits for those ahead; else null.
  const http_message* answer = nullptr;
  time_point answered_at{};  ///< When that became ready.
};

/// Owned by its server, which destroys it after Remove().
class caller_connection : public boost::intrusive::list_base_hook<> {
 public:
  caller_connection(caller_server& server, int fd, time_point now);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void Answer(exchange_id id, http_message answer);
  /// Closes when nothing is in work; else after the last answer.
  void CloseWhenIdle(time_point now);
  /// How long no request has been read or answered; 0 while one is on its way
  /// or in work, an answer is, or the connection is being closed.
  duration IdleFor(time_point now) const;
  /// Ends a connection that is idle, which destroys it. False if a request has
  /// come, or its last answer has not arrived yet; then it is not idle.
  bool CloseForRoom(time_point now);
  /// There is no room for this connection: its requests are refused.
  void RefuseRequests() { refuses_ = true; }
  /// Ends a connection whose time is over, which may destroy it.
  void CheckTimes(time_point now);

  /// Calls `visit` for each request whose answer has not been written, in
  /// order.
  void VisitUnanswered(
      const std::function<void(const unanswered_request&)>& visit) const;
  /// Bytes of answers that have not reached the caller.
  size_t UnreceivedBytes() const;
  /// How long the caller has made no progress with its answers; 0 if none
  /// waits.
  duration StalledFor(time_point now) const {
    return progress_.StalledFor(now);
  }
  /// Bytes that this process keeps for the connection.
  size_t held_bytes() const { return counted_bytes_; }
  /// Resets a connection whose caller does not take its answer, which destroys
  /// it.
  void GiveUp(untaken_reason reason, time_point now);

 private:
  struct exchange {
    exchange_id id = 0;  ///< 0 if it was never handed on.
    time_point arrived_at{};
    time_point answered_at{};
    bool head = false;
    /// Kept until it is answered, but for a large body.
    size_t request_bytes = 0;
    /// Formatted when it is sent: only then is it known whether it is the last.
    std::optional<http_message> answer{};

    bool is_in_work() const { return !answer; }
  };

  void OnReady(uint32_t events);
  void OnReadableAfterClose(uint32_t events);
  bool HasLingered(time_point now);
  /// False if the caller is given up, which destroys the connection.
  bool CheckReading(time_point now);
  bool ReadAll();
  bool IsOverdue(time_point now) const;
  void LogCutRequest() const;
  void TakeRequests();
  void AddRequest(http_message request);
  /// Hands nothing more on and closes after the answer to the last request that
  /// was. What comes behind it its caller may send again.
  void CloseAfterLast();
  void AddRefusal(int status);
  void RefuseRest(int status);
  bool IsShortOfMemory();
  /// The same for a request that is here whole.
  bool IsTooMuch(const http_message& request);
  void RefuseForMemory(const http_message& request);
  void RefuseForRoom(const http_message& request);
  void CountBytes();
  /// Reads no further while the caller takes no answers.
  void UpdateReading();
  void Flush();
  /// Ends this side. Nothing is in work.
  void BeginLingering(time_point now);
  /// Destroys the connection and tells the owner of unanswered requests.
  void End();

  caller_server& server_;
  tcp_stream stream_;
  http_reader reader_;
  std::deque<exchange> exchanges_;
  time_point last_byte_;
  time_point message_began_{};
  read_progress progress_;
  memory_charge arriving_;    ///< Of requests.
  memory_charge leaving_;     ///< Of answers.
  size_t counted_bytes_ = 0;  ///< This connection's part of the server's sum.
  /// There is room for the request that is arriving, whose length is known.
  bool has_room_ = false;
  bool handing_on_ = false;  ///< Answers wait for the end of the batch.
  bool refuses_ = false;     ///< There was no room for the connection.
  bool closes_after_last_ = false;
  bool lingering_ = false;
  bool discards_rest_ = false;  ///< The rest of a refused request may come.
  bool has_unread_request_ = false;  ///< One came after the close.
  size_t unreceived_bytes_ = 0;      ///< At the last check while lingering.
  time_point answer_progress_at_{};  ///< When that number last changed.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_CALLER_CONNECTION_H_
