#ifndef FOXTAILSPREAD_ROSTER_POLICY_H_
#define FOXTAILSPREAD_ROSTER_POLICY_H_

/// @file
/// How a range's roster is first made, repaired and reset. Pure functions
/// from what is known to the record that should be written; the platform's
/// conditional update decides between racing writers.
///
/// One member changes at a time, and authority needs a majority of the former
/// and the new roster until every remaining member knows the change. With one
/// change at a time any majority of the former roster contains a member that
/// stays; once all of those know, an outdated claim finds no majority.

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What the writer of a record knows of the zone's hosts.
struct roster_facts {
  member self;
  /// The hosts of the zone that may join a roster now, with their lives.
  std::vector<member> candidates;
  /// Returns the newest known life of a host, 0 if unknown.
  std::function<uint64_t(const std::string&)> latest_life;
  /// Returns whether the member has been silent for long or is leaving.
  std::function<bool(const member&)> gone;
  /// Every member of the record's order is known to have seen it.
  bool all_saw_record = false;
  /// A witness refuses this steward's epoch because it once claimed a higher
  /// one in vain; new epochs win it back.
  bool outranked = false;
};

/// Returns the first record of a range, or nullopt without candidates.
/// `offset` rotates the order, so that the ranges of a zone start out spread
/// over its hosts.
std::optional<range_record> FirstRecord(std::span<const member> candidates,
                                        size_t offset);

/// Returns the change of the roster that the acting steward should write, or
/// nullopt when the record is as it should be. The steward keeps its epoch
/// unless it is outranked.
std::optional<range_record> RepairedRecord(const range_record& record,
                                           const roster_facts& facts);

/// Returns the record that gives this member and the others new epochs. It is
/// due when the highest promised epoch belongs to a member that died before
/// it acted: the witnesses then refuse every epoch that is left.
std::optional<range_record> RenumberedRecord(const range_record& record,
                                             const roster_facts& facts);

/// Returns the record that replaces a roster whose majority is certainly
/// dead: restarted under the same name, or declared dead by an operator. No
/// one can act on the former roster any more; what its dead members promised
/// is waited out by whoever claims under the new record (`resets` grows).
std::optional<range_record> ResetRecord(const range_record& record,
                                        const roster_facts& facts);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ROSTER_POLICY_H_
