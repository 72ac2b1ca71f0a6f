// Compares one steward per (service, zone) with entry hosts that choose by
// themselves, on the same traffic in virtual time. Prints tables; --json
// prints the same figures for tools.

#include <CLI/CLI.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <vector>

#include "baselines.h"
#include "steward_model.h"

namespace foxtailspread::experiment {
namespace {

using std::chrono::seconds;

/// One line of a table.
struct row {
  std::string service;
  std::string policy;
  std::vector<std::pair<std::string, double>> figures;
};

struct table {
  std::string name;
  std::vector<row> rows;
};

/// A planned change of a target's condition.
struct fault {
  duration at{0};
  int target = 0;
  target_mode mode = target_mode::kServing;
};

struct run_config {
  service_shape shape;
  traffic_config traffic;
  std::vector<fault> faults;
  std::vector<arrival> extra;  ///< Arrivals besides the drawn ones.
};

struct run_result {
  recorder figures;
  int crashes = 0;
  int moves = 0;
  int key_moves = 0;
};

double Capacity(const service_shape& shape) {
  return shape.targets * shape.slots * 1e6 / kMeanServiceUs;
}

template <typename front_type>
void Play(event_loop& loop, target_fleet& fleet, front_type& front,
          recorder& figures, const run_config& config) {
  figures.SetZones(config.shape.zones);
  for (int s = 1; s <= config.traffic.length / seconds{1}; ++s) {
    loop.At(time_point{seconds{s}},
            [&] { figures.Second(fleet.TakeStarts(), loop.Now()); });
  }
  std::vector<arrival> arrivals = DrawTraffic(config.traffic);
  arrivals.insert(arrivals.end(), config.extra.begin(), config.extra.end());
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const arrival& a, const arrival& b) { return a.at < b.at; });
  for (size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].id = i + 1;
  }
  for (const fault& f : config.faults) {
    loop.At(time_point{f.at}, [&fleet, f] { fleet.SetMode(f.target, f.mode); });
  }
  for (const arrival& request : arrivals) {
    loop.RunUntil(request.at);
    front.Arrive(request);
  }
  loop.RunUntil(time_point{config.traffic.length + seconds{1}});
}

template <target_picker picker>
run_result RunIndependent(const run_config& config) {
  event_loop loop;
  target_fleet fleet(loop, config.shape.targets, config.shape.slots,
                     config.shape.connections);
  run_result result;
  independent_hosts<picker> front(loop, fleet, result.figures,
                                  config.shape.hosts, config.shape.keyed);
  Play(loop, fleet, front, result.figures, config);
  result.crashes = fleet.Crashes();
  return result;
}

template <target_picker picker>
run_result RunSteward(const run_config& config) {
  event_loop loop;
  target_fleet fleet(loop, config.shape.targets, config.shape.slots,
                     config.shape.connections);
  run_result result;
  steward_zones<picker> front(
      loop, fleet, result.figures, config.shape,
      static_cast<int>(config.traffic.organisations.size()));
  Play(loop, fleet, front, result.figures, config);
  result.crashes = fleet.Crashes();
  result.moves = front.Moves();
  result.key_moves = front.KeyMoves();
  return result;
}

struct policy {
  std::string name;
  run_result (*run)(const run_config&);
};

/// Set by --steward-only, to try a change without the baselines.
bool without_baselines = false;

std::vector<policy> PoliciesFor(const service_shape& shape) {
  if (without_baselines) {
    return {{"steward", RunSteward<least_loaded_picker>}};
  }
  if (shape.keyed) {
    return {{"steward", RunSteward<least_loaded_picker>},
            {"hash ring, each host", RunIndependent<random_picker>}};
  }
  return {{"steward", RunSteward<least_loaded_picker>},
          {"steward, random", RunSteward<random_picker>},
          {"random, each host", RunIndependent<random_picker>},
          {"round robin, each host", RunIndependent<round_robin_picker>},
          {"least outstanding, each host",
           RunIndependent<least_outstanding_picker>},
          {"two choices, each host", RunIndependent<two_choices_picker>}};
}

std::vector<service_shape> Shapes() {
  return {{"vlahovic history", true, 4, 12, 3, 110, 12, 512},
          {"prairie proofs", true, 3, 14, 3, 50, 9, 512},
          {"vlahovic signing", false, 4, 8, 3, 110, 12, 512},
          {"prairie fabrication", false, 3, 7, 3, 50, 9, 512}};
}

