#ifndef FOXTAILSPREAD_NET_POOLED_CONNECTION_H_
#define FOXTAILSPREAD_NET_POOLED_CONNECTION_H_

/// @file
/// One outgoing connection of a pool and the calls that it carries, one after
/// the other.

#include <boost/intrusive/list_hook.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/address.h"
#include "foxtailspread/time.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"

namespace foxtailspread {

/// How a call ended.
enum class call_end {
  kAnswered,
  kRefused,       ///< Nobody listens there: the process is gone. Not sent.
  kUnreachable,   ///< No connection was made. Nothing was sent.
  kNoDescriptor,  ///< This host had none left to connect with. Not sent.
  kNotWritten,    ///< A kept connection had ended; no byte was written.
  kBroken,        ///< Written in part at least; no whole answer came.
};

/// The end of one call.
struct call_result {
  call_end end = call_end::kUnreachable;
  http_message answer{};  ///< With kAnswered.
  /// The large body of the call, unless it was written whole or cannot be sent
  /// again.
  body_ptr unsent_body{};
  /// The connection was made for this call.
  bool fresh_connection = false;
  /// Names the connection; the same number in two results means the same
  /// process answered both.
  uint64_t connection = 0;
  /// With kBroken: the bytes that came, if the answer was given up because it
  /// was longer than any that is awaited. 0 else.
  uint64_t excess_bytes = 0;
  /// With kBroken: what is wrong with the bytes that came, if they are no
  /// answer; "" else.
  std::string_view malformed{};
};

/// One call.
struct pool_call {
  std::string_view address;  ///< "IP:port".
  std::string request;       ///< As FormatRequest wrote it.
  body_ptr body{};           ///< Written behind `request`, if any.
  bool head = false;
  /// The value of the echo header that the answer must carry; "" for any.
  std::string echo{};
  /// A header that tells successes of two kinds of calls apart; "" for none. A
  /// success that has it and should not, or the reverse, answers another call.
  std::string_view mark{};
  /// Whether a success of this call has `mark`. Its value then belongs to this
  /// call alone: with one that came on the connection before, the call ends as
  /// broken.
  bool marked = false;
  duration connect_timeout{std::chrono::milliseconds{500}};
  /// Use a kept connection with a number up to this one or none: the call must
  /// reach a process that was there when that one was made. 0 for any.
  uint64_t newest_connection = 0;
  /// If not empty, the call goes only over a connection on which the peer has
  /// answered before: it may read from a new one only after the call was given
  /// up. This request is sent first on a new connection.
  std::string opening{};
};

/// An answer that no call awaited: most likely a second one to a call that had
/// ended, or the true one to a call that had taken another for its own.
struct surplus_answer {
  std::string_view address{};
  uint64_t connection = 0;
  int status = 0;
  std::string_view echo{};     ///< The echo header's value; "" if none.
  std::string_view awaited{};  ///< The value awaited; "" if idle or none.
  bool is_idle = false;        ///< No call was under way.
};

/// What a pool goes by.
struct pool_settings {
  /// An answer carries back the value that the request had here; "" for none.
  /// It tells a late second answer to an earlier call from the one awaited.
  std::string echo_header{};
  /// An answer with this header needs no echo. A connection carries no further
  /// call after an answer without one.
  std::string echo_exempt_header{};
  /// Idle connections are kept so long unless the peer says otherwise.
  duration keep_idle{std::chrono::seconds{6}};
  /// How long the answer to an opening request is waited for.
  duration opening_timeout{std::chrono::seconds{3}};
  /// A call that has an opening request is written within this time or not at
  /// all.
  duration write_timeout{std::chrono::milliseconds{500}};
  /// Connections always end with a reset, so that nothing of a call is
  /// delivered after the process has ended.
  bool reset_on_close = false;
  /// A call that has no answer after this time ends as broken; 0 for no end.
  duration call_timeout{0};
  /// How soon a silent peer is given up.
  silence_limits silence = kNearSilence;
  /// What one answer may take. A peer may send bytes without end.
  http_parse_limits limits{.max_header_bytes = 65536,
                           .max_body_bytes = size_t{32} << 20};
  /// What all answers that are arriving may take together. Beyond, the longest
  /// one is given up.
  size_t max_arriving_bytes = std::numeric_limits<size_t>::max();
  /// Counts the bytes that the connections hold; null for none.
  held_memory* memory = nullptr;
  /// Connections at most. Beyond, and where the process has no descriptor left,
  /// the one that has been idle longest makes room for a new one.
  size_t max_connections = std::numeric_limits<size_t>::max();
  /// Runs for each surplus answer, which is then dropped. It must not use the
  /// pool.
  std::function<void(const surplus_answer&)> on_surplus{};
};

/// Names one call of one pool.
using call_id = uint64_t;

using call_receiver = std::function<void(call_result)>;

class connection_pool;

/// A connection: connecting, opening, carrying a call, or idle. Owned by its
/// pool.
class pooled_connection : public boost::intrusive::list_base_hook<> {
 public:
  pooled_connection(connection_pool& pool, std::string address,
                    uint64_t number);

