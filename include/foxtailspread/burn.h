#ifndef FOXTAILSPREAD_BURN_H_
#define FOXTAILSPREAD_BURN_H_

/// @file
/// Error budget burn rates per organisation and service.
///
/// A burn rate of 1 uses up exactly the error budget of the service level
/// objective; at a target of 0.99, a rate of 10 means that one request in ten
/// misses the objective. A high rate in the short window shows that the problem
/// is current, a high rate in the long window that it is significant. Alert
/// only if both are high.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

inline constexpr duration kBurnShortWindow{std::chrono::minutes{5}};
inline constexpr duration kBurnLongWindow{std::chrono::hours{1}};
/// Requests are counted per interval of this length; counts leave the windows
/// one interval at a time.
inline constexpr duration kBurnInterval{std::chrono::seconds{15}};

/// Requests in one window.
struct burn_counts {
  uint64_t good = 0;   ///< Requests that met the objective.
  uint64_t total = 0;  ///< All requests to which the objective applies.

  bool operator==(const burn_counts&) const = default;
};

/// Returns the fraction of requests that missed the objective, divided by the
/// fraction that `target` permits to miss; 0 without requests.
double BurnRate(const burn_counts& counts, double target);

/// Returns the fraction of the error budget that is left: 1 if none is used or
/// there are no requests, below 0 if it is exceeded.
double BudgetLeft(const burn_counts& counts, double target);

/// The counts of one organisation's requests to one service.
struct burn_row {
  std::string organisation;
  std::string service;
  double target = 0.99;  ///< Fraction of requests that must be good.
  burn_counts short_window;
  burn_counts long_window;

  bool operator==(const burn_row&) const = default;
};

/// Sums the rows of several hosts by organisation and service. The result is
/// exact, since rows hold counts rather than rates. While a change of a target
/// is spreading, hosts may have different targets; the strictest one is used.
std::vector<burn_row> MergeBurn(std::span<const std::vector<burn_row>> hosts);

/// Converts rows to JSON, with their burn rates and the error budget left in
/// the long window.
nlohmann::json BurnToJson(std::span<const burn_row> rows);

/// Parses the output of BurnToJson, for example from another host. Returns
/// kMalformed for any other JSON.
result<std::vector<burn_row>> BurnFromJson(const nlohmann::json& json);

/// Counts the requests of one host for burn rates.
///
/// Holds at most `max_rows` pairs of organisation and service, with 3,840 bytes
/// of counts each. Requests of further pairs are only counted in
/// `uncounted_requests`.
///
/// @code
/// ledger.SetTarget("deposits", 0.999);
/// ledger.Record(now, "prairie", "deposits", latency <= objective.latency);
/// Write(BurnToJson(ledger.RowsOf(now, "prairie")));
/// @endcode
class burn_ledger {
 public:
  explicit burn_ledger(size_t max_rows = 4096) : max_rows_(max_rows) {}

  /// Sets the target of a service's objective, 0 <= target < 1.
  void SetTarget(std::string_view service, double target);

  /// Counts one request; `now` must not go backwards.
  void Record(time_point now, std::string_view organisation,
              std::string_view service, bool good);

  /// Returns the rows of one organisation, the only ones that it may see.
  std::vector<burn_row> RowsOf(time_point now,
                               std::string_view organisation) const;

  /// Returns the rows of all organisations, for operators.
  std::vector<burn_row> AllRows(time_point now) const;

  /// Returns the number of requests left out because all rows were in use.
  uint64_t uncounted_requests() const { return uncounted_requests_; }

 private:
  struct interval_counts {
    int64_t interval_number =
        -1;  // intervals since the clock's epoch, -1 if unused
    uint32_t good = 0;
    uint32_t total = 0;
  };
  using interval_ring = std::vector<interval_counts>;
  using row_key = std::pair<std::string, std::string>;

  static burn_counts CountsWithin(const interval_ring& intervals,
                                  time_point now, duration window);
  burn_row MakeRow(time_point now, const row_key& key,
                   const interval_ring& intervals) const;

  size_t max_rows_;
  uint64_t uncounted_requests_ = 0;
  std::map<row_key, interval_ring> rows_;
  std::map<std::string, double, std::less<>> targets_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BURN_H_
