#include "ctl/host_views.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "ctl/report.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr char kServiceEnd = '@';

std::string TextOf(const json& object, const char* field) {
  if (!object.is_object() || !object.contains(field) ||
      !object.at(field).is_string()) {
    return "";
  }
  return object.at(field).get<std::string>();
}

json RangesOf(const json& ownership) {
  const bool listed = ownership.is_object() && ownership.contains("ranges") &&
                      ownership.at("ranges").is_array();
  return listed ? ownership.at("ranges") : json::array();
}

/// A range is named SERVICE@ZONE.
std::string ServiceOf(const json& range) {
  const std::string name = TextOf(range, "range");
  return name.substr(0, name.find(kServiceEnd));
}

std::string Succession(const json& range) {
  std::string hosts;
  for (const json& slot : range.value("order", json::array())) {
    hosts += hosts.empty() ? "" : " ";
    hosts += TextOf(slot, "host");
  }
  return hosts;
}

json RangeLine(const json& range) {
  json line{{"name", TextOf(range, "range")}, {"order", Succession(range)}};
  for (const char* field : {"acting", "epoch", "seq", "unowned"}) {
    if (range.contains(field)) {
      line[field] = range.at(field);
    }
  }
  return line;
}

std::vector<int64_t> SortedNumbers(const json& list) {
  std::vector<int64_t> numbers;
  for (const json& item : list) {
    if (item.is_number_integer()) {
      numbers.push_back(item.get<int64_t>());
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace

std::string BucketList(const json& buckets) {
  const std::vector<int64_t> numbers = SortedNumbers(buckets);
  std::string text;
  for (size_t first = 0; first < numbers.size();) {
    size_t last = first;
    while (last + 1 < numbers.size() &&
           numbers[last + 1] == numbers[last] + 1) {
      ++last;
    }
    text += text.empty() ? "" : ",";
    text += std::to_string(numbers[first]);
    if (last > first) {
      text += "-";
      text += std::to_string(numbers[last]);
    }
    first = last + 1;
  }
  return text;
}

void KeepService(json& ownership, std::string_view service,
                 std::set<std::string>& met) {
  json kept = json::array();
  for (const json& range : RangesOf(ownership)) {
    const std::string owner = ServiceOf(range);
    met.insert(owner);
    if (owner == service) {
      kept.push_back(range);
    }
  }
  ownership["ranges"] = std::move(kept);
}

std::string OwnershipTables(const json& ownership) {
  json tables{{"host", TextOf(ownership, "host")},
              {"ranges", json::array()},
              {"owners", json::array()}};
  for (const json& range : RangesOf(ownership)) {
    tables["ranges"].push_back(RangeLine(range));
    const json owners = range.value("owners", json::object());
    for (const auto& [target, buckets] : owners.items()) {
      tables["owners"].push_back({{"name", target},
                                  {"range", TextOf(range, "range")},
                                  {"count", buckets.size()},
                                  {"buckets", BucketList(buckets)}});
    }
  }
  return RenderTable(tables);
}

}  // namespace foxtailspread
