#ifndef FOXTAILSPREAD_TESTS_SUPPORT_LOST_POWER_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_LOST_POWER_H_

/// @file
/// A peer on loopback whose machine has lost power.

#include <linux/filter.h>
#include <sys/socket.h>

namespace foxtailspread::testing {

/// Drops all that comes for a socket from now on, unacknowledged. False if the
/// kernel refuses it.
inline bool LosePower(int fd) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &drop_all};
  return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof(program)) == 0;
}

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_LOST_POWER_H_
