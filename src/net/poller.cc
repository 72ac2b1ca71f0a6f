#include "net/poller.h"

#include <glib.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace foxtailspread {
namespace {

/// Events read at once; the rest stay ready for the next turn, so that timers
/// run between two batches.
constexpr int kBatch = 64;

}  // namespace

poller::poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  source_ = RunOnDescriptor(epoll_, G_IO_IN, [this] { Dispatch(); });
}

poller::~poller() {
  source_.Cancel();
  close(epoll_);
}

void poller::Add(int fd, uint32_t events, poll_handler* handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = handler;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void poller::Change(int fd, uint32_t events, poll_handler* handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = handler;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void poller::Remove(int fd, const poll_handler* handler) {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  for (epoll_event& event : current_) {
    if (event.data.ptr == handler) {
      event.data.ptr = nullptr;
    }
  }
}

void poller::Dispatch() {
  std::array<epoll_event, kBatch> events;
  const int count = epoll_wait(epoll_, events.data(), kBatch, 0);
  if (count <= 0) {
    return;
  }
  current_ = std::span(events).first(static_cast<size_t>(count));
  for (epoll_event& event : current_) {
    if (event.data.ptr != nullptr) {
      const poll_handler& handler = *static_cast<poll_handler*>(event.data.ptr);
      handler.call(handler.self, event.events);
    }
  }
  current_ = {};
}

}  // namespace foxtailspread
