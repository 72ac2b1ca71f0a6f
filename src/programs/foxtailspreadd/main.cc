// The entry host: takes callers' requests in and routes them to the targets
// that own their keys.

#include <CLI/CLI.hpp>
#include <iostream>

#include "foxtailspread/host_settings.h"
#include "host_daemon.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/non_blocking_output.h"
#include "net/process_signals.h"
#include "net/whole_file.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadInput = 2;
constexpr int kExitUnavailable = 4;

int Fail(int code, const foxtailspread::error& e) {
  std::cerr << "foxtailspreadd: " << e.Message() << '\n';
  return code;
}

foxtailspread::event_level LevelOf(foxtailspread::log_level level) {
  switch (level) {
    case foxtailspread::log_level::kTrace:
    case foxtailspread::log_level::kDebug:
      return foxtailspread::event_level::kDebug;
    case foxtailspread::log_level::kInfo:
      return foxtailspread::event_level::kInfo;
    case foxtailspread::log_level::kWarn:
      return foxtailspread::event_level::kWarning;
    case foxtailspread::log_level::kError:
      break;
  }
  return foxtailspread::event_level::kError;
}

foxtailspread::result<std::string> ReadFile(const std::string& path) {
  return foxtailspread::ReadWholeFile(path, "name a readable file");
}

foxtailspread::result<foxtailspread::host_settings> LoadSettings(
    const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    return text.error();
  }
  auto settings = foxtailspread::ParseHostSettings(text.value());
  if (!settings || settings.value().host_secret_file.empty()) {
    return settings;
  }
  auto secret = ReadFile(settings.value().host_secret_file);
  if (!secret) {
    return secret.error();
  }
  const size_t end = secret.value().find_last_not_of("\r\n");
  settings.value().host_secret = secret.value().substr(0, end + 1);
  const auto good =
      foxtailspread::CheckHostSecret(settings.value().host_secret);
  if (!good) {
    return good.error();
  }
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  foxtailspread::OpenStandardDescriptors();
  foxtailspread::RecordDaemonSignals();
  CLI::App app{"Entry host of a foxtailspread deployment."};
  std::string path;
  bool check = false;
  app.add_option("settings", path, "The settings file")->required();
  app.add_flag("--check-settings", check,
               "Check the settings and exit: 0 if they are good, 2 if not");
  app.footer("Example: foxtailspreadd --check-settings host.json");
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
  foxtailspread::OpenLog({.file = settings.value().log.file,
                          .least = LevelOf(settings.value().log.level),
                          .program = settings.value().name});
  foxtailspread::event_loop loop;
  foxtailspread::host_daemon daemon(settings.value(), [&] { loop.Stop(); });
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
  loop.Run();
  return kExitOk;
}
