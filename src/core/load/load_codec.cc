#include "core/load/load_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "core/message_values.h"

namespace foxtailspread::load_codec {
namespace {

using nlohmann::json;

/// Numbers of array elements that encode one load_sample and activity_sample;
/// those of all samples stand in one flat array.
constexpr size_t kSampleFields = 7;
constexpr size_t kActivityFields = 6;
/// Number of bytes of one load_sum: relays pass on those of hundreds of targets
/// several times a second.
constexpr size_t kSumBytes = 10;
/// Positions of fields that earlier releases neither send nor read.
constexpr size_t kHost = 2;
constexpr size_t kSequence = 3;
constexpr size_t kActivity = 4;
constexpr size_t kSums = 5;

/// Slowness is sent in percent, latencies of activity in tenths of a
/// millisecond.
constexpr double kPercent = 100.0;
constexpr uint32_t kLatencyStepUs = 100;
constexpr uint32_t kMostLatencySteps = UINT32_MAX / kLatencyStepUs;

/// Units of a load_sum: rates in halves, its age in 4 ms, its latency in 0.1 ms
/// and below a bit that tells whether it was reported.
constexpr double kRateSteps = 2.0;
constexpr double kAgeStepMs = 4.0;
constexpr unsigned kReportedBit = 1U << 15U;

uint8_t Byte(double value) {
  constexpr double kMost = 255.0;
  return static_cast<uint8_t>(std::lround(std::clamp(value, 0.0, kMost)));
}

json ToJson(const std::vector<load_sample>& loads) {
  json flat = json::array();
  for (const load_sample& sample : loads) {
    flat.push_back(sample.target);
    flat.push_back(sample.load.running);
    flat.push_back(sample.load.waiting);
    flat.push_back(std::lround(sample.load.slowness * kPercent));
    flat.push_back(sample.age_ms);
    flat.push_back(sample.latency_us);
    flat.push_back(sample.served);
  }
  return flat;
}

json ToJson(const std::vector<activity_sample>& activity) {
  json flat = json::array();
  for (const activity_sample& sample : activity) {
    flat.push_back(sample.target);
    flat.push_back(sample.in_flight);
    flat.push_back(sample.served);
    flat.push_back(sample.rejected);
    flat.push_back(sample.latency_us / kLatencyStepUs);
    flat.push_back(sample.unqueued);
  }
  return flat;
}

json ToJson(const std::vector<load_sum>& sums) {
  std::vector<uint8_t> bytes;
  bytes.reserve(sums.size() * kSumBytes);
  for (const load_sum& sum : sums) {
    for (unsigned shift = 0; shift < 32; shift += 8) {
      bytes.push_back(static_cast<uint8_t>(sum.target >> shift));
    }
    const unsigned latency =
        std::min(sum.latency_us / kLatencyStepUs, kReportedBit - 1) |
        (sum.is_reported ? kReportedBit : 0U);
    bytes.insert(bytes.end(),
                 {Byte(sum.occupied), Byte(sum.served_per_second * kRateSteps),
                  Byte(sum.rejected_per_second * kRateSteps),
                  Byte(sum.age_ms / kAgeStepMs), static_cast<uint8_t>(latency),
                  static_cast<uint8_t>(latency >> 8U)});
  }
  return json::binary(std::move(bytes));
}

/// Requests that a target runs or queues; sums of two stay in range.
constexpr int kMostRequests = 1'000'000;

/// Reads percents; never none, as they divide.
double ReadSlowness(const json& value) {
  const int percents = ReadWhole<int>(value);
  if (percents == 0) {
    ThrowOutOfRange(value);
  }
  return percents / kPercent;
}

std::vector<load_sample> ReadLoads(const json& flat) {
  std::vector<load_sample> loads;
  for (size_t i = 0; i + kSampleFields <= flat.size(); i += kSampleFields) {
    loads.push_back(
        {.target = ReadWhole<uint32_t>(flat.at(i)),
         .load = {.running = ReadWhole(flat.at(i + 1), kMostRequests),
                  .waiting = ReadWhole(flat.at(i + 2), kMostRequests),
                  .slowness = ReadSlowness(flat.at(i + 3))},
         .age_ms = ReadWhole<uint32_t>(flat.at(i + 4)),
         .latency_us = ReadWhole<uint32_t>(flat.at(i + 5)),
         .served = ReadWhole<uint32_t>(flat.at(i + 6))});
  }
  return loads;
}

std::vector<activity_sample> ReadActivity(const json& flat) {
  std::vector<activity_sample> activity;
  for (size_t i = 0; i + kActivityFields <= flat.size(); i += kActivityFields) {
    activity.push_back(
        {.target = ReadWhole<uint32_t>(flat.at(i)),
         .in_flight = ReadWhole<uint32_t>(flat.at(i + 1)),
         .served = ReadWhole<uint32_t>(flat.at(i + 2)),
         .rejected = ReadWhole<uint32_t>(flat.at(i + 3)),
         .latency_us =
             ReadWhole(flat.at(i + 4), kMostLatencySteps) * kLatencyStepUs,
         .unqueued = ReadWhole<uint32_t>(flat.at(i + 5))});
  }
  return activity;
}

std::vector<load_sum> ReadSums(const json::binary_t& bytes) {
  std::vector<load_sum> sums;
  sums.reserve(bytes.size() / kSumBytes);
  for (size_t i = 0; i + kSumBytes <= bytes.size(); i += kSumBytes) {
    uint32_t target = 0;
    for (unsigned byte = 0; byte < 4; ++byte) {
      target |= uint32_t{bytes[i + byte]} << (8U * byte);
    }
    const unsigned latency = bytes[i + 8] | unsigned{bytes[i + 9]} << 8U;
    sums.push_back({.target = target,
                    .occupied = bytes[i + 4],
                    .served_per_second = bytes[i + 5] / kRateSteps,
                    .rejected_per_second = bytes[i + 6] / kRateSteps,
                    .latency_us = (latency & ~kReportedBit) * kLatencyStepUs,
                    .age_ms = static_cast<uint32_t>(bytes[i + 7] * kAgeStepMs),
                    .is_reported = (latency & kReportedBit) != 0});
  }
  return sums;
}

}  // namespace

json ToJson(std::string_view tag, const loads_record& record) {
  json value = json::array({tag, ToJson(record.loads)});
  if (!record.host.empty() || !record.sums.empty()) {
    value.insert(value.end(), {record.host, record.sequence,
                               ToJson(record.activity), ToJson(record.sums)});
  }
  return value;
}

loads_record Read(const json& value) {
  loads_record record{.loads = ReadLoads(value.at(1))};
  if (value.size() > kSums) {
    record.host = ReadText(value.at(kHost));
    record.sequence = ReadWhole<uint64_t>(value.at(kSequence));
    record.activity = ReadActivity(value.at(kActivity));
    record.sums = ReadSums(value.at(kSums).get_binary());
  }
  return record;
}

}  // namespace foxtailspread::load_codec
