#include "net/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace foxtailspread {
namespace {

/// How often connecting and idle connections are looked at.
constexpr duration kSweepPeriod{std::chrono::milliseconds{250}};

}  // namespace

connection_pool::connection_pool(poller& events, pool_settings settings)
    : events_(events), settings_(std::move(settings)) {}

connection_pool::~connection_pool() {
  all_.clear_and_dispose(std::default_delete<pooled_connection>());
}

call_id connection_pool::Send(pool_call call, receiver on_ended) {
  const call_id id = ++last_call_;
  const std::string address{call.address};
  if (pooled_connection* kept = TakeIdle(address, call.newest_connection)) {
    calls_.emplace(id, kept);
    kept->Begin(id, std::move(call), std::move(on_ended), false);
    return id;
  }
  auto made =
      std::make_unique<pooled_connection>(*this, address, ++connections_made_);
  pooled_connection* connection = made.release();
  all_.push_back(*connection);
  calls_.emplace(id, connection);
  const time_point give_up = Now() + call.connect_timeout;
  const auto parsed = ParseAddress(address);
  // One that fails at once ends from the loop: the caller is inside Send.
  if (parsed && call.newest_connection == 0) {
    connection->Connect(parsed.value(), give_up);
  }
  connection->Begin(id, std::move(call), std::move(on_ended), true);
  ArmSweep();
  return id;
}

pooled_connection* connection_pool::TakeIdle(const std::string& address,
                                             uint64_t newest) {
  const time_point now = Now();
  for (;;) {
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) {
      return nullptr;
    }
    auto& idle = found->second;
    const auto last = std::find_if(
        idle.rbegin(), idle.rend(), [&](const pooled_connection* each) {
          return newest == 0 || each->number() <= newest;
        });
    if (last == idle.rend()) {
      return nullptr;
    }
    pooled_connection* kept = *last;
    idle.erase(std::next(last).base());
    if (!kept->IsIdleOver(now) && kept->StillQuiet()) {
      return kept;
    }
    Drop(kept);
  }
}

void connection_pool::Finish(pooled_connection* connection,
                             call_result result) {
  result.fresh_connection = connection->is_fresh();
  result.connection = connection->number();
  calls_.erase(connection->id());
  const receiver on_ended = connection->TakeReceiver();
  if (connection->is_reusable()) {
    Keep(connection);
  } else {
    if (result.end != call_end::kAnswered) {
      // What the network still holds of the request must not arrive later.
      connection->Abort();
    }
    Drop(connection);
  }
  on_ended(std::move(result));
}

void connection_pool::Keep(pooled_connection* connection) {
  idle_[connection->address()].push_back(connection);
  ArmSweep();
}

void connection_pool::Drop(pooled_connection* connection) {
  const auto found = idle_.find(connection->address());
  if (found != idle_.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle_.erase(found);
    }
  }
  connection->Close();
  all_.erase_and_dispose(all_.iterator_to(*connection),
                         std::default_delete<pooled_connection>());
}

void connection_pool::Cancel(call_id id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    pooled_connection* connection = found->second;
    calls_.erase(found);
    connection->Abort();
    Drop(connection);
  }
}

call_progress connection_pool::Progress(call_id id) const {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return {};
  }
  const pooled_connection& connection = *found->second;
  return {.connection = connection.number(),
          .fresh_connection = connection.is_fresh(),
          .written = connection.HasWritten()};
}

void connection_pool::Sweep() {
  sweep_armed_ = false;
  const time_point now = Now();
  std::vector<pooled_connection*> late;
  std::vector<pooled_connection*> over;
  for (pooled_connection& each : all_) {
    if (each.IsConnectLate(now)) {
      late.push_back(&each);
    } else if (each.IsIdleOver(now)) {
      over.push_back(&each);
    }
  }
  for (pooled_connection* connection : over) {
    Drop(connection);
  }
  // A receiver may cancel another late call, which destroys its connection.
  std::vector<call_id> ids;
  ids.reserve(late.size());
  for (const pooled_connection* connection : late) {
    ids.push_back(connection->id());
  }
  for (const call_id id : ids) {
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
      found->second->OnConnectLate();
    }
  }
  ArmSweep();
}

void connection_pool::ArmSweep() {
  if (!sweep_armed_ && !all_.empty()) {
    sweep_armed_ = true;
    sweep_ = RunAfter(kSweepPeriod, [this] { Sweep(); });
  }
}

}  // namespace foxtailspread
