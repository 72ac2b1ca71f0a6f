#ifndef FOXTAILSPREAD_TESTS_CONFIG_SAMPLES_H_
#define FOXTAILSPREAD_TESTS_CONFIG_SAMPLES_H_

/// @file
/// A small valid configuration that tests change where they need to.

#include <string>

#include "foxtailspread/config.h"

namespace foxtailspread {

/// Returns a configuration of one zone, two services and two organisations
/// that passes every check.
inline deployment_config SampleConfig() {
  deployment_config config;
  config.deployment = "sample";
  config.zones = {"north", "south"};
  service_config history;
  history.name = "history";
  history.placement = placement_kind::kKeyed;
  history.targets = {{"history-1", "127.0.0.1:21000", "north"},
                     {"history-2", "127.0.0.1:21001", "south"}};
  service_config signing;
  signing.name = "signing";
  signing.at_most_once = true;
  signing.targets = {{"signing-1", "127.0.0.1:21002", "north"}};
  config.services = {history, signing};
  config.organisations = {
      {"field", {std::string(64, 'a')}, {"history"}},
      {"office", {std::string(64, 'b')}, {"history", "signing"}}};
  config.rules = {{"field", "*", 2.0, 100, urgency::kUrgent},
                  {"office", "signing", 1.0, 50, urgency::kOrdinary}};
  config.presets = {{"everyday"}, {"peak", false, 0.0, 0.05, false}};
  config.preset = "everyday";
  config.preset_by = "ana";
  config.preset_why = "start";
  config.preset_at = "2026-12-02T08:00:00Z";
  return config;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_CONFIG_SAMPLES_H_
