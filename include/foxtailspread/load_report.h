#ifndef FOXTAILSPREAD_LOAD_REPORT_H_
#define FOXTAILSPREAD_LOAD_REPORT_H_

/// @file
/// What a host tells the assigner of keys each second: which keys were asked
/// for. A report that is lost is made up for by the next one.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Requests by cell of the key space; cells without any are left out.
struct service_load {
  std::string service;
  std::vector<std::pair<uint32_t, uint32_t>> cells;

  bool operator==(const service_load&) const = default;
};

/// One host's report.
struct load_report {
  std::string host;
  std::vector<service_load> services;

  bool operator==(const load_report&) const = default;
};

/// Writes a report as one datagram and reads it back.
std::string FormatLoadReport(const load_report& report);
result<load_report> ParseLoadReport(std::string_view bytes);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_REPORT_H_
