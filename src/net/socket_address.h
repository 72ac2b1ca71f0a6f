#ifndef FOXTAILSPREAD_NET_SOCKET_ADDRESS_H_
#define FOXTAILSPREAD_NET_SOCKET_ADDRESS_H_

/// @file
/// Addresses in the form that the system's calls take.

#include <netinet/in.h>

#include <string_view>

#include "foxtailspread/address.h"

namespace foxtailspread {

/// Converts an IPv4 address and port.
result<sockaddr_in> NativeAddress(const socket_address& address);
/// The same for "IP:port".
result<sockaddr_in> NativeAddress(std::string_view address);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_SOCKET_ADDRESS_H_
