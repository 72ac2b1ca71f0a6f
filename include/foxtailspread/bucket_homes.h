#ifndef FOXTAILSPREAD_BUCKET_HOMES_H_
#define FOXTAILSPREAD_BUCKET_HOMES_H_

/// @file
/// Which availability zone each bucket of a keyed service is homed in.

#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/config.h"

namespace foxtailspread {

/// Returns the home zone of every bucket, in proportion to the number of the
/// service's targets in each zone. Every host computes the same from the same
/// configuration, so that no host has to be asked; a change of the targets
/// moves few buckets. Empty if the service has no targets.
std::vector<std::string> HomeZones(const service_config& service);

/// Returns the buckets homed in `zone` in ascending order.
std::vector<int> BucketsOfZone(const service_config& service,
                               std::string_view zone);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BUCKET_HOMES_H_
