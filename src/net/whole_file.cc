#include "net/whole_file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace foxtailspread {

result<std::string> ReadWholeFile(const std::string& path, std::string remedy) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{error_code::kUnavailable, path, "the file cannot be read",
                 std::move(remedy)};
  }
  return text.str();
}

}  // namespace foxtailspread
