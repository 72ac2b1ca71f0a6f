#include <CLI/CLI.hpp>
#include <chrono>
#include <string>

#include "net/log.h"
#include "net/non_blocking_output.h"
#include "net/process_signals.h"
#include "net/stand_in.h"
#include "target_service.h"

// A stand-in target for tests: see docs/protocols/TARGET.md.
int main(int argc, char** argv) {
  foxtailspread::OpenStandardDescriptors();
  foxtailspread::RecordDaemonSignals();
  using foxtailspread::target_settings;
  using std::chrono::milliseconds;

  target_settings settings;
  std::string listen = "127.0.0.1:0";
  std::string log_file;
  int connections = 50;
  int64_t work_ms = 2;
  int64_t cold_ms = 0;
  int64_t health_lag_ms = 0;
  CLI::App app{"A stand-in target for tests"};
  app.add_option("--listen", listen, "IP:PORT; port 0 takes a free one");
  app.add_option("--name", settings.name, "its name in the answers");
  app.add_option("--slots", settings.slots, "requests that run at once")
      ->check(CLI::Range(1, 10'000));
  app.add_option("--queue", settings.queue, "requests that wait for a slot")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--connections", connections, "connections it accepts")
      ->check(CLI::Range(1, 1'000'000));
  app.add_option("--work-ms", work_ms, "time that a request runs")
      ->check(CLI::Range(0, 86'400'000));
  app.add_option("--work-spread", settings.work_spread,
                 "half-width of the even spread, as a part of --work-ms")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--seed", settings.seed, "seed of the spread");
  app.add_flag("--checks-grants", settings.checks_grants,
               "refuse orders of former stewards and keys not owned");
  app.add_option("--cold-ms", cold_ms, "length of the slow start")
      ->check(CLI::Range(0, 86'400'000));
  app.add_option("--health-lag-ms", health_lag_ms,
                 "age of what /health and /load say")
      ->check(CLI::Range(0, 86'400'000));
  app.add_option("--log", log_file, "file of the log, else standard error");
  CLI11_PARSE(app, argc, argv);

  settings.work_time = milliseconds{work_ms};
  settings.cold_time = milliseconds{cold_ms};
  settings.health_lag = milliseconds{health_lag_ms};
  foxtailspread::OpenLog({.file = log_file, .program = settings.name});
  foxtailspread::target_service service{settings, connections};
  return foxtailspread::ServeUntilStopped(service.Server(), listen);
}
