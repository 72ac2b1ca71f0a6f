#ifndef FOXTAILSPREAD_CORE_CONFIG_CHECK_H_
#define FOXTAILSPREAD_CORE_CONFIG_CHECK_H_

/// @file
/// The checks that concern more than one field of a configuration.

#include "foxtailspread/config.h"

namespace foxtailspread {

/// Checks names, uniqueness and references of a configuration whose fields
/// were each read without error.
status CheckReferences(const deployment_config& config);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_CONFIG_CHECK_H_
