#ifndef FOXTAILSPREAD_CORE_TRACE_JSON_H_
#define FOXTAILSPREAD_CORE_TRACE_JSON_H_

/// @file
/// How the values of a trace are written in JSON.

#include <nlohmann/json.hpp>

#include "foxtailspread/entry_host.h"
#include "json_values.h"

namespace foxtailspread {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member, host, life)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(key_owner, key_hash, target)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(range_map, epoch, seq, buckets, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(promise_request, range, epoch, revision,
                                   to_life, asked_at_us, released_by,
                                   released_epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(promise_answer, range, epoch, revision,
                                   asked_at_us, verdict)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(range_release, range, epoch, actions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(range_map_notice, range, map)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(watch_beacon, zone, watcher, seq, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(poison_mark, content_hash, crashes, age)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_change, key, revision, deleted, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_batch, since, revision, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_message, from, revision, asks, answers,
                                   releases, changes, wants_changes, maps,
                                   poison, beacons, leaving, probe)

inline void to_json(nlohmann::json& value, const tick_event&) {
  value = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, tick_event&) {}
inline void to_json(nlohmann::json& value, const leave_requested&) {
  value = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, leave_requested&) {}
inline void to_json(nlohmann::json& value, const stop_action&) {
  value = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, stop_action&) {}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_request, request_id, token_digest,
                                   service, key, urgency, deadline_us, action,
                                   body_hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forwarded_request, request_id, from,
                                   organisation, range, service, key, level,
                                   deadline_us, action, body_hash, mint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_gone, request_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(mint_request, request_id, token_digest,
                                   service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_ended, attempt_id, end, status, body,
                                   content_type)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_ended, forward_id, end, status,
                                   outcome, retry_after_us, next_action)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_ended, range, target, seq, end,
                                   clock_us, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_received, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_ended, call_id, end, object,
                                   changes, leaving)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_action, request_id, outcome, status,
                                   code, reason, remedy, retry_after_us,
                                   next_action, target, source, body_id, body,
                                   content_type)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_action, request_id, attempt_id,
                                   target, address, range, epoch, bucket, key,
                                   not_after_us, time_left_us,
                                   target_clock_deadline_us, keep_body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_attempt_action, attempt_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_action, request_id, forward_id, host,
                                   address, organisation, range, service, key,
                                   level, time_left_us, action, mint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_forward_action, forward_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_action, range, target, address, epoch,
                                   seq, echo_us, lease_us, buckets,
                                   not_after_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_action, host, address, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_action, call_id, kind, key,
                                   if_revision, value, since, wait_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_action, event, fields)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(host_entry, name, zone, http, peer, life,
                                   leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(authority_timing, promise, renew, retry,
                                   stagger)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(lease_timing, lease, renew, answer_wait)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_timing, watch_wait, beacon_silence,
                                   rank_stagger, list_period, retry_first,
                                   retry_most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(decision_timing, authority, lease, sync,
                                   hello, peer_silence, first_record_wait,
                                   rank_stagger, map_record, map_notice,
                                   ready_lag, drain_limit, route_patience,
                                   route_retry)

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_TRACE_JSON_H_
