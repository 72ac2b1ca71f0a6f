#include "foxtailspread/range.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr int kRecordFormat = 1;

json ToJson(const member& who) {
  return json{{"host", who.host}, {"life", who.life}};
}

member MemberFrom(const json& value) {
  return member{value.at("host").get<std::string>(),
                value.at("life").get<uint64_t>()};
}

json ToJson(const range_map& map) {
  json keys = json::array();
  for (const key_owner& key : map.keys) {
    keys.push_back(json{{"key", key.key_hash}, {"target", key.target}});
  }
  return json{{"epoch", map.epoch},
              {"seq", map.seq},
              {"buckets", map.buckets},
              {"keys", keys}};
}

range_map MapFrom(const json& value) {
  range_map map;
  map.epoch = value.at("epoch").get<uint64_t>();
  map.seq = value.at("seq").get<uint64_t>();
  map.buckets =
      value.at("buckets").get<std::map<std::string, std::vector<int>>>();
  for (const json& key : value.at("keys")) {
    map.keys.push_back(key_owner{key.at("key").get<uint64_t>(),
                                 key.at("target").get<std::string>()});
  }
  return map;
}

range_record RecordFrom(const json& value) {
  range_record record;
  for (const json& slot : value.at("order")) {
    record.order.push_back(
        roster_slot{MemberFrom(slot), slot.at("epoch").get<uint64_t>()});
  }
  for (const json& who : value.at("previous")) {
    record.previous.push_back(MemberFrom(who));
  }
  record.declared_dead =
      value.at("declared_dead").get<std::vector<std::string>>();
  record.next_epoch = value.at("next_epoch").get<uint64_t>();
  record.resets = value.at("resets").get<uint64_t>();
  record.mark = value.at("mark").get<std::string>();
  record.map = MapFrom(value.at("map"));
  return record;
}

error Malformed(std::string path, std::string reason) {
  return error{error_code::kMalformed, std::move(path), std::move(reason),
               "restore the object or remove it to have it made anew"};
}

/// Epochs that do not ascend would let a predecessor outrank its successor.
status CheckOrder(const range_record& record) {
  if (record.order.empty()) {
    return Malformed("order", "the roster is empty");
  }
  uint64_t last = 0;
  for (const roster_slot& slot : record.order) {
    if (slot.epoch <= last) {
      return Malformed("order", "the epochs do not ascend");
    }
    last = slot.epoch;
  }
  if (record.next_epoch <= last) {
    return Malformed("next_epoch", "it was given out already");
  }
  return OkStatus();
}

}  // namespace

bool range_map::NewerThan(const range_map& other) const {
  return epoch != other.epoch ? epoch > other.epoch : seq > other.seq;
}

int range_record::IndexOf(const member& who) const {
  for (size_t i = 0; i < order.size(); ++i) {
    if (order[i].who == who) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::vector<member> range_record::Members() const {
  std::vector<member> members;
  members.reserve(order.size());
  for (const roster_slot& slot : order) {
    members.push_back(slot.who);
  }
  return members;
}

std::string RangeName(std::string_view service, std::string_view zone) {
  std::string name(service);
  name += '@';
  name += zone;
  return name;
}

result<range_parts> ParseRangeName(std::string_view name) {
  const size_t at = name.find('@');
  if (at == std::string_view::npos || at == 0 || at + 1 == name.size()) {
    return error{error_code::kMalformed, std::string(name),
                 "not the name of a range", "write SERVICE@ZONE"};
  }
  return range_parts{name.substr(0, at), name.substr(at + 1)};
}

result<range_record> ParseRangeRecord(std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return Malformed("", "the range record is not a JSON object");
  }
  try {
    if (value.at("format").get<int>() > kRecordFormat) {
      return error{error_code::kNewerFormat, "format",
                   "the record was written by a newer release",
                   "update this host"};
    }
    range_record record = RecordFrom(value);
    status checked = CheckOrder(record);
    if (!checked) {
      return checked.error();
    }
    return record;
  } catch (const json::exception& e) {
    return Malformed("", e.what());
  }
}

std::string FormatRangeRecord(const range_record& record) {
  json order = json::array();
  for (const roster_slot& slot : record.order) {
    json entry = ToJson(slot.who);
    entry["epoch"] = slot.epoch;
    order.push_back(std::move(entry));
  }
  json previous = json::array();
  for (const member& who : record.previous) {
    previous.push_back(ToJson(who));
  }
  return json{{"format", kRecordFormat},
              {"order", order},
              {"previous", previous},
              {"declared_dead", record.declared_dead},
              {"next_epoch", record.next_epoch},
              {"resets", record.resets},
              {"mark", record.mark},
              {"map", ToJson(record.map)}}
      .dump();
}

}  // namespace foxtailspread
