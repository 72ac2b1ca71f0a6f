#include "foxtailspread/action_id.h"

#include <algorithm>
#include <span>
#include <vector>

namespace foxtailspread {
namespace {

// The HMAC is truncated to 96 of its 256 bits, as is usual. They make exactly
// 16 Base64 characters without unused bits, so that each code has one encoding.
constexpr size_t kMacBytes = 12;
constexpr size_t kMacTextLength = 16;
constexpr int kVarintPayloadBits = 7;
constexpr uint8_t kVarintContinuationBit = 0x80;
constexpr int kMaxVarintShift = 63;
constexpr int kBase64Bits = 6;
constexpr uint32_t kBase64Mask = 0x3f;
constexpr int kByteBits = 8;
constexpr std::string_view kBase64UrlAlphabet =
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
      text += kBase64UrlAlphabet[(pending >> bits) & kBase64Mask];
    }
  }
  if (bits > 0) {
    text += kBase64UrlAlphabet[(pending << (kBase64Bits - bits)) & kBase64Mask];
  }
  return text;
}

std::optional<std::vector<uint8_t>> DecodeBase64Url(std::string_view text) {
  std::vector<uint8_t> bytes;
  uint32_t pending = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t value = kBase64UrlAlphabet.find(c);
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
  while (value >= kVarintContinuationBit) {
    bytes.push_back(static_cast<uint8_t>(value) | kVarintContinuationBit);
    value >>= kVarintPayloadBits;
  }
  bytes.push_back(static_cast<uint8_t>(value));
}

std::optional<uint64_t> ReadVarint(std::span<const uint8_t>& bytes) {
  uint64_t value = 0;
  for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintPayloadBits) {
    if (bytes.empty()) {
      return std::nullopt;
    }
    const uint8_t byte = bytes.front();
    bytes = bytes.subspan(1);
    value |= static_cast<uint64_t>(byte & ~kVarintContinuationBit) << shift;
    if ((byte & kVarintContinuationBit) == 0) {
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
  const std::optional<uint64_t> epoch = ReadVarint(rest);
  const std::optional<uint64_t> sequence = ReadVarint(rest);
  if (!epoch || !sequence || rest.empty()) {
    return std::nullopt;
  }
  return minted_action{std::string(rest.begin(), rest.end()), *epoch,
                       *sequence};
}

// The length prefix keeps ("ab", "c...") and ("a", "bc...") distinct.
std::string EncodedMac(std::string_view organisation, std::string_view payload,
                       const action_secret& secret) {
  std::string message(kMintedActionPrefix);
  message += std::to_string(organisation.size());
  message += ':';
  message += organisation;
  message += payload;
  const mac_digest digest = secret.mac(secret.key, message);
  return EncodeBase64Url(std::span(digest).first(kMacBytes));
}

// Takes the same time wherever the texts differ. With an early exit, an
// attacker could find the authentication code character by character from the
// response times.
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

bool IsCallerIdCharacter(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool HasKeyAndFunction(const action_secret& secret) {
  return !secret.key.empty() && secret.mac != nullptr;
}

error MissingSecretError() {
  return {error_code::kMissingField, "action_secret",
          "action identifiers cannot be verified without a key",
          "set the deployment's action key on every entry host"};
}

error NotMintedForCallerError() {
  return {error_code::kForbidden, "Foxtail-Action",
          "this identifier was not minted for your organisation",
          "take one from POST /v1/actions"};
}

result<action_id> ParseMinted(std::string_view text,
                              std::string_view organisation,
                              const action_secret& secret) {
  const std::string_view rest = text.substr(kMintedActionPrefix.size());
  if (text.size() > kMaxActionIdLength || rest.size() <= kMacTextLength) {
    return NotMintedForCallerError();
  }
  const std::string_view payload = rest.substr(0, rest.size() - kMacTextLength);
  const std::string expected = EncodedMac(organisation, payload, secret);
  if (!EqualInConstantTime(expected, rest.substr(payload.size()))) {
    return NotMintedForCallerError();
  }
  std::optional<minted_action> minted = DecodeOrigin(payload);
  if (!minted) {
    return NotMintedForCallerError();
  }
  return action_id{std::string(text), std::move(minted)};
}

}  // namespace

result<std::string> MintActionId(const action_origin& origin,
                                 const action_secret& secret) {
  if (!HasKeyAndFunction(secret)) {
    return MissingSecretError();
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
  text += EncodedMac(origin.organisation, payload, secret);
  return text;
}

result<action_id> ParseActionId(std::string_view text,
                                std::string_view organisation,
                                const action_secret& secret) {
  if (!HasKeyAndFunction(secret)) {
    return MissingSecretError();
  }
  if (text.starts_with(kMintedActionPrefix)) {
    return ParseMinted(text, organisation, secret);
  }
  const bool has_valid_length = text.size() >= kMinCallerActionIdLength &&
                                text.size() <= kMaxCallerActionIdLength;
  if (!has_valid_length || !std::ranges::all_of(text, IsCallerIdCharacter)) {
    return error{error_code::kMalformed, "Foxtail-Action",
                 "this is not an action identifier",
                 "take one from POST /v1/actions, or make one of 8 to 64 "
                 "letters, digits, '.', '_' or '-'"};
  }
  return action_id{std::string(text), std::nullopt};
}

}  // namespace foxtailspread
