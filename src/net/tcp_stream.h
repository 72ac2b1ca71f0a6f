#ifndef FOXTAILSPREAD_NET_TCP_STREAM_H_
#define FOXTAILSPREAD_NET_TCP_STREAM_H_

/// @file
/// One TCP connection without blocking, with a buffer for what the peer does
/// not take yet.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "foxtailspread/address.h"
#include "foxtailspread/load/slow_reader.h"
#include "foxtailspread/time.h"
#include "net/poller.h"
#include "net/shared_body.h"

namespace foxtailspread {

/// What one read of a connection found.
enum class read_end {
  kData,     ///< Bytes arrived.
  kNothing,  ///< None at present.
  kClosed,   ///< The peer ended its side in order.
  kBroken,   ///< The connection was reset or timed out.
};

/// Bytes of one read, valid until the next read of any stream.
struct read_result {
  read_end end = read_end::kNothing;
  std::string_view bytes;
};

/// How soon a connection whose peer has gone silent is given up. A peer that
/// lost power or is cut off sends no reset.
struct silence_limits {
  /// Without an acknowledgement of what was sent. A peer that acknowledges and
  /// does not read is not silent.
  std::chrono::milliseconds unacknowledged{3000};
  /// Of silence before an idle connection is probed, and between two probes.
  std::chrono::seconds probe_after{2};
  /// Probes that may go unanswered; 0 sends none.
  int probes = 2;
};

/// For connections whose other end is on the deployment's own network, where
/// silence of a second means loss.
inline constexpr silence_limits kNearSilence{
    .unacknowledged = std::chrono::milliseconds{1500},
    .probe_after = std::chrono::seconds{1},
    .probes = 1};

/// What a check of a peer found.
struct peer_check {
  peer_state state = peer_state::kReading;
  uint64_t acknowledged = 0;  ///< Bytes that the peer has taken so far.
  size_t unreceived = 0;      ///< Bytes that it has not.
};

/// A connected or connecting socket. The owner's handler hears of readiness;
/// it calls OnWritable() first, then Read() until kNothing.
class tcp_stream {
 public:
  tcp_stream(poller& events, poll_handler handler, silence_limits limits = {});
  ~tcp_stream() { Close(); }
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Takes an accepted descriptor over.
  void Adopt(int fd);

  /// Begins to connect. False when the address cannot be reached at once, or
  /// this host has nothing left to connect with.
  bool Connect(const socket_address& address);

  /// Sends what the socket takes now and keeps the rest.
  void Write(std::string_view bytes);
  /// The same without a copy: keeps `bytes`, and behind them `body`, which may
  /// be null, until the socket has taken them.
  void WriteMessage(std::string bytes, body_ptr body);
  /// Gives back what WriteMessage() left of a body, whole, if any.
  body_ptr TakeBody() { return std::exchange(body_, nullptr); }

  /// Ends a connect and sends what is left. False when the connection failed.
  bool OnWritable(uint32_t events);

  read_result Read();
  /// Reads and drops what has arrived.
  void DiscardUnread();

  /// Stops or resumes the delivery of readable events, to slow a peer down.
  void PauseReading(bool paused);

  /// Closes at once. Bytes not sent yet are lost; unread ones make a reset.
  void Close();
  /// Closes with a reset, so that bytes held up on the way are dropped too.
  void Abort();
  /// Makes every close a reset, also that by the end of this process.
  void ResetOnClose();
  /// Ends this side's direction, so that what was sent arrives whole.
  void ShutDownWriting();

  bool is_open() const { return fd_ >= 0; }
  bool is_connected() const { return fd_ >= 0 && !connecting_; }
  /// The peer's machine answered that no process listens there.
  bool was_refused() const { return refused_; }
  /// This host had no descriptor, port or memory for the connection.
  bool was_short() const { return short_; }
  /// Bytes that the kernel has taken. 0 proves that the peer saw none.
  uint64_t bytes_sent() const { return bytes_sent_; }
  size_t bytes_waiting() const { return copied_waiting() + body_waiting(); }
  /// Of these, the ones that the stream alone holds.
  size_t copied_waiting() const { return out_.size() - out_start_; }
  /// Tells whether the peer takes what was sent, and lets the kernel wait for
  /// one that lives. To be called several times within the limit of silence.
  peer_check CheckPeer(time_point now);
  /// Bytes that the kernel has taken and the peer has not acknowledged. Closing
  /// with unread bytes makes a reset, which destroys them.
  size_t bytes_unacknowledged() const;

 private:
  uint32_t Wanted() const;
  void Update();
  void Append(std::string_view bytes);
  void WriteOut();
  bool Flush();
  /// Forgets `sent` bytes of what waits.
  void OnTaken(size_t sent);
  size_t body_waiting() const {
    return body_ ? body_->bytes().size() - body_start_ : 0;
  }
  void SetOptions();
  /// Lets the kernel end the connection for silence, or not.
  void LimitSilence(bool limited);
  send_queue_state QueueState(size_t bytes, duration waiting) const;

  poller& events_;
  poll_handler handler_;
  silence_limits silence_;
  int fd_ = -1;
  bool connecting_ = false;
  bool paused_ = false;
  bool failed_ = false;
  bool refused_ = false;
  bool short_ = false;
  bool shut_down_ = false;
  uint32_t watched_ = 0;
  std::string out_;
  size_t out_start_ = 0;
  body_ptr body_;  ///< Sent behind `out_`.
  size_t body_start_ = 0;
  uint64_t bytes_sent_ = 0;
  bool has_unchecked_writes_ = false;
  std::optional<time_point> waiting_since_;  ///< Of bytes not acknowledged.
  bool is_silence_limited_ = true;
};

/// A socket that accepts connections.
class tcp_listener {
 public:
  using receiver = std::function<void(int fd)>;
  /// Frees a descriptor. False if it cannot.
  using room_maker = std::function<bool()>;

  tcp_listener(poller& events, receiver on_accepted);
  ~tcp_listener() { Close(); }
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  status Listen(std::string_view address);
  void Close();
  /// Stops or resumes accepting. Peers connect and send meanwhile; their
  /// connections wait in the backlog.
  void PauseAccepting(bool paused);

  /// `make_room` runs when a connection waits and no descriptor is left.
  void OnShortage(room_maker make_room) { make_room_ = std::move(make_room); }
  /// Stops accepting for a moment, or until OnRoom(). At once it would fail
  /// again, and the loop turn without end.
  void AwaitRoom();
  /// A descriptor may have become free.
  void OnRoom();
  /// Times that accepting stopped so.
  uint64_t waits() const { return waits_; }

  /// The port in use, also when the settings asked for any.
  uint16_t port() const { return port_; }

 private:
  void OnReady(uint32_t events);
  /// Whether another try may succeed at once.
  bool CanGoOn(int problem, bool has_made_room);
  bool HasWaiting() const;
  void Watch();

  poller& events_;
  poll_handler handler_;
  receiver on_accepted_;
  room_maker make_room_;
  int fd_ = -1;
  uint16_t port_ = 0;
  bool paused_ = false;  ///< By the owner.
  bool awaits_room_ = false;
  uint64_t waits_ = 0;
  timer room_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_TCP_STREAM_H_
