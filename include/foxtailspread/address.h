#ifndef FOXTAILSPREAD_ADDRESS_H_
#define FOXTAILSPREAD_ADDRESS_H_

/// @file
/// Addresses as settings and configuration write them.

#include <cstdint>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// An IP number and a port; IPv6 without its brackets.
struct socket_address {
  std::string ip;
  uint16_t port = 0;
};

/// Parses "IP:port" or "[IPv6]:port". Names are not resolved: hosts talk by
/// IP numbers. Port 0 means any free port and suits only listening addresses.
///
/// @code
/// result<socket_address> listen = ParseAddress("127.0.0.1:8080");
/// @endcode
result<socket_address> ParseAddress(std::string_view text);

/// Checks that `text` is an address that others can connect to.
status CheckReachableAddress(std::string_view text);

/// Checks that `text` is an address to listen on.
status CheckListenAddress(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ADDRESS_H_
