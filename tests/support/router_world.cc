#include "support/router_world.h"

#include <cmath>
#include <utility>
#include <variant>

#include "foxtailspread/key_balance.h"

namespace foxtailspread::testing {
namespace {

/// One way between a host and a target.
constexpr duration kLinkDelay{std::chrono::milliseconds{1}};

constexpr const char* kService = "lookups";

/// How often hosts share the loads that targets told them.
constexpr duration kShareLoadsEvery{std::chrono::milliseconds{100}};
/// The time that a shared load takes to the other hosts.
constexpr duration kShareDelay{std::chrono::milliseconds{55}};

/// How often other tenants come and go, and how much slower work is there.
constexpr duration kNoiseEvery{std::chrono::milliseconds{400}};
constexpr double kNoisySlowness = 3.0;

}  // namespace

double caller_tally::InTimeShare() const {
  return asked == 0 ? 0.0
                    : static_cast<double>(in_time) / static_cast<double>(asked);
}

duration caller_tally::MeanRefusedWait() const {
  return refused == 0 ? duration{0}
                      : refused_wait / static_cast<int64_t>(refused);
}

router_world::router_world(router_world_options options)
    : options_(std::move(options)), random_(options_.seed) {
  Prepare();
  if (options_.noise > 0.0) {
    ChangeNoise();
  }
  if (options_.tells_load) {
    ShareLoads();
  }
}

void router_world::ShareLoads() {
  for (const auto& each : routers_) {
    loads_.Add(each->TakeLoads(kService, now_), now_);
  }
  At(now_ + kShareDelay, [this, loads = loads_.TakeFresh(now_)]() mutable {
    constexpr uint32_t kDelayMs = kShareDelay / std::chrono::milliseconds{1};
    for (load_sample& each : loads) {
      each.age_ms += kDelayMs;
    }
    for (const auto& each : routers_) {
      each->OnLoads(loads, now_);
    }
  });
  At(now_ + kShareLoadsEvery, [this] { ShareLoads(); });
}

void router_world::ChangeNoise() {
  std::bernoulli_distribution is_noisy(options_.noise);
  for (target_model& each : targets_) {
    each.noise = is_noisy(random_) ? kNoisySlowness : 1.0;
  }
  At(now_ + kNoiseEvery, [this] { ChangeNoise(); });
}

void router_world::Prepare() {
  std::vector<target_entry> entries;
  std::vector<balance_target> owners;
  for (size_t i = 0; i < options_.targets; ++i) {
    target_model made;
    made.speed = options_.speeds[i % options_.speeds.size()];
    made.entry.life = {.id = "t" + std::to_string(i), .started = 1};
    made.entry.service = kService;
    made.entry.address = "10.0.0.1:" + std::to_string(1000 + i);
    made.entry.zone = "zone";
    made.entry.slots = options_.slots;
    target_of_[made.entry.life.id] = i;
    entries.push_back(made.entry);
    owners.push_back({.life = made.entry.life, .capacity = made.speed});
    targets_.push_back(std::move(made));
  }
  key_map map = DealKeys(owners, 1);
  for (key_range& range : map.ranges) {
    range.granted = true;
  }
  routing_config config;
  service_settings service;
  service.name = kService;
  service.keyed = options_.keyed;
  config.services.push_back(service);
  route added;
  added.name = "lookup";
  added.host = "shop.example";
  added.prefix = "/";
  added.repeat = repeat_rule::kIdempotent;
  added.objective = options_.objective;
  added.timeout = options_.patience;
  added.max_attempts = 2;
  added.services = {{.service = kService}};
  config.routes.push_back(added);
  const route_table_ptr table{new route_table(config)};
  for (size_t i = 0; i < options_.hosts; ++i) {
    routers_.push_back(std::make_unique<request_router>(router_settings{
        .zone = "zone", .retries = {}, .seed = options_.seed * 100 + i}));
    wake_at_.push_back(time_point::max());
    router_actions none;
    routers_[i]->OnHostCount(options_.hosts);
    routers_[i]->OnConfig(table, now_, none);
    routers_[i]->OnTargets(entries, false, now_, now_, none);
    if (options_.keyed) {
      routers_[i]->OnKeyMap(kService, map, now_, none);
    }
  }
}

double router_world::Capacity() const {
  double slots = 0.0;
  for (const target_model& each : targets_) {
    slots += each.speed * options_.slots;
  }
  const double usual = 1.0 - options_.noise + options_.noise / kNoisySlowness;
  return slots * usual /
         std::chrono::duration<double>(options_.mean_work).count();
}

void router_world::At(time_point at, std::function<void()> run) {
  events_.push({at, ++last_order_, std::move(run)});
}

caller_tally router_world::Run(double rate, duration time) {
  tally_ = {};
  const time_point end = now_ + time;
  Ask(rate, end);
  while (!events_.empty() && events_.top().at <= end) {
    event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
  return tally_;
}

void router_world::Ask(double rate, time_point end) {
  std::exponential_distribution<double> gap(rate);
  const time_point at = now_ + std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double>(gap(random_)));
  if (at >= end) {
    return;
  }
  At(at, [this, rate, end] {
    const request_id id = ++last_request_;
    const size_t host = random_() % routers_.size();
    callers_[id].arrived = now_;
    ++tally_.asked;
    router_actions actions;
    routers_[host]->OnRequest({.id = id,
                               .host = "shop.example",
                               .path = "/1",
                               .key = static_cast<key_point>(random_()),
                               .patience = options_.patience,
                               .content = id},
                              now_, actions);
    Carry(host, actions);
    Ask(rate, end);
  });
}

void router_world::Carry(size_t host, const router_actions& actions) {
  for (const router_action& action : actions) {
    if (const auto* send = std::get_if<send_action>(&action)) {
      Send(host, *send);
    } else if (const auto* said = std::get_if<own_answer_action>(&action)) {
      const caller& of = callers_[said->id];
      const bool refused = said->answer == own_answer::kNotRun;
      tally_.refused += refused ? 1 : 0;
      tally_.failed += refused ? 0 : 1;
      tally_.refused_wait += refused ? now_ - of.arrived : duration{0};
      callers_.erase(said->id);
    } else if (const auto* delivered = std::get_if<deliver_action>(&action)) {
      const duration took = now_ - callers_[delivered->id].arrived;
      tally_.in_time += took <= options_.objective ? 1 : 0;
      tally_.late += took > options_.objective ? 1 : 0;
      callers_.erase(delivered->id);
    } else if (const auto* cancelled = std::get_if<cancel_action>(&action)) {
      callers_[cancelled->id].attempt = 0;
    }
  }
  Wake(host);
}

void router_world::Wake(size_t host) {
  const time_point due = routers_[host]->NextDue();
  if (due >= wake_at_[host]) {
    return;
  }
  wake_at_[host] = due;
  At(std::max(due, now_), [this, host, due] {
    if (wake_at_[host] != due) {
      return;
    }
    wake_at_[host] = time_point::max();
    router_actions actions;
    routers_[host]->OnTime(now_, actions);
    Carry(host, actions);
  });
}

void router_world::Send(size_t host, const send_action& action) {
  const work sent{.host = host, .id = action.id, .attempt = ++last_attempt_};
  callers_[action.id].attempt = sent.attempt;
  const size_t target = target_of_.at(action.target.id);
  At(now_ + kLinkDelay, [this, target, sent] { Arrive(target, sent); });
}

bool router_world::IsWanted(const work& of) const {
  const auto found = callers_.find(of.id);
  return found != callers_.end() && found->second.attempt == of.attempt;
}

void router_world::Arrive(size_t target, work arrived) {
  target_model& at = targets_[target];
  if (at.busy < options_.slots) {
    Begin(target, arrived);
  } else if (at.waiting.size() < options_.queue) {
    at.waiting.push_back(arrived);
  } else {
    Report(arrived, attempt_verdict::kShed);
  }
}

duration router_world::Work(const target_model& at) {
  std::lognormal_distribution<double> factor(
      -options_.spread * options_.spread / 2, options_.spread);
  return std::chrono::duration_cast<duration>(
      options_.mean_work * (factor(random_) * slowness_ * at.noise / at.speed));
}

void router_world::Begin(size_t target, work begun) {
  target_model& at = targets_[target];
  ++at.busy;
  At(now_ + Work(at), [this, target, begun] { End(target, begun); });
}

void router_world::End(size_t target, const work& ended) {
  target_model& at = targets_[target];
  --at.busy;
  std::optional<told_load> load;
  if (options_.tells_load) {
    load = told_load{.running = at.busy,
                     .waiting = static_cast<int>(at.waiting.size()),
                     .slowness = at.noise};
  }
  Report(ended, attempt_verdict::kServed, load);
  while (!at.waiting.empty() && at.busy < options_.slots) {
    const work next = at.waiting.front();
    at.waiting.pop_front();
    if (IsWanted(next)) {
      Begin(target, next);
    }
  }
}

void router_world::Report(const work& of, attempt_verdict verdict,
                          std::optional<told_load> load) {
  At(now_ + kLinkDelay, [this, of, verdict, load] {
    if (!IsWanted(of)) {
      return;
    }
    router_actions actions;
    routers_[of.host]->OnAttemptEnded(
        {.id = of.id, .verdict = verdict, .load = load}, now_, actions);
    Carry(of.host, actions);
  });
}

}  // namespace foxtailspread::testing
