// The entry host on the users' platform: takes callers' requests in, routes
// them to targets and takes its turn in giving keys to targets.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "edge/edge_daemon.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/whole_file.h"
#include "platform/edge_settings.h"

namespace {

using foxtailspread::platform::edge_settings;

constexpr int kExitOk = 0;
constexpr int kExitBadInput = 2;
constexpr int kExitUnavailable = 4;

/// Names the settings file when the command line does not.
constexpr char kSettingsVariable[] = "FOXTAILSPREAD_CONFIG";

int Fail(int code, const foxtailspread::error& problem) {
  std::cerr << "foxtail-edge: " << problem.Message() << '\n';
  return code;
}

foxtailspread::result<edge_settings> LoadSettings(const std::string& path) {
  const auto text =
      foxtailspread::ReadWholeFile(path, "name a readable settings file");
  if (!text) {
    return text.error();
  }
  return foxtailspread::platform::ParseEdgeSettings(text.value());
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Entry host of a foxtailspread deployment on the platform."};
  std::string path;
  bool check = false;
  app.add_option("settings", path, "The settings file")
      ->envname(kSettingsVariable)
      ->required();
  app.add_flag("--check-settings", check,
               "Check the settings and exit: 0 if they are good, 2 if not");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? kExitOk : kExitBadInput;
  }
  const auto settings = LoadSettings(path);
  if (!settings) {
    return Fail(kExitBadInput, settings.error());
  }
  if (check) {
    std::cout << path << ": good\n";
    return kExitOk;
  }
  foxtailspread::OpenLog({.to_output = true, .program = settings.value().name});
  foxtailspread::event_loop loop;
  foxtailspread::edge_daemon daemon(settings.value(), [&] { loop.Stop(); });
  const auto started = daemon.Start();
  if (!started) {
    return Fail(kExitUnavailable, started.error());
  }
  loop.OnStopRequest([&](foxtailspread::stop_request request) {
    if (request == foxtailspread::stop_request::kImmediate) {
      loop.Stop();
      return;
    }
    daemon.Leave();
  });
  loop.OnReloadRequest([&] {
    const auto changed = LoadSettings(path);
    if (!changed) {
      const std::string problem = changed.error().Message();
      foxtailspread::LogEvent(foxtailspread::event_id::kSettingsRejected,
                              {{"problem", problem}});
      return;
    }
    daemon.Reload(changed.value());
  });
  loop.Run();
  foxtailspread::LogEvent(foxtailspread::event_id::kStopped);
  return kExitOk;
}
