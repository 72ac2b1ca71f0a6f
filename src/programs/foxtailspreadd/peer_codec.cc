#include "peer_codec.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr uint32_t kLastVerdict =
    static_cast<uint32_t>(promise_verdict::kOtherLife);

void EncodeAsk(const promise_request& ask, proto::PromiseAsk& wire) {
  wire.set_range(ask.range);
  wire.set_epoch(ask.epoch);
  wire.set_revision(ask.revision);
  wire.set_to_life(ask.to_life);
  wire.set_asked_at_us(ask.asked_at_us);
  wire.set_released_by(ask.released_by.host);
  wire.set_released_by_life(ask.released_by.life);
  wire.set_released_epoch(ask.released_epoch);
}

promise_request DecodeAsk(const proto::PromiseAsk& wire) {
  promise_request ask;
  ask.range = wire.range();
  ask.epoch = wire.epoch();
  ask.revision = wire.revision();
  ask.to_life = wire.to_life();
  ask.asked_at_us = wire.asked_at_us();
  ask.released_by = member{wire.released_by(), wire.released_by_life()};
  ask.released_epoch = wire.released_epoch();
  return ask;
}

void EncodeAnswer(const promise_answer& answer, proto::PromiseAnswer& wire) {
  wire.set_range(answer.range);
  wire.set_epoch(answer.epoch);
  wire.set_revision(answer.revision);
  wire.set_asked_at_us(answer.asked_at_us);
  wire.set_verdict(static_cast<uint32_t>(answer.verdict));
}

promise_answer DecodeAnswer(const proto::PromiseAnswer& wire) {
  promise_answer answer;
  answer.range = wire.range();
  answer.epoch = wire.epoch();
  answer.revision = wire.revision();
  answer.asked_at_us = wire.asked_at_us();
  // A verdict that this release does not know grants nothing.
  answer.verdict = wire.verdict() > kLastVerdict
                       ? promise_verdict::kHeldByOther
                       : static_cast<promise_verdict>(wire.verdict());
  return answer;
}

void EncodeMap(const range_map_notice& notice, proto::RangeMap& wire) {
  wire.set_range(notice.range);
  wire.set_epoch(notice.map.epoch);
  wire.set_seq(notice.map.seq);
  for (const auto& [target, buckets] : notice.map.buckets) {
    proto::TargetBuckets& entry = *wire.add_targets();
    entry.set_target(target);
    entry.mutable_buckets()->Add(buckets.begin(), buckets.end());
  }
  for (const key_owner& key : notice.map.keys) {
    proto::KeyOwner& entry = *wire.add_keys();
    entry.set_key_hash(key.key_hash);
    entry.set_target(key.target);
  }
}

range_map_notice DecodeMap(const proto::RangeMap& wire) {
  range_map_notice notice;
  notice.range = wire.range();
  notice.map.epoch = wire.epoch();
  notice.map.seq = wire.seq();
  for (const proto::TargetBuckets& entry : wire.targets()) {
    notice.map.buckets[entry.target()] =
        std::vector<int>(entry.buckets().begin(), entry.buckets().end());
  }
  for (const proto::KeyOwner& entry : wire.keys()) {
    notice.map.keys.push_back(key_owner{entry.key_hash(), entry.target()});
  }
  return notice;
}

void EncodeChanges(const change_batch& batch, proto::ChangeBatch& wire) {
  wire.set_since(batch.since);
  wire.set_revision(batch.revision);
  for (const object_change& change : batch.changes) {
    proto::ObjectChange& entry = *wire.add_changes();
    entry.set_key(change.key);
    entry.set_revision(change.revision);
    entry.set_deleted(change.deleted);
    entry.set_value(change.value);
  }
}

change_batch DecodeChanges(const proto::ChangeBatch& wire) {
  change_batch batch;
  batch.since = wire.since();
  batch.revision = wire.revision();
  for (const proto::ObjectChange& entry : wire.changes()) {
    batch.changes.push_back(object_change{entry.key(), entry.revision(),
                                          entry.deleted(), entry.value()});
  }
  return batch;
}

}  // namespace

proto::PeerMessage Encode(const peer_message& message,
                          std::string_view secret) {
  proto::PeerMessage wire;
  wire.set_from(message.from.host);
  wire.set_life(message.from.life);
  wire.set_secret(std::string(secret));
  wire.set_revision(message.revision);
  wire.set_wants_changes(message.wants_changes);
  wire.set_leaving(message.leaving);
  wire.set_probe(message.probe);
  for (const promise_request& ask : message.asks) {
    EncodeAsk(ask, *wire.add_asks());
  }
  for (const promise_answer& answer : message.answers) {
    EncodeAnswer(answer, *wire.add_answers());
  }
  for (const range_release& release : message.releases) {
    proto::Release& entry = *wire.add_releases();
    entry.set_range(release.range);
    entry.set_epoch(release.epoch);
    entry.set_actions(release.actions);
  }
  if (message.changes) {
    EncodeChanges(*message.changes, *wire.mutable_changes());
  }
  for (const range_map_notice& notice : message.maps) {
    EncodeMap(notice, *wire.add_maps());
  }
  for (const poison_mark& mark : message.poison) {
    proto::PoisonMark& entry = *wire.add_poison();
    entry.set_content_hash(mark.content_hash);
    entry.set_crashes(static_cast<uint32_t>(mark.crashes));
    entry.set_age_us(mark.age.count());
  }
  for (const watch_beacon& beacon : message.beacons) {
    proto::Beacon& entry = *wire.add_beacons();
    entry.set_zone(beacon.zone);
    entry.set_watcher(beacon.watcher);
    entry.set_seq(beacon.seq);
    entry.mutable_leaving()->Add(beacon.leaving.begin(), beacon.leaving.end());
  }
  return wire;
}

peer_message Decode(const proto::PeerMessage& wire) {
  peer_message message;
  message.from = member{wire.from(), wire.life()};
  message.revision = wire.revision();
  message.wants_changes = wire.wants_changes();
  message.leaving = wire.leaving();
  message.probe = wire.probe();
  for (const proto::PromiseAsk& ask : wire.asks()) {
    message.asks.push_back(DecodeAsk(ask));
  }
  for (const proto::PromiseAnswer& answer : wire.answers()) {
    message.answers.push_back(DecodeAnswer(answer));
  }
  for (const proto::Release& entry : wire.releases()) {
    message.releases.push_back(
        range_release{entry.range(), entry.epoch(), entry.actions()});
  }
  if (wire.has_changes()) {
    message.changes = DecodeChanges(wire.changes());
  }
  for (const proto::RangeMap& notice : wire.maps()) {
    message.maps.push_back(DecodeMap(notice));
  }
  for (const proto::PoisonMark& entry : wire.poison()) {
    message.poison.push_back(
        poison_mark{entry.content_hash(), static_cast<int>(entry.crashes()),
                    duration{std::max<int64_t>(entry.age_us(), 0)}});
  }
  for (const proto::Beacon& entry : wire.beacons()) {
    message.beacons.push_back(
        watch_beacon{entry.zone(),
                     entry.watcher(),
                     entry.seq(),
                     {entry.leaving().begin(), entry.leaving().end()}});
  }
  return message;
}

}  // namespace foxtailspread
