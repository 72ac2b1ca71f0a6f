// Processor time of the sharing of loads: at the host that sums, for each
// record that it gets and for each round that it tells, and at each host that
// hears it.

#include <benchmark/benchmark.h>

#include <string>
#include <variant>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/load/load_board.h"
#include "foxtailspread/request_router.h"

namespace foxtailspread {
namespace {

constexpr size_t kTargetsPerHost = 3;

/// The datagram of each host: `at_targets` of its targets are busy.
std::vector<std::string> Datagrams(size_t hosts, uint64_t sequence) {
  constexpr size_t kAtTargets = 30;
  std::vector<std::string> datagrams;
  for (size_t host = 0; host < hosts; ++host) {
    loads_record record{.host = "edge-" + std::to_string(host),
                        .sequence = sequence};
    for (size_t i = 0; i < kAtTargets; ++i) {
      record.activity.push_back(
          {.target = static_cast<uint32_t>((host * kAtTargets + i) %
                                           (hosts * kTargetsPerHost)),
           .in_flight = static_cast<uint32_t>(1 + sequence % 2),
           .served = 1,
           .latency_us = 160'000,
           .unqueued = 1});
    }
    datagrams.push_back(FormatHostMessage(record));
  }
  return datagrams;
}

void Receive(load_board& board, const std::vector<std::string>& datagrams,
             time_point now) {
  for (const std::string& datagram : datagrams) {
    board.OnRecord(std::get<loads_record>(ParseHostMessage(datagram).value()),
                   now);
  }
}

/// One round at the host that sums, with what it gets from all others.
void RoundOfTheHolder(benchmark::State& state) {
  const auto hosts = static_cast<size_t>(state.range(0));
  load_board board;
  board.SetHostCount(hosts);
  time_point now{std::chrono::seconds{100}};
  uint64_t sequence = 0;
  size_t bytes = 0;
  for (auto round : state) {
    state.PauseTiming();
    const auto datagrams = Datagrams(hosts, ++sequence);
    now += LoadSharingPeriod(hosts);
    state.ResumeTiming();
    Receive(board, datagrams, now);
    bytes = FormatHostMessage(board.TakeChanged(now)).size();
  }
  state.counters["bytes_told"] = static_cast<double>(bytes);
  state.counters["rounds_per_second"] =
      1.0 / std::chrono::duration<double>(LoadSharingPeriod(hosts)).count();
}
BENCHMARK(RoundOfTheHolder)->Arg(9)->Arg(85)->Arg(300);

/// One datagram of the holder at another host.
void HearSums(benchmark::State& state) {
  const auto hosts = static_cast<size_t>(state.range(0));
  load_board board;
  board.SetHostCount(hosts);
  time_point now{std::chrono::seconds{100}};
  std::string told;
  for (uint64_t sequence = 1; sequence < 8; ++sequence) {
    now += LoadSharingPeriod(hosts);
    Receive(board, Datagrams(hosts, sequence), now);
    told = FormatHostMessage(board.TakeChanged(now));
  }
  request_router router({.zone = "here", .retries = {}});
  for (auto round : state) {
    now += LoadSharingPeriod(hosts);
    router.OnLoadSums(
        std::get<loads_record>(ParseHostMessage(told).value()).sums, now);
  }
}
BENCHMARK(HearSums)->Arg(9)->Arg(85)->Arg(300);

}  // namespace
}  // namespace foxtailspread
