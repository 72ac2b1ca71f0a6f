#ifndef FOXTAILSPREAD_ACTION_ID_H_
#define FOXTAILSPREAD_ACTION_ID_H_

/// @file
/// Identifiers of at-most-once actions.
///
/// An identifier that the system minted names its home range and the epoch in
/// which it was minted. A new steward starts with an empty memory; the epoch
/// lets it tell an action that cannot have begun yet (minted in its own
/// tenure) from one of which nobody can say any more whether it ran.
///
/// Identifiers made by callers are accepted as a weaker form: nothing in them
/// says when they were first sent.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Every minted identifier starts with this and no caller-made one may.
inline constexpr std::string_view kMintedActionPrefix = "fa1.";
/// The longest identifier, minted or not.
inline constexpr size_t kMaxActionIdLength = 96;
/// The longest range name that always fits into a minted identifier.
inline constexpr size_t kMaxActionRangeLength = 37;
inline constexpr size_t kMinCallerActionLength = 8;
inline constexpr size_t kMaxCallerActionLength = 64;

/// A 256-bit keyed hash.
using mac_digest = std::array<uint8_t, 32>;

/// Computes a cryptographic keyed hash (HMAC-SHA-256) of `message`.
///
/// It is handed in so that the decision library needs no cryptographic
/// library; `GlibMac` in src/net is the one that the programs use. XXH3 with a
/// secret would not do: a caller who sees identifiers could forge others.
using mac_function = mac_digest (*)(std::string_view key,
                                    std::string_view message);

/// What authenticates minted identifiers; the same on all entry hosts of one
/// deployment, and never sent to callers.
struct action_secret {
  std::string key;
  mac_function mac = nullptr;
};

/// What a minted identifier is bound to. The organisation is part of the keyed
/// hash but not of the text, so the text tells nobody whose it is.
struct action_origin {
  std::string organisation;
  std::string range;      ///< The home range, 1 to kMaxActionRangeLength.
  uint64_t epoch = 0;     ///< The steward's epoch when it was minted.
  uint64_t sequence = 0;  ///< Unique within the range and epoch.
};

/// The part of an identifier that only minted ones have.
struct minted_action {
  std::string range;
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  bool operator==(const minted_action&) const = default;
};

/// A checked identifier of the organisation it was parsed for.
struct action_id {
  std::string text;                     ///< As the caller sent it.
  std::optional<minted_action> minted;  ///< Empty for a caller-made one.
};

/// Mints the identifier of `origin`: URL-safe, at most kMaxActionIdLength
/// characters, equal for equal input. A range name that is empty or longer
/// than kMaxActionRangeLength is kTooLarge, a secret without key or function
/// kMissingField.
///
/// @code
/// result<std::string> text = MintActionId(
///     {"vlahovic", "crews@trnje", tenure.epoch, table.Reserve(1)}, secret);
/// @endcode
result<std::string> MintActionId(const action_origin& origin,
                                 const action_secret& secret);

/// Checks an identifier that a caller of `organisation` sent.
///
/// One that starts with kMintedActionPrefix but was not minted for this
/// organisation is kForbidden, whether it was made up or belongs to another
/// organisation: the answer is the same, so nothing of the other is revealed.
/// Text that is neither minted nor a valid caller-made identifier is
/// kMalformed.
result<action_id> ParseActionId(std::string_view text,
                                std::string_view organisation,
                                const action_secret& secret);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_ID_H_
