#include "foxtailspread/target_messages.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "core/json_fields.h"

namespace foxtailspread {
namespace {

constexpr double kMaxSlowFactor = 1e6;
constexpr int64_t kMaxWorkMilliseconds = int64_t{1000} * 3600 * 24;

std::set<int> ReadBuckets(const nlohmann::json& array,
                          internal::field_reader& reader) {
  std::set<int> buckets;
  const bool fits = array.is_array() && array.size() <= kMaxBuckets;
  for (const nlohmann::json& entry : fits ? array : nlohmann::json::array()) {
    const bool valid = entry.is_number_unsigned() &&
                       entry.get<uint64_t>() < uint64_t{kMaxBuckets};
    if (!valid) {
      reader.Fail(error_code::kOutOfRange, "buckets",
                  "an entry is not the number of a bucket",
                  "use whole numbers from 0 on");
      return {};
    }
    buckets.insert(entry.get<int>());
  }
  if (!fits) {
    reader.Fail(error_code::kMalformed, "buckets", "this is not a short list",
                "use a list of bucket numbers");
  }
  return buckets;
}

}  // namespace

result<target_faults> ParseTargetFaults(std::string_view text,
                                        target_faults faults) {
  const result<nlohmann::json> object = internal::ParseObject(text);
  if (!object) {
    return object.error();
  }
  internal::field_reader reader{object.value()};
  reader.Read("shed", faults.shed);
  reader.Read("drain", faults.drain);
  reader.Read("lie_healthy", faults.lie_healthy);
  reader.Read("lie_load", -1, INT64_MAX, faults.lie_load);
  reader.Read("truncate_answers", 0, INT64_MAX, faults.truncate_answers);
  reader.Read("slow_factor", 0.0, kMaxSlowFactor, faults.slow_factor);
  reader.Read("poison", faults.poison);
  reader.Read("cold_ms", 0, kMaxWorkMilliseconds, faults.cold_ms);
  reader.Read("freeze_ms", 0, kMaxWorkMilliseconds, faults.freeze_ms);
  if (reader.Error()) {
    return *reader.Error();
  }
  return faults;
}

result<target_grant> ParseTargetGrant(std::string_view text) {
  const result<nlohmann::json> object = internal::ParseObject(text);
  if (!object) {
    return object.error();
  }
  target_grant grant;
  int64_t echo = 0;
  int64_t lease = 0;
  internal::field_reader reader{object.value()};
  reader.Require("range");
  reader.Require("epoch");
  reader.Require("seq");
  reader.Read("range", grant.range);
  reader.Read("epoch", grant.epoch);
  reader.Read("seq", grant.seq);
  reader.Read("echo_us", 0, INT64_MAX, echo);
  reader.Read("lease_us", 0, kMaxLease.count(), lease);
  if (reader.Has("buckets")) {
    grant.buckets = ReadBuckets(object.value()["buckets"], reader);
  }
  if (reader.Error()) {
    return *reader.Error();
  }
  grant.echo = duration{echo};
  grant.lease = duration{lease};
  return grant;
}

namespace {

// Reads a whole number; anything before or behind it is an error.
template <typename Number>
result<Number> ParseNumber(std::string_view name, std::string_view text,
                           Number least, Number most) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  const bool whole = failure == std::errc{} && stop == end;
  if (!whole || number < least || number > most) {
    return error{error_code::kOutOfRange, std::string{name},
                 "the header is not a number in range",
                 "use a whole number from " + std::to_string(least) + " to " +
                     std::to_string(most)};
  }
  return number;
}

result<std::optional<duration>> ParseMilliseconds(
    std::string_view name, const std::optional<std::string_view>& text) {
  if (!text) {
    return std::optional<duration>{};
  }
  const auto number = ParseNumber<int64_t>(name, *text, -kMaxWorkMilliseconds,
                                           kMaxWorkMilliseconds);
  if (!number) {
    return number.error();
  }
  return std::optional<duration>{std::chrono::milliseconds{number.value()}};
}

}  // namespace

result<target_request> ParseTargetRequest(const target_headers& headers,
                                          std::string_view body) {
  target_request request;
  request.attempt = headers.attempt.value_or("");
  request.key = headers.key.value_or("");
  request.range = headers.range.value_or("");
  request.body = body;
  const auto epoch = ParseNumber<uint64_t>(
      "Foxtail-Epoch", headers.epoch.value_or("0"), 0, UINT64_MAX);
  if (!epoch) {
    return epoch.error();
  }
  request.epoch = epoch.value();
  const auto bucket = ParseNumber<int>(
      "Foxtail-Bucket", headers.bucket.value_or("-1"), -1, kMaxBuckets - 1);
  if (!bucket) {
    return bucket.error();
  }
  request.bucket = bucket.value();
  const auto deadline =
      ParseMilliseconds("Foxtail-Deadline-Ms", headers.deadline_ms);
  if (!deadline) {
    return deadline.error();
  }
  request.deadline = deadline.value();
  if (headers.deadline_clock_us) {
    const auto clock = ParseNumber<int64_t>(
        "Foxtail-Deadline-Clock-Us", *headers.deadline_clock_us, 0, INT64_MAX);
    if (!clock) {
      return clock.error();
    }
    request.clock_deadline = time_point{duration{clock.value()}};
  }
  const auto work = ParseMilliseconds("X-Work-Ms", headers.work_ms);
  if (!work) {
    return work.error();
  }
  request.work_time = work.value();
  if (request.work_time) {
    request.work_time = std::max(*request.work_time, duration{0});
  }
  return request;
}

}  // namespace foxtailspread
