#include "foxtailspread/load/owner_admission.h"

#include <algorithm>
#include <chrono>

namespace foxtailspread {
namespace {

/// Most answers take less than this multiple of the mean.
constexpr double kLikelyWorkRatio = 1.5;
/// How late an answer of an owner without overload may be, as a multiple of the
/// objective. A caller that is refused returns to the same owner, so that a
/// late answer is better than none.
constexpr double kLatestWithoutOverload = 1.5;
/// An owner that rejects more than this part of what it serves is overloaded.
constexpr double kOverloadRejectedRatio = 0.1;
/// Bounds of the throughput that is measured while all slots are in use,
/// relative to what the work would let expect.
constexpr double kMinMeasuredRatio = 0.4;
constexpr double kMaxMeasuredRatio = 1.6;
/// Most requests for each slot that are sent to wait at the owner. Its queue is
/// short, and its load is known as of a moment ago.
constexpr double kMaxQueuedPerSlot = 2.0;
/// Maximum wait at the host as a fraction of the objective. A caller that is
/// refused later could not be answered in time elsewhere.
constexpr double kMaxWaitFraction = 0.125;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Requests that may wait at the owner so that one more is answered in time.
double QueueRoom(const owner_state& owner, const admission_request& request) {
  const duration latest = owner.is_overloaded
                              ? request.objective
                              : Part(request.objective, kLatestWithoutOverload);
  const duration useful = std::min(latest - request.age, request.time_left);
  const duration queueing = useful - Part(owner.work, kLikelyWorkRatio);
  // Rejections show that the owner has less room than its load lets expect.
  const double ends = owner.served_per_second + owner.rejected_per_second;
  const double accepted = ends > 0.0 ? owner.served_per_second / ends : 1.0;
  return std::clamp(Seconds(queueing) * ServiceRate(owner) * accepted, 0.0,
                    kMaxQueuedPerSlot * owner.slots);
}

double SendDepth(const owner_state& owner, const admission_request& request) {
  const int part =
      1 + request.more_urgent_ranks + (request.is_throttled_key ? 1 : 0);
  return owner.slots + QueueRoom(owner, request) / part;
}

}  // namespace

std::optional<owner_state> OwnerStateFrom(const target_load& load, int slots,
                                          double occupied) {
  owner_state owner{
      .slots = std::max(slots, 1),
      .occupied = occupied,
      .served_per_second = load.served_per_second,
      .rejected_per_second = load.rejected_per_second,
      .is_overloaded = load.rejected_per_second >
                       kOverloadRejectedRatio * load.served_per_second};
  if (load.unqueued_latency && *load.unqueued_latency > duration{0}) {
    owner.work = *load.unqueued_latency;
    return owner;
  }
  if (load.occupied < owner.slots || load.served_per_second <= 0.0) {
    return std::nullopt;
  }
  owner.work = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(owner.slots / load.served_per_second));
  return owner;
}

double ServiceRate(const owner_state& owner) {
  const double expected =
      owner.slots / std::max(Seconds(owner.work), Seconds(duration{1}));
  const bool has_queue = owner.occupied >= owner.slots + 1.0;
  if (!has_queue || owner.served_per_second <= 0.0) {
    return expected;
  }
  return std::clamp(owner.served_per_second, expected * kMinMeasuredRatio,
                    expected * kMaxMeasuredRatio);
}

admission Admit(const owner_state& owner, const admission_request& request) {
  const bool has_free_slot = owner.occupied < owner.slots;
  const bool has_room =
      has_free_slot || owner.occupied + 1.0 <= SendDepth(owner, request);
  if (has_room && !owner.has_rejected_since) {
    return admission::kSend;
  }
  const double ahead =
      owner.occupied + static_cast<double>(request.waiting_before);
  const bool is_in_time =
      ahead + 1.0 <= owner.slots + QueueRoom(owner, request);
  const bool may_wait =
      TimeUntilRoom(owner, request) <= MaxAdmissionWait(request.objective);
  return is_in_time && may_wait ? admission::kWait : admission::kRefuse;
}

duration TimeUntilRoom(const owner_state& owner,
                       const admission_request& request) {
  const double excess = owner.occupied +
                        static_cast<double>(request.waiting_before) + 1.0 -
                        SendDepth(owner, request);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      std::max(0.0, excess) / ServiceRate(owner)));
}

duration MaxAdmissionWait(duration objective) {
  return Part(objective, kMaxWaitFraction);
}

}  // namespace foxtailspread
