#include "foxtailspread/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

constexpr std::string_view kRemedy =
    "write IP:port, such as 127.0.0.1:8080 or [::1]:8080";

error NotAnAddress(std::string_view text) {
  return error{error_code::kMalformed, "", Quoted(text) + " is no address",
               std::string(kRemedy)};
}

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, port);
  if (text.empty() || failure != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

bool IsIp(int family, const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> unused{};
  return inet_pton(family, ip.c_str(), unused.data()) == 1;
}

}  // namespace

result<socket_address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return NotAnAddress(text);
  }
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  socket_address parsed{std::string(ip), port.value_or(0)};
  if (!port || !IsIp(bracketed ? AF_INET6 : AF_INET, parsed.ip)) {
    return NotAnAddress(text);
  }
  return parsed;
}

status CheckReachableAddress(std::string_view text) {
  const result<socket_address> parsed = ParseAddress(text);
  if (!parsed) {
    return parsed.error();
  }
  if (parsed.value().port == 0) {
    return error{error_code::kOutOfRange, "",
                 Quoted(text) + " has port 0, which nobody can connect to",
                 "use a port from 1 to 65535"};
  }
  return OkStatus();
}

status CheckListenAddress(std::string_view text) {
  const result<socket_address> parsed = ParseAddress(text);
  if (!parsed) {
    return parsed.error();
  }
  return OkStatus();
}

}  // namespace foxtailspread
