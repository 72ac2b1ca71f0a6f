#ifndef FOXTAILSPREAD_LOAD_KEY_THROTTLE_H_
#define FOXTAILSPREAD_LOAD_KEY_THROTTLE_H_

/// @file
/// Fair shares by key of an owner whose keys are requested more often than it
/// serves.
///
/// Load pattern: one key, or some neighbouring keys, get a multiple of what
/// their owner serves, through dozens of hosts that see a few of these requests
/// each. The owner's other keys must stay in time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/key_balance.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/store_revision.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Adjacent keys of which hosts admit a fraction of the requests.
struct throttled_keys {
  key_point first = 0;
  key_point last = 0;  ///< Inclusive.
  uint32_t owner = 0;  ///< ThrottleOwnerId; does not apply to other owners.
  uint32_t admitted_permille = 1000;

  bool operator==(const throttled_keys&) const = default;
};

/// The throttled keys of a service, from the lease holder to all hosts. It
/// replaces all that came before.
struct key_throttles {
  std::string service;
  /// The holder's lease; with `sequence`, it orders what holders send.
  store_revision lease_revision{};
  uint64_t sequence = 0;
  uint32_t age_ms = 0;  ///< Time since it was computed, when it was sent.
  std::vector<throttled_keys> entries;

  bool operator==(const key_throttles&) const = default;
};

/// Returns the id of one life of an owner in datagrams, a hash.
uint32_t ThrottleOwnerId(const target_life& owner);

/// What an owner serves.
struct owner_capacity {
  target_life owner{};
  double per_second = 0.0;  ///< Requests, while all slots are in use.
  duration work{};          ///< Mean latency while it has a free slot.
  bool has_queue = false;   ///< Requests wait at it.
};

/// A change of whether an owner's keys are throttled, for the log.
struct throttle_note {
  target_life owner{};
  bool is_throttled = false;
  double demand_per_second = 0.0;
  double served_per_second = 0.0;
};

/// Computes the fractions, at the lease holder.
///
/// @code
/// throttles.entries = planner.Plan(map, load.recent_rates(), capacities);
/// @endcode
class key_throttle {
 public:
  /// Most entries that Plan() returns.
  static constexpr size_t kMaxEntries = 64;

  /// Returns the keys to throttle: for each owner in `capacities` with more
  /// demand than it serves, max-min fair shares by key. `rates` counts first
  /// arrivals and returns of callers alike.
  std::vector<throttled_keys> Plan(const key_map& map, key_loads rates,
                                   std::span<const owner_capacity> capacities);
  /// Returns the owners whose keys began or ceased to be throttled.
  std::vector<throttle_note> TakeNotes() { return std::exchange(notes_, {}); }
  size_t throttled_owners() const { return throttled_.size(); }

 private:
  std::set<uint32_t> throttled_;  ///< Owners, by ThrottleOwnerId().
  std::vector<throttle_note> notes_;
};

/// Applies the fractions of a service at one host.
class throttle_gate {
 public:
  /// Time without word from the holder after which nothing is throttled: longer
  /// than a successor takes to follow and to learn of the load.
  static constexpr duration kTtl{std::chrono::milliseconds{2500}};

  enum class verdict { kNotThrottled, kAdmitted, kRefused };

  explicit throttle_gate(uint64_t seed = 0) : seed_(seed) {}

  /// Takes what a holder sent; returns false if it is outdated.
  bool Update(const key_throttles& throttles, time_point now);
  /// Decides on a request for a key of `owner`. Each entry admits its fraction
  /// by a counter that begins at another phase on each host, so that hosts
  /// with few requests admit the fraction in sum.
  verdict Decide(key_point key, const target_life& owner, time_point now);
  /// Whether keys of `owner` are throttled.
  bool IsThrottled(const target_life& owner, time_point now) const;
  /// Returns the fraction admitted of the requests for a key; 1 if not
  /// throttled.
  double AdmittedFraction(key_point key, const target_life& owner,
                          time_point now) const;
  /// Number of entries that apply now.
  size_t size(time_point now) const { return IsAlive(now) ? gates_.size() : 0; }

 private:
  struct gate {
    throttled_keys keys;
    double credit = 0.0;  ///< Admits a request at 1.
  };

  bool IsAlive(time_point now) const {
    return valid_until_ && now < *valid_until_;
  }
  const gate* Find(key_point key, const target_life& owner,
                   time_point now) const;

  uint64_t seed_;
  std::optional<time_point> valid_until_;
  store_revision lease_revision_{};
  uint64_t sequence_ = 0;
  std::vector<gate> gates_;  ///< The narrowest first.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_KEY_THROTTLE_H_
