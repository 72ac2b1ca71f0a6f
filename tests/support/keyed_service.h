#ifndef FOXTAILSPREAD_TESTS_SUPPORT_KEYED_SERVICE_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_KEYED_SERVICE_H_

/// @file
/// Settings of a keyed service, whose targets own keys exclusively, for tests.

#include <string>
#include <utility>

#include "foxtailspread/routing_config.h"

namespace foxtailspread::testing {

inline service_settings KeyedService(std::string name) {
  service_settings service;
  service.name = std::move(name);
  service.keyed = true;
  return service;
}

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_KEYED_SERVICE_H_
