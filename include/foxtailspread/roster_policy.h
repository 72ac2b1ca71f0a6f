#ifndef FOXTAILSPREAD_ROSTER_POLICY_H_
#define FOXTAILSPREAD_ROSTER_POLICY_H_

/// @file
/// Creates, repairs and resets the roster of a range: the few hosts that may be
/// its steward. Pure functions compute the record to write from the known
/// facts; the platform's conditional update decides between concurrent writers.
///
/// One member changes at a time. Until every remaining member knows the change,
/// authority needs a majority of both the former and the new roster. As only
/// one member changes, any majority of the former roster contains a member that
/// remains; once all of those know the change, a claim under the former roster
/// finds no majority.

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What the writer of a record knows about the hosts of the zone.
struct roster_facts {
  member self;
  /// The hosts of the zone that may join a roster now, in their current run.
  std::vector<member> candidates;
  /// Returns the number (`member::life`) of the newest known run of a host, 0
  /// if unknown.
  std::function<uint64_t(const std::string&)> latest_life;
  /// Returns whether the member is leaving or has not been heard from for the
  /// peer timeout.
  std::function<bool(const member&)> is_unavailable;
  /// Every member of the record's roster is known to have seen the record.
  bool all_saw_record = false;
  /// A member refuses its promise for this steward's epoch because it has
  /// promised a higher one. Only a record with new epochs regains its promise.
  bool outranked = false;
};

/// Returns the initial record of a range, or nullopt without candidates.
/// `offset` rotates the candidates, so that the ranges of a zone are initially
/// spread over its hosts.
std::optional<range_record> InitialRecord(std::span<const member> candidates,
                                          size_t offset);

/// Returns the record with the next change of the roster that the acting
/// steward should write, or nullopt if no change is due. The steward keeps its
/// epoch unless it is outranked.
std::optional<range_record> RepairedRecord(const range_record& record,
                                           const roster_facts& facts);

/// Returns the record that gives this member, moved to the front, and all
/// others new epochs. It is needed when the highest promised epoch belongs to a
/// member that died before it acted: the other members then refuse all epochs
/// that remain. Returns nullopt if this host is not a member.
std::optional<range_record> RenumberedRecord(const range_record& record,
                                             const roster_facts& facts);

/// Returns the record that replaces a roster whose majority is certainly dead:
/// restarted under the same name, or declared dead by an operator. The former
/// roster can no longer give authority to anyone. Because `reset_count` grows,
/// a host that claims under the new record first waits until promises of the
/// dead members have expired. Returns nullopt if no majority is dead.
std::optional<range_record> ResetRecord(const range_record& record,
                                        const roster_facts& facts);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ROSTER_POLICY_H_
