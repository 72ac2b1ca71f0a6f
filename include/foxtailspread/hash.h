#ifndef FOXTAILSPREAD_HASH_H_
#define FOXTAILSPREAD_HASH_H_

/// @file
/// Hashes that are the same on every host and in every release: they decide
/// the bucket of a key. Not cryptographic.

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace foxtailspread {

/// Returns the XXH3 64-bit hash of `text`.
uint64_t HashText(std::string_view text);

/// Returns a hash of several texts and a number that keeps their boundaries
/// apart: ("a", "bc") and ("ab", "c") differ.
uint64_t HashParts(std::initializer_list<std::string_view> parts,
                   uint64_t number);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HASH_H_
