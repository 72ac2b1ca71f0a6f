#include "foxtailspread/range.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr int kRecordFormatVersion = 1;

json ToJson(const member& host_run) {
  return json{{"host", host_run.host}, {"life", host_run.life}};
}

member MemberFromJson(const json& value) {
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

range_map MapFromJson(const json& value) {
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

range_record RecordFromJson(const json& value) {
  range_record record;
  for (const json& slot : value.at("order")) {
    record.roster.push_back(
        roster_slot{MemberFromJson(slot), slot.at("epoch").get<uint64_t>()});
  }
  for (const json& host_run : value.at("previous")) {
    record.previous_members.push_back(MemberFromJson(host_run));
  }
  record.declared_dead =
      value.at("declared_dead").get<std::vector<std::string>>();
  record.next_epoch = value.at("next_epoch").get<uint64_t>();
  record.reset_count = value.at("resets").get<uint64_t>();
  record.write_id = value.at("mark").get<std::string>();
  record.map = MapFromJson(value.at("map"));
  return record;
}

error MalformedRecord(std::string path, std::string reason) {
  return error{error_code::kMalformed, std::move(path), std::move(reason),
               "restore the object, or remove it to have it created again"};
}

/// Checks that the epochs ascend. Otherwise a member could outrank those that
/// succeed it.
status CheckEpochs(const range_record& record) {
  if (record.roster.empty()) {
    return MalformedRecord("order", "the roster is empty");
  }
  uint64_t last_epoch = 0;
  for (const roster_slot& slot : record.roster) {
    if (slot.epoch <= last_epoch) {
      return MalformedRecord("order", "the epochs are not in ascending order");
    }
    last_epoch = slot.epoch;
  }
  if (record.next_epoch <= last_epoch) {
    return MalformedRecord("next_epoch", "the next epoch is already assigned");
  }
  return OkStatus();
}

}  // namespace

bool range_map::NewerThan(const range_map& other) const {
  return epoch != other.epoch ? epoch > other.epoch : seq > other.seq;
}

int range_record::IndexOf(const member& who) const {
  for (size_t i = 0; i < roster.size(); ++i) {
    if (roster[i].host_run == who) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::vector<member> range_record::Members() const {
  std::vector<member> members;
  members.reserve(roster.size());
  for (const roster_slot& slot : roster) {
    members.push_back(slot.host_run);
  }
  return members;
}

std::string RangeName(std::string_view service, std::string_view zone) {
  std::string name(service);
  name += '@';
  name += zone;
  return name;
}

result<range_name_parts> ParseRangeName(std::string_view name) {
  const size_t separator = name.find('@');
  if (separator == std::string_view::npos || separator == 0 ||
      separator + 1 == name.size()) {
    return error{error_code::kMalformed, std::string(name),
                 "not a valid range name", "write SERVICE@ZONE"};
  }
  return range_name_parts{name.substr(0, separator),
                          name.substr(separator + 1)};
}

result<range_record> ParseRangeRecord(std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return MalformedRecord("", "the range record is not a JSON object");
  }
  try {
    if (value.at("format").get<int>() > kRecordFormatVersion) {
      return error{error_code::kNewerFormat, "format",
                   "the record was written by a newer release",
                   "update this host"};
    }
    range_record record = RecordFromJson(value);
    status checked = CheckEpochs(record);
    if (!checked) {
      return checked.error();
    }
    return record;
  } catch (const json::exception& e) {
    return MalformedRecord("", e.what());
  }
}

std::string FormatRangeRecord(const range_record& record) {
  json order = json::array();
  for (const roster_slot& slot : record.roster) {
    json entry = ToJson(slot.host_run);
    entry["epoch"] = slot.epoch;
    order.push_back(std::move(entry));
  }
  json previous = json::array();
  for (const member& host_run : record.previous_members) {
    previous.push_back(ToJson(host_run));
  }
  return json{{"format", kRecordFormatVersion},
              {"order", order},
              {"previous", previous},
              {"declared_dead", record.declared_dead},
              {"next_epoch", record.next_epoch},
              {"resets", record.reset_count},
              {"mark", record.write_id},
              {"map", ToJson(record.map)}}
      .dump();
}

}  // namespace foxtailspread
