#ifndef FOXTAILSPREAD_ERROR_H_
#define FOXTAILSPREAD_ERROR_H_

/// @file
/// Typed errors whose messages name the remedy, and the result type.

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace foxtailspread {

/// The kinds of error that callers of the library can act on.
enum class error_code {
  kMalformed,        ///< The text is not JSON or not of the expected shape.
  kUnknownField,     ///< A field that the format does not define.
  kMissingField,     ///< A required field is absent.
  kOutOfRange,       ///< A value outside its permitted range.
  kUnknownName,      ///< A reference to a name that is not defined.
  kDuplicateName,    ///< Two entries carry the same name.
  kNewerFormat,      ///< The document was written by a newer release.
  kConflict,         ///< A conditional update lost against another writer.
  kUnavailable,      ///< The other side cannot be reached at present.
  kUnauthenticated,  ///< The credential is missing or not known.
  kForbidden,        ///< The organisation may not use this.
  kTooLarge,         ///< The input exceeds a stated limit.
  kExpired,          ///< A lease, deadline or identifier has run out.
  kStale,            ///< The sender works with an outdated epoch or version.
};

/// Returns the stable lower-case name of `code`, as used in answers and logs.
std::string_view ToString(error_code code);

/// One error: what went wrong, where, and what to do about it.
struct error {
  error_code code = error_code::kMalformed;
  std::string path;    ///< The field or object concerned, "" if none.
  std::string reason;  ///< What is wrong, one clause.
  std::string remedy;  ///< What to do next, one clause.

  /// Returns "path: reason; remedy" in one line.
  std::string Message() const;
};

/// Either a value or an error. Reading the value of a failed result throws.
///
/// @code
/// result<duration> parsed = ParseDuration("250ms");
/// if (!parsed) return parsed.error();
/// @endcode
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, error>;

/// The result of an operation that has no value to return.
using status = result<void>;

/// Returns the successful status.
inline status OkStatus() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ERROR_H_
