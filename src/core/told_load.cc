#include "foxtailspread/told_load.h"

#include <algorithm>
#include <chrono>

#include "foxtailspread/hash.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Answers that a mean latency covers: some seconds of a busy target.
constexpr double kLatencySpan = 40.0;

/// The holder of the lease gets at most some 700 datagrams a second.
constexpr duration kShareEvery{milliseconds{100}};
constexpr duration kShareEachHost{std::chrono::microseconds{1500}};

/// A target of which nobody heard for so long is forgotten.
constexpr duration kForgetAfter{std::chrono::seconds{10}};

}  // namespace

uint32_t ShortIdOf(std::string_view target) {
  return static_cast<uint32_t>(HashText(target));
}

duration ShareLoadsEvery(size_t hosts) {
  return std::max<duration>(kShareEvery,
                            kShareEachHost * static_cast<int64_t>(hosts));
}

void load_board::Add(std::span<const load_sample> samples, time_point now) {
  for (const load_sample& each : samples) {
    entry& known = entries_[each.target];
    const time_point told_at = now - milliseconds{each.age_ms};
    if (told_at > known.told_at) {
      known.load = each.load;
      known.told_at = told_at;
      known.fresh = true;
    }
    if (each.served > 0) {
      const double weight = known.latency_us > 0.0
                                ? std::min(1.0, each.served / kLatencySpan)
                                : 1.0;
      known.latency_us += weight * (each.latency_us - known.latency_us);
    }
  }
}

std::vector<load_sample> load_board::TakeFresh(time_point now) {
  std::erase_if(entries_, [&](const auto& each) {
    return now - each.second.told_at > kForgetAfter;
  });
  std::vector<load_sample> fresh;
  for (auto& [target, each] : entries_) {
    if (!each.fresh) {
      continue;
    }
    each.fresh = false;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - each.told_at);
    fresh.push_back({.target = target,
                     .load = each.load,
                     .age_ms = static_cast<uint32_t>(age.count()),
                     .latency_us = static_cast<uint32_t>(each.latency_us)});
  }
  return fresh;
}

}  // namespace foxtailspread
