#include "net/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "foxtailspread/load/descriptor_budget.h"
#include "net/socket_address.h"

namespace foxtailspread {
namespace {

/// Read at once from one connection; larger bodies take several turns.
constexpr size_t kReadBytes = 32768;

/// Connections waiting to be accepted. A full queue drops the opening packet,
/// which the peer repeats only after a second.
constexpr int kBacklog = 512;

/// Reads that DiscardUnread() makes at most: a peer may go on sending.
constexpr int kMaxDiscards = 256;

/// How long accepting stops when it fails for a cause that lasts.
constexpr duration kRoomPause{std::chrono::milliseconds{100}};

/// A buffer that has been sent is kept for the next message up to this size; a
/// kept connection would hold the largest one that it ever carried.
constexpr size_t kKeptBuffer = 16384;

void SetInteger(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

std::array<char, kReadBytes>& ReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

}  // namespace

tcp_stream::tcp_stream(poller& events, poll_handler handler,
                       silence_limits limits)
    : events_(events), handler_(handler), silence_(limits) {}

void tcp_stream::SetOptions() {
  SetInteger(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
  const int probe_after = static_cast<int>(silence_.probe_after.count());
  LimitSilence(true);
  SetInteger(fd_, SOL_SOCKET, SO_KEEPALIVE, silence_.probes > 0 ? 1 : 0);
  if (silence_.probes == 0) {
    return;
  }
  SetInteger(fd_, IPPROTO_TCP, TCP_KEEPIDLE, probe_after);
  SetInteger(fd_, IPPROTO_TCP, TCP_KEEPINTVL, probe_after);
  SetInteger(fd_, IPPROTO_TCP, TCP_KEEPCNT, silence_.probes);
}

// TCP_USER_TIMEOUT also runs while the peer has no room, whatever it
// acknowledges.
void tcp_stream::LimitSilence(bool limited) {
  const int timeout =
      limited ? static_cast<int>(silence_.unacknowledged.count()) : 0;
  SetInteger(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout);
  is_silence_limited_ = limited;
}

void tcp_stream::Adopt(int fd) {
  fd_ = fd;
  SetOptions();
  watched_ = Wanted();
  events_.Add(fd_, watched_, &handler_);
}

bool tcp_stream::Connect(const socket_address& address) {
  const auto converted = NativeAddress(address);
  if (!converted) {
    return false;
  }
  const sockaddr_in& native = converted.value();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    short_ = IsShortage(errno);
    return false;
  }
  SetOptions();
  const int done =
      connect(fd_, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  if (done != 0 && errno != EINPROGRESS) {
    refused_ = errno == ECONNREFUSED;
    short_ = IsShortage(errno);
    close(std::exchange(fd_, -1));
    return false;
  }
  connecting_ = done != 0;
  watched_ = Wanted();
  events_.Add(fd_, watched_, &handler_);
  return true;
}

void tcp_stream::Write(std::string_view bytes) {
  Append(bytes);
  WriteOut();
}

void tcp_stream::Append(std::string_view bytes) {
  if (body_) {
    out_.append(body_->bytes().substr(body_start_));
    body_.reset();
  }
  out_.append(bytes);
}

void tcp_stream::WriteOut() {
  if (!connecting_ && fd_ >= 0) {
    failed_ = !Flush() || failed_;
    Update();
  }
}

void tcp_stream::WriteMessage(std::string bytes, body_ptr body) {
  if (bytes_waiting() > 0) {
    Append(bytes);
  } else {
    out_ = std::move(bytes);
    out_start_ = 0;
  }
  body_ = std::move(body);
  body_start_ = 0;
  WriteOut();
}

bool tcp_stream::Flush() {
  while (bytes_waiting() > 0) {
    std::array<iovec, 2> parts{};
    parts[0] = {.iov_base = out_.data() + out_start_,
                .iov_len = copied_waiting()};
    if (body_) {
      const std::string_view rest = body_->bytes().substr(body_start_);
      parts[1] = {.iov_base = const_cast<char*>(rest.data()),
                  .iov_len = rest.size()};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t sent = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    OnTaken(static_cast<size_t>(sent));
  }
  return true;
}

void tcp_stream::OnTaken(size_t sent) {
  bytes_sent_ += sent;
  has_unchecked_writes_ = true;
  const size_t copied = std::min(sent, copied_waiting());
  out_start_ += copied;
  body_start_ += sent - copied;
  if (body_waiting() == 0) {
    body_.reset();
  }
  if (copied_waiting() == 0) {
    out_start_ = 0;
    if (out_.capacity() > kKeptBuffer) {
      std::string{}.swap(out_);
    } else {
      out_.clear();
    }
  } else if (out_start_ > out_.size() / 2) {
    out_.erase(0, out_start_);
    out_start_ = 0;
    out_.shrink_to_fit();
  }
}

bool tcp_stream::OnWritable(uint32_t events) {
  if (failed_) {
    return false;
  }
  if (connecting_) {
    int problem = 0;
    socklen_t size = sizeof(problem);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &problem, &size);
    refused_ = problem == ECONNREFUSED;
    if (problem != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
      return false;
    }
    if ((events & EPOLLOUT) == 0) {
      return true;
    }
    connecting_ = false;
  }
  if (!Flush()) {
    return false;
  }
  Update();
  return true;
}

read_result tcp_stream::Read() {
  auto& buffer = ReadBuffer();
  const ssize_t got = recv(fd_, buffer.data(), buffer.size(), 0);
  if (got > 0) {
    return {read_end::kData, {buffer.data(), static_cast<size_t>(got)}};
  }
  if (got == 0) {
    return {read_end::kClosed, {}};
  }
  const bool later = errno == EAGAIN || errno == EINTR;
  return {later ? read_end::kNothing : read_end::kBroken, {}};
}

void tcp_stream::DiscardUnread() {
  for (int reads = 0; reads < kMaxDiscards; ++reads) {
    if (Read().end != read_end::kData) {
      return;
    }
  }
}

void tcp_stream::PauseReading(bool paused) {
  paused_ = paused;
  Update();
}

uint32_t tcp_stream::Wanted() const {
  uint32_t events = paused_ ? 0U : static_cast<uint32_t>(EPOLLIN | EPOLLRDHUP);
  if (connecting_ || bytes_waiting() > 0 || failed_) {
    events |= EPOLLOUT;
  }
  return events;
}

void tcp_stream::Update() {
  const uint32_t wanted = Wanted();
  if (fd_ >= 0 && wanted != watched_) {
    watched_ = wanted;
    events_.Change(fd_, watched_, &handler_);
  }
}

void tcp_stream::Close() {
  if (fd_ >= 0) {
    events_.Remove(fd_, &handler_);
    close(std::exchange(fd_, -1));
  }
}

void tcp_stream::Abort() {
  ResetOnClose();
  Close();
}

void tcp_stream::ResetOnClose() {
  if (fd_ >= 0) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
}

void tcp_stream::ShutDownWriting() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_WR);
    shut_down_ = true;
  }
}