  /// Starts to connect. One that fails at once counts as late. False if this
  /// host has no descriptor for it.
  bool Connect(const socket_address& to, time_point give_up);
  /// Counts as one that had no descriptor.
  void LackDescriptor() { lacks_descriptor_ = true; }

  void Begin(call_id id, pool_call call, call_receiver on_ended, bool fresh);

  /// Sends an opening request, which belongs to no call.
  void Open(std::string_view request, time_point give_up);

  /// Whether a copy of an earlier answer on this connection, which the peer may
  /// send at any later time, cannot be taken for the answer to `call`.
  bool CanTellAnswerTo(const pool_call& call) const;

  /// Whether the peer has neither closed nor sent anything meanwhile.
  bool StillQuiet() { return stream_.Read().end == read_end::kNothing; }

  bool IsConnectLate(time_point now) const {
    return (id_ != 0 || opening_) && !stream_.is_connected() &&
           (!stream_.is_open() || now >= connect_until_);
  }
  bool IsOpeningLate(time_point now) const {
    return opening_ && (now >= opening_until_ || IsConnectLate(now));
  }
  time_point idle_until() const { return idle_until_; }
  bool IsIdleOver(time_point now) const {
    return id_ == 0 && !opening_ && now >= idle_until_;
  }
  bool IsAnswerLate(time_point now) const {
    return id_ != 0 && now >= answer_until_;
  }
  /// Whether the peer gives no sign of life while it owes one. One that lives
  /// may leave a large request unread for as long as the call lasts.
  bool IsPeerGone(time_point now) {
    return id_ != 0 && stream_.CheckPeer(now).state == peer_state::kGone;
  }
  void OnLate() { FailSend(stream_.is_connected()); }
  void OnOpeningLate() { FailSend(stream_.is_connected()); }
  /// Ends the call because its answer is too long.
  void GiveUpAnswer();
  /// Bytes of the answer that is arriving.
  size_t arriving_bytes() const { return arriving_.bytes(); }
  void PauseReading(bool paused) { stream_.PauseReading(paused); }
  void Abort() { stream_.Abort(); }
  void Close() { stream_.Close(); }

  /// Ends the call; its receiver is the pool's to run.
  call_receiver TakeReceiver();

  /// Whether any byte of the call was handed to the network.
  bool HasWritten() const { return stream_.bytes_sent() > sent_before_; }

  call_id id() const { return id_; }
  const std::string& address() const { return address_; }
  uint64_t number() const { return number_; }
  bool is_fresh() const { return fresh_; }
  /// After a call: whether another one may use the connection.
  bool is_reusable() const { return idle_until_ > time_point{}; }

 private:
  void OnReady(uint32_t events);
  void OnBytes(std::string_view bytes);
  void FinishIfWhole();
  /// Whether more has come than can belong to the answer awaited.
  bool IsEndless() const;
  /// Forgets what came for the call before.
  void ExpectAnswer();
  bool IsAwaited(const http_message& answer) const;
  /// Whether the value of a success's mark came on this connection before. The
  /// answer may be a copy, or the peer may use one value twice. Remembers it.
  bool IsRepeatedMark(const http_message& answer);
  /// Whether no echo is expected of what is under way.
  bool IsWithoutEcho() const;
  /// The value of the echo header, if the pool has one and the answer too.
  std::optional<std::string_view> EchoOf(const http_message& answer) const;
  /// Reports the whole answers that are left after the end of a call. Returns
  /// whether there are any.
  bool ReportLeftAnswers();
  void ReportSurplus(const http_message& answer, bool is_idle);
  void Answered(http_message answer);
  void KeepIdle(const http_message& answer);
  void FailSend(bool was_connected);
  void Fail(call_end end, uint64_t excess_bytes = 0);
  void CountBytes();

  connection_pool& pool_;
  std::string address_;
  uint64_t number_;
  tcp_stream stream_;
  http_reader reader_;
  call_id id_ = 0;
  call_receiver on_ended_;
  std::string echo_;
  std::vector<uint64_t> carried_echoes_;  ///< Hashed; of all calls so far.
  std::vector<uint64_t> seen_marks_;      ///< Hashed; of all successes so far.
  std::string_view mark_;
  bool marked_ = false;
  bool fresh_ = true;
  bool spoiled_ = false;
  bool closed_ = false;
  bool lacks_descriptor_ = false;
  bool opening_ = false;  ///< The opening request is not answered yet.
  time_point opening_until_{};
  uint64_t sent_before_ = 0;
  uint64_t received_bytes_ = 0;  ///< Since the call began.
  uint64_t skipped_bytes_ = 0;   ///< Of these, in bodies of other answers.
  int skipped_answers_ = 0;      ///< Interim ones too.
  time_point connect_until_{};
  time_point idle_until_{};
  time_point answer_until_ = time_point::max();
  memory_charge to_target_;
  memory_charge answer_;
  memory_charge arriving_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_POOLED_CONNECTION_H_
