#ifndef FOXTAILSPREAD_CORE_JSON_FIELDS_H_
#define FOXTAILSPREAD_CORE_JSON_FIELDS_H_

/// @file
/// Checked reading of single fields from small JSON messages.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"

namespace foxtailspread::internal {

/// Parses `text` as one JSON object.
result<nlohmann::json> ParseObject(std::string_view text);

/// Reads optional fields of one object into variables. The first field that
/// is not of the wanted shape is kept as the error; absent fields leave their
/// variables as they are.
class field_reader {
 public:
  explicit field_reader(const nlohmann::json& object) : object_(object) {}

  /// Accepts whole numbers from `least` to `most`. A fraction, a text or a
  /// number beyond 64 bits is an error and never converted.
  void Read(const char* name, int64_t least, int64_t most, int64_t& to);
  void Read(const char* name, uint64_t& to);
  void Read(const char* name, double least, double most, double& to);
  void Read(const char* name, bool& to);
  void Read(const char* name, std::string& to);
  void Read(const char* name, std::vector<std::string>& to);

  /// Notes an error of the caller's own check, unless there is one already.
  void Fail(error_code code, const char* name, std::string reason,
            std::string remedy);

  bool Has(const char* name) const { return object_.contains(name); }

  /// Requires the field to be there.
  void Require(const char* name);

  const std::optional<error>& Error() const { return error_; }

 private:
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json& object_;
  std::optional<error> error_;
};

}  // namespace foxtailspread::internal

#endif  // FOXTAILSPREAD_CORE_JSON_FIELDS_H_
