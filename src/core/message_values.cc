#include "core/message_values.h"

#include <cmath>

#include "foxtailspread/utf8.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr int kOutOfRangeNumber = 406;
constexpr int kNoText = 316;

}  // namespace

void ThrowOutOfRange(const json& value) {
  throw json::out_of_range::create(kOutOfRangeNumber, "number out of range",
                                   &value);
}

double ReadAmount(const json& value) {
  const double amount = value.is_number() ? value.get<double>() : -1.0;
  if (!std::isfinite(amount) || amount < 0.0) {
    ThrowOutOfRange(value);
  }
  return amount;
}

std::string ReadText(const json& value) {
  const auto& text = value.get_ref<const std::string&>();
  if (!IsUtf8(text)) {
    throw json::type_error::create(kNoText, "invalid UTF-8", &value);
  }
  return text;
}

std::vector<std::string> ReadTexts(const json& list) {
  const auto& values = list.get_ref<const json::array_t&>();
  std::vector<std::string> texts;
  texts.reserve(values.size());
  for (const json& each : values) {
    texts.push_back(ReadText(each));
  }
  return texts;
}

}  // namespace foxtailspread
