#include "net/datagram.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "net/socket_address.h"

namespace foxtailspread {
namespace {

/// No datagram of the system is longer.
constexpr size_t kMaxDatagram = 65536;

/// Datagrams read at one turn of the loop.
constexpr int kMaxPerTurn = 32;

}  // namespace

datagram_socket::datagram_socket(poller& events, receiver on_datagram)
    : events_(events),
      handler_(HandlerFor<&datagram_socket::OnReady>(this)),
      on_datagram_(std::move(on_datagram)) {}

datagram_socket::~datagram_socket() { Close(); }

void datagram_socket::Close() {
  if (fd_ >= 0) {
    events_.Remove(fd_, &handler_);
    close(std::exchange(fd_, -1));
  }
}

status datagram_socket::Listen(std::string_view address) {
  const auto native = NativeAddress(address);
  if (!native) {
    return native.error();
  }
  Close();
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in& to = native.value();
  if (fd_ < 0 ||
      bind(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    return error{
        error_code::kUnavailable, std::string{address},
        std::string{"cannot listen for datagrams: "} + std::strerror(errno),
        "set an address and a free port of this host"};
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
  events_.Add(fd_, EPOLLIN, &handler_);
  return OkStatus();
}

void datagram_socket::Send(std::string_view address, std::string_view bytes) {
  const auto native = NativeAddress(address);
  if (!native || fd_ < 0) {
    return;
  }
  const sockaddr_in& to = native.value();
  sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void datagram_socket::OnReady(uint32_t /*events*/) {
  static std::array<char, kMaxDatagram> buffer;
  for (int i = 0; i < kMaxPerTurn; ++i) {
    const ssize_t got = recv(fd_, buffer.data(), buffer.size(), 0);
    if (got < 0) {
      return;
    }
    on_datagram_({buffer.data(), static_cast<size_t>(got)});
  }
}

}  // namespace foxtailspread
