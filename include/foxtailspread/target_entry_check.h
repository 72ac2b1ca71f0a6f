#ifndef FOXTAILSPREAD_TARGET_ENTRY_CHECK_H_
#define FOXTAILSPREAD_TARGET_ENTRY_CHECK_H_

/// @file
/// Which values of an entry name a target to use. Anybody may write entries,
/// and hosts tell each other of them.

#include <chrono>
#include <cstdint>

#include "foxtailspread/target_entry.h"

namespace foxtailspread {

/// Requests that a target runs at once: fewer than it could have connections.
inline constexpr int kMaxSlots = 1'000'000;

/// Counters of a target and the time of its start: the range of signed numbers,
/// in which the log writes them.
inline constexpr int64_t kMaxCounter = INT64_MAX;

/// The longest time that a stored object or a setting may state. Sums of times
/// stay far within the range of a duration.
inline constexpr duration kMaxStatedTime{std::chrono::hours{24 * 366}};

/// Returns whether `entry` names a target to use: its address can be reached
/// and each number is in its range.
bool NamesTarget(const target_entry& entry);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_ENTRY_CHECK_H_
