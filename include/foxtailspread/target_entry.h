#ifndef FOXTAILSPREAD_TARGET_ENTRY_H_
#define FOXTAILSPREAD_TARGET_ENTRY_H_

/// @file
/// What a target says of itself in the store.

#include <cstdint>
#include <span>
#include <string>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One target of one service.
struct target_entry {
  target_life life;
  std::string service;
  std::string address;  ///< "IP:port".
  std::string zone;
  int slots = 1;          ///< Requests that it works on at once.
  bool draining = false;  ///< It gets no new work.
  duration warm_up{};     ///< How much longer it is cold after its start.
  uint64_t sequence = 0;  ///< Grows with each report of one life.

  bool operator==(const target_entry&) const = default;
};

/// Returns a digest of what hosts go by: not of the sequence, which changes
/// all the time, nor of how much of a warm-up is left. The same on every host,
/// and the sum of the digests of each entry by itself.
uint64_t DigestOf(std::span<const target_entry> targets);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_ENTRY_H_
