#include "support/router_world.h"

#include <cmath>
#include <utility>
#include <variant>

#include "foxtailspread/key_balance.h"

namespace foxtailspread::testing {
namespace {

/// One-way network delay between a host and a target.
constexpr duration kLinkDelay{std::chrono::milliseconds{1}};

constexpr const char* kService = "lookups";

/// Period at which hosts share the loads that targets reported to them.
constexpr duration kShareLoadsPeriod{std::chrono::milliseconds{100}};
/// Delay until a shared load reaches the other hosts.
constexpr duration kLoadShareDelay{std::chrono::milliseconds{55}};

/// Period at which other tenants start or stop slowing targets down, and the
/// factor by which they do.
constexpr duration kNoisePeriod{std::chrono::milliseconds{400}};
constexpr double kNoiseSlowdown = 3.0;

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
  for (const auto& router : routers_) {
    loads_.Add(router->TakeLoads(kService, now_), now_);
  }
  At(now_ + kLoadShareDelay, [this, loads = loads_.TakeFresh(now_)]() mutable {
    constexpr uint32_t kDelayMs =
        kLoadShareDelay / std::chrono::milliseconds{1};
    for (load_sample& sample : loads) {
      sample.age_ms += kDelayMs;
    }
    for (const auto& router : routers_) {
      router->OnLoads(loads, now_);
    }
  });
  At(now_ + kShareLoadsPeriod, [this] { ShareLoads(); });
}

void router_world::ChangeNoise() {
  std::bernoulli_distribution is_noisy(options_.noise);
  for (target_model& target : targets_) {
    target.noise = is_noisy(random_) ? kNoiseSlowdown : 1.0;
  }
  At(now_ + kNoisePeriod, [this] { ChangeNoise(); });
}

void router_world::Prepare() {
  std::vector<target_entry> entries;
  std::vector<balance_target> owners;
  for (size_t i = 0; i < options_.targets; ++i) {
    target_model target;
    target.speed = options_.speeds[i % options_.speeds.size()];
    target.entry.life = {.id = "t" + std::to_string(i), .started = 1};
    target.entry.service = kService;
    target.entry.address = "10.0.0.1:" + std::to_string(1000 + i);
    target.entry.zone = "zone";
    target.entry.slots = options_.slots;
    target_of_[target.entry.life.id] = i;
    entries.push_back(target.entry);
    owners.push_back({.life = target.entry.life, .capacity = target.speed});
    targets_.push_back(std::move(target));
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
  route lookup_route;
  lookup_route.name = "lookup";
  lookup_route.host = "shop.example";
  lookup_route.prefix = "/";
  lookup_route.repeat = repeat_rule::kIdempotent;
  lookup_route.objective = options_.objective;
  lookup_route.timeout = options_.patience;
  lookup_route.max_attempts = 2;
  lookup_route.services = {{.service = kService}};
  config.routes.push_back(lookup_route);
  const route_table_ptr table{new route_table(config)};
  for (size_t i = 0; i < options_.hosts; ++i) {
    routers_.push_back(std::make_unique<request_router>(router_settings{
        .zone = "zone", .retries = {}, .seed = options_.seed * 100 + i}));
    wake_at_.push_back(time_point::max());
    router_actions ignored_actions;
    routers_[i]->OnHostCount(options_.hosts);
    routers_[i]->OnConfig(table, now_, ignored_actions);
    routers_[i]->OnTargets(entries, false, now_, now_, ignored_actions);
    if (options_.keyed) {
      routers_[i]->OnKeyMap(kService, map, now_, ignored_actions);
    }
  }
}

double router_world::Capacity() const {
  double effective_slots = 0.0;
  for (const target_model& target : targets_) {
    effective_slots += target.speed * options_.slots;
  }
  const double mean_speed_under_noise =
      1.0 - options_.noise + options_.noise / kNoiseSlowdown;
  return effective_slots * mean_speed_under_noise /
         std::chrono::duration<double>(options_.mean_work).count();
}

void router_world::At(time_point time, std::function<void()> callback) {
  events_.push({time, ++last_order_, std::move(callback)});
}

caller_tally router_world::Run(double rate_per_second, duration length) {
  tally_ = {};
  const time_point end = now_ + length;
  Ask(rate_per_second, end);
  while (!events_.empty() && events_.top().at <= end) {
    event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
  return tally_;
}

void router_world::Ask(double rate_per_second, time_point end) {
  std::exponential_distribution<double> seconds_to_next(rate_per_second);
  const time_point arrival =
      now_ + std::chrono::duration_cast<duration>(
                 std::chrono::duration<double>(seconds_to_next(random_)));
  if (arrival >= end) {
    return;
  }
  At(arrival, [this, rate_per_second, end] {
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
    Ask(rate_per_second, end);
  });
}

void router_world::Carry(size_t host, const router_actions& actions) {
  for (const router_action& action : actions) {
    if (const auto* send = std::get_if<send_action>(&action)) {
      Send(host, *send);
    } else if (const auto* reply = std::get_if<own_answer_action>(&action)) {
      const caller& answered_caller = callers_[reply->id];
      const bool refused = reply->answer == own_answer::kNotRun;
      tally_.refused += refused ? 1 : 0;
      tally_.failed += refused ? 0 : 1;
      tally_.refused_wait +=
          refused ? now_ - answered_caller.arrived : duration{0};
      callers_.erase(reply->id);
    } else if (const auto* delivered = std::get_if<deliver_action>(&action)) {
      const duration latency = now_ - callers_[delivered->id].arrived;
      tally_.in_time += latency <= options_.objective ? 1 : 0;
      tally_.late += latency > options_.objective ? 1 : 0;
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

bool router_world::IsWanted(const work& attempt) const {
  const auto found = callers_.find(attempt.id);
  return found != callers_.end() && found->second.attempt == attempt.attempt;
}

void router_world::Arrive(size_t target, work attempt) {
  target_model& model = targets_[target];
  if (model.busy < options_.slots) {
    Begin(target, attempt);
  } else if (model.waiting.size() < options_.queue) {
    model.waiting.push_back(attempt);
  } else {
    Report(attempt, attempt_verdict::kShed);
  }
}

duration router_world::Work(const target_model& target) {
  std::lognormal_distribution<double> random_factor(
      -options_.spread * options_.spread / 2, options_.spread);
  return std::chrono::duration_cast<duration>(
      options_.mean_work *
      (random_factor(random_) * slowness_ * target.noise / target.speed));
}

void router_world::Begin(size_t target, work attempt) {
  target_model& model = targets_[target];
  ++model.busy;
  At(now_ + Work(model), [this, target, attempt] { End(target, attempt); });
}

void router_world::End(size_t target, const work& attempt) {
  target_model& model = targets_[target];
  --model.busy;
  std::optional<told_load> load;
  if (options_.tells_load) {
    load = told_load{.running = model.busy,
                     .waiting = static_cast<int>(model.waiting.size()),
                     .slowness = model.noise};
  }
  Report(attempt, attempt_verdict::kServed, load);
  while (!model.waiting.empty() && model.busy < options_.slots) {
    const work next = model.waiting.front();
    model.waiting.pop_front();
    if (IsWanted(next)) {
      Begin(target, next);
    }
  }
}

void router_world::Report(const work& attempt, attempt_verdict verdict,
                          std::optional<told_load> load) {
  At(now_ + kLinkDelay, [this, attempt, verdict, load] {
    if (!IsWanted(attempt)) {
      return;
    }
    router_actions actions;
    routers_[attempt.host]->OnAttemptEnded(
        {.id = attempt.id, .verdict = verdict, .load = load}, now_, actions);
    Carry(attempt.host, actions);
  });
}

}  // namespace foxtailspread::testing
