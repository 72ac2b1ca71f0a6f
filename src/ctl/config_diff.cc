#include "ctl/config_diff.h"

#include <algorithm>
#include <set>

#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr size_t kMostInOneLine = 8;

/// Returns what an entry of a list is known by: its name, or for a rule the
/// organisation and the service.
std::string EntryName(const json& entry) {
  if (entry.contains("name")) {
    return entry["name"].get<std::string>();
  }
  return entry.value("organisation", "") + "." + entry.value("service", "");
}

/// Turns lists of entries into objects by name, at any depth.
json Keyed(const json& value) {
  json keyed = json::object();
  if (value.is_object()) {
    for (const auto& [name, part] : value.items()) {
      keyed[name] = Keyed(part);
    }
    return keyed;
  }
  if (!value.is_array() || value.empty() || !value.front().is_object()) {
    return value;
  }
  for (const json& entry : value) {
    keyed[EntryName(entry)] = Keyed(entry);
  }
  return keyed;
}

/// An empty list is the same as an object without entries.
bool IsContainer(const json& value) {
  return value.is_object() || (value.is_array() && value.empty());
}

void Compare(const std::string& path, const json& before, const json& after,
             std::vector<config_change>& changes) {
  if (before == after) {
    return;
  }
  const bool both = IsContainer(before) && IsContainer(after) &&
                    (before.is_object() || after.is_object());
  if (!both) {
    changes.push_back({path, before, after});
    return;
  }
  std::set<std::string> names;
  for (const json* side : {&before, &after}) {
    for (const auto& [name, unused] : side->items()) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    const auto part = [&name](const json& side) {
      return side.is_object() && side.contains(name) ? side.at(name) : json();
    };
    Compare(FieldPath(path, name), part(before), part(after), changes);
  }
}

json ToKeyedJson(const deployment_config& config) {
  result<json> parsed = ParseJson(FormatConfig(config));
  json& document = parsed.value();
  document.erase("mark");
  return Keyed(document);
}

std::string Shown(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::vector<config_change> DiffConfigs(const deployment_config& before,
                                       const deployment_config& after) {
  std::vector<config_change> changes;
  Compare("", ToKeyedJson(before), ToKeyedJson(after), changes);
  return changes;
}

std::string FormatChanges(const std::vector<config_change>& changes) {
  std::string text;
  for (const config_change& change : changes) {
    if (change.before.is_null()) {
      text += "+ " + change.path + ": " + Shown(change.after) + "\n";
    } else if (change.after.is_null()) {
      text += "- " + change.path + ": " + Shown(change.before) + "\n";
    } else {
      text += "~ " + change.path + ": " + Shown(change.before) + " -> " +
              Shown(change.after) + "\n";
    }
  }
  return text;
}

std::string ChangesInOneLine(const std::vector<config_change>& changes) {
  const size_t shown = std::min(changes.size(), kMostInOneLine);
  const std::vector<config_change> first(changes.data(),
                                         changes.data() + shown);
  std::string line = FormatChanges(first);
  std::replace(line.begin(), line.end(), '\n', ';');
  if (changes.size() > shown) {
    return line + " and " + std::to_string(changes.size() - shown) + " more";
  }
  return line.substr(0, line.size() - (line.empty() ? 0 : 1));
}

json ChangesToJson(const std::vector<config_change>& changes) {
  json list = json::array();
  for (const config_change& change : changes) {
    list.push_back({{"path", change.path},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return list;
}

}  // namespace foxtailspread
