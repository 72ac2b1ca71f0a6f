// Time and allocations of one decision on the request path.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>
#include <random>
#include <string>
#include <vector>

#include "foxtailspread/dispatcher.h"
#include "foxtailspread/hot_keys.h"
#include "foxtailspread/placement.h"

namespace {

uint64_t allocations = 0;

}  // namespace

// Counts every allocation of this program. Not inlined, or the compiler takes
// the pairs for mismatched.
[[gnu::noinline]] void* operator new(size_t size) {
  allocations++;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace foxtailspread {
namespace {

constexpr int kSlots = 3;
constexpr duration kService{2000};

/// A dispatcher with all ramps done, under a steady stream of requests.
class steady_range {
 public:
  steady_range(placement_kind placement, int targets, int buckets,
               int organisations)
      : range_(placement, buckets),
        buckets_(buckets),
        organisations_(organisations) {
    std::vector<target_config> configs;
    configs.reserve(static_cast<size_t>(targets));
    for (int i = 0; i < targets; ++i) {
      configs.push_back({.name = std::to_string(i), .address = {}, .zone = {}});
    }
    range_.SetTargets(configs, kSlots, 110);
    const std::vector<organisation_rule> rules(
        static_cast<size_t>(organisations),
        {.share = 1, .max_queued = 1 << 20});
    range_.SetPolicy(preset_config{}, rules);
    for (int b = 0; b < buckets; ++b) {
      range_.SetOwner(b, b % targets);
    }
    for (int i = 0; i < targets * 200; ++i) {
      SubmitOne();
      EndAll();
    }
  }

  void SubmitOne() {
    now_ += duration{1};
    next_id_++;
    out_.clear();
    const uint64_t hash = next_id_ * 0x9e3779b97f4a7c15;
    range_.Submit(
        {.request_id = next_id_,
         .organisation = static_cast<int32_t>(next_id_ % organisations_),
         .level = static_cast<urgency>(next_id_ % 2),
         .deadline = now_ + std::chrono::hours{1},
         .bucket = buckets_ == 0 ? kNoBucket : BucketOf(hash, buckets_),
         .key_hash = hash,
         .content_hash = hash,
         .repeatable = true},
        now_, out_);
    Note();
  }

  void EndOne() {
    if (running_.empty()) {
      return;
    }
    now_ += duration{1};
    out_.clear();
    const uint64_t attempt = running_[oldest_];
    running_[oldest_] = running_.back();
    running_.pop_back();
    oldest_ = running_.empty() ? 0 : (oldest_ + 1) % running_.size();
    range_.AttemptEnded(attempt, attempt_outcome::kAnswered, now_, out_);
    Note();
  }

  void EndAll() {
    while (!running_.empty()) {
      EndOne();
    }
  }

  dispatcher& Range() { return range_; }
  time_point Now() const { return now_; }

 private:
  void Note() {
    for (const dispatch_decision& decision : out_) {
      if (const auto* start = std::get_if<start_attempt>(&decision)) {
        running_.push_back(start->attempt_id);
      }
    }
  }

  dispatcher range_;
  int buckets_;
  uint64_t organisations_;
  time_point now_{std::chrono::seconds{1}};
  uint64_t next_id_ = 0;
  size_t oldest_ = 0;
  std::vector<uint64_t> running_;
  std::vector<dispatch_decision> out_;
};

/// Args: targets, buckets (0: pooled), organisations, queue length.
void DispatchDecision(benchmark::State& state) {
  const auto targets = static_cast<int>(state.range(0));
  const auto buckets = static_cast<int>(state.range(1));
  const auto placement =
      buckets == 0 ? placement_kind::kPooled : placement_kind::kKeyed;
  steady_range range(placement, targets, buckets,
                     static_cast<int>(state.range(2)));
  const auto live = static_cast<int>(state.range(3)) + targets * kSlots;
  for (int i = 0; i < live; ++i) {
    range.SubmitOne();
  }
  for (int i = 0; i < 10'000; ++i) {
    range.EndOne();
    range.SubmitOne();
  }
  const uint64_t before = allocations;
  for (auto _ : state) {
    range.EndOne();
    range.SubmitOne();
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocations - before),
                         benchmark::Counter::kAvgIterations);
  state.counters["queued"] = range.Range().WaitingCount();
  state.SetLabel("one request: admitted, started and ended");
}
BENCHMARK(DispatchDecision)
    ->ArgNames({"targets", "buckets", "organisations", "queue"})
    ->Args({3, 0, 4, 0})
    ->Args({3, 512, 4, 0})
    ->Args({3, 0, 4, 1000})
    ->Args({3, 512, 4, 1000})
    ->Args({3, 0, 4, 10000})
    ->Args({3, 0, 200, 1000})
    ->Args({32, 0, 4, 1000})
    ->Args({100, 0, 4, 1000})
    ->Args({300, 0, 4, 1000})
    ->Args({300, 4096, 4, 1000})
    ->Args({300, 4096, 200, 10000});

/// A refusal while the queue is full: the path of overload.
void Refusal(benchmark::State& state) {
  steady_range range(placement_kind::kPooled, 3, 0, 4);
  const std::vector<organisation_rule> rules(4, {.share = 1, .max_queued = 64});
  range.Range().SetPolicy(preset_config{}, rules);
  for (int i = 0; i < 2000; ++i) {
    range.SubmitOne();
  }
  const uint64_t before = allocations;
  for (auto _ : state) {
    range.SubmitOne();
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocations - before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(Refusal);

/// Args: buckets, single keys placed alone.
void OwnershipLookup(benchmark::State& state) {
  const auto buckets = static_cast<int>(state.range(0));
  steady_range range(placement_kind::kKeyed, 8, buckets, 4);
  for (int64_t k = 0; k < state.range(1); ++k) {
    range.Range().SetKeyOwner(static_cast<uint64_t>(k), 0);
  }
  uint64_t hash = 1;
  for (auto _ : state) {
    hash = hash * 0x9e3779b97f4a7c15 + 1;
    benchmark::DoNotOptimize(
        range.Range().OwnerOf(BucketOf(hash, buckets), hash));
  }
}
BENCHMARK(OwnershipLookup)
    ->ArgNames({"buckets", "keys"})
    ->Args({256, 0})
    ->Args({4096, 0})
    ->Args({4096, 64});

void KeyToBucket(benchmark::State& state) {
  const std::string key = "property/zagreb/dubrava/004217/reading";
  for (auto _ : state) {
    benchmark::DoNotOptimize(BucketOf(KeyHash(key), 512));
  }
}
BENCHMARK(KeyToBucket);

void HotKeyRecord(benchmark::State& state) {
  hot_key_sketch sketch(static_cast<size_t>(state.range(0)));
  std::mt19937_64 random(1);
  const uint64_t before = allocations;
  for (auto _ : state) {
    sketch.Record(random() % 100'000, 0);
  }
  state.counters["allocations"] = static_cast<double>(allocations - before);
}
BENCHMARK(HotKeyRecord)->Arg(64)->Arg(256)->Arg(1024);

/// Args: buckets, targets. One round with nothing to move.
void PlacementRound(benchmark::State& state) {
  const auto buckets = static_cast<size_t>(state.range(0));
  const auto count = static_cast<size_t>(state.range(1));
  const std::vector<double> loads(buckets, 10);
  std::vector<target_index> owners;
  for (size_t b = 0; b < buckets; ++b) {
    owners.push_back(static_cast<target_index>(b % count));
  }
  const std::vector<placement_target> targets(count, {true, 1});
  for (auto _ : state) {
    benchmark::DoNotOptimize(PlanPlacement({.bucket_load = loads,
                                            .owners = owners,
                                            .targets = targets,
                                            .hot_keys = {},
                                            .balance_weight = 0.5,
                                            .max_moves = 16,
                                            .allow_rebalance = true}));
  }
}
BENCHMARK(PlacementRound)->Args({512, 4})->Args({4096, 300});

}  // namespace
}  // namespace foxtailspread
