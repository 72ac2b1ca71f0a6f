#include "foxtailspread/key_map.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using json = nlohmann::json;

error InvalidMapError(std::string reason) {
  return error{error_code::kOutOfRange, "ranges", std::move(reason),
               "delete the stored object; it will be recreated"};
}

json LifeToJson(const target_life& life) {
  return {{"id", life.id}, {"started", life.started}};
}

void ReadLife(object_reader& reader, target_life& out) {
  reader.Read("id", out.id);
  reader.Read("started", out.started);
}

void ReadRange(object_reader& reader, key_range& out) {
  reader.Require({"first", "last", "owner", "fence"});
  reader.Read("first", out.first);
  reader.Read("last", out.last);
  reader.Read("fence", out.fence);
  reader.ReadObject("owner", [&](object_reader& r) { ReadLife(r, out.owner); });
  reader.Read("granted", out.granted);
  reader.ReadObject("former", [&](object_reader& r) {
    ReadLife(r, out.former_owner.emplace());
  });
  reader.Read("owners_unknown", out.owners_unknown);
  // Written by earlier releases and ignored: whether to wait for the previous
  // owner is now derived from the orders that the lease holder itself sent.
  bool ignored = true;
  reader.Read("former_confirmed", ignored);
}

}  // namespace

const key_range* key_map::Find(key_point key) const {
  const auto found = std::partition_point(
      ranges.begin(), ranges.end(),
      [&](const key_range& range) { return range.last < key; });
  return found == ranges.end() ? nullptr : &*found;
}

key_range* key_map::Find(key_point key) {
  return const_cast<key_range*>(std::as_const(*this).Find(key));
}

status CheckKeyMap(const key_map& map) {
  uint32_t expected_first = 0;
  for (const key_range& range : map.ranges) {
    if (range.first != expected_first || range.last < range.first) {
      return InvalidMapError(
          "key ranges overlap, leave a gap or are out of order");
    }
    if (range.fence > map.last_fence) {
      return InvalidMapError("a range has a fence above last_fence");
    }
    expected_first = uint32_t{range.last} + 1;
  }
  if (expected_first != uint32_t{kLastKey} + 1) {
    return InvalidMapError("the last key ranges are missing");
  }
  return OkStatus();
}

std::string FormatKeyMap(const key_map& map) {
  json ranges = json::array();
  for (const key_range& range : map.ranges) {
    json entry = {{"first", range.first},
                  {"last", range.last},
                  {"fence", range.fence},
                  {"granted", range.granted},
                  {"owner", LifeToJson(range.owner)}};
    if (range.former_owner) {
      entry["former"] = LifeToJson(*range.former_owner);
    }
    if (range.owners_unknown) {
      entry["owners_unknown"] = true;
    }
    ranges.push_back(std::move(entry));
  }
  return json{{"last_fence", map.last_fence},
              {"ranges", std::move(ranges)},
              {"era", map.era},
              {"term", map.term}}
      .dump();
}

result<key_map> ParseKeyChanges(std::string_view text) {
  const auto value = ParseJson(text);
  if (!value) {
    return value.error();
  }
  key_map map;
  object_reader reader(value.value());
  reader.Require({"last_fence", "ranges"});
  reader.Read("last_fence", map.last_fence);
  reader.Read("era", map.era);
  reader.Read("term", map.term);
  reader.ReadList("ranges", [&](object_reader& range_reader) {
    ReadRange(range_reader, map.ranges.emplace_back());
  });
  if (const status finished = reader.Finish(); !finished) {
    return finished.error();
  }
  return map;
}

result<key_map> ParseKeyMap(std::string_view text) {
  auto map = ParseKeyChanges(text);
  if (!map) {
    return map.error();
  }
  if (const status checked = CheckKeyMap(map.value()); !checked) {
    return checked.error();
  }
  return map;
}

key_map DiffKeyMaps(const key_map& before, const key_map& after) {
  key_map changes{.last_fence = after.last_fence,
                  .ranges = {},
                  .era = after.era,
                  .term = after.term};
  for (const key_range& range : after.ranges) {
    const key_range* old_range = before.Find(range.first);
    if (old_range == nullptr || !(*old_range == range)) {
      changes.ranges.push_back(range);
    }
  }
  return changes;
}

result<key_map> ApplyKeyChanges(const key_map& before, const key_map& changes) {
  key_map after{.last_fence = changes.last_fence,
                .ranges = {},
                .era = changes.era,
                .term = changes.term};
  auto kept = before.ranges.begin();
  for (const key_range& change : changes.ranges) {
    for (; kept != before.ranges.end() && kept->first < change.first; ++kept) {
      after.ranges.push_back(*kept);
    }
    while (kept != before.ranges.end() && kept->first <= change.last) {
      ++kept;
    }
    after.ranges.push_back(change);
  }
  after.ranges.insert(after.ranges.end(), kept, before.ranges.end());
  if (const status checked = CheckKeyMap(after); !checked) {
    return checked.error();
  }
  return after;
}

void MergeEqualNeighbours(key_map& map) {
  std::vector<key_range> merged;
  for (key_range& range : map.ranges) {
    if (!merged.empty()) {
      key_range& previous = merged.back();
      const bool is_equal = previous.owner == range.owner &&
                            previous.fence == range.fence &&
                            previous.granted == range.granted &&
                            previous.former_owner == range.former_owner &&
                            previous.owners_unknown == range.owners_unknown;
      if (is_equal) {
        previous.last = range.last;
        continue;
      }
    }
    merged.push_back(std::move(range));
  }
  map.ranges = std::move(merged);
}

void SplitBefore(key_map& map, key_point at) {
  const auto found = std::partition_point(
      map.ranges.begin(), map.ranges.end(),
      [&](const key_range& range) { return range.last < at; });
  if (found == map.ranges.end() || found->first == at) {
    return;
  }
  key_range upper = *found;
  found->last = static_cast<key_point>(at - 1);
  upper.first = at;
  map.ranges.insert(found + 1, std::move(upper));
}

std::span<key_range> SplitAtBounds(key_map& map, key_point first,
                                   key_point last) {
  SplitBefore(map, first);
  if (last != kLastKey) {
    SplitBefore(map, static_cast<key_point>(last + 1));
  }
  const auto begin = std::partition_point(
      map.ranges.begin(), map.ranges.end(),
      [&](const key_range& range) { return range.first < first; });
  const auto end = std::partition_point(
      begin, map.ranges.end(),
      [&](const key_range& range) { return range.last <= last; });
  return {begin, end};
}

}  // namespace foxtailspread
