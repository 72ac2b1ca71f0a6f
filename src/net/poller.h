#ifndef FOXTAILSPREAD_NET_POLLER_H_
#define FOXTAILSPREAD_NET_POLLER_H_

/// @file
/// Readiness of many descriptors through one epoll descriptor in the GLib
/// loop.
///
/// GLib passes every watched descriptor to poll(2) at each turn of the loop,
/// which costs more the more connections are idle. Here the loop polls a
/// single descriptor, whatever the number of connections.

#include <sys/epoll.h>

#include <cstdint>
#include <span>

#include "net/loop.h"

namespace foxtailspread {

/// The member function that a poller calls for one descriptor. It must stay
/// at its address while it is watched.
struct poll_handler {
  void (*call)(void* self, uint32_t events) = nullptr;
  void* self = nullptr;
};

/// Makes the handler that calls `Method` of `owner`.
///
/// @code
/// handler_ = HandlerFor<&connection::OnReady>(this);
/// @endcode
template <auto Method, typename Owner>
poll_handler HandlerFor(Owner* owner) {
  return {[](void* self, uint32_t events) {
            (static_cast<Owner*>(self)->*Method)(events);
          },
          owner};
}

/// Watches descriptors for the loop's thread, level triggered.
class poller {
 public:
  poller();
  ~poller();
  poller(const poller&) = delete;
  poller& operator=(const poller&) = delete;

  /// Watches `fd` for `events` (EPOLLIN and so on).
  void Add(int fd, uint32_t events, poll_handler* handler);
  void Change(int fd, uint32_t events, poll_handler* handler);
  /// Ends the watch. Events of `handler` that were already read are dropped,
  /// so that its owner may be destroyed from inside a callback.
  void Remove(int fd, const poll_handler* handler);

 private:
  void Dispatch();

  int epoll_;
  timer source_;
  std::span<epoll_event> current_;  ///< The batch that is being handled.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_POLLER_H_
