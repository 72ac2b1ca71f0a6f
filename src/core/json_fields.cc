#include "core/json_fields.h"

#include <algorithm>
#include <utility>

namespace foxtailspread::internal {

result<nlohmann::json> ParseObject(std::string_view text) {
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  if (parsed.is_discarded() || !parsed.is_object()) {
    return error{error_code::kMalformed, "", "the text is not a JSON object",
                 "send one object, UTF-8, with its end"};
  }
  return parsed;
}

const nlohmann::json* field_reader::Find(const char* name) const {
  const auto found = object_.find(name);
  return found == object_.end() ? nullptr : &*found;
}

void field_reader::Fail(error_code code, const char* name, std::string reason,
                        std::string remedy) {
  if (!error_) {
    error_ = error{code, name, std::move(reason), std::move(remedy)};
  }
}

void field_reader::Require(const char* name) {
  if (Find(name) == nullptr) {
    Fail(error_code::kMissingField, name, "the field is missing", "add it");
  }
}

void field_reader::Read(const char* name, int64_t least, int64_t most,
                        int64_t& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  const std::string range = "use a whole number from " + std::to_string(least) +
                            " to " + std::to_string(most);
  const bool beyond = value->is_number_unsigned() &&
                      value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (!value->is_number_integer() || beyond) {
    Fail(error_code::kOutOfRange, name, "this is not such a number", range);
    return;
  }
  const auto number = value->get<int64_t>();
  if (number < least || number > most) {
    Fail(error_code::kOutOfRange, name, "the number is out of range", range);
    return;
  }
  to = number;
}

void field_reader::Read(const char* name, uint64_t& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number_unsigned()) {
    Fail(error_code::kOutOfRange, name, "this is not such a number",
         "use a whole number from 0 on");
    return;
  }
  to = value->get<uint64_t>();
}

void field_reader::Read(const char* name, double least, double most,
                        double& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  const double number = value->is_number() ? value->get<double>() : least - 1;
  if (!(number >= least && number <= most)) {
    Fail(error_code::kOutOfRange, name, "the number is out of range",
         "use a number from " + std::to_string(least) + " to " +
             std::to_string(most));
    return;
  }
  to = number;
}

void field_reader::Read(const char* name, bool& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Fail(error_code::kMalformed, name, "this is not true or false",
         "use true or false");
    return;
  }
  to = value->get<bool>();
}

void field_reader::Read(const char* name, std::string& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Fail(error_code::kMalformed, name, "this is not a text", "use a string");
    return;
  }
  to = value->get<std::string>();
}

void field_reader::Read(const char* name, std::vector<std::string>& to) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return;
  }
  const bool texts =
      value->is_array() && std::all_of(value->begin(), value->end(),
                                       [](const nlohmann::json& entry) {
                                         return entry.is_string();
                                       });
  if (!texts) {
    Fail(error_code::kMalformed, name, "this is not a list of texts",
         "use a list of strings");
    return;
  }
  to = value->get<std::vector<std::string>>();
}

}  // namespace foxtailspread::internal
