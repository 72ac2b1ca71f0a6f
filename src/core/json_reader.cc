#include "foxtailspread/json_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

/// Returns the library's message up to where it quotes the last token, which
/// may be a credential that would then stand in a log.
std::string WithoutQuotedToken(std::string_view message) {
  const size_t quoted = message.find("; last read");
  return std::string(message.substr(0, quoted));
}

/// Walks the text before it is turned into values.
///
/// The library keeps the last of two equal keys in silence, so an operator who
/// pastes a block twice would see one of them ignored without a word. It also
/// sets no limit to nesting, and every later walk over the value recurses.
/// Both stop the parse here, with the path.
class structure_checker : public nlohmann::json_sax<json> {
 public:
  explicit structure_checker(size_t max_depth) : max_depth_(max_depth) {}

  const std::optional<error>& first_error() const { return first_error_; }

  bool null() override { return Leave(); }
  bool boolean(bool /*value*/) override { return Leave(); }
  bool number_integer(number_integer_t /*value*/) override { return Leave(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Leave(); }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Leave();
  }
  bool string(string_t& /*value*/) override { return Leave(); }
  bool binary(binary_t& /*value*/) override { return Leave(); }
  bool start_object(size_t /*elements*/) override { return Enter(false); }
  bool start_array(size_t /*elements*/) override { return Enter(true); }
  bool end_object() override { return EndContainer(); }
  bool end_array() override { return EndContainer(); }

  bool key(string_t& name) override {
    frame& innermost = frames_.back();
    innermost.key = name;
    if (innermost.keys.insert(name).second) {
      return true;
    }
    first_error_ =
        error{error_code::kDuplicateName, Path(),
              "the field is given twice in one object", "keep one of the two"};
    return false;
  }

  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& failure) override {
    first_error_ = error{error_code::kMalformed, Path(),
                         WithoutQuotedToken(failure.what()),
                         "correct the JSON at that place; it may be cut off"};
    return false;
  }

 private:
  struct frame {
    bool is_list = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Enter(bool is_list) {
    if (frames_.size() >= max_depth_) {
      first_error_ =
          error{error_code::kTooLarge, Path(), "nested too deeply",
                "use at most " + std::to_string(max_depth_) + " levels"};
      return false;
    }
    frames_.emplace_back();
    frames_.back().is_list = is_list;
    return true;
  }

  bool EndContainer() {
    frames_.pop_back();
    return Leave();
  }

  bool Leave() {
    if (!frames_.empty()) {
      ++frames_.back().index;
    }
    return true;
  }

  std::string Path() const {
    std::string path;
    for (const frame& part : frames_) {
      if (part.is_list) {
        path += "[" + std::to_string(part.index) + "]";
      } else if (!part.key.empty()) {
        path += (path.empty() ? "" : ".") + Printable(part.key);
      }
    }
    return path;
  }

  size_t max_depth_;
  std::vector<frame> frames_;
  std::optional<error> first_error_;
};

std::string NumberText(double value) { return json(value).dump(); }

template <typename T>
std::string BoundsRemedy(T low, T high, std::string_view unit) {
  return "use " + json(low).dump() + " to " + json(high).dump() +
         std::string(unit);
}

}  // namespace

result<json> ParseJson(std::string_view text, const json_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return error{error_code::kTooLarge, "",
                 "the text has " + std::to_string(text.size()) + " bytes",
                 "use at most " + std::to_string(limits.max_bytes)};
  }
  structure_checker checker(limits.max_depth);
  const bool sound = json::sax_parse(text, &checker, json::input_format_t::json,
                                     /*strict=*/true, /*ignore_comments=*/true);
  if (!sound) {
    return checker.first_error().value_or(
        error{error_code::kMalformed, "", "the text is not JSON",
              "check the text against the documentation"});
  }
  json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false,
                            /*ignore_comments=*/true);
  return parsed;
}

