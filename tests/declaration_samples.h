#ifndef FOXTAILSPREAD_TESTS_DECLARATION_SAMPLES_H_
#define FOXTAILSPREAD_TESTS_DECLARATION_SAMPLES_H_

/// @file
/// Reads the example declarations of the repository.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "foxtailspread/declarations.h"

namespace foxtailspread {

/// Returns all files of examples/NAME.
inline std::vector<declaration_file> ExampleFiles(const std::string& name) {
  const std::filesystem::path root =
      std::filesystem::path(PROJECT_DIR) / "examples" / name;
  std::vector<declaration_file> files;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root)) {
    if (!entry.is_regular_file()) {
      continue;
    }
    std::ifstream in(entry.path());
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    files.push_back({entry.path().lexically_relative(root).string(), text});
  }
  return files;
}

/// Returns the file of that name among `files`, which must contain it.
inline declaration_file& FileNamed(std::vector<declaration_file>& files,
                                   std::string_view name) {
  for (declaration_file& file : files) {
    if (file.name == name) {
      return file;
    }
  }
  throw std::out_of_range(std::string(name));
}

/// Replaces the first occurrence of `from`, which must be there.
inline void ReplaceIn(std::string& text, std::string_view from,
                      std::string_view to) {
  text.replace(text.find(from), from.size(), to);
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_DECLARATION_SAMPLES_H_