service_shape Tripled(service_shape shape) {
  shape.name += " x3 hosts";
  shape.hosts *= 3;
  return shape;
}

/// Set by --wide.
service_spread spread = service_spread::kModerate;

run_config Base(const service_shape& shape, uint64_t seed, double load) {
  run_config config;
  config.shape = shape;
  config.traffic.seed = seed;
  config.traffic.rate = load * Capacity(shape);
  config.traffic.spread = spread;
  return config;
}

table Imbalance(const std::string& name, uint64_t seed, double load,
                int hot_keys, double hot_part, bool pooled_too) {
  table t{"imbalance, " + name, {}};
  for (const service_shape& shape : Shapes()) {
    if (!shape.keyed && !pooled_too) {
      continue;
    }
    run_config config = Base(shape, seed, load);
    config.traffic.hot_keys = hot_keys;
    config.traffic.hot_part = hot_part;
    for (const policy& p : PoliciesFor(shape)) {
      const run_result r = p.run(config);
      t.rows.push_back(
          {shape.name,
           p.name,
           {{"max/mean", r.figures.Imbalance()},
            {"p95", r.figures.WorstImbalance()},
            {"zone max/mean", r.figures.ZoneImbalance()},
            {"CV", r.figures.Variation()},
            {"bucket moves", r.moves},
            {"key moves", r.key_moves},
            {"urgent p99 ms", r.figures.LatencyMs(urgency::kUrgent, 0.99)}}});
    }
  }
  return t;
}

table Latency(uint64_t seed, bool tripled) {
  table t{tripled ? "latency and goodput by load, three times the hosts"
                  : "latency and goodput by load",
          {}};
  std::vector<service_shape> shapes = Shapes();
  if (tripled) {
    shapes = {Tripled(shapes[0]), Tripled(shapes[2])};
  }
  for (const service_shape& shape : shapes) {
    for (const policy& p : PoliciesFor(shape)) {
      double peak = 0;
      for (const double load : {0.5, 0.8, 0.95, 3.0}) {
        const run_result r = p.run(Base(shape, seed, load));
        const double length = 25;
        const double goodput = r.figures.Answered() / length / Capacity(shape);
        peak = std::max(peak, goodput);
        t.rows.push_back(
            {shape.name,
             p.name,
             {{"load", load},
              {"urgent p50", r.figures.LatencyMs(urgency::kUrgent, 0.5)},
              {"p99", r.figures.LatencyMs(urgency::kUrgent, 0.99)},
              {"p99.9", r.figures.LatencyMs(urgency::kUrgent, 0.999)},
              {"archive p50", r.figures.LatencyMs(urgency::kArchive, 0.5)},
              {"answered", r.figures.AnsweredPart()},
              {"goodput", goodput},
              {"of peak", goodput / peak}}});
      }
    }
  }
  return t;
}

/// Half the targets refuse everything for five seconds.
table Retries(uint64_t seed) {
  table t{"half the targets refuse for 5 s", {}};
  for (const service_shape& shape : Shapes()) {
    run_config config = Base(shape, seed, 0.5);
    constexpr duration kFrom{seconds{10}};
    constexpr duration kUntil{seconds{15}};
    for (int i = 0; i < shape.targets; i += 2) {
      config.faults.push_back({kFrom, i, target_mode::kShedding});
      config.faults.push_back({kUntil, i, target_mode::kServing});
    }
    for (const policy& p : PoliciesFor(shape)) {
      const run_result r = p.run(config);
      const std::vector<double>& by_second = r.figures.BySecond();
      const double usual =
          std::accumulate(by_second.begin() + 6, by_second.begin() + 10, 0.0) /
          4;
      size_t recovered = 15;
      while (recovered + 1 < by_second.size() &&
             by_second[recovered] < 0.95 * usual) {
        recovered++;
      }
      t.rows.push_back(
          {shape.name,
           p.name,
           {{"attempts/first", r.figures.Amplification()},
            {"answered", r.figures.AnsweredPart()},
            {"recovered in s <=", static_cast<double>(recovered) - 14}}});
    }
  }
  return t;
}

