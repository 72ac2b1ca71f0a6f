#ifndef FOXTAILSPREAD_BURN_H_
#define FOXTAILSPREAD_BURN_H_

/// @file
/// Service-level burn: how fast each organisation's error budget for each
/// service is being spent.
///
/// A burn rate of 1 spends exactly the budget of the objective; at a target of
/// 0.99, a rate of 10 means that one request in ten misses. The short window
/// shows that something is wrong now, the long one that it matters: alert on
/// both together.

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
/// The grain at which counts leave the windows.
inline constexpr duration kBurnBucket{std::chrono::seconds{15}};

/// Requests in one window.
struct burn_counts {
  uint64_t good = 0;   ///< Met the objective.
  uint64_t total = 0;  ///< All that count against it.

  bool operator==(const burn_counts&) const = default;
};

/// Returns how many times faster than permitted the budget of an objective of
/// `target` is spent; 0 without requests.
double BurnRate(const burn_counts& counts, double target);

/// Returns the part of the budget that these counts leave, 1 to below 0 when
/// it is overspent; 1 without requests.
double BudgetLeft(const burn_counts& counts, double target);

/// One organisation's use of one service.
struct burn_row {
  std::string organisation;
  std::string service;
  double target = 0.99;
  burn_counts short_window;
  burn_counts long_window;

  bool operator==(const burn_row&) const = default;
};

/// Adds up the rows of several hosts, by organisation and service. Exact,
/// since rows carry counts and not rates; for a target that differs between
/// hosts while a change spreads, the stricter one holds.
std::vector<burn_row> MergeBurn(std::span<const std::vector<burn_row>> hosts);

/// Writes rows with their rates and the budget left in the long window.
nlohmann::json BurnToJson(std::span<const burn_row> rows);

/// Reads what BurnToJson wrote, on another host for instance; kMalformed if
/// it is something else.
result<std::vector<burn_row>> BurnFromJson(const nlohmann::json& json);

/// Counts the requests of one host.
///
/// Holds at most `max_rows` pairs of organisation and service, 3,840 bytes of
/// counts each; requests of further pairs are only counted in `uncounted`.
///
/// @code
/// ledger.SetTarget("deposits", 0.999);
/// ledger.Record(now, "prairie", "deposits", latency <= objective.latency);
/// Write(BurnToJson(ledger.RowsOf(now, "prairie")));
/// @endcode
class burn_ledger {
 public:
  explicit burn_ledger(size_t max_rows = 4096) : max_rows_(max_rows) {}

  /// Sets the objective's target of a service, 0 <= target < 1.
  void SetTarget(std::string_view service, double target);

  /// Counts one request; `now` must not go backwards.
  void Record(time_point now, std::string_view organisation,
              std::string_view service, bool good);

  /// What one organisation may see: its own rows and no others.
  std::vector<burn_row> RowsOf(time_point now,
                               std::string_view organisation) const;

  /// All rows, for operators.
  std::vector<burn_row> AllRows(time_point now) const;

  uint64_t uncounted() const { return uncounted_; }

 private:
  struct bucket {
    int64_t number = -1;  // of kBurnBucket since the clock's zero
    uint32_t good = 0;
    uint32_t total = 0;
  };
  using ring = std::vector<bucket>;
  using row_key = std::pair<std::string, std::string>;

  static burn_counts CountsWithin(const ring& buckets, time_point now,
                                  duration window);
  burn_row MakeRow(time_point now, const row_key& key,
                   const ring& buckets) const;

  size_t max_rows_;
  uint64_t uncounted_ = 0;
  std::map<row_key, ring> rows_;
  std::map<std::string, double, std::less<>> targets_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BURN_H_
