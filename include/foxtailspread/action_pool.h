#ifndef FOXTAILSPREAD_ACTION_POOL_H_
#define FOXTAILSPREAD_ACTION_POOL_H_

/// @file
/// Action identifiers that an entry host holds ready for callers.
///
/// An identifier's home range decides where its action runs. If callers got
/// their next identifier from the range that served the last one, each would
/// stay with one range, and the targets of a service would differ in load as
/// chance had it at the start. The pool hands ranges out in turn, in
/// proportion to their targets.

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
  /// Identifiers asked for at once.
  static constexpr int kBatch = 16;
  /// More of one range are not kept.
  static constexpr size_t kMostKept = 64;

  /// Returns the range of which the next identifier of the service should be:
  /// each target's zone in turn.
  std::string NextRange(const service_config& service);

  /// Keeps an identifier that was minted for the organisation.
  void Keep(std::string_view organisation, std::string_view range,
            std::string id);

  /// Takes an identifier out, or nothing if there is none.
  std::optional<std::string> Take(std::string_view organisation,
                                  std::string_view range);

  /// Forgets those of a range, whose steward changed.
  void Forget(std::string_view range);

 private:
  using holder = std::pair<std::string, std::string>;  // organisation, range

  std::map<holder, std::deque<std::string>> kept_;
  std::map<std::string, size_t, std::less<>> turns_;  // by service
};

/// Splits the identifiers of one minting, separated by commas.
std::vector<std::string> SplitActions(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_POOL_H_