/// One organisation of four sends ten times its share of the capacity.
table Shares(uint64_t seed) {
  table t{"an organisation at 10x its share", {}};
  for (const service_shape& shape : Shapes()) {
    run_config config = Base(shape, seed, 0.25 * 10 + 3 * 0.2);
    config.traffic.organisations = {2.5, 0.2, 0.2, 0.2};
    run_config calm = Base(shape, seed, 4 * 0.2);
    for (const policy& p : PoliciesFor(shape)) {
      const run_result r = p.run(config);
      const run_result before = p.run(calm);
      double worst = 1;
      for (size_t organisation = 1; organisation < 4; ++organisation) {
        worst = std::min(worst, r.figures.AnsweredPart(organisation));
      }
      t.rows.push_back({shape.name,
                        p.name,
                        {{"others answered", worst},
                         {"calm", before.figures.AnsweredPart(1)},
                         {"its own", r.figures.AnsweredPart(0)},
                         {"their urgent p99", r.figures.OthersUrgentMs(0.99)},
                         {"calm p99", before.figures.OthersUrgentMs(0.99)}}});
    }
  }
  return t;
}

/// One target stops answering, with its connections open, for ten seconds.
table Frozen(uint64_t seed) {
  table t{"one target frozen for 10 s", {}};
  for (const service_shape& shape : Shapes()) {
    run_config config = Base(shape, seed, 0.5);
    config.faults = {{seconds{10}, 0, target_mode::kFrozen},
                     {seconds{20}, 0, target_mode::kServing}};
    for (const policy& p : PoliciesFor(shape)) {
      const run_result r = p.run(config);
      t.rows.push_back(
          {shape.name,
           p.name,
           {{"answered", r.figures.AnsweredPart()},
            {"urgent p99", r.figures.LatencyMs(urgency::kUrgent, 0.99)},
            {"p99.9", r.figures.LatencyMs(urgency::kUrgent, 0.999)},
            {"attempts/first", r.figures.Amplification()}}});
    }
  }
  return t;
}

/// One caller sends a request that crashes its target, twenty times.
table Poison(uint64_t seed) {
  table t{"a request that crashes its target, sent 20 times", {}};
  for (const service_shape& shape : Shapes()) {
    run_config config = Base(shape, seed, 0.5);
    for (int i = 0; i < 20; ++i) {
      arrival poison;
      poison.at = time_point{seconds{8} + i * std::chrono::milliseconds{300}};
      poison.level = urgency::kUrgent;
      poison.key = 424'242'424;
      poison.service = duration{2000};
      poison.deadline = config.traffic.deadline;
      poison.poison = true;
      config.extra.push_back(poison);
    }
    for (const policy& p : PoliciesFor(shape)) {
      const run_result r = p.run(config);
      t.rows.push_back({shape.name,
                        p.name,
                        {{"targets lost", r.crashes},
                         {"answered", r.figures.AnsweredPart()}}});
    }
  }
  return t;
}

/// Buckets that move when a target joins, leaves or is replaced, against the
/// least that the change needs.
table Churn() {
  table t{"churn of ownership", {}};
  constexpr size_t kBuckets = 512;
  for (const size_t count : {4U, 12U, 14U}) {
    std::vector<double> loads(kBuckets, 10);
    std::vector<target_index> owners(kBuckets, kNoTarget);
    std::vector<placement_target> targets(count, {true, 1});
    targets.push_back({false, 1});
    const auto settle = [&] {
      int moves = 0;
      for (int round = 0; round < 100; ++round) {
        const std::vector<placement_move> plan =
            PlanPlacement({.bucket_load = loads,
                           .owners = owners,
                           .targets = targets,
                           .hot_keys = {},
                           .balance_weight = 0.5,
                           .max_moves = 16,
                           .allow_rebalance = true});
        for (const placement_move& move : plan) {
          owners[static_cast<size_t>(move.bucket)] = move.to;
        }
        moves += static_cast<int>(plan.size());
      }
      return moves;
    };
    const auto ring_moves = [&](auto change) {
      hash_ring before(static_cast<int>(count));
      hash_ring after = before;
      change(after);
      int moves = 0;
      for (uint64_t b = 0; b < kBuckets; ++b) {
        moves += before.Owner(HashOf(b)) != after.Owner(HashOf(b)) ? 1 : 0;
      }
      return moves;
    };
    settle();
    const double join_least = kBuckets / (static_cast<double>(count) + 1);
    targets[count].usable = true;
    const int join = settle();
    const auto held = [&](target_index target) {
      return static_cast<double>(
          std::count(owners.begin(), owners.end(), target));
    };
    const double leave_least = held(0);
    targets[0].usable = false;
    const int leave = settle();
    const double replace_least = held(1);
    targets[1].usable = false;
    targets[0].usable = true;
    const int replace = settle();
    t.rows.push_back({std::to_string(count) + " targets",
                      "plan",
                      {{"join/least", join / join_least},
                       {"leave/least", leave / leave_least},
                       {"replace/least", replace / replace_least}}});
    const int fresh = static_cast<int>(count);
    const int ring_join = ring_moves([=](hash_ring& r) { r.Add(fresh); });
    const int ring_leave = ring_moves([](hash_ring& r) { r.Remove(0); });
    const int ring_replace = ring_moves([=](hash_ring& r) {
      r.Remove(0);
      r.Add(fresh);
    });
    const double even = kBuckets / static_cast<double>(count);
    t.rows.push_back({std::to_string(count) + " targets",
                      "hash ring",
                      {{"join/least", ring_join / join_least},
                       {"leave/least", ring_leave / even},
                       {"replace/least", ring_replace / even}}});
  }
  return t;
}

