#ifndef FOXTAILSPREAD_TESTS_RUN_UNTIL_H_
#define FOXTAILSPREAD_TESTS_RUN_UNTIL_H_

/// @file
/// Runs the loop of a test over loopback.

#include <chrono>

#include "net/loop.h"

namespace foxtailspread {

/// Dispatches events until `done` holds. The watchdog only ends a test that
/// hangs; no assertion depends on how long anything takes.
template <typename Predicate>
bool RunUntil(const Predicate& done) {
  bool expired = false;
  const timer watchdog =
      RunAfter(std::chrono::seconds{30}, [&] { expired = true; });
  while (!done() && !expired) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return done();
}

/// Dispatches events for `time`.
inline void RunFor(duration time) {
  bool over = false;
  const timer end = RunAfter(time, [&] { over = true; });
  RunUntil([&] { return over; });
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_RUN_UNTIL_H_
