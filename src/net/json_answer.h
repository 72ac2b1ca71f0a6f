#ifndef FOXTAILSPREAD_NET_JSON_ANSWER_H_
#define FOXTAILSPREAD_NET_JSON_ANSWER_H_

/// @file
/// Answers in JSON, and the one form that all errors have.

#include <nlohmann/json_fwd.hpp>

#include "foxtailspread/error.h"
#include "net/http_types.h"

namespace foxtailspread {

/// Returns an answer with `body` as JSON.
http_answer JsonAnswer(int status, const nlohmann::json& body);

/// Returns the answer for an error: `{"error":{"code","reason","remedy"}}`.
http_answer ErrorAnswer(int status, const error& failure);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_JSON_ANSWER_H_