peer_check tcp_stream::CheckPeer(time_point now) {
  if (!is_connected() || !has_unchecked_writes_) {
    return {.acknowledged = bytes_sent_};
  }
  // Most of what is sent is acknowledged by the next check.
  if (!waiting_since_) {
    waiting_since_ = now;
    return {.acknowledged = bytes_sent_};
  }
  const size_t in_kernel = bytes_unacknowledged();
  peer_check found{.acknowledged = bytes_sent_ - in_kernel,
                   .unreceived = in_kernel + bytes_waiting()};
  if (found.unreceived == 0) {
    has_unchecked_writes_ = false;
    waiting_since_.reset();
  } else {
    found.state = JudgePeer(
        QueueState(found.unreceived, now - *waiting_since_),
        std::chrono::duration_cast<duration>(silence_.unacknowledged));
  }
  if (found.state == peer_state::kReading && !is_silence_limited_) {
    LimitSilence(true);
  } else if (found.state == peer_state::kNotReading && is_silence_limited_) {
    LimitSilence(false);
  }
  return found;
}

send_queue_state tcp_stream::QueueState(size_t bytes, duration waiting) const {
  send_queue_state queue{.bytes = bytes, .waiting = waiting};
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
    queue.since_ack = std::chrono::milliseconds{info.tcpi_last_ack_recv};
    queue.unanswered = info.tcpi_retransmits + info.tcpi_probes;
    // The timer of probes has run, and nothing was sent a second time.
    queue.is_window_closed =
        info.tcpi_backoff > 0 && info.tcpi_retransmits == 0;
  }
  return queue;
}

