// The entry host on the users' platform: takes callers' requests in, routes
// them to targets and takes its turn in giving keys to targets.

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

#include "edge/edge_daemon.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/non_blocking_output.h"
#include "net/process_signals.h"
#include "net/whole_file.h"
#include "platform/edge_settings.h"

namespace {

using foxtailspread::duration;
using foxtailspread::error;
using foxtailspread::error_code;
using foxtailspread::event_id;
using foxtailspread::FlushLog;
using foxtailspread::LogEvent;
using foxtailspread::result;
using foxtailspread::time_point;
using foxtailspread::platform::edge_settings;

constexpr int kExitOk = 0;
constexpr int kExitBadInput = 2;
constexpr int kExitUnavailable = 4;

/// Names the settings file when the command line does not.
constexpr char kSettingsVariable[] = "FOXTAILSPREAD_CONFIG";

/// How long a start waits for what may become good by itself: a settings file
/// that is being written, and addresses that a process before this one, which
/// may take `stop_grace` to end, still has.
constexpr duration kSettingsPatience{std::chrono::seconds{3}};
constexpr duration kAddressPatience{std::chrono::seconds{1}};
constexpr std::chrono::milliseconds kRetryPause{50};

int Fail(int code, event_id event, const error& problem) {
  const std::string text = problem.Message();
  if (event == event_id::kListenFailed) {
    LogEvent(event, {{"address", problem.path}, {"problem", text}});
  } else {
    LogEvent(event, {{"problem", text}});
  }
  FlushLog();
  std::cerr << "foxtail-edge: " << text << '\n';
  return code;
}

int Stop(std::string_view reason) {
  LogEvent(event_id::kStopped, {{"reason", reason}});
  FlushLog();
  return kExitOk;
}

/// Logs why the process ends when an exception is not caught anywhere.
[[noreturn]] void OnTerminate() {
  std::string problem = "std::terminate was called";
  try {
    if (const std::exception_ptr thrown = std::current_exception()) {
      std::rethrow_exception(thrown);
    }
  } catch (const std::exception& e) {
    problem = e.what();
  } catch (...) {
    problem = "an exception of an unknown type";
  }
  LogEvent(event_id::kProgramFailed, {{"problem", problem}});
  FlushLog();
  std::abort();
}

/// Calls `attempt` until it succeeds, for `patience` or until a request to
/// stop. Returns what it returned last.
template <typename Attempt>
auto TryFor(duration patience, const Attempt& attempt) {
  const time_point end = foxtailspread::Now() + patience;
  auto outcome = attempt();
  if (!outcome) {
    const std::string problem = outcome.error().Message();
    LogEvent(event_id::kStartDelayed, {{"problem", problem}});
  }
  while (!outcome && foxtailspread::Now() < end &&
         !foxtailspread::IsStopRecorded()) {
    std::this_thread::sleep_for(kRetryPause);
    outcome = attempt();
  }
  return outcome;
}

result<edge_settings> LoadSettings(const std::string& path) {
  const auto text =
      foxtailspread::ReadWholeFile(path, "name a readable settings file");
  if (!text) {
    return text.error();
  }
  return foxtailspread::platform::ParseEdgeSettings(text.value());
}

void Reload(foxtailspread::edge_daemon& daemon, const std::string& path) {
  const auto changed = LoadSettings(path);
  if (!changed) {
    const std::string problem = changed.error().Message();
    LogEvent(event_id::kSettingsRejected, {{"problem", problem}});
    return;
  }
  daemon.Reload(changed.value());
}

int Check(const std::string& path) {
  const auto settings = LoadSettings(path);
  if (!settings) {
    std::cerr << "foxtail-edge: " << settings.error().Message() << '\n';
    return kExitBadInput;
  }
  std::cout << path << ": good\n";
  return kExitOk;
}

int Run(const std::string& path) {
  foxtailspread::OpenLog({.to_output = true});
  if (foxtailspread::SignalDescriptor() < 0) {
    return Fail(kExitUnavailable, event_id::kProgramFailed,
                {error_code::kUnavailable, "", "no descriptor is free",
                 "raise the limit of open files"});
  }
  const auto settings =
      TryFor(kSettingsPatience, [&] { return LoadSettings(path); });
  if (foxtailspread::IsStopRecorded()) {
    return Stop("stopped-before-start");
  }
  if (!settings) {
    return Fail(kExitBadInput, event_id::kSettingsRejected, settings.error());
  }
  foxtailspread::OpenLog({.to_output = true, .program = settings.value().name});
  foxtailspread::event_loop loop;
  std::string_view reason = "left";
  foxtailspread::edge_daemon daemon(settings.value(), [&] { loop.Stop(); });
  const auto started = TryFor(settings.value().stop_grace + kAddressPatience,
                              [&] { return daemon.Start(); });
  if (!started) {
    return foxtailspread::IsStopRecorded()
               ? Stop("stopped-before-start")
               : Fail(kExitUnavailable, event_id::kListenFailed,
                      started.error());
  }
  loop.OnStopRequest([&](foxtailspread::stop_request request) {
    if (request == foxtailspread::stop_request::kImmediate) {
      reason = "interrupted";
      loop.Stop();
      return;
    }
    daemon.Leave();
  });
  loop.OnReloadRequest([&] { Reload(daemon, path); });
  loop.Run();
  return Stop(reason);
}

void RecordFirst(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  foxtailspread::RecordDaemonSignals();
}

// Runs before the libraries initialise themselves, which takes longer than all
// that comes before the loop.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const record_first)(int, char**, char**) = RecordFirst;

}  // namespace

int main(int argc, char** argv) {
  foxtailspread::OpenStandardDescriptors();
  std::set_terminate(OnTerminate);
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
  return check ? Check(path) : Run(path);
}