std::string FormatJson(const json& value) {
  constexpr int kIndent = 2;
  return value.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

object_reader::object_reader(const json& value, std::string path)
    : value_(&value), path_(std::move(path)) {
  if (!value.is_object()) {
    first_error_ = error{error_code::kMalformed, path_,
                         std::string("is of type ") + value.type_name(),
                         "write an object in braces"};
  }
}

std::string object_reader::PathOf(std::string_view name) const {
  if (name.empty()) {
    return path_;
  }
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void object_reader::Fail(error_code code, std::string_view name,
                         std::string reason, std::string remedy) {
  if (!first_error_) {
    first_error_ =
        error{code, PathOf(name), std::move(reason), std::move(remedy)};
  }
}

void object_reader::Check(std::string_view name, const status& checked) {
  if (!checked) {
    Fail(checked.error().code, name, checked.error().reason,
         checked.error().remedy);
  }
}

void object_reader::Record(const status& nested) {
  if (!nested && !first_error_) {
    first_error_ = nested.error();
  }
}

const json* object_reader::Find(std::string_view name) {
  known_.emplace_back(name);
  if (!value_->is_object()) {
    return nullptr;
  }
  const auto found = value_->find(name);
  return found == value_->end() ? nullptr : &*found;
}

const json* object_reader::FindTyped(std::string_view name,
                                     std::string_view wanted,
                                     bool (json::*is_wanted)() const noexcept) {
  const json* found = Find(name);
  if (found != nullptr && !(found->*is_wanted)()) {
    WrongType(name, wanted, *found);
    return nullptr;
  }
  return found;
}

const json* object_reader::FindString(std::string_view name) {
  return FindTyped(name, "a string", &json::is_string);
}

const json* object_reader::FindList(std::string_view name) {
  return FindTyped(name, "a list in brackets", &json::is_array);
}

void object_reader::Require(std::initializer_list<std::string_view> names) {
  for (const std::string_view name : names) {
    if (value_->is_object() && !value_->contains(name)) {
      Fail(error_code::kMissingField, name, "is missing", "add the field");
    }
  }
}

void object_reader::WrongType(std::string_view name, std::string_view wanted,
                              const json& value) {
  Fail(error_code::kMalformed, name,
       std::string("is of type ") + value.type_name(),
       "write " + std::string(wanted));
}

void object_reader::Read(std::string_view name, bool& out) {
  const json* found = FindTyped(name, "true or false", &json::is_boolean);
  if (found != nullptr) {
    out = found->get<bool>();
  }
}

void object_reader::Read(std::string_view name, std::string& out) {
  const json* found = FindString(name);
  if (found != nullptr) {
    out = found->get_ref<const std::string&>();
  }
}

void object_reader::Read(std::string_view name, std::vector<std::string>& out) {
  const json* list = FindList(name);
  if (list == nullptr) {
    return;
  }
  std::vector<std::string> words;
  for (const json& item : *list) {
    if (!item.is_string()) {
      const std::string place =
          std::string(name) + "[" + std::to_string(words.size()) + "]";
      WrongType(place, "a string", item);
      return;
    }
    words.push_back(item.get_ref<const std::string&>());
  }
  out = std::move(words);
}

void object_reader::Read(std::string_view name, double& out,
                         number_bounds<double> bounds) {
  const json* found = FindTyped(name, "a number", &json::is_number);
  if (found == nullptr) {
    return;
  }
  const auto value = found->get<double>();
  if (value < bounds.low || value > bounds.high) {
    Fail(error_code::kOutOfRange, name, NumberText(value) + " is out of range",
         BoundsRemedy(bounds.low, bounds.high, ""));
    return;
  }
  out = value;
}

void object_reader::ReadMilliseconds(std::string_view name, duration& out,
                                     number_bounds<duration> bounds) {
  const json* found =
      FindTyped(name, "a number of milliseconds", &json::is_number);
  if (found == nullptr) {
    return;
  }
  const double microseconds =
      found->get<double>() * kMicrosecondsPerMillisecond;
  const auto low = static_cast<double>(bounds.low.count());
  const auto high = static_cast<double>(bounds.high.count());
  if (microseconds < low || microseconds > high) {
    Fail(error_code::kOutOfRange, name, found->dump() + " ms is out of range",
         BoundsRemedy(low / kMicrosecondsPerMillisecond,
                      high / kMicrosecondsPerMillisecond, " ms"));
    return;
  }
  out = duration(std::llround(microseconds));
}

bool object_reader::AcceptInteger(std::string_view name, const json& value,
                                  number_bounds<int64_t> bounds) {
  if (!value.is_number_integer()) {
    WrongType(name, "a whole number", value);
    return false;
  }
  const bool beyond_signed =
      value.is_number_unsigned() &&
      value.get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const auto number = beyond_signed ? std::numeric_limits<int64_t>::max()
                                    : value.get<int64_t>();
  if (beyond_signed || number < bounds.low || number > bounds.high) {
    Fail(error_code::kOutOfRange, name, value.dump() + " is out of range",
         BoundsRemedy(bounds.low, bounds.high, ""));
    return false;
  }
  return true;
}

status object_reader::Finish() {
  if (value_->is_object()) {
    for (const auto& [name, unused] : value_->items()) {
      if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
        return error{error_code::kUnknownField, PathOf(Printable(name)),
                     "the format has no such field",
                     KnownNameRemedy(name, known_)};
      }
    }
  }
  return FinishPartly();
}

status object_reader::FinishPartly() const {
  if (first_error_) {
    return *first_error_;
  }
  return OkStatus();
}

}  // namespace foxtailspread