void Print(const table& t) {
  std::cout << "\n### " << t.name << "\n\n| service | policy |";
  for (const auto& [name, value] : t.rows.front().figures) {
    std::cout << ' ' << name << " |";
  }
  std::cout << "\n|---|---|";
  for (size_t i = 0; i < t.rows.front().figures.size(); ++i) {
    std::cout << "---|";
  }
  std::cout << '\n' << std::fixed << std::setprecision(3);
  for (const row& r : t.rows) {
    std::cout << "| " << r.service << " | " << r.policy << " |";
    for (const auto& [name, value] : r.figures) {
      std::cout << ' ' << value << " |";
    }
    std::cout << '\n';
  }
  std::cout << std::flush;
}

nlohmann::json ToJson(const table& t) {
  nlohmann::json rows = nlohmann::json::array();
  for (const row& r : t.rows) {
    nlohmann::json entry{{"service", r.service}, {"policy", r.policy}};
    for (const auto& [name, value] : r.figures) {
      entry[name] = value;
    }
    rows.push_back(entry);
  }
  return {{"table", t.name}, {"rows", rows}};
}

/// The tables that can be asked for by name.
std::vector<std::pair<std::string, std::function<table()>>> Scenarios(
    uint64_t seed) {
  return {
      {"calm", [=] { return Imbalance("calm", seed, 0.6, 0, 0, true); }},
      {"hot",
       [=] {
         return Imbalance(
             "19 hot keys with 30 % of the load, changing each "
             "10 s",
             seed, 0.6, 19, 0.3, false);
       }},
      {"rush",
       [=] {
         return Imbalance("counter rush: 6 hot keys with 18 %", seed, 0.8, 6,
                          0.18, false);
       }},
      {"churn", [] { return Churn(); }},
      {"latency", [=] { return Latency(seed, false); }},
      {"tripled", [=] { return Latency(seed, true); }},
      {"retries", [=] { return Retries(seed); }},
      {"frozen", [=] { return Frozen(seed); }},
      {"shares", [=] { return Shares(seed); }},
      {"poison", [=] { return Poison(seed); }},
  };
}

}  // namespace
}  // namespace foxtailspread::experiment

int main(int argc, char** argv) {
  CLI::App app{"Measures the routing policy in virtual time."};
  uint64_t seed = 1;
  bool json = false;
  std::vector<std::string> only;
  bool steward_only = false;
  bool wide = false;
  app.add_option("--seed", seed, "Seed of the traffic");
  app.add_option("--only", only, "Names of the tables to make");
  app.add_flag("--steward-only", steward_only, "Leave out the baselines");
  app.add_flag("--wide", wide, "Service times with a long tail");
  app.add_flag("--json", json, "Print JSON in place of tables");
  CLI11_PARSE(app, argc, argv);
  foxtailspread::experiment::without_baselines = steward_only;
  if (wide) {
    foxtailspread::experiment::spread =
        foxtailspread::experiment::service_spread::kWide;
  }
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [name, make] : foxtailspread::experiment::Scenarios(seed)) {
    if (!only.empty() &&
        std::find(only.begin(), only.end(), name) == only.end()) {
      continue;
    }
    const foxtailspread::experiment::table made = make();
    if (json) {
      all.push_back(foxtailspread::experiment::ToJson(made));
    } else {
      foxtailspread::experiment::Print(made);
    }
  }
  if (json) {
    std::cout << all.dump(1) << '\n';
  }
  return 0;
}
