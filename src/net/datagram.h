#ifndef FOXTAILSPREAD_NET_DATAGRAM_H_
#define FOXTAILSPREAD_NET_DATAGRAM_H_

/// @file
/// Datagrams between hosts: hints that may be lost.

#include <cstdint>
#include <functional>
#include <string_view>

#include "foxtailspread/error.h"
#include "net/poller.h"

namespace foxtailspread {

/// A UDP socket that sends and receives.
class datagram_socket {
 public:
  using receiver = std::function<void(std::string_view)>;

  datagram_socket(poller& events, receiver on_datagram);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  status Listen(std::string_view address);
  void Close();

  /// The port in use, also when the settings asked for any.
  uint16_t port() const { return port_; }

  /// Sends one datagram, or drops it when the socket is full.
  void Send(std::string_view address, std::string_view bytes);

 private:
  void OnReady(uint32_t events);

  poller& events_;
  poll_handler handler_;
  receiver on_datagram_;
  int fd_ = -1;
  uint16_t port_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_DATAGRAM_H_
