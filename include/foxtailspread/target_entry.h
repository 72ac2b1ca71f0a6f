#ifndef FOXTAILSPREAD_TARGET_ENTRY_H_
#define FOXTAILSPREAD_TARGET_ENTRY_H_

/// @file
/// The record by which a target announces itself in the store.

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
  int slots = 1;                   ///< Requests that it runs concurrently.
  bool draining = false;           ///< It gets no new requests.
  duration remaining_cold_time{};  ///< How much longer it is cold.
  uint64_t sequence = 0;           ///< Increases with each report of one life.

  bool operator==(const target_entry&) const = default;
};

/// Returns a digest of the fields that hosts use for routing. It excludes the
/// sequence, which changes with each report, and the remaining cold time except
/// whether it is 0. All hosts compute the same digest for the same entries. The
/// digest of several entries is the sum of the digests of each entry.
uint64_t DigestOf(std::span<const target_entry> targets);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_ENTRY_H_
