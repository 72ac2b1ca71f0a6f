#include "foxtailspread/load_report.h"

#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using nlohmann::json;

}  // namespace

std::string FormatLoadReport(const load_report& report) {
  json services = json::array();
  for (const service_load& each : report.services) {
    json flat = json::array();
    for (const auto& [cell, count] : each.cells) {
      flat.push_back(cell);
      flat.push_back(count);
    }
    services.push_back({each.service, std::move(flat)});
  }
  const std::vector<uint8_t> packed =
      json::to_msgpack({report.host, std::move(services)});
  return {packed.begin(), packed.end()};
}

result<load_report> ParseLoadReport(std::string_view bytes) {
  const auto malformed = [] {
    return error{error_code::kMalformed, "", "is not a load report",
                 "run one release on all hosts"};
  };
  const json value =
      json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() ||
      !value[1].is_array()) {
    return malformed();
  }
  load_report report{.host = value[0].get<std::string>(), .services = {}};
  for (const json& one : value[1]) {
    if (!one.is_array() || one.size() != 2 || !one[0].is_string() ||
        !one[1].is_array() || one[1].size() % 2 != 0) {
      return malformed();
    }
    service_load& load = report.services.emplace_back();
    load.service = one[0].get<std::string>();
    for (size_t i = 0; i < one[1].size(); i += 2) {
      if (!one[1][i].is_number_unsigned() ||
          !one[1][i + 1].is_number_unsigned()) {
        return malformed();
      }
      load.cells.emplace_back(one[1][i].get<uint32_t>(),
                              one[1][i + 1].get<uint32_t>());
    }
  }
  return report;
}

}  // namespace foxtailspread
