#ifndef FOXTAILSPREAD_NEAREST_NAME_H_
#define FOXTAILSPREAD_NEAREST_NAME_H_

/// @file
/// Finds the known name that a mistyped one was probably meant to be.

#include <span>
#include <string>
#include <string_view>

namespace foxtailspread {

/// Returns the entry of `known` with the fewest edits to `name`, else one that
/// extends it or is extended by it, or "" if none is likely to be meant. The
/// view refers to `known`.
///
/// @code
/// NearestName("slotz", known);  // "slots"
/// @endcode
std::string_view NearestName(std::string_view name,
                             std::span<const std::string> known);

/// Returns the remedy for an unknown name: `did you mean "slots"?`, or a list
/// of what may be used when nothing is near.
std::string KnownNameRemedy(std::string_view name,
                            std::span<const std::string> known);

/// Returns `text` with control characters replaced and cut to a length that
/// fits a message. Keeps foreign input from garbling a terminal or a log.
std::string Printable(std::string_view text);

/// Returns Printable(text) in double quotes.
std::string Quoted(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NEAREST_NAME_H_
