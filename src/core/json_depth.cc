#include "foxtailspread/json_depth.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace foxtailspread {
namespace {

using nlohmann::json;

/// Ends the reading of a value that is nested too deeply.
class depth_checker : public nlohmann::json_sax<json> {
 public:
  explicit depth_checker(size_t max_depth) : max_depth_(max_depth) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*name*/) override { return true; }
  bool start_object(size_t /*elements*/) override { return Enter(); }
  bool start_array(size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*failure*/) override {
    return false;
  }

 private:
  bool Enter() { return ++depth_ <= max_depth_; }
  bool Leave() {
    --depth_;
    return true;
  }

  size_t max_depth_;
  size_t depth_ = 0;
};

/// Returns whether a byte may begin a map or an array in MessagePack.
bool MayOpen(char byte) {
  const auto code = static_cast<uint8_t>(byte);
  return (code >= 0x80 && code <= 0x9f) || (code >= 0xdc && code <= 0xdf);
}

/// Returns whether a value in MessagePack is nested within `max_depth`. Most
/// messages have too few bytes that may begin an array to be nested deeper and
/// need no second reading.
bool IsPackNestedWithin(std::string_view bytes, size_t max_depth) {
  const auto openers = std::ranges::count_if(bytes, MayOpen);
  if (static_cast<size_t>(openers) <= max_depth) {
    return true;
  }
  depth_checker checker(max_depth);
  return json::sax_parse(bytes, &checker, json::input_format_t::msgpack);
}

/// Returns where the string whose first quote stands at `at` has its last one;
/// the size of `text` if it has none.
size_t LastQuote(std::string_view text, size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\') {
      ++at;
    }
  }
  return at;
}

}  // namespace

bool IsNestedWithin(std::string_view text, size_t max_depth) {
  size_t depth = 0;
  for (size_t at = 0; at < text.size(); ++at) {
    switch (text[at]) {
      case '"':
        at = LastQuote(text, at);
        break;
      case '{':
      case '[':
        if (++depth > max_depth) {
          return false;
        }
        break;
      case '}':
      case ']':
        depth -= depth > 0 ? 1 : 0;
        break;
      default:
        break;
    }
  }
  return true;
}

json ParseNestedWithin(std::string_view text, size_t max_depth) {
  return IsNestedWithin(text, max_depth) ? json::parse(text, nullptr, false)
                                         : json(json::value_t::discarded);
}

json ReadMessagePack(std::string_view bytes, size_t max_depth) {
  return IsPackNestedWithin(bytes, max_depth)
             ? json::from_msgpack(bytes, true, false)
             : json(json::value_t::discarded);
}

}  // namespace foxtailspread
