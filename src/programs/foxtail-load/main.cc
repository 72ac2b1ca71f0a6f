#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>

#include "foxtailspread/json_reader.h"
#include "load/plots.h"
#include "load_runner.h"
#include "net/whole_file.h"

// The load and experiment tool: see docs/LOAD.md.
namespace foxtailspread {
namespace {

constexpr int kExitGood = 0;
constexpr int kExitBroken = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitIncomplete = 3;
constexpr duration kProgressPeriod{std::chrono::seconds{1}};

struct load_options {
  std::string scenario_file;
  std::string json_file;
  std::string html_file;
  std::vector<std::string> entry_hosts;
  int64_t length_ms = 0;
  bool check = false;
  bool validate = false;
};

result<load_scenario> ReadScenario(const load_options& options) {
  const result<std::string> text =
      ReadWholeFile(options.scenario_file,
                    "name a scenario file, examples/load/*.json for instance");
  if (!text) {
    return text.error();
  }
  result<load_scenario> scenario = ParseScenario(text.value());
  if (!scenario) {
    return scenario;
  }
  if (!options.entry_hosts.empty()) {
    scenario.value().entry_hosts = options.entry_hosts;
  }
  if (options.length_ms > 0) {
    scenario.value().length = std::chrono::milliseconds{options.length_ms};
  }
  if (options.check && scenario.value().targets.empty()) {
    return error{error_code::kMissingField, "targets",
                 "a check needs the targets' logs",
                 "list the targets or leave --check out"};
  }
  return scenario;
}

double ToMilliseconds(duration value) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return static_cast<double>(value.count()) / kMicrosecondsPerMillisecond;
}

void PrintProgress(int second, const load_progress& p) {
  std::fprintf(stderr,
               "%4d s  sent %lu  done %lu  not-run %lu  unknown %lu  "
               "in flight %lu  dropped %lu  p99 %.2f ms  behind %.1f ms\n",
               second, p.sent, p.done, p.not_run, p.unknown, p.in_flight,
               p.dropped, ToMilliseconds(p.latency.Quantile(0.99)),
               ToMilliseconds(p.behind));
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    std::cerr << path << ": cannot be written; choose another path\n";
    return false;
  }
  return true;
}

bool WriteReports(const load_options& options, const load_runner& runner,
                  const check_report* check) {
  std::cout << SummariesToText(runner.statistics()) << std::flush;
  nlohmann::json json = SummariesToJson(runner.statistics());
  std::printf("dropped %lu; requests began up to %.1f ms late\n",
              runner.dropped(), ToMilliseconds(runner.behind()));
  json["dropped"] = runner.dropped();
  json["behind_ms"] = ToMilliseconds(runner.behind());
  if (check != nullptr) {
    std::cout << CheckToText(*check);
    json["check"] = CheckToJson(*check);
  }
  const bool json_written = WriteFile(options.json_file, FormatJson(json));
  const bool html_written =
      WriteFile(options.html_file,
                DrawPage(options.scenario_file, runner.statistics(), check));
  return json_written && html_written;
}

int ExitStatus(const std::optional<check_report>& check) {
  if (!check) {
    return kExitGood;
  }
  if (!check->violations.empty()) {
    return kExitBroken;
  }
  return check->unread_targets.empty() ? kExitGood : kExitIncomplete;
}

int RunLoad(const load_options& options, const load_scenario& scenario) {
  event_loop loop;
  std::optional<check_report> check;
  std::optional<load_runner> runner;
  runner.emplace(scenario, [&] {
    if (!options.check) {
      loop.Stop();
      return;
    }
    runner->Check([&](check_report report) {
      check = std::move(report);
      loop.Stop();
    });
  });
  loop.OnStopRequest([&](stop_request request) {
    runner->StopSending();
    if (request == stop_request::kImmediate) {
      loop.Stop();
    }
  });
  int second = 0;
  const timer progress = RunEvery(kProgressPeriod, [&] {
    PrintProgress(++second, runner->TakeProgress());
  });
  runner->Start();
  loop.Run();
  const bool written =
      WriteReports(options, *runner, check ? &*check : nullptr);
  return written ? ExitStatus(check) : kExitBadInput;
}

int Main(int argc, char** argv) {
  load_options options;
  CLI::App app{"Sends the load of a scenario and checks the answers"};
  app.add_option("scenario", options.scenario_file, "JSON with comments")
      ->required();
  app.add_option("--json", options.json_file, "file for the results");
  app.add_option("--html", options.html_file, "file for the page of plots");
  app.add_option("--entry-host", options.entry_hosts,
                 "IP:PORT, instead of the scenario's; may be repeated");
  app.add_option("--length-ms", options.length_ms,
                 "length of the run, instead of the scenario's")
      ->check(CLI::Range(1, 3'600'000));
  app.add_flag("--check", options.check,
               "compare the answers with the targets' logs; exit 1 if a "
               "promise was broken, 3 if a log could not be read");
  app.add_flag("--validate", options.validate,
               "only read the scenario; exit 2 if it is wrong");
  app.footer("Example: foxtail-load --check --html run.html scenario.json");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kExitGood : kExitBadInput;
  }
  const result<load_scenario> scenario = ReadScenario(options);
  if (!scenario) {
    std::cerr << "foxtail-load: " << scenario.error().Message() << '\n';
    return kExitBadInput;
  }
  if (options.validate) {
    std::cout << options.scenario_file << ": good\n";
    return kExitGood;
  }
  return RunLoad(options, scenario.value());
}

}  // namespace
}  // namespace foxtailspread

int main(int argc, char** argv) { return foxtailspread::Main(argc, argv); }
