#include "net/process_signals.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <initializer_list>

namespace foxtailspread {
namespace {

// A handler may touch only what is lock-free.
static_assert(std::atomic<uint32_t>::is_always_lock_free);
static_assert(std::atomic<int>::is_always_lock_free);

std::atomic<uint32_t> hang_ups{0};
std::atomic<uint32_t> interrupts{0};
std::atomic<uint32_t> terminations{0};
std::atomic<int> descriptor{-1};

std::atomic<uint32_t>& CountOf(int signal) {
  if (signal == SIGHUP) {
    return hang_ups;
  }
  return signal == SIGINT ? interrupts : terminations;
}

void WakeLoop() {
  const int fd = descriptor.load();
  if (fd >= 0) {
    const uint64_t one = 1;
    // Only a counter that is full cannot take more, and it is readable.
    [[maybe_unused]] const ssize_t written = write(fd, &one, sizeof(one));
  }
}

void Record(int signal) {
  const int interrupted_error = errno;
  ++CountOf(signal);
  WakeLoop();
  errno = interrupted_error;
}

void SetAction(std::initializer_list<int> signals, void (*action)(int)) {
  struct sigaction wanted {};
  wanted.sa_handler = action;
  wanted.sa_flags = SA_RESTART;
  // Those that the handler counts, and no others: a filter of system calls may
  // answer the handler's by a signal.
  sigemptyset(&wanted.sa_mask);
  for (const int counted : {SIGHUP, SIGINT, SIGTERM}) {
    sigaddset(&wanted.sa_mask, counted);
  }
  for (const int signal : signals) {
    sigaction(signal, &wanted, nullptr);
  }
}

}  // namespace

void RecordStopSignals() {
  SetAction({SIGPIPE, SIGXFSZ}, SIG_IGN);
  SetAction({SIGINT, SIGTERM}, Record);
}

void RecordDaemonSignals() {
  SetAction({SIGHUP}, Record);
  RecordStopSignals();
  SetAction({SIGUSR1, SIGUSR2, SIGTTIN, SIGTTOU}, SIG_IGN);
}

signal_counts TakeSignals() {
  return {.hang_ups = hang_ups.exchange(0),
          .interrupts = interrupts.exchange(0),
          .terminations = terminations.exchange(0)};
}

bool IsStopRecorded() { return interrupts > 0 || terminations > 0; }

int SignalDescriptor() {
  if (descriptor < 0) {
    descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    // What came before had no descriptor to write to.
    if (IsStopRecorded() || hang_ups > 0) {
      WakeLoop();
    }
  }
  return descriptor;
}

void ClearSignalDescriptor() {
  uint64_t count = 0;
  // Nothing to read means that nothing was recorded.
  [[maybe_unused]] const ssize_t got = read(descriptor, &count, sizeof(count));
}

}  // namespace foxtailspread
