#include <CLI/CLI.hpp>
#include <chrono>
#include <string>

#include "net/log.h"
#include "net/non_blocking_output.h"
#include "net/process_signals.h"
#include "net/stand_in.h"
#include "platform_service.h"

// A stand-in for the platform: see docs/protocols/PLATFORM.md.
int main(int argc, char** argv) {
  foxtailspread::OpenStandardDescriptors();
  foxtailspread::RecordDaemonSignals();
  foxtailspread::platform_settings settings;
  std::string listen = "127.0.0.1:0";
  std::string log_file;
  int64_t hosts_lag_ms = 0;
  CLI::App app{"A stand-in for the platform"};
  app.add_option("--listen", listen, "IP:PORT; port 0 takes a free one");
  app.add_option("--write-rate", settings.write_rate, "writes a second")
      ->check(CLI::Range(1.0, 1e9));
  app.add_option("--read-rate", settings.read_rate, "reads a second")
      ->check(CLI::Range(1.0, 1e9));
  app.add_option("--hosts-lag-ms", hosts_lag_ms,
                 "how late the list of hosts shows a change")
      ->check(CLI::Range(0, 86'400'000));
  app.add_option("--log", log_file, "file of the log, else standard error");
  CLI11_PARSE(app, argc, argv);

  settings.hosts_lag = std::chrono::milliseconds{hosts_lag_ms};
  foxtailspread::OpenLog({.file = log_file, .program = "foxtail-platform"});
  foxtailspread::platform_service service{settings};
  return foxtailspread::ServeUntilStopped(service.Server(), listen);
}
