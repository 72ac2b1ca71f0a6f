#include "ctl/declaration_directory.h"

#include <filesystem>
#include <system_error>
#include <utility>

#include "net/whole_file.h"

namespace foxtailspread {
namespace {

namespace fs = std::filesystem;

constexpr const char* kRemedy = "check the path and its permissions";

error Unreadable(const std::string& path, std::string reason) {
  return error{error_code::kUnknownName, path, std::move(reason), kRemedy};
}

bool IsHidden(const fs::path& path) {
  return path.filename().string().starts_with('.');
}

}  // namespace

result<std::vector<declaration_file>> ReadDeclarations(
    const std::string& directory) {
  std::error_code failure;
  fs::recursive_directory_iterator entry(directory, failure);
  std::vector<declaration_file> files;
  while (!failure && entry != fs::recursive_directory_iterator()) {
    const fs::path& path = entry->path();
    if (IsHidden(path)) {
      entry.disable_recursion_pending();
    } else if (entry->is_regular_file() && path.extension() == ".json") {
      result<std::string> text = ReadWholeFile(path.string(), kRemedy);
      if (!text) {
        return text.error();
      }
      files.push_back({path.lexically_relative(directory).generic_string(),
                       std::move(text.value())});
    }
    entry.increment(failure);
  }
  if (failure) {
    return Unreadable(directory, failure.message());
  }
  return files;
}

}  // namespace foxtailspread