size_t tcp_stream::bytes_unacknowledged() const {
  int unacknowledged = 0;
  if (fd_ < 0 || ioctl(fd_, SIOCOUTQ, &unacknowledged) != 0) {
    return 0;
  }
  // The end of this side's direction counts like a byte.
  const int end = shut_down_ ? 1 : 0;
  return static_cast<size_t>(std::max(unacknowledged - end, 0));
}

tcp_listener::tcp_listener(poller& events, receiver on_accepted)
    : events_(events),
      handler_(HandlerFor<&tcp_listener::OnReady>(this)),
      on_accepted_(std::move(on_accepted)) {}

status tcp_listener::Listen(std::string_view address) {
  const auto converted = NativeAddress(address);
  if (!converted) {
    return converted.error();
  }
  sockaddr_in native = converted.value();
  const auto failed = [&](std::string_view what) {
    return error{error_code::kUnavailable, std::string{address},
                 std::string{what} + ": " + std::strerror(errno),
                 "set an address and a free port of this host"};
  };
  Close();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    return failed("no socket");
  }
  SetInteger(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  if (bind(fd_, generic, sizeof(native)) != 0 || listen(fd_, kBacklog) != 0) {
    return failed("cannot listen");
  }
  socklen_t size = sizeof(native);
  getsockname(fd_, generic, &size);
  port_ = ntohs(native.sin_port);
  events_.Add(fd_, EPOLLIN, &handler_);
  return OkStatus();
}

void tcp_listener::PauseAccepting(bool paused) {
  paused_ = paused && fd_ >= 0;
  Watch();
}

void tcp_listener::Watch() {
  if (fd_ >= 0) {
    const bool accepts = !paused_ && !awaits_room_;
    events_.Change(fd_, accepts ? static_cast<uint32_t>(EPOLLIN) : 0U,
                   &handler_);
  }
}

void tcp_listener::AwaitRoom() {
  awaits_room_ = true;
  ++waits_;
  Watch();
  room_ = RunAfter(kRoomPause, [this] { OnRoom(); });
}

void tcp_listener::OnRoom() {
  if (std::exchange(awaits_room_, false)) {
    room_.Cancel();
    Watch();
  }
}

void tcp_listener::Close() {
  paused_ = false;
  awaits_room_ = false;
  room_.Cancel();
  if (fd_ >= 0) {
    events_.Remove(fd_, &handler_);
    close(std::exchange(fd_, -1));
  }
}

void tcp_listener::OnReady(uint32_t /*events*/) {
  bool has_made_room = false;
  int failures = 0;
  while (fd_ >= 0 && !awaits_room_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      has_made_room = false;
      on_accepted_(fd);
      continue;
    }
    const int problem = errno;
    if (++failures > kBacklog) {
      AwaitRoom();
      return;
    }
    if (!CanGoOn(problem, has_made_room)) {
      return;
    }
    has_made_room = has_made_room || problem == EMFILE;
  }
}

bool tcp_listener::CanGoOn(int problem, bool has_made_room) {
  const accept_step step = StepAfterFailedAccept(problem);
  if (step == accept_step::kNext) {
    return true;
  }
  // The system asks for a descriptor before it looks whether one waits.
  if (step == accept_step::kDone || !HasWaiting()) {
    return false;
  }
  if (step == accept_step::kMakeRoom && !has_made_room && make_room_ &&
      make_room_()) {
    return true;
  }
  AwaitRoom();
  return false;
}

bool tcp_listener::HasWaiting() const {
  pollfd asked{.fd = fd_, .events = POLLIN, .revents = 0};
  return poll(&asked, 1, 0) > 0;
}

}  // namespace foxtailspread
