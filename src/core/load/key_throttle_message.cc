#include "key_throttle_message.h"

#include <string>

namespace foxtailspread {
namespace {

using nlohmann::json;

/// Number of array elements that encode one throttled_keys.
constexpr size_t kEntryFields = 4;
constexpr size_t kEntriesField = 6;

}  // namespace

json ToJson(const key_throttles& throttles) {
  json flat = json::array();
  for (const throttled_keys& entry : throttles.entries) {
    flat.push_back(entry.first);
    flat.push_back(entry.last);
    flat.push_back(entry.owner);
    flat.push_back(entry.admitted_permille);
  }
  return json::array({kThrottlesTag, throttles.service,
                      throttles.lease_revision.era,
                      throttles.lease_revision.counter, throttles.sequence,
                      throttles.age_ms, std::move(flat)});
}

key_throttles ReadKeyThrottles(const json& value) {
  key_throttles throttles{.service = value.at(1).get<std::string>(),
                          .lease_revision = {value.at(2).get<uint64_t>(),
                                             value.at(3).get<uint64_t>()},
                          .sequence = value.at(4).get<uint64_t>(),
                          .age_ms = value.at(kEntriesField - 1).get<uint32_t>(),
                          .entries = {}};
  const json& flat = value.at(kEntriesField);
  for (size_t i = 0; i + kEntryFields <= flat.size(); i += kEntryFields) {
    throttles.entries.push_back(
        {.first = flat.at(i).get<key_point>(),
         .last = flat.at(i + 1).get<key_point>(),
         .owner = flat.at(i + 2).get<uint32_t>(),
         .admitted_permille = flat.at(i + 3).get<uint32_t>()});
  }
  return throttles;
}

}  // namespace foxtailspread
