#ifndef FOXTAILSPREAD_NET_WAITING_CALLS_H_
#define FOXTAILSPREAD_NET_WAITING_CALLS_H_

/// @file
/// Calls of a connection_pool that wait for a connection on which their peer
/// has answered.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "foxtailspread/time.h"
#include "net/pooled_connection.h"

namespace foxtailspread {

/// One call that waits.
struct waiting_call {
  call_id id = 0;
  std::string address{};
  pool_call call{};
  call_receiver on_ended{};
  time_point write_until{};  ///< From then on it must not be written.
};

/// The waiting calls of all addresses, first come, first served. All are given
/// the same time to wait.
class waiting_calls {
 public:
  void Add(waiting_call added);

  /// Whether any call waits for a connection to `address`.
  bool HasAny(const std::string& address) const {
    return by_address_.contains(address);
  }
  /// The call to `address` that has waited longest; nullptr if there is none.
  const waiting_call* First(const std::string& address) const;
  /// When the call that has waited longest must not be written any more.
  std::optional<time_point> NextDeadline() const;

  /// Each of these removes the call that it returns.
  std::optional<waiting_call> Take(call_id id);
  std::optional<waiting_call> TakeFirst(const std::string& address);
  /// One that must not be written any more.
  std::optional<waiting_call> TakeOverdue(time_point now);

 private:
  std::map<call_id, waiting_call> calls_;
  std::unordered_map<std::string, std::set<call_id>> by_address_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_WAITING_CALLS_H_
