// Time and allocations of an entry host's decisions: one lookup from the
// caller's request to its answer, at the steward and at a host that forwards,
// and one tick.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>
#include <string>

#include "control_fleet.h"

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

constexpr int kKeys = 512;

size_t NoSize(const peer_message& /*message*/) { return 0; }

caller_request Lookup(uint64_t id) {
  caller_request request;
  request.request_id = id;
  request.token_digest = FleetToken(0);
  request.service = "service0";
  request.key = "property-" + std::to_string(id % kKeys);
  request.deadline_us = 500'000;
  return request;
}

template <typename Kind>
const Kind* FindAction(const action_list& actions) {
  for (const host_action& action : actions) {
    if (const auto* found = std::get_if<Kind>(&action)) {
      return found;
    }
  }
  return nullptr;
}

/// Reports the allocations of one iteration.
void CountAllocations(benchmark::State& state, uint64_t before) {
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocations - before),
                         benchmark::Counter::kAvgIterations);
}

/// One lookup at its steward: the request, one attempt, the answer.
void LookupAtSteward(benchmark::State& state) {
  const fleet_size size{.targets_per_range = static_cast<int>(state.range(0)),
                        .organisations = static_cast<int>(state.range(1))};
  control_fleet fleet(size, &NoSize);
  const auto steward = fleet.StewardOf("service0@zone100");
  if (!steward) {
    state.SkipWithError("the range has no steward");
    return;
  }
  uint64_t id = 1;
  uint64_t answered = 0;
  const uint64_t before = allocations;
  for (auto _ : state) {
    const action_list begun = fleet.Handle(*steward, Lookup(id++));
    const auto* attempt = FindAction<attempt_action>(begun);
    if (attempt == nullptr) {
      state.SkipWithError("the lookup was not begun");
      return;
    }
    const attempt_ended ended{attempt->attempt_id, attempt_outcome::kAnswered,
                              200, "", ""};
    const action_list done = fleet.Handle(*steward, ended);
    answered += FindAction<answer_action>(done) != nullptr ? 1 : 0;
    fleet.Host(*steward).TakeReports();
  }
  CountAllocations(state, before);
  if (answered != static_cast<uint64_t>(state.iterations())) {
    state.SkipWithError("a lookup was not answered");
  }
}
BENCHMARK(LookupAtSteward)
    ->ArgNames({"targets", "organisations"})
    ->Args({3, 2})
    ->Args({48, 2})
    ->Args({3, 200});

/// One lookup at a host that sends it on to the steward.
void LookupForwarded(benchmark::State& state) {
  control_fleet fleet(fleet_size{}, &NoSize);
  const auto steward = fleet.StewardOf("service0@zone100");
  if (!steward) {
    state.SkipWithError("the range has no steward");
    return;
  }
  const size_t front = (*steward + 1) % fleet.HostCount();
  uint64_t id = 1;
  uint64_t answered = 0;
  const uint64_t before = allocations;
  for (auto _ : state) {
    const action_list begun = fleet.Handle(front, Lookup(id++));
    const auto* forward = FindAction<forward_action>(begun);
    if (forward == nullptr) {
      state.SkipWithError("the lookup was not forwarded");
      return;
    }
    const forward_ended ended{forward->forward_id, forward_end::kAnswered, 200,
                              request_outcome::kDone, 0};
    const action_list done = fleet.Handle(front, ended);
    answered += FindAction<answer_action>(done) != nullptr ? 1 : 0;
    fleet.Host(front).TakeReports();
  }
  CountAllocations(state, before);
  if (answered != static_cast<uint64_t>(state.iterations())) {
    state.SkipWithError("a lookup was not answered");
  }
}
BENCHMARK(LookupForwarded);

/// All hosts' control work for one period of ticks, by ranges per zone; the
/// time of one host is this by the three hosts.
void ControlOfTenMilliseconds(benchmark::State& state) {
  const fleet_size size{.services = static_cast<int>(state.range(0))};
  control_fleet fleet(size, &NoSize);
  const uint64_t before = allocations;
  for (auto _ : state) {
    fleet.RunFor(std::chrono::milliseconds{10});
  }
  CountAllocations(state, before);
}
BENCHMARK(ControlOfTenMilliseconds)->ArgName("ranges")->Arg(1)->Arg(9);

}  // namespace
}  // namespace foxtailspread
