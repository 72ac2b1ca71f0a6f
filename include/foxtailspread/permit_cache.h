#ifndef FOXTAILSPREAD_PERMIT_CACHE_H_
#define FOXTAILSPREAD_PERMIT_CACHE_H_

/// @file
/// The permits of one host to send requests to one target that limits the rate
/// of requests from all hosts together.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "foxtailspread/permit_issuer.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Permits of one target, and the requests for more.
///
/// A permit can be used until kPermitValidity after its slot, counted from when
/// it was requested, so that permits that were delayed on their way cannot be
/// used together. While the issuer does not answer, this host sends at its own
/// share of a reduced rate.
///
/// @code
/// if (!permits.HasPermit(now)) {
///   if (const auto request = permits.Request(waiting, max_delay, now)) {
///     SendToIssuer(*request);
///   }
/// }
/// @endcode
class permit_cache {
 public:
  /// A request to send to the issuer.
  struct request {
    uint64_t sequence = 0;
    permit_demand demand{};
  };

  /// What waiting requests can expect.
  struct outlook {
    /// When each permit can be used, in order; times in the past included.
    std::vector<time_point> usable_at;
    size_t requested = 0;      ///< Permits that the issuer may still grant.
    time_point next_chance{};  ///< Before then there is no further permit.

    /// Whether a request can get a permit until `deadline` if `ahead` requests
    /// get theirs before it.
    bool IsPossible(size_t ahead, time_point deadline) const {
      if (ahead < usable_at.size()) {
        return usable_at[ahead] <= deadline;
      }
      return ahead < usable_at.size() + requested || next_chance <= deadline;
    }
  };

  /// `phase`, from 0 to 1, spreads the hosts' requests while no issuer answers.
  explicit permit_cache(double phase) : phase_(phase) {}

  /// Sets the rate at which this host may send while no issuer answers, in
  /// requests per second; 0 for none.
  void SetOwnRate(double per_second) { own_rate_ = per_second; }

  bool HasPermit(time_point now) const;
  /// Uses one permit. Requires HasPermit().
  void Use(time_point now);

  /// Returns the request for the permits that `waiting` requests lack; empty if
  /// there is none to be made now. A permit is of use within `max_delay`.
  std::optional<request> Request(size_t waiting, duration max_delay,
                                 time_point now);
  /// Takes the answer of the issuer. Ignores an answer to an old request.
  void OnGrant(uint64_t sequence, const permit_grant& grant, time_point now);

  outlook Outlook(time_point now) const;

 private:
  struct permit {
    time_point usable_from{};
    time_point usable_until{};
  };
  struct pending_request {
    uint64_t sequence = 0;
    uint32_t count = 0;
    time_point sent_at{};
  };

  bool IsIssuerSilent(time_point now) const;
  duration OwnInterval() const;
  void DropExpired(time_point now);
  /// Returns the permits that were requested and may still be granted.
  size_t RequestedCount(time_point now) const;

  double phase_;
  double own_rate_ = 0.0;
  std::vector<permit> permits_;  ///< In the order in which they can be used.
  std::vector<pending_request> pending_;
  uint64_t last_sequence_ = 0;
  time_point next_chance_{};
  /// The first request since the last answer of the issuer.
  std::optional<time_point> unanswered_since_;
  /// When this host sent by its own share, at the latest.
  std::optional<time_point> own_sent_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PERMIT_CACHE_H_
