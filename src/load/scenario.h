#ifndef FOXTAILSPREAD_SRC_LOAD_SCENARIO_H_
#define FOXTAILSPREAD_SRC_LOAD_SCENARIO_H_

/// @file
/// The description of one load run, read from JSON with comments.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// An organisation and the token that its callers send.
struct load_organisation {
  std::string name;
  std::string token;
};

/// A target whose log of runs the check reads after the run.
struct load_target {
  std::string name;
  std::string address;  ///< "IP:port".
  std::string service;  ///< Counts for this service's imbalance.
};

/// A stretch of the run with another rate.
struct load_phase {
  duration from{};
  duration until{};
  double rate_factor = 1.0;
};

/// A request that crashes the targets that run it.
struct load_poison {
  std::string text;  ///< Put into the body; empty for none.
  duration at{};     ///< When the one request is sent.
};

/// One organisation's requests to one service.
struct load_stream {
  std::string organisation;
  std::string service;
  double rate = 10;  ///< Requests a second, before phases.
  int keys = 1000;
  std::string key_prefix = "key-";
  double zipf = 0;   ///< Skew; 0 makes all keys equally likely.
  int hot_keys = 0;  ///< Keys that share `hot_part` of the requests.
  double hot_part = 0;
  duration hot_move{};  ///< Other keys become the hot ones; 0 for never.
  double urgent = 0;    ///< Part sent as urgent.
  double archive = 0;   ///< Part sent as archive.
  duration deadline{std::chrono::seconds{2}};
  bool at_most_once = false;
  bool caller_made_actions = false;  ///< Instead of minted identifiers.
  duration work{};  ///< Asks the stand-in to take so long; 0 for its own.
  duration objective{std::chrono::milliseconds{8}};
  double objective_target = 0.99;
  load_poison poison;
};

/// How callers react to anything but an answer.
struct load_retries {
  int resends = 2;  ///< After a failure or `not run` or `unknown`.
  duration wait{std::chrono::milliseconds{100}};
  bool honour_retry_after = true;
  duration timeout_slack{std::chrono::milliseconds{500}};  ///< Past deadline.
};

/// One load run.
struct load_scenario {
  uint64_t seed = 1;
  duration length{std::chrono::seconds{10}};
  int max_in_flight = 20'000;  ///< Arrivals beyond it are dropped and counted.
  std::vector<std::string> entry_hosts;  ///< "IP:port" each.
  std::vector<load_organisation> organisations;
  std::vector<load_target> targets;
  std::vector<load_stream> streams;
  std::vector<load_phase> phases;
  load_retries retries;

  /// Returns the organisation of that name, which must be in the scenario.
  const load_organisation& Organisation(std::string_view name) const;
  /// Returns the product of the factors of the phases that hold at `since`.
  double RateFactor(duration since) const;
};

/// Parses and checks a scenario. Errors name the path and the remedy.
result<load_scenario> ParseScenario(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_LOAD_SCENARIO_H_
