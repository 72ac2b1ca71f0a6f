#ifndef FOXTAILSPREAD_NET_STAND_IN_H_
#define FOXTAILSPREAD_NET_STAND_IN_H_

/// @file
/// What the stand-in programs have in common: the run from the first listening
/// to the graceful stop.

#include <string_view>

#include "net/http_server.h"

namespace foxtailspread {

/// Listens on `address`, prints "listening IP:PORT" on standard output and
/// serves until a signal asks to stop: the first one lets the requests in
/// flight finish, the next one ends at once. Returns the exit status.
int ServeUntilStopped(http_server& server, std::string_view address);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_STAND_IN_H_
