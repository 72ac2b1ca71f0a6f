#ifndef FOXTAILSPREAD_CTL_OBJECT_API_H_
#define FOXTAILSPREAD_CTL_OBJECT_API_H_

/// @file
/// What the operator's command needs of the platform and of entry hosts, as
/// concepts, so that its logic runs against fakes as well.

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// What stands under a key; revision 0 and a null value if nothing does.
struct object_state {
  uint64_t revision = 0;
  nlohmann::json value;
};

/// One entry of a listing.
struct named_object {
  std::string key;
  object_state object;
};

/// A write that takes effect only if the object has the expected revision.
struct conditional_write {
  std::string key;
  std::optional<nlohmann::json> value;  ///< Nothing removes the object.
  uint64_t expected_revision = 0;       ///< 0 expects that there is none.
};

/// How the platform decided on a conditional write.
enum class write_decision { kAccepted, kLostRace };

/// The decision, with the new revision or with what stands there instead.
struct write_answer {
  write_decision outcome = write_decision::kAccepted;
  object_state object;
};

/// The platform's objects. kUnavailable from Write leaves open whether the
/// write took effect. Wait pauses before another try and returns false once
/// the time allowed has run out.
template <typename T>
concept object_api = requires(T api, std::string_view key,
                              const conditional_write& write) {
  { api.Get(key) } -> std::same_as<result<object_state>>;
  { api.Write(write) } -> std::same_as<result<write_answer>>;
  { api.List(key) } -> std::same_as<result<std::vector<named_object>>>;
  { api.Wait() } -> std::same_as<bool>;
};

/// The admin interface of entry hosts; `host` is "IP:port".
template <typename T>
concept admin_api = requires(T api, std::string_view host,
                             std::string_view path) {
  { api.GetAdmin(host, path) } -> std::same_as<result<nlohmann::json>>;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_OBJECT_API_H_
