#include "foxtailspread/config.h"

#include <algorithm>
#include <array>

#include "core/named_value.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

constexpr std::string_view kAnyService = "*";
constexpr size_t kLongestName = 64;
constexpr size_t kDigestLength = 64;

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [name](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

}  // namespace

std::string_view ToString(urgency value) {
  switch (value) {
    case urgency::kUrgent:
      return "urgent";
    case urgency::kOrdinary:
      return "ordinary";
    case urgency::kArchive:
      return "archive";
  }
  return "unknown";
}

std::string_view ToString(placement_kind value) {
  return value == placement_kind::kKeyed ? "keyed" : "pooled";
}

result<urgency> ParseUrgency(std::string_view text) {
  return ParseByName(text, std::array{urgency::kUrgent, urgency::kOrdinary,
                                      urgency::kArchive});
}

result<placement_kind> ParsePlacement(std::string_view text) {
  return ParseByName(
      text, std::array{placement_kind::kKeyed, placement_kind::kPooled});
}

status CheckName(std::string_view text) {
  const bool sound = !text.empty() && text.size() <= kLongestName &&
                     IsLetterOrDigit(text.front()) &&
                     std::all_of(text.begin(), text.end(), IsNameCharacter);
  if (sound) {
    return OkStatus();
  }
  return error{error_code::kMalformed, "", Quoted(text) + " is no name",
               "use 1 to 64 of a-z, 0-9, '.', '_' and '-', the first a letter "
               "or digit"};
}

status CheckTokenDigest(std::string_view text) {
  if (text.size() == kDigestLength &&
      std::all_of(text.begin(), text.end(), IsHexDigit)) {
    return OkStatus();
  }
  return error{error_code::kMalformed, "", "is no SHA-256 digest",
               "write the 64 lower-case hex digits that sha256sum prints for "
               "the token; never the token itself"};
}

const service_config* deployment_config::FindService(
    std::string_view name) const {
  return FindByName(services, name);
}

const organisation_config* deployment_config::FindOrganisation(
    std::string_view name) const {
  return FindByName(organisations, name);
}

const preset_config* deployment_config::FindPreset(
    std::string_view name) const {
  return FindByName(presets, name);
}

const preset_config& deployment_config::PresetInForce() const {
  static const preset_config defaults;
  const preset_config* found = FindPreset(preset);
  return found != nullptr ? *found : defaults;
}

rule_config deployment_config::RuleFor(std::string_view organisation,
                                       std::string_view service) const {
  const rule_config* general = nullptr;
  for (const rule_config& rule : rules) {
    if (rule.organisation != organisation) {
      continue;
    }
    if (rule.service == service) {
      return rule;
    }
    if (rule.service == kAnyService) {
      general = &rule;
    }
  }
  rule_config found = general != nullptr ? *general : rule_config{};
  found.organisation = organisation;
  found.service = service;
  return found;
}

}  // namespace foxtailspread
