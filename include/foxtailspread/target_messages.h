#ifndef FOXTAILSPREAD_TARGET_MESSAGES_H_
#define FOXTAILSPREAD_TARGET_MESSAGES_H_

/// @file
/// The messages that a target of docs/protocols/TARGET.md takes, checked.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Faults that a test sets while the target runs.
struct target_faults {
  bool shed = false;             ///< Refuses new requests.
  bool drain = false;            ///< Refuses new requests, finishes the others.
  bool lie_healthy = false;      ///< Says that it is healthy in any case.
  int64_t lie_load = -1;         ///< The load it claims; -1 is the true one.
  int64_t truncate_answers = 0;  ///< So many answers to come are cut.
  double slow_factor = 1;        ///< Multiplies the work time.
  std::string poison{};          ///< A request with this text ends the process.
  int64_t cold_ms = 0;           ///< Starts a cold phase of that length.
  int64_t freeze_ms = 0;         ///< Freezes the target for that long.
};

/// Parses the body of `POST /admin/faults` over `faults`, those in force.
result<target_faults> ParseTargetFaults(std::string_view text,
                                        target_faults faults);

/// Limits of the numbers that a grant may carry.
inline constexpr int kMaxBuckets = 1 << 20;
inline constexpr duration kMaxLease{std::chrono::hours{1}};

/// An order of a steward, see TARGET.md.
struct target_grant {
  std::string range{};
  uint64_t epoch = 0;
  uint64_t seq = 0;
  duration echo{0};   ///< A reading of the target's clock; 0 is none.
  duration lease{0};  ///< Counted from `echo`.
  std::optional<std::set<int>> buckets{};  ///< Nothing leaves them as they are.
};

/// Parses the body of `POST /grant`.
result<target_grant> ParseTargetGrant(std::string_view text);

/// One request to run.
struct target_request {
  std::string attempt{};
  std::string key{};
  std::string range{};
  uint64_t epoch = 0;
  int bucket = -1;  ///< -1 for services whose targets are interchangeable.
  std::optional<duration> deadline{};  ///< Time left.
  /// A reading of this target's clock after which it may not start or run.
  std::optional<time_point> clock_deadline{};
  std::optional<duration> work_time{};  ///< In place of the configured one.
  std::string body{};
};

/// The headers of `POST /work` as they arrived.
struct target_headers {
  std::optional<std::string_view> attempt{};
  std::optional<std::string_view> key{};
  std::optional<std::string_view> range{};
  std::optional<std::string_view> epoch{};
  std::optional<std::string_view> bucket{};
  std::optional<std::string_view> deadline_ms{};
  std::optional<std::string_view> deadline_clock_us{};
  std::optional<std::string_view> work_ms{};
};

/// Checks the headers of a request. Those that are absent leave the defaults.
result<target_request> ParseTargetRequest(const target_headers& headers,
                                          std::string_view body);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_MESSAGES_H_
