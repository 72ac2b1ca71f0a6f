#ifndef FOXTAILSPREAD_ACTION_ID_H_
#define FOXTAILSPREAD_ACTION_ID_H_

/// @file
/// Identifiers of at-most-once actions.
///
/// An identifier that the system minted contains its home range and the epoch
/// in which it was minted. A new steward of the range starts without any record
/// of earlier actions. The epoch lets it distinguish an action that cannot have
/// begun without its knowledge (minted in its own tenure) from one that may
/// have run under an earlier steward.
///
/// Identifiers chosen by callers are accepted too, with weaker guarantees: they
/// don't contain the time at which they were first sent.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// The prefix of all minted identifiers; caller-made ones must not have it.
inline constexpr std::string_view kMintedActionPrefix = "fa1.";
/// The maximum length of an identifier, minted or not, in characters.
inline constexpr size_t kMaxActionIdLength = 96;
/// The maximum length of a range name for which a minted identifier, whatever
/// its epoch and sequence number, has at most kMaxActionIdLength characters.
inline constexpr size_t kMaxActionRangeLength = 37;
inline constexpr size_t kMinCallerActionIdLength = 8;
inline constexpr size_t kMaxCallerActionIdLength = 64;

/// A 256-bit message authentication code.
using mac_digest = std::array<uint8_t, 32>;

/// Computes the HMAC-SHA-256 of `message`.
///
/// It is passed in so that the core library needs no cryptographic library; the
/// programs use `GlibMac` in src/net. XXH3 with a secret would not be secure: a
/// caller that sees identifiers could forge others.
using mac_function = mac_digest (*)(std::string_view key,
                                    std::string_view message);

/// The key and function that authenticate minted identifiers. They are the same
/// on all entry hosts of a deployment and are never sent to callers.
struct action_secret {
  std::string key;
  mac_function mac = nullptr;
};

/// The data that a minted identifier is bound to. The organisation is part of
/// the authentication code but not of the text, so the text doesn't reveal
/// which organisation it belongs to.
struct action_origin {
  std::string organisation;
  std::string range;   ///< Home range, 1 to kMaxActionRangeLength characters.
  uint64_t epoch = 0;  ///< The steward's epoch when it was minted.
  uint64_t sequence = 0;  ///< Unique within the range and epoch.
};

/// The data encoded in a minted identifier.
struct minted_action {
  std::string range;
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  bool operator==(const minted_action&) const = default;
};

/// An identifier that was validated for one organisation.
struct action_id {
  std::string text;                     ///< As the caller sent it.
  std::optional<minted_action> minted;  ///< Empty for a caller-made one.
};

/// Mints the identifier of `origin`. The text is URL-safe, has at most
/// kMaxActionIdLength characters and is the same for the same input. Fails with
/// kTooLarge if the range name is empty or longer than kMaxActionRangeLength,
/// and with kMissingField if the secret has no key or function.
///
/// @code
/// result<std::string> text = MintActionId(
///     {"vlahovic", "crews@trnje", tenure.epoch, table.ReserveSequences(1)},
///     secret);
/// @endcode
result<std::string> MintActionId(const action_origin& origin,
                                 const action_secret& secret);

/// Validates and parses an identifier that a caller of `organisation` sent.
///
/// Text that starts with kMintedActionPrefix but was not minted for this
/// organisation gives kForbidden. The error is the same for an invented
/// identifier and for one of another organisation, so that it doesn't reveal
/// whether the identifier exists. Text that is neither minted nor a valid
/// caller-made identifier gives kMalformed.
result<action_id> ParseActionId(std::string_view text,
                                std::string_view organisation,
                                const action_secret& secret);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_ID_H_
