// A deployment around the entry hosts, on loopback: the store, the targets and
// the callers, with a check of what must always hold.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "net/loop.h"
#include "platform/stand_in/fleet.h"
#include "platform/stand_in/fleet_load.h"

namespace {

using foxtailspread::stand_in::endless_answer;
using foxtailspread::stand_in::fleet;
using foxtailspread::stand_in::fleet_load;
using foxtailspread::stand_in::fleet_plan;
using foxtailspread::stand_in::load_options;

constexpr int kExitOk = 0;
constexpr int kExitBroken = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitUnavailable = 4;

/// Ways to answer without end, by the name of the option's value.
std::map<std::string, endless_answer> EndlessAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  return {{"body", {head + "\r\n", "x"}},
          {"chunks",
           {head + "Transfer-Encoding: chunked\r\n\r\n",
            "400\r\n" + std::string(0x400, 'x') + "\r\n"}},
          {"interim", {"", "HTTP/1.1 100 Continue\r\n\r\n"}}};
}

/// Runs the loop for a time.
void RunFor(foxtailspread::event_loop& loop, foxtailspread::duration time) {
  const auto end = foxtailspread::RunAfter(time, [&] { loop.Stop(); });
  loop.Run();
}

double Milliseconds(foxtailspread::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Print(const fleet_load& load) {
  std::printf("%-12s %8s %8s %8s %8s %9s %9s\n", "service", "sent", "served",
              "refused", "failed", "p50 ms", "p99 ms");
  for (const auto& [name, counts] : load.counts()) {
    std::printf("%-12s %8lu %8lu %8lu %8lu %9.1f %9.1f\n", name.c_str(),
                counts.sent, counts.served, counts.refused, counts.failed,
                Milliseconds(counts.Quantile(0.5)),
                Milliseconds(counts.Quantile(0.99)));
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Store, targets and callers of a deployment on loopback."};
  std::string deployment = "vlahovic";
  std::string store = "127.0.0.1:0";
  load_options options;
  int seconds = 10;
  bool kill = false;
  bool leave = false;
  bool reject = false;
  bool crash = false;
  std::optional<double> limit;
  std::string endless;
  app.add_option("deployment", deployment, "vlahovic or prairie");
  app.add_option("--store", store, "Where the store listens");
  app.add_option("--hosts", options.hosts, "Where entry hosts take callers")
      ->required()
      ->delimiter(',');
  app.add_option("--rate", options.per_second, "Requests a second a service")
      ->check(CLI::Range(1.0, 5000.0));
  app.add_option("--seconds", seconds, "How long callers send")
      ->check(CLI::Range(1, 3600));
  app.add_flag("--kill", kill, "Kill a target of the keyed service half-way");
  app.add_flag("--leave", leave,
               "The third target of the keyed service says in its answers, but "
               "not to the store, that it leaves");
  app.add_flag(
      "--reject", reject,
      "The fourth target of the keyed service rejects all requests for "
      "four seconds and asks for a backoff");
  app.add_flag("--crash", crash,
               "A request to the last service crashes each target that begins "
               "to run it, and its caller sends it again");
  app.add_option("--limit", limit,
                 "Requests a second that the second target of the keyed "
                 "service accepts from all hosts together")
      ->check(CLI::Range(0.0, 5000.0));
  app.add_option("--endless", endless,
                 "Half of the answers of the last service have no end in the "
                 "middle third of the time: body, chunks or interim")
      ->check(CLI::IsMember(EndlessAnswers()));
  CLI11_PARSE(app, argc, argv);
  fleet_plan plan = foxtailspread::stand_in::PlanOf(deployment);
  if (plan.services.empty()) {
    std::cerr << "no such deployment: " << deployment
              << "; use vlahovic or prairie\n";
    return kExitBadInput;
  }
  plan.services.back().relayed = !endless.empty();
  foxtailspread::event_loop loop;
  foxtailspread::poller events;
  fleet served(events, plan);
  const auto started = served.Start(store);
  if (!started) {
    std::cerr << "foxtail-fleet: " << started.error().Message() << '\n';
    return kExitUnavailable;
  }
  // The entry hosts list the targets and share the keys out.
  RunFor(loop, std::chrono::seconds{5});
  if (crash) {
    options.crash_service = plan.services.back().name;
    served.CrashOn(options.crash_service, foxtailspread::stand_in::kCrashPath);
  }
  fleet_load load(events, plan, options);
  load.Start();
  served.SetLimit(1, limit);
  if (reject) {
    served.Reject(3, std::chrono::seconds{4});
  }
  if (leave) {
    served.Leave(2);
  }
  std::list<foxtailspread::timer> changes;
  if (!endless.empty()) {
    const foxtailspread::duration third = std::chrono::seconds{seconds} / 3;
    changes.push_back(foxtailspread::RunAfter(third, [&] {
      served.SetEndlessAnswer(EndlessAnswers().at(endless));
      std::cout << "endless answers begin" << std::endl;
    }));
    changes.push_back(foxtailspread::RunAfter(2 * third, [&] {
      served.SetEndlessAnswer(std::nullopt);
      std::cout << "endless answers end" << std::endl;
    }));
  }
  std::cout << "callers begin" << std::endl;
  RunFor(loop, std::chrono::seconds{seconds} / 2);
  if (kill) {
    std::cout << "killing " << served.target(0).options().life.id << '\n';
    served.Kill(0);
  }
  size_t shared = 0;
  for (int i = 0; i < seconds; ++i) {
    RunFor(loop, std::chrono::milliseconds{500});
    shared += served.KeysWithTwoOwners();
  }
  load.Stop();
  RunFor(loop, std::chrono::seconds{3});
  Print(load);
  if (limit) {
    std::cout << "requests to " << served.target(1).options().life.id
              << " at a limit of " << *limit
              << " a second: " << served.target(1).limit().settled_arrivals()
              << '\n';
  }
  if (crash) {
    std::cout << "targets that a request has crashed: "
              << served.crash().crashes() << '\n';
  }
  if (!endless.empty()) {
    std::cout << "answers without end: " << served.endless_answers() << ", "
              << served.endless_bytes() << " bytes\n";
  }
  std::cout << "calls of the store: " << served.store().calls() << '\n';
  const auto broken = load.Broken(served);
  for (const std::string& line : broken) {
    std::cout << "broken: " << line << '\n';
  }
  if (shared > 0) {
    std::cout << "broken: " << shared << " keys had two owners\n";
  }
  return broken.empty() && shared == 0 ? kExitOk : kExitBroken;
}
