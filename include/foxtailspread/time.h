#ifndef FOXTAILSPREAD_TIME_H_
#define FOXTAILSPREAD_TIME_H_

/// @file
/// Time as the decision library sees it: an input, never read by the library.

#include <chrono>
#include <cstdint>

namespace foxtailspread {

/// The unit of every interval in the library.
using duration = std::chrono::microseconds;

/// The clock of one host, counting from its boot and including the time the
/// machine was suspended (CLOCK_BOOTTIME on Linux).
///
/// The type has no `now()`: daemons read the clock and hand the reading in.
/// A clock that stands still during suspension would let a lease outlive the
/// belief of everybody else after the machine wakes.
struct boot_clock {
  using duration = foxtailspread::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The name that the standard library asks of a clock.
  static constexpr bool is_steady =  // NOLINT(readability-identifier-naming)
      true;
};

/// A reading of one host's boot clock. Readings of different hosts must not
/// be compared.
using time_point = boot_clock::time_point;

/// Returns `share` of `whole`.
constexpr duration Part(duration whole, double share) {
  return duration{
      static_cast<int64_t>(static_cast<double>(whole.count()) * share)};
}

/// The bound on how much two hosts' clocks may differ in rate: 1 part in
/// 1,000, two orders above a crystal oscillator's.
inline constexpr int64_t kClockDriftDivisor = 1000;

/// Returns the part of `validity` that its holder may rely on when its clock
/// may run slower than the granter's by the assumed drift.
constexpr duration HolderShare(duration validity) {
  return validity - validity / kClockDriftDivisor;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TIME_H_
