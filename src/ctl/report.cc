#include "ctl/report.h"

#include <algorithm>
#include <vector>

#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr size_t kColumnGap = 2;

using row = std::vector<std::string>;

std::string Cell(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Adds the fields of `object` to `cells`, nested ones as "outer.inner".
void Flatten(const json& object, const std::string& prefix, json& cells) {
  for (const auto& [name, value] : object.items()) {
    const std::string path = FieldPath(prefix, name);
    if (value.is_object() && !value.empty()) {
      Flatten(value, path, cells);
    } else {
      cells[path] = Cell(value);
    }
  }
}

bool IsListOfObjects(const json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const json& item) { return item.is_object(); });
}

std::string Aligned(const std::vector<row>& rows) {
  std::vector<size_t> widths;
  for (const row& cells : rows) {
    widths.resize(std::max(widths.size(), cells.size()));
    for (size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  std::string text;
  for (const row& cells : rows) {
    std::string line;
    for (size_t i = 0; i < cells.size(); ++i) {
      line += cells[i];
      line.append(widths[i] + kColumnGap - cells[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

/// A column named "name" comes first: it is what one looks for in a line.
row ColumnsOf(const std::vector<json>& lines) {
  row columns;
  for (const json& line : lines) {
    for (const auto& [name, unused] : line.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  std::stable_partition(columns.begin(), columns.end(),
                        [](const std::string& name) { return name == "name"; });
  return columns;
}

std::string ObjectsTable(const json& list) {
  std::vector<json> lines;
  lines.reserve(list.size());
  for (const json& item : list) {
    Flatten(item, "", lines.emplace_back(json::object()));
  }
  const row columns = ColumnsOf(lines);
  std::vector<row> rows{columns};
  rows.reserve(lines.size() + 1);
  for (const json& line : lines) {
    row& cells = rows.emplace_back();
    for (const std::string& column : columns) {
      cells.push_back(line.value(column, "-"));
    }
  }
  return Aligned(rows);
}

}  // namespace

exit_status ExitStatusOf(error_code code) {
  switch (code) {
    case error_code::kConflict:
      return exit_status::kLostRace;
    case error_code::kUnavailable:
      return exit_status::kUnreachable;
    case error_code::kUnauthenticated:
    case error_code::kForbidden:
    case error_code::kExpired:
    case error_code::kStale:
      return exit_status::kRefused;
    case error_code::kMalformed:
    case error_code::kUnknownField:
    case error_code::kMissingField:
    case error_code::kOutOfRange:
    case error_code::kUnknownName:
    case error_code::kDuplicateName:
    case error_code::kNewerFormat:
    case error_code::kTooLarge:
      return exit_status::kUsage;
  }
  return exit_status::kUsage;
}

std::string RenderTable(const json& value) {
  if (IsListOfObjects(value)) {
    return ObjectsTable(value);
  }
  if (!value.is_object()) {
    return Cell(value) + "\n";
  }
  std::vector<row> singles;
  std::string tables;
  for (const auto& [name, part] : value.items()) {
    if (IsListOfObjects(part)) {
      tables += "\n" + name + ":\n";
      tables += ObjectsTable(part);
      continue;
    }
    json cells = json::object();
    Flatten({{name, part}}, "", cells);
    for (const auto& [path, cell] : cells.items()) {
      singles.push_back({path + ":", cell.get<std::string>()});
    }
  }
  return Aligned(singles) + tables;
}

std::string Render(const report& done, output_format format) {
  if (format == output_format::kJson) {
    return FormatJson(done.data);
  }
  const std::string text =
      done.text.empty() ? RenderTable(done.data) : done.text;
  return text.ends_with('\n') ? text : text + "\n";
}

std::string RenderError(const error& failed, output_format format) {
  if (format == output_format::kTable) {
    return "foxtailctl: " + failed.Message() + "\n";
  }
  const json shown{{"error",
                    {{"code", ToString(failed.code)},
                     {"path", failed.path},
                     {"reason", failed.reason},
                     {"remedy", failed.remedy}}}};
  return FormatJson(shown);
}

}  // namespace foxtailspread
