#ifndef FOXTAILSPREAD_BUCKET_HOMES_H_
#define FOXTAILSPREAD_BUCKET_HOMES_H_

/// @file
/// Assigns each bucket of a keyed service to a home availability zone.

#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/config.h"

namespace foxtailspread {

/// Returns the home zone of every bucket. Zones get buckets in proportion to
/// the number of the service's targets in them. All hosts compute the same
/// result from the same configuration, without communication; a change of the
/// targets moves few buckets. Empty if the service has no targets.
std::vector<std::string> HomeZones(const service_config& service);

/// Returns the buckets whose home is `zone`, in ascending order.
std::vector<int> BucketsOfZone(const service_config& service,
                               std::string_view zone);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BUCKET_HOMES_H_
