#ifndef FOXTAILSPREAD_NET_STAND_IN_H_
#define FOXTAILSPREAD_NET_STAND_IN_H_

/// @file
/// What the stand-in programs have in common: answers in JSON, and a run from
/// the first listening to the graceful stop.

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "foxtailspread/error.h"
#include "net/http_server.h"

namespace foxtailspread {

/// Returns an answer with `body` as JSON.
http_answer JsonAnswer(int status, const nlohmann::json& body);

/// Returns the answer for an error: `{"error":{"code","reason","remedy"}}`.
http_answer ErrorAnswer(int status, const error& failure);

/// Listens on `address`, prints "listening IP:PORT" on standard output and
/// serves until a signal asks to stop: the first one lets the requests in
/// flight finish, the next one ends at once. Returns the exit status.
int ServeUntilStopped(http_server& server, std::string_view address);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_STAND_IN_H_
