#include "foxtailspread/action_export.h"

#include "json_values.h"

namespace foxtailspread {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(exported_action, key, organisation, sequence,
                                   content_hash, done, not_run, attempt, age,
                                   status, content_type, body, body_omitted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(action_export, covered, age, next,
                                   first_kept, words, actions)

std::string FormatActionExport(const action_export& table_export) {
  return json(table_export)
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<action_export> ParseActionExport(std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  try {
    return value.get<action_export>();
  } catch (const json::exception& e) {
    return error{error_code::kMalformed, "actions", e.what(),
                 "run the same version on both hosts of the handover"};
  }
}

}  // namespace foxtailspread
