#ifndef FOXTAILSPREAD_CORE_LOAD_KEY_THROTTLE_MESSAGE_H_
#define FOXTAILSPREAD_CORE_LOAD_KEY_THROTTLE_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "foxtailspread/load/key_throttle.h"

namespace foxtailspread {

inline constexpr std::string_view kThrottlesTag = "throttles";

/// Formats throttled keys as an array that begins with kThrottlesTag, and reads
/// them; throws nlohmann::json::exception if they are malformed.
nlohmann::json ToJson(const key_throttles& throttles);
key_throttles ReadKeyThrottles(const nlohmann::json& value);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_LOAD_KEY_THROTTLE_MESSAGE_H_
