#ifndef FOXTAILSPREAD_CTL_HOST_VIEWS_H_
#define FOXTAILSPREAD_CTL_HOST_VIEWS_H_

/// @file
/// What entry hosts say of themselves, arranged for people.

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace foxtailspread {

/// Keeps the ranges of `service` in a host's /admin/ownership, and adds the
/// names of all services in it to `met`.
void KeepService(nlohmann::json& ownership, std::string_view service,
                 std::set<std::string>& met);

/// Returns two tables: the ranges with their order of succession, and the
/// targets with the buckets that they own.
std::string OwnershipTables(const nlohmann::json& ownership);

/// Returns "0-3,8" for the buckets 0, 1, 2, 3 and 8.
std::string BucketList(const nlohmann::json& buckets);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_HOST_VIEWS_H_
