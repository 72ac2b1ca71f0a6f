#include <CLI/CLI.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "foxtailspread/foxtailspread.h"
#include "net/glib_mac.h"
#include "net/whole_file.h"

// Replays a recorded trace and compares its decisions with the record: see
// foxtailspread/trace.h.
namespace foxtailspread {
namespace {

constexpr int kExitSame = 0;
constexpr int kExitDiffers = 1;
constexpr int kExitBadInput = 2;

using outcome_counts = std::map<std::string, int64_t>;

struct replay_options {
  std::string trace_file;
  std::string secret_file;
  std::string expect_file;
};

result<std::string> ReadFile(const std::string& path) {
  return ReadWholeFile(path, "check the name and the rights");
}

/// Returns the secret without the end of line that editors add.
result<std::string> ReadSecret(const std::string& path) {
  result<std::string> text = ReadFile(path);
  if (text) {
    std::string& secret = text.value();
    secret.erase(secret.find_last_not_of("\r\n") + 1);
  }
  return text;
}

/// Counts the recorded answers by outcome. They are those of the replay too,
/// unless it differed.
result<outcome_counts> CountOutcomes(std::string_view text) {
  outcome_counts counts{{"done", 0}, {"not-run", 0}, {"unknown", 0}};
  text.remove_prefix(std::min(text.size(), text.find('\n') + 1));
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(text.size(), end + 1));
    if (line.empty()) {
      continue;
    }
    const result<trace_step> step = ParseTraceStep(line);
    if (!step) {
      return step.error();
    }
    for (const host_action& action : step.value().actions) {
      if (const auto* answer = std::get_if<answer_action>(&action)) {
        ++counts[std::string(ToString(answer->outcome))];
      }
    }
  }
  return counts;
}

result<outcome_counts> ReadExpected(const std::string& path) {
  const result<std::string> text = ReadFile(path);
  if (!text) {
    return text.error();
  }
  const auto value = nlohmann::json::parse(text.value(), nullptr,
                                           /*allow_exceptions=*/false,
                                           /*ignore_comments=*/true);
  outcome_counts counts;
  bool good = value.is_object();
  for (const std::string name : {"done", "not-run", "unknown"}) {
    good = good && value.contains(name) && value[name].is_number_integer();
    counts[name] = good ? value[name].get<int64_t>() : 0;
  }
  if (!good || value.size() != counts.size()) {
    return error{error_code::kMalformed, path, "not the counts of outcomes",
                 R"(write {"done": 1, "not-run": 0, "unknown": 0})"};
  }
  return counts;
}

int PrintDifferences(const replay_report& report) {
  for (const replay_difference& difference : report.differences) {
    std::cout << "line " << difference.line << " differs\n  recorded "
              << difference.recorded << "\n  replayed " << difference.replayed
              << "\n";
  }
  return report.differences.empty() ? kExitSame : kExitDiffers;
}

int Compare(const outcome_counts& counts, const outcome_counts& expected) {
  int exit_status = kExitSame;
  for (const auto& [name, count] : expected) {
    if (counts.at(name) != count) {
      std::cout << name << ": " << counts.at(name) << " answers, expected "
                << count << "\n";
      exit_status = kExitDiffers;
    }
  }
  return exit_status;
}

int Fail(const error& e) {
  std::cerr << e.Message() << "\n";
  return kExitBadInput;
}

int Run(const replay_options& options) {
  const result<std::string> text = ReadFile(options.trace_file);
  if (!text) {
    return Fail(text.error());
  }
  const result<std::string> secret = ReadSecret(options.secret_file);
  if (!secret) {
    return Fail(secret.error());
  }
  const result<replay_report> report =
      ReplayTrace(text.value(), action_secret{secret.value(), &GlibMac});
  if (!report) {
    return Fail(report.error());
  }
  const result<outcome_counts> counts = CountOutcomes(text.value());
  if (!counts) {
    return Fail(counts.error());
  }
  std::cout << report.value().steps << " steps";
  for (const auto& [name, count] : counts.value()) {
    std::cout << ", " << count << " " << name;
  }
  std::cout << "\n";
  int exit_status = PrintDifferences(report.value());
  if (!options.expect_file.empty()) {
    const result<outcome_counts> expected = ReadExpected(options.expect_file);
    if (!expected) {
      return Fail(expected.error());
    }
    exit_status =
        std::max(exit_status, Compare(counts.value(), expected.value()));
  }
  return exit_status;
}

}  // namespace
}  // namespace foxtailspread

int main(int argc, char** argv) {
  CLI::App app(
      "Replays a recorded trace of an entry host and compares its decisions "
      "with the record. Exits with 0 if they are the same, 1 if not, 2 if a "
      "file cannot be used.");
  foxtailspread::replay_options options;
  app.add_option("trace", options.trace_file, "the recorded trace")->required();
  app.add_option("--secret-file", options.secret_file,
                 "the secret that the host ran with")
      ->required();
  app.add_option("--expect", options.expect_file,
                 "JSON with the number of answers by outcome");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? foxtailspread::kExitSame
                            : foxtailspread::kExitBadInput;
  }
  return foxtailspread::Run(options);
}
