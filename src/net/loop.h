#ifndef FOXTAILSPREAD_NET_LOOP_H_
#define FOXTAILSPREAD_NET_LOOP_H_

/// @file
/// The one loop on the one thread of a program, its timers and its clock.

#include <glib.h>

#include <functional>
#include <utility>

#include "foxtailspread/time.h"
#include "net/process_signals.h"

namespace foxtailspread {

/// Reads the boot clock of this host (CLOCK_BOOTTIME), which goes on counting
/// while the machine is suspended.
time_point Now();

/// A pending callback of the loop. Destroying or assigning over it cancels
/// the callback; it may be destroyed from inside its own callback.
class timer {
 public:
  timer() = default;
  explicit timer(guint source) : source_(source) {}
  timer(timer&& other) noexcept : source_(std::exchange(other.source_, 0)) {}
  timer& operator=(timer&& other) noexcept;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  ~timer() { Cancel(); }

  /// Stops the callback from running again. Does nothing on an empty timer.
  void Cancel();

 private:
  guint source_ = 0;
};

/// Runs `callback` once, after at least `delay` (rounded up to milliseconds).
///
/// GLib counts timers on the monotonic clock, which stands still during a
/// suspension. A callback that decides on leases or deadlines therefore reads
/// Now() again instead of trusting that only `delay` has passed.
[[nodiscard]] timer RunAfter(duration delay, std::function<void()> callback);

/// Runs `callback` again and again with `period` between the starts.
[[nodiscard]] timer RunEvery(duration period, std::function<void()> callback);

/// Runs `callback` when the descriptor `fd` meets one of `conditions` of
/// poll(2), as often as it does. The descriptor must outlive the timer.
[[nodiscard]] timer RunOnDescriptor(int fd, int conditions,
                                    std::function<void()> callback);

/// How a program is asked to stop. Supervisors repeat SIGTERM and end a program
/// that takes too long with SIGKILL; a person who interrupts it again wants it
/// to stop now.
enum class stop_request {
  kGraceful,   ///< SIGTERM, or the first signal: finish what is in flight.
  kImmediate,  ///< SIGINT after any other signal: stop now.
};

/// The main loop of a program, on the default context of GLib.
///
/// @code
/// event_loop loop;
/// loop.OnStopRequest([&](stop_request) { loop.Stop(); });
/// timer tick = RunEvery(std::chrono::seconds{1}, [&] { Tick(Now()); });
/// loop.Run();
/// @endcode
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Dispatches events until Stop() is called.
  void Run();

  /// Makes Run() return after the callback that is running.
  void Stop();

  /// Calls `callback` on SIGINT and SIGTERM instead of ending the process, also
  /// on those that RecordStopSignals() recorded before.
  void OnStopRequest(std::function<void(stop_request)> callback);

  /// Calls `callback` on SIGHUP, once for those that came since the last call,
  /// instead of ending the process.
  void OnReloadRequest(std::function<void()> callback);

 private:
  void WatchSignals();
  void OnSignals();

  GMainLoop* loop_;
  std::function<void(stop_request)> on_stop_;
  std::function<void()> on_reload_;
  bool stop_requested_ = false;
  timer signals_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_LOOP_H_
