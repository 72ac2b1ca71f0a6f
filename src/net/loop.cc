#include "net/loop.h"

#include <glib-unix.h>

#include <ctime>
#include <memory>
#include <utility>

namespace foxtailspread {
namespace {

using callback = std::function<void()>;

guint ToMilliseconds(duration delay) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(delay);
  return static_cast<guint>(std::max<int64_t>(rounded.count(), 0));
}

void DeleteCallback(gpointer data) { delete static_cast<callback*>(data); }

// Each dispatcher works on a copy of the callback: the callback may cancel
// its own timer, which deletes the original while it runs.
gboolean RunOnce(gpointer data) {
  const callback run = *static_cast<callback*>(data);
  run();
  return G_SOURCE_REMOVE;
}

gboolean RunAgain(gpointer data) {
  const callback run = *static_cast<callback*>(data);
  run();
  return G_SOURCE_CONTINUE;
}

gboolean RunForDescriptor(gint /*fd*/, GIOCondition /*met*/, gpointer data) {
  return RunAgain(data);
}

}  // namespace

time_point Now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point{std::chrono::duration_cast<duration>(
      std::chrono::seconds{reading.tv_sec} +
      std::chrono::nanoseconds{reading.tv_nsec})};
}

timer& timer::operator=(timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    source_ = std::exchange(other.source_, 0);
  }
  return *this;
}

void timer::Cancel() {
  const guint id = std::exchange(source_, 0);
  if (id == 0) {
    return;
  }
  // A one-shot source that has already run is gone; g_source_remove would
  // print a warning for it.
  GSource* source = g_main_context_find_source_by_id(nullptr, id);
  if (source != nullptr) {
    g_source_destroy(source);
  }
}

timer RunAfter(duration delay, std::function<void()> callback) {
  auto owned = std::make_unique<std::function<void()>>(std::move(callback));
  return timer{g_timeout_add_full(G_PRIORITY_DEFAULT, ToMilliseconds(delay),
                                  RunOnce, owned.release(), DeleteCallback)};
}

timer RunEvery(duration period, std::function<void()> callback) {
  auto owned = std::make_unique<std::function<void()>>(std::move(callback));
  return timer{g_timeout_add_full(G_PRIORITY_DEFAULT, ToMilliseconds(period),
                                  RunAgain, owned.release(), DeleteCallback)};
}

timer RunOnDescriptor(int fd, int conditions, std::function<void()> callback) {
  auto owned = std::make_unique<std::function<void()>>(std::move(callback));
  return timer{g_unix_fd_add_full(
      G_PRIORITY_DEFAULT, fd, static_cast<GIOCondition>(conditions),
      RunForDescriptor, owned.release(), DeleteCallback)};
}

event_loop::event_loop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

event_loop::~event_loop() { g_main_loop_unref(loop_); }

void event_loop::Run() { g_main_loop_run(loop_); }

void event_loop::Stop() { g_main_loop_quit(loop_); }

void event_loop::OnStopRequest(std::function<void(stop_request)> callback) {
  on_stop_ = std::move(callback);
  RecordStopSignals();
  WatchSignals();
}

void event_loop::OnReloadRequest(std::function<void()> callback) {
  on_reload_ = std::move(callback);
  RecordDaemonSignals();
  WatchSignals();
}

void event_loop::WatchSignals() {
  signals_ =
      RunOnDescriptor(SignalDescriptor(), G_IO_IN, [this] { OnSignals(); });
}

void event_loop::OnSignals() {
  ClearSignalDescriptor();
  const signal_counts came = TakeSignals();
  if (came.hang_ups > 0 && on_reload_) {
    on_reload_();
  }
  if (came.interrupts + came.terminations == 0 || !on_stop_) {
    return;
  }
  const bool asked_before = std::exchange(stop_requested_, true);
  const bool insists =
      came.interrupts > 1 || (came.interrupts > 0 && asked_before);
  on_stop_(insists ? stop_request::kImmediate : stop_request::kGraceful);
}

}  // namespace foxtailspread
