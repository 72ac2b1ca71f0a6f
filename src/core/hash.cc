#include "foxtailspread/hash.h"

#include <xxhash.h>

namespace foxtailspread {

uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t HashParts(std::initializer_list<std::string_view> parts,
                   uint64_t number) {
  uint64_t hash = number;
  for (const std::string_view part : parts) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return hash;
}

}  // namespace foxtailspread
