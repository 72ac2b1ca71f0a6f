#include "foxtailspread/object_store.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/json_fields.h"

namespace foxtailspread {
namespace {

constexpr int64_t kMaxAnswerDelayMs = int64_t{1000} * 3600;  // 1 hour.

bool IsKeyCharacter(char c) {
  const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  return alphanumeric || c == '.' || c == '_' || c == '@' || c == '-';
}

bool HasValidSegments(std::string_view key) {
  char previous = '/';
  for (const char c : key) {
    const bool ends_segment = c == '/' && previous != '/';
    if (!ends_segment && !IsKeyCharacter(c)) {
      return false;
    }
    previous = c;
  }
  return previous != '/';
}

}  // namespace

status CheckObjectKey(std::string_view key) {
  if (key.size() > kMaxObjectKeyBytes || !HasValidSegments(key)) {
    return error{error_code::kMalformed, std::string{key.substr(0, 64)},
                 "this is not the key of an object",
                 "use words of a-z 0-9 . _ @ - with / between them"};
  }
  return OkStatus();
}

const stored_object* object_store::Get(std::string_view key) const {
  const auto found = objects_.find(key);
  const bool exists = found != objects_.end() && !found->second.deleted;
  return exists ? &found->second : nullptr;
}

result<write_outcome> object_store::Put(std::string_view key,
                                        std::string_view value,
                                        uint64_t expected) {
  const status valid = CheckObjectKey(key);
  if (!valid) {
    return valid.error();
  }
  if (value.size() > kMaxObjectValueBytes) {
    return error{error_code::kTooLarge, std::string{key},
                 "the value is over 1 MiB", "split it over several objects"};
  }
  if (!nlohmann::json::accept(value)) {
    return error{error_code::kMalformed, std::string{key},
                 "the value is not JSON", "send one JSON value"};
  }
  const stored_object* current = Get(key);
  const uint64_t revision =
      current == nullptr ? kNoRevision : current->revision;
  if (revision != expected) {
    return write_outcome{write_verdict::kConflict, revision};
  }
  return write_outcome{write_verdict::kWritten, Store(key, value, false)};
}

write_outcome object_store::Remove(std::string_view key, uint64_t expected) {
  const stored_object* current = Get(key);
  if (current == nullptr) {
    return {write_verdict::kNotFound, kNoRevision};
  }
  if (current->revision != expected) {
    return {write_verdict::kConflict, current->revision};
  }
  return {write_verdict::kWritten, Store(key, "", true)};
}

uint64_t object_store::Store(std::string_view key, std::string_view value,
                             bool deleted) {
  stored_object& object = objects_[std::string{key}];
  keys_by_revision_.erase(object.revision);
  object = {std::string{key}, ++revision_, std::string{value}, deleted};
  keys_by_revision_.emplace(revision_, object.key);
  return revision_;
}

std::vector<stored_object> object_store::Changes(uint64_t since) const {
  std::vector<stored_object> changes;
  for (auto next = keys_by_revision_.upper_bound(since);
       next != keys_by_revision_.end(); ++next) {
    changes.push_back(objects_.find(next->second)->second);
  }
  return changes;
}

watch_ticket watch_list::Add(uint64_t since, duration wait, time_point now) {
  const duration allowed = std::clamp(wait, duration{0}, kMaxWatchWait);
  watches_.emplace(++last_ticket_, watch{since, now + allowed});
  return last_ticket_;
}

std::vector<watch_ticket> watch_list::TakeDue(uint64_t revision,
                                              time_point now) {
  std::vector<watch_ticket> due_watches;
  std::erase_if(watches_, [&](const auto& entry) {
    const bool is_due =
        revision > entry.second.since || now >= entry.second.deadline;
    if (is_due) {
      due_watches.push_back(entry.first);
    }
    return is_due;
  });
  return due_watches;
}

time_point watch_list::NextTimeout() const {
  time_point next = time_point::max();
  for (const auto& [ticket, watch] : watches_) {
    next = std::min(next, watch.deadline);
  }
  return next;
}

token_bucket::token_bucket(double rate, time_point start)
    : calls_per_second_(rate), tokens_(rate), last_refill_time_(start) {}

bool token_bucket::TryTake(time_point now) {
  const std::chrono::duration<double> elapsed = now - last_refill_time_;
  last_refill_time_ = now;
  tokens_ = std::min(calls_per_second_,
                     tokens_ + elapsed.count() * calls_per_second_);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

call_meter::call_meter(double read_rate, double write_rate, time_point start)
    : read_limiter_(read_rate, start), write_limiter_(write_rate, start) {}

bool call_meter::Admit(call_kind kind, time_point now) {
  const bool is_read = kind == call_kind::kRead;
  if (!(is_read ? read_limiter_ : write_limiter_).TryTake(now)) {
    ++counts_.refused;
    return false;
  }
  ++(is_read ? counts_.reads : counts_.writes);
  return true;
}

void call_meter::RecountReadAsWatch() {
  --counts_.reads;
  ++counts_.watches;
}

result<listed_host> ParseListedHost(std::string_view name,
                                    std::string_view text) {
  const result<nlohmann::json> object = internal::ParseObject(text);
  if (!object) {
    return object.error();
  }
  listed_host host{.name = std::string{name}, .kind = {}, .zone = {}};
  internal::field_reader reader{object.value()};
  reader.Require("kind");
  reader.Require("zone");
  reader.Read("kind", host.kind);
  reader.Read("zone", host.zone);
  reader.Read("state", host.state);
  if (host.state != "live" && host.state != "leaving") {
    reader.Fail(error_code::kUnknownName, "state", "there is no such state",
                "use live or leaving");
  }
  if (reader.Error()) {
    return *reader.Error();
  }
  return host;
}

void host_list::Put(listed_host host, time_point now) {
  pending_.push_back({now + visibility_lag_, std::move(host)});
}

std::vector<listed_host> host_list::Visible(time_point now) {
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    listed_host& host = pending_.front().host;
    visible_.insert_or_assign(host.name, host);
    pending_.pop_front();
  }
  std::vector<listed_host> hosts;
  for (const auto& [name, host] : visible_) {
    hosts.push_back(host);
  }
  return hosts;
}

bool platform_faults::DropsCallsFrom(std::string_view zone) const {
  return down || std::find(drop_clients.begin(), drop_clients.end(), zone) !=
                     drop_clients.end();
}

bool platform_faults::ConsumeLostWriteAnswer() {
  if (lose_write_answers == 0) {
    return false;
  }
  --lose_write_answers;
  return true;
}

result<platform_faults> ParsePlatformFaults(std::string_view text,
                                            platform_faults faults) {
  const result<nlohmann::json> object = internal::ParseObject(text);
  if (!object) {
    return object.error();
  }
  internal::field_reader reader{object.value()};
  reader.Read("down", faults.down);
  reader.Read("slow_ms", 0, kMaxAnswerDelayMs, faults.slow_ms);
  reader.Read("lose_write_answers", 0, INT64_MAX, faults.lose_write_answers);
  reader.Read("drop_clients", faults.drop_clients);
  if (reader.Error()) {
    return *reader.Error();
  }
  return faults;
}

}  // namespace foxtailspread
