#ifndef FOXTAILSPREAD_JSON_READER_H_
#define FOXTAILSPREAD_JSON_READER_H_

/// @file
/// Checked reading of JSON with comments into aggregates.
///
/// Every error names the path ("services[2].slots"), the reason and the
/// remedy. No exception leaves this module.

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What a text may cost before it is refused.
struct json_limits {
  size_t max_bytes = size_t{1} << 20;  ///< The platform's largest value.
  size_t max_depth = 32;               ///< Objects and lists within another.
};

/// Parses one JSON value with comments. Duplicate keys within an object,
/// nesting beyond the limit and trailing text are errors.
///
/// @code
/// result<nlohmann::json> value = ParseJson(text);
/// if (!value) return value.error();
/// @endcode
result<nlohmann::json> ParseJson(std::string_view text,
                                 const json_limits& limits = {});

/// Writes `value` as indented text. Bytes that are not UTF-8 are replaced.
std::string FormatJson(const nlohmann::json& value);

/// The permitted range of a number, both ends included.
template <typename T>
struct number_bounds {
  T low = std::numeric_limits<T>::lowest();
  T high = std::numeric_limits<T>::max();
};

/// An integer field type; bool has its own overload.
template <typename T>
concept json_integer = std::integral<T> && !std::same_as<T, bool>;

/// Reads the fields of one JSON object and remembers the first error.
///
/// Ask for each field once, then call Finish: it refuses fields that were not
/// asked for, naming the nearest known one. A field whose value is refused
/// keeps the value it had. The reader refers to the JSON value, which must
/// outlive it.
///
/// @code
/// object_reader reader(value, "limits");
/// reader.Require({"max_in_flight"});
/// reader.Read("max_in_flight", limits.max_in_flight, {1, 100000});
/// if (status done = reader.Finish(); !done) return done.error();
/// @endcode
class object_reader {
 public:
  /// `path` names the value in errors, "" for the whole document.
  explicit object_reader(const nlohmann::json& value, std::string path = "");

  /// Reads a field. One that is absent leaves `out` as it is.
  void Read(std::string_view name, bool& out);
  void Read(std::string_view name, std::string& out);
  void Read(std::string_view name, std::vector<std::string>& out);
  void Read(std::string_view name, double& out,
            number_bounds<double> bounds = {});
  template <json_integer T>
  void Read(std::string_view name, T& out,
            std::type_identity_t<number_bounds<T>> bounds = {});

  /// Reads a length of time given in milliseconds, fractions allowed.
  void ReadMilliseconds(std::string_view name, duration& out,
                        number_bounds<duration> bounds);

  /// Reads a field by `parse`, a function from text to result<T>.
  template <typename T, typename Parse>
  void ReadWord(std::string_view name, T& out, const Parse& parse);

  /// Reads an object by `read(object_reader&)`; Finish is called for it.
  template <typename Reader>
  void ReadObject(std::string_view name, const Reader& read);

  /// Calls `read(object_reader&)` for each object of a list.
  template <typename Reader>
  void ReadList(std::string_view name, const Reader& read);

  /// Records that these fields must be there.
  void Require(std::initializer_list<std::string_view> names);

  /// Records an error of the field `name`, unless one came before.
  void Fail(error_code code, std::string_view name, std::string reason,
            std::string remedy);

  /// Records `checked`'s error at the field `name`.
  void Check(std::string_view name, const status& checked);

  /// Returns the path of the field `name`.
  std::string PathOf(std::string_view name) const;

  /// Returns the first error: unknown fields first, because a mistyped name
  /// is the usual cause of a missing one.
  status Finish();

  /// Returns the first error and lets fields pass that were not asked for, for
  /// a first look at a document that is read whole later.
  status FinishPartly() const;

 private:
  const nlohmann::json* Find(std::string_view name);
  const nlohmann::json* FindTyped(std::string_view name,
                                  std::string_view wanted,
                                  bool (nlohmann::json::*is_wanted)()
                                      const noexcept);
  const nlohmann::json* FindString(std::string_view name);
  const nlohmann::json* FindList(std::string_view name);
  bool AcceptInteger(std::string_view name, const nlohmann::json& value,
                     number_bounds<int64_t> bounds);
  void WrongType(std::string_view name, std::string_view wanted,
                 const nlohmann::json& value);
  void Record(const status& nested);

  const nlohmann::json* value_;
  std::string path_;
  std::vector<std::string> known_;
  std::optional<error> first_error_;
};

template <json_integer T>
void object_reader::Read(std::string_view name, T& out,
                         std::type_identity_t<number_bounds<T>> bounds) {
  const nlohmann::json* found = Find(name);
  constexpr auto kHighest =
      static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const bool capped = static_cast<uint64_t>(bounds.high) > kHighest;
  const number_bounds<int64_t> wide{
      static_cast<int64_t>(bounds.low),
      static_cast<int64_t>(capped && bounds.high > 0
                               ? kHighest
                               : static_cast<uint64_t>(bounds.high))};
  if (found != nullptr && AcceptInteger(name, *found, wide)) {
    out = static_cast<T>(found->get<int64_t>());
  }
}

template <typename T, typename Parse>
void object_reader::ReadWord(std::string_view name, T& out,
                             const Parse& parse) {
  const nlohmann::json* found = FindString(name);
  if (found == nullptr) {
    return;
  }
  const result<T> parsed = parse(found->get_ref<const std::string&>());
  if (parsed) {
    out = parsed.value();
    return;
  }
  Fail(parsed.error().code, name, parsed.error().reason, parsed.error().remedy);
}

template <typename Reader>
void object_reader::ReadObject(std::string_view name, const Reader& read) {
  const nlohmann::json* found = Find(name);
  if (found == nullptr) {
    return;
  }
  object_reader nested(*found, PathOf(name));
  read(nested);
  Record(nested.Finish());
}

template <typename Reader>
void object_reader::ReadList(std::string_view name, const Reader& read) {
  const nlohmann::json* list = FindList(name);
  if (list == nullptr) {
    return;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    object_reader nested((*list)[i],
                         PathOf(name) + "[" + std::to_string(i) + "]");
    read(nested);
    Record(nested.Finish());
  }
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_JSON_READER_H_
