#include "foxtailspread/load/zone_placement.h"

namespace foxtailspread {
namespace {

/// Penalty for a target in another zone when the own zone lacks room, as a
/// fraction of the latency objective: a small difference in estimates is no
/// gain for callers.
constexpr double kOtherZonePenaltyFraction = 0.2;

/// Weight of a new latency in its mean and deviation. A host gets a few answers
/// per second of a service.
constexpr double kLatencyWeight = 0.05;

}  // namespace

result<zone_preference> ParseZonePreference(std::string_view text) {
  if (text == "own_zone_first") {
    return zone_preference::kOwnZoneFirst;
  }
  if (text == "balanced") {
    return zone_preference::kBalanced;
  }
  return error{error_code::kMalformed, "", "is no zone preference",
               "write own_zone_first or balanced"};
}

std::string_view ToString(spill_reason reason) {
  switch (reason) {
    case spill_reason::kNoTarget:
      return "no-target";
    case spill_reason::kNoSlot:
      return "no-slot";
    case spill_reason::kTooSlow:
      return "too-slow";
  }
  return "";
}

duration zone_placement::LikelyLatency(const zone_choice& choice) const {
  const auto found = latencies_.find(choice.objective);
  if (found == latencies_.end() || choice.typical <= duration{0}) {
    return *choice.own_zone;
  }
  const double relative = static_cast<double>(choice.own_zone->count()) /
                          static_cast<double>(choice.typical.count());
  return Part(found->second.mean + found->second.deviation, relative);
}

std::optional<spill_reason> zone_placement::Spill(
    const zone_choice& choice) const {
  if (!choice.other_zones) {
    return std::nullopt;
  }
  if (!choice.own_zone) {
    return choice.own_zone_accepts ? spill_reason::kNoSlot
                                   : spill_reason::kNoTarget;
  }
  const duration penalty = Part(choice.objective, kOtherZonePenaltyFraction);
  const bool spills = LikelyLatency(choice) > choice.objective &&
                      *choice.other_zones + penalty < *choice.own_zone;
  return spills ? std::optional{spill_reason::kTooSlow} : std::nullopt;
}

void zone_placement::OnServed(duration objective, duration latency) {
  const auto [found, is_new] = latencies_.try_emplace(objective);
  latency_estimate& estimate = found->second;
  if (is_new) {
    estimate.mean = latency;
  }
  const duration distance = std::chrono::abs(latency - estimate.mean);
  estimate.deviation += Part(distance - estimate.deviation, kLatencyWeight);
  estimate.mean += Part(latency - estimate.mean, kLatencyWeight);
}

}  // namespace foxtailspread
