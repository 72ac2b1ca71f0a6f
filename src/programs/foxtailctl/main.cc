#include <array>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "ctl/http_session.h"
#include "ctl/run_command.h"
#include "net/whole_file.h"

namespace foxtailspread {
namespace {

constexpr int kMarkWords = 4;

/// Returns who acts and 128 random bits in hex: no two runs share a mark, and
/// whoever loses a race sees whose write won.
std::string NewMark(const std::string& who) {
  std::random_device random;
  std::string mark = who + ".";
  for (int i = 0; i < kMarkWords; ++i) {
    std::array<char, 9> word{};
    (void)std::snprintf(word.data(), word.size(), "%08x", random());
    mark += word.data();
  }
  return mark;
}

std::string UtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  (void)std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

/// Returns the operator's token, from the file if one is named.
result<std::string> OperatorToken(const invocation& what) {
  if (what.operator_token_file.empty()) {
    return what.operator_token;
  }
  result<std::string> token = ReadWholeFile(
      what.operator_token_file, "check the path and its permissions");
  if (token) {
    token.value().erase(token.value().find_last_not_of(" \t\r\n") + 1);
  }
  return token;
}

result<report> Run(const invocation& what) {
  const result<std::string> token = OperatorToken(what);
  if (!token) {
    return token.error();
  }
  const operator_act act{what.as, what.why, UtcNow(), NewMark(what.as),
                         what.revision};
  const auto timeout = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(what.timeout_s));
  http_session session({what.platform, token.value(), timeout});
  return RunCommand(session, what, act);
}

int Main(const std::vector<std::string>& arguments) {
  const std::variant<invocation, early_end> parsed = ParseArguments(arguments);
  if (const auto* end = std::get_if<early_end>(&parsed)) {
    const bool failed = end->status != exit_status::kOk;
    (void)std::fputs(end->text.c_str(), failed ? stderr : stdout);
    return static_cast<int>(end->status);
  }
  const auto& what = std::get<invocation>(parsed);
  const result<report> done = Run(what);
  if (!done) {
    (void)std::fputs(RenderError(done.error(), what.output).c_str(), stderr);
    return static_cast<int>(ExitStatusOf(done.error().code));
  }
  (void)std::fputs(Render(done.value(), what.output).c_str(), stdout);
  return static_cast<int>(done.value().status);
}

}  // namespace
}  // namespace foxtailspread

int main(int argc, char** argv) {
  return foxtailspread::Main({argv + 1, argv + argc});
}
