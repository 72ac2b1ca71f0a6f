#include "key_throttle_message.h"

#include <string>

#include "core/message_values.h"

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
  key_throttles throttles{
      .service = ReadText(value.at(1)),
      .lease_revision = {ReadWhole<uint64_t>(value.at(2)),
                         ReadWhole<uint64_t>(value.at(3))},
      .sequence = ReadWhole<uint64_t>(value.at(4)),
      .age_ms = ReadWhole<uint32_t>(value.at(kEntriesField - 1)),
      .entries = {}};
  const json& flat = value.at(kEntriesField);
  for (size_t i = 0; i + kEntryFields <= flat.size(); i += kEntryFields) {
    throttles.entries.push_back(
        {.first = ReadWhole<key_point>(flat.at(i)),
         .last = ReadWhole<key_point>(flat.at(i + 1)),
         .owner = ReadWhole<uint32_t>(flat.at(i + 2)),
         .admitted_permille = ReadWhole<uint32_t>(flat.at(i + 3))});
  }
  return throttles;
}

}  // namespace foxtailspread
