#ifndef FOXTAILSPREAD_ACTION_POOL_H_
#define FOXTAILSPREAD_ACTION_POOL_H_

/// @file
/// A pool of minted action identifiers that an entry host keeps for callers.
///
/// The home range of an identifier decides where its action runs. If callers
/// got their next identifier from the range that served the previous one, each
/// caller would stay with one range, and an initial imbalance between the
/// targets of a service would persist. The pool therefore selects ranges
/// round-robin, in proportion to their numbers of targets.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/action_id.h"
#include "foxtailspread/config.h"

namespace foxtailspread {

/// Minted identifiers by organisation, service and home range.
class action_pool {
 public:
  /// Number of identifiers that one mint request asks for.
  static constexpr int kMintBatchSize = 16;
  /// Maximum number of identifiers kept for one organisation and range.
  static constexpr size_t kMaxIdsPerRange = 64;

  /// Returns the range for the next identifier of the service: the zones of the
  /// service's targets in turn.
  std::string NextRange(const service_config& service);

  /// Adds an identifier that was minted for the organisation. Drops it if
  /// kMaxIdsPerRange are kept already.
  void AddId(std::string_view organisation, std::string_view range,
             std::string id);

  /// Removes and returns an identifier, or nothing if there is none.
  std::optional<std::string> TakeId(std::string_view organisation,
                                    std::string_view range);

  /// Removes all identifiers of a range; called when its steward changed.
  void RemoveRange(std::string_view range);

 private:
  using pool_key = std::pair<std::string, std::string>;  // organisation, range

  std::map<pool_key, std::deque<std::string>> ids_;
  std::map<std::string, size_t, std::less<>>
      next_target_index_;  // index of the next target, by service
};

/// Splits the comma-separated identifiers in the reply to a mint request.
std::vector<std::string> SplitActionIds(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_POOL_H_
