#include "foxtailspread/reported_load.h"

#include <algorithm>
#include <chrono>

#include "foxtailspread/hash.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Number of responses that the running mean latency covers, a few seconds of a
/// busy target.
constexpr double kLatencySampleCount = 40.0;

/// Minimum sharing period, and the period per host. The host that holds the
/// lease receives the samples of all hosts; the period per host limits them to
/// about 700 datagrams per second.
constexpr duration kMinSharePeriod{milliseconds{100}};
constexpr duration kSharePeriodPerHost{std::chrono::microseconds{1500}};

/// Loads are sent to each host directly up to this rate, a tenth of the
/// smallest links of 10 Mbit/s.
constexpr double kMaxDirectBytesPerSecond = 125'000.0;

/// A target without a report for this long is removed.
constexpr duration kEntryTtl{std::chrono::seconds{10}};

}  // namespace

uint32_t ShortIdOf(std::string_view target) {
  return static_cast<uint32_t>(HashText(target));
}

duration LoadSharingPeriod(size_t host_count) {
  return std::max<duration>(
      kMinSharePeriod, kSharePeriodPerHost * static_cast<int64_t>(host_count));
}

bool NeedsRelays(size_t bytes, size_t host_count) {
  const double per_second =
      1.0 /
      std::chrono::duration<double>(LoadSharingPeriod(host_count)).count();
  return static_cast<double>(bytes * host_count) * per_second >
         kMaxDirectBytesPerSecond;
}

void load_aggregator::Add(std::span<const load_sample> samples,
                          time_point now) {
  for (const load_sample& sample : samples) {
    entry& known = entries_[sample.target];
    const time_point reported_at = now - milliseconds{sample.age_ms};
    if (reported_at > known.reported_at) {
      known.load = sample.load;
      known.reported_at = reported_at;
      known.fresh = true;
    }
    if (sample.served > 0) {
      const double weight =
          known.latency_us > 0.0
              ? std::min(1.0, sample.served / kLatencySampleCount)
              : 1.0;
      known.latency_us += weight * (sample.latency_us - known.latency_us);
    }
  }
}

std::vector<load_sample> load_aggregator::TakeFresh(time_point now) {
  std::erase_if(entries_, [&](const auto& target_and_entry) {
    return now - target_and_entry.second.reported_at > kEntryTtl;
  });
  std::vector<load_sample> fresh;
  for (auto& [target, latest] : entries_) {
    if (!latest.fresh) {
      continue;
    }
    latest.fresh = false;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - latest.reported_at);
    fresh.push_back({.target = target,
                     .load = latest.load,
                     .age_ms = static_cast<uint32_t>(age.count()),
                     .latency_us = static_cast<uint32_t>(latest.latency_us)});
  }
  return fresh;
}

}  // namespace foxtailspread
