#include "foxtailspread/action_id.h"

#include <algorithm>
#include <span>
#include <vector>

namespace foxtailspread {
namespace {

// 96 of the 256 bits, the usual truncation of an HMAC; 16 characters exactly,
// so that the text of a hash has no spare bits and hence one spelling.
constexpr size_t kMacBytes = 12;
constexpr size_t kMacLength = 16;
constexpr int kVarintBits = 7;
constexpr uint8_t kVarintMore = 0x80;
constexpr int kMaxVarintShift = 63;
constexpr int kBase64Bits = 6;
constexpr uint32_t kBase64Mask = 0x3f;
constexpr int kByteBits = 8;
constexpr std::string_view kBase64Url =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string EncodeBase64Url(std::span<const uint8_t> bytes) {
  std::string text;
  uint32_t pending = 0;
  int bits = 0;
  for (const uint8_t byte : bytes) {
    pending = (pending << kByteBits) | byte;
    bits += kByteBits;
    while (bits >= kBase64Bits) {
      bits -= kBase64Bits;
      text += kBase64Url[(pending >> bits) & kBase64Mask];
    }
  }
  if (bits > 0) {
    text += kBase64Url[(pending << (kBase64Bits - bits)) & kBase64Mask];
  }
  return text;
}

std::optional<std::vector<uint8_t>> DecodeBase64Url(std::string_view text) {
  std::vector<uint8_t> bytes;
  uint32_t pending = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t value = kBase64Url.find(c);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    pending = (pending << kBase64Bits) | static_cast<uint32_t>(value);
    bits += kBase64Bits;
    if (bits >= kByteBits) {
      bits -= kByteBits;
      bytes.push_back(static_cast<uint8_t>(pending >> bits));
    }
  }
  return bytes;
}

void AppendVarint(uint64_t value, std::vector<uint8_t>& bytes) {
  while (value >= kVarintMore) {
    bytes.push_back(static_cast<uint8_t>(value) | kVarintMore);
    value >>= kVarintBits;
  }
  bytes.push_back(static_cast<uint8_t>(value));
}

std::optional<uint64_t> TakeVarint(std::span<const uint8_t>& bytes) {
  uint64_t value = 0;
  for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
    if (bytes.empty()) {
      return std::nullopt;
    }
    const uint8_t byte = bytes.front();
    bytes = bytes.subspan(1);
    value |= static_cast<uint64_t>(byte & ~kVarintMore) << shift;
    if ((byte & kVarintMore) == 0) {
      return value;
    }
  }
  return std::nullopt;
}

std::string EncodeOrigin(const action_origin& origin) {
  std::vector<uint8_t> bytes;
  AppendVarint(origin.epoch, bytes);
  AppendVarint(origin.sequence, bytes);
  bytes.insert(bytes.end(), origin.range.begin(), origin.range.end());
  return EncodeBase64Url(bytes);
}

std::optional<minted_action> DecodeOrigin(std::string_view payload) {
  const std::optional<std::vector<uint8_t>> bytes = DecodeBase64Url(payload);
  if (!bytes) {
    return std::nullopt;
  }
  std::span<const uint8_t> rest = *bytes;
  const std::optional<uint64_t> epoch = TakeVarint(rest);
  const std::optional<uint64_t> sequence = TakeVarint(rest);
  if (!epoch || !sequence || rest.empty()) {
    return std::nullopt;
  }
  return minted_action{std::string(rest.begin(), rest.end()), *epoch,
                       *sequence};
}

// The length in front keeps ("ab", "c...") and ("a", "bc...") apart.
std::string MacText(std::string_view organisation, std::string_view payload,
                    const action_secret& secret) {
  std::string message(kMintedActionPrefix);
  message += std::to_string(organisation.size());
  message += ':';
  message += organisation;
  message += payload;
  const mac_digest digest = secret.mac(secret.key, message);
  return EncodeBase64Url(std::span(digest).first(kMacBytes));
}

// Takes as long for a wrong first character as for a wrong last one; with an
// early exit a forger could find the hash character by character.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

bool IsCallerCharacter(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsUsable(const action_secret& secret) {
  return !secret.key.empty() && secret.mac != nullptr;
}

error MissingSecret() {
  return {error_code::kMissingField, "action_secret",
          "identifiers cannot be checked without a key",
          "set the deployment's action key on every entry host"};
}

error NotMintedForCaller() {
  return {error_code::kForbidden, "Foxtail-Action",
          "this identifier was not minted for your organisation",
          "take one from POST /v1/actions"};
}

result<action_id> ParseMinted(std::string_view text,
                              std::string_view organisation,
                              const action_secret& secret) {
  const std::string_view rest = text.substr(kMintedActionPrefix.size());
  if (text.size() > kMaxActionIdLength || rest.size() <= kMacLength) {
    return NotMintedForCaller();
  }
  const std::string_view payload = rest.substr(0, rest.size() - kMacLength);
  const std::string expected = MacText(organisation, payload, secret);
  if (!EqualInConstantTime(expected, rest.substr(payload.size()))) {
    return NotMintedForCaller();
  }
  std::optional<minted_action> minted = DecodeOrigin(payload);
  if (!minted) {
    return NotMintedForCaller();
  }
  return action_id{std::string(text), std::move(minted)};
}

}  // namespace

result<std::string> MintActionId(const action_origin& origin,
                                 const action_secret& secret) {
  if (!IsUsable(secret)) {
    return MissingSecret();
  }
  if (origin.range.empty() || origin.range.size() > kMaxActionRangeLength) {
    return error{error_code::kTooLarge, "range",
                 "the name '" + origin.range + "' does not fit an identifier",
                 "use 1 to " + std::to_string(kMaxActionRangeLength) +
                     " characters for service and zone together"};
  }
  const std::string payload = EncodeOrigin(origin);
  std::string text(kMintedActionPrefix);
  text += payload;
  text += MacText(origin.organisation, payload, secret);
  return text;
}

result<action_id> ParseActionId(std::string_view text,
                                std::string_view organisation,
                                const action_secret& secret) {
  if (!IsUsable(secret)) {
    return MissingSecret();
  }
  if (text.starts_with(kMintedActionPrefix)) {
    return ParseMinted(text, organisation, secret);
  }
  const bool length_fits = text.size() >= kMinCallerActionLength &&
                           text.size() <= kMaxCallerActionLength;
  if (!length_fits || !std::ranges::all_of(text, IsCallerCharacter)) {
    return error{error_code::kMalformed, "Foxtail-Action",
                 "this is not an action identifier",
                 "take one from POST /v1/actions, or make one of 8 to 64 "
                 "letters, digits, '.', '_' or '-'"};
  }
  return action_id{std::string(text), std::nullopt};
}

}  // namespace foxtailspread
