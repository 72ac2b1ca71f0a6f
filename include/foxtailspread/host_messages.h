#ifndef FOXTAILSPREAD_HOST_MESSAGES_H_
#define FOXTAILSPREAD_HOST_MESSAGES_H_

/// @file
/// Datagrams between hosts. All are hints: one that is lost is made up for by
/// the next, and nothing that must hold depends on one arriving.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Requests by cell of the key space; cells without any are left out.
struct service_load {
  std::string service;
  std::vector<std::pair<uint32_t, uint32_t>> cells;

  bool operator==(const service_load&) const = default;
};

/// What a host tells the assigner of keys each second: that it is there, what
/// it knows, and which keys were asked for.
struct load_report {
  std::string host;
  std::string zone;
  std::string address;  ///< Where it takes datagrams.
  /// The newest record of the assigner's lease that it has read.
  uint64_t lease_revision = 0;
  std::vector<service_load> services;

  bool operator==(const load_report&) const = default;
};

/// The assigner's sign of life to those that would follow it.
struct assigner_beat {
  std::string host;
  uint64_t lease_revision = 0;
  std::vector<std::string> successors;  ///< The first in line first.

  bool operator==(const assigner_beat&) const = default;
};

using host_message = std::variant<load_report, assigner_beat>;

/// Writes a message as one datagram and reads it back.
std::string FormatHostMessage(const host_message& message);
result<host_message> ParseHostMessage(std::string_view bytes);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_MESSAGES_H_
