#include "net/socket_address.h"

#include <arpa/inet.h>

namespace foxtailspread {

result<sockaddr_in> NativeAddress(const socket_address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) != 1) {
    return error{error_code::kMalformed, address.ip, "is not an IPv4 number",
                 "write the address as 10.0.0.1"};
  }
  return native;
}

result<sockaddr_in> NativeAddress(std::string_view address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return parsed.error();
  }
  return NativeAddress(parsed.value());
}

}  // namespace foxtailspread
