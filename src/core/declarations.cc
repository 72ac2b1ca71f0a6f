#include "foxtailspread/declarations.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "foxtailspread/json_reader.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr std::string_view kDeploymentFile = "deployment.json";
constexpr std::string_view kSuffix = ".json";
constexpr std::string_view kInitialPreset = "initial_preset";

/// Where a part of the merged document came from.
struct origin {
  std::string merged_path;  ///< "services[2]".
  std::string file_path;    ///< "services/archive.json: ".
};

/// Returns "archive" for "services/archive.json" and the folder "services",
/// nothing for other files.
std::optional<std::string> NameInFolder(std::string_view file,
                                        std::string_view folder) {
  const std::string prefix = std::string(folder) + "/";
  if (!file.starts_with(prefix) || !file.ends_with(kSuffix) ||
      file.size() <= prefix.size() + kSuffix.size()) {
    return std::nullopt;
  }
  file.remove_prefix(prefix.size());
  file.remove_suffix(kSuffix.size());
  return std::string(file);
}

/// Builds the merged document and remembers the origin of its parts.
class declaration_merger {
 public:
  status Add(const declaration_file& file) {
    result<json> parsed = ParseJson(file.text);
    if (!parsed) {
      return InFile(file.name, parsed.error());
    }
    json& value = parsed.value();
    if (file.name == kDeploymentFile) {
      return AddDeployment(std::move(value));
    }
    for (const std::string_view list : {"rules", "presets"}) {
      if (file.name == std::string(list) + std::string(kSuffix)) {
        return AddList(file.name, list, std::move(value));
      }
    }
    for (const std::string_view folder : {"services", "organisations"}) {
      const auto name = NameInFolder(file.name, folder);
      if (name) {
        return AddItem(file.name, folder, *name, std::move(value));
      }
    }
    return UnknownFile(file.name);
  }

  result<deployment_config> Finish() const {
    if (!document_.contains("deployment")) {
      return error{error_code::kMissingField, std::string(kDeploymentFile),
                   "is missing or does not name the deployment",
                   "add it with format, deployment, zones and initial_preset"};
    }
    if (!document_.contains("presets")) {
      return error{error_code::kMissingField, "presets.json", "is missing",
                   "add it with the list of presets"};
    }
    result<deployment_config> config = ParseConfig(FormatJson(document_));
    if (!config) {
      return Translated(config.error());
    }
    return config;
  }

 private:
  static error InFile(std::string_view file, error e) {
    e.path = std::string(file) + (e.path.empty() ? "" : ": " + e.path);
    return e;
  }

  static status UnknownFile(const std::string& name) {
    const std::vector<std::string> known{"deployment.json", "rules.json",
                                         "presets.json", "services/NAME.json",
                                         "organisations/NAME.json"};
    return error{error_code::kUnknownName, Printable(name),
                 "is no file of a directory of declarations",
                 KnownNameRemedy(name, known)};
  }

  status AddDeployment(json value) {
    const std::string file(kDeploymentFile);
    object_reader reader(value);
    std::string unused;
    std::string preset;
    int format = 0;
    std::vector<std::string> zones;
    reader.Require({"format", "deployment", "zones", kInitialPreset});
    reader.Read("format", format);
    reader.Read("deployment", unused);
    reader.Read("zones", zones);
    reader.Read(kInitialPreset, preset);
    const status read = reader.Finish();
    if (!read && format <= kConfigFormat) {
      return InFile(file, read.error());
    }
    value.erase(std::string(kInitialPreset));
    for (const auto& [field, part] : value.items()) {
      document_[field] = part;
      origins_.push_back({field, Joined(file + ": ", field)});
    }
    document_["preset"] = {{"name", preset}};
    origins_.push_back(
        {"preset.name", file + ": " + std::string(kInitialPreset)});
    return OkStatus();
  }

  status AddList(const std::string& file, std::string_view list, json value) {
    if (!value.is_array()) {
      return error{error_code::kMalformed, file,
                   std::string("is of type ") + value.type_name(),
                   "write a list in brackets"};
    }
    document_[std::string(list)] = std::move(value);
    origins_.push_back({std::string(list), file + ": "});
    return OkStatus();
  }

  /// A file that keeps its old name after the service in it was renamed (or
  /// the other way round) would be found by nobody under its new one.
  status AddItem(const std::string& file, std::string_view folder,
                 const std::string& name, json value) {
    object_reader reader(value);
    std::string given;
    reader.Require({"name"});
    reader.Read("name", given);
    if (const status read = reader.FinishPartly(); !read) {
      return InFile(file, read.error());
    }
    if (given != name) {
      return error{error_code::kUnknownName, file + ": name",
                   Quoted(given) + " differs from the file's name",
                   "rename the file or the entry, and whatever refers to it"};
    }
    json& list = document_[std::string(folder)];
    origins_.push_back(
        {std::string(folder) + "[" + std::to_string(list.size()) + "]",
         file + ": "});
    list.push_back(std::move(value));
    return OkStatus();
  }

  /// Replaces the first place of the merged document by its place in a file.
  std::string InFiles(const std::string& text) const {
    for (const origin& part : origins_) {
      const size_t at = text.find(part.merged_path);
      const size_t end = at + part.merged_path.size();
      const bool starts = at == 0 || (at < text.size() && text[at - 1] == ' ');
      const char next = end < text.size() ? text[end] : ' ';
      if (at != std::string::npos && starts &&
          std::string_view(" .[").find(next) != std::string_view::npos) {
        return text.substr(0, at) + Joined(part.file_path, text.substr(end));
      }
    }
    return text;
  }

  /// Joins "services/archive.json: " and ".slots" without doubling marks.
  static std::string Joined(const std::string& file_path,
                            const std::string& rest) {
    if (!file_path.ends_with(": ")) {
      return file_path + rest;
    }
    if (rest.empty()) {
      return file_path.substr(0, file_path.size() - 2);
    }
    return file_path + (rest.front() == '.' ? rest.substr(1) : rest);
  }

  error Translated(error e) const {
    e.path = InFiles(e.path);
    e.reason = InFiles(e.reason);
    return e;
  }

  json document_ = json::object();
  std::vector<origin> origins_;
};

}  // namespace

result<deployment_config> MergeDeclarations(
    std::span<const declaration_file> files) {
  std::vector<const declaration_file*> ordered;
  ordered.reserve(files.size());
  for (const declaration_file& file : files) {
    ordered.push_back(&file);
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const auto* a, const auto* b) { return a->name < b->name; });
  declaration_merger merger;
  for (const declaration_file* file : ordered) {
    if (const status added = merger.Add(*file); !added) {
      return added.error();
    }
  }
  return merger.Finish();
}

}  // namespace foxtailspread
