#include "net/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace foxtailspread {
namespace {

/// How often connecting and idle connections are looked at.
constexpr duration kSweepPeriod{std::chrono::milliseconds{250}};

/// Reads of large answers in each period.
constexpr duration kPacingPeriod{std::chrono::milliseconds{10}};
constexpr int kPacedReads = 8;

}  // namespace

connection_pool::connection_pool(poller& events, pool_settings settings)
    : events_(events),
      settings_(std::move(settings)),
      arriving_(settings_.max_arriving_bytes),
      paced_reads_left_(kPacedReads) {}

connection_pool::~connection_pool() {
  all_.clear_and_dispose(std::default_delete<pooled_connection>());
}

call_id connection_pool::Send(pool_call call, receiver on_ended) {
  const call_id id = ++last_call_;
  const std::string address{call.address};
  if (pooled_connection* kept = TakeIdle(address, call)) {
    calls_.emplace(id, kept);
    kept->Begin(id, std::move(call), std::move(on_ended), false);
    return id;
  }
  if (!call.opening.empty() && call.newest_connection == 0) {
    Wait(id, std::move(call), std::move(on_ended));
    return id;
  }
  pooled_connection& connection = MakeConnection(address, call.connect_timeout,
                                                 call.newest_connection == 0);
  calls_.emplace(id, &connection);
  connection.Begin(id, std::move(call), std::move(on_ended), true);
  ArmSweep();
  return id;
}

pooled_connection& connection_pool::MakeConnection(const std::string& address,
                                                   duration connect_timeout,
                                                   bool may_connect) {
  auto made =
      std::make_unique<pooled_connection>(*this, address, ++connections_made_);
  pooled_connection& connection = *made.release();
  all_.push_back(connection);
  const auto parsed = ParseAddress(address);
  // One that fails at once ends from the loop: the caller is inside Send.
  if (parsed && may_connect) {
    Connect(connection, parsed.value(), Now() + connect_timeout);
  }
  return connection;
}

void connection_pool::Connect(pooled_connection& connection,
                              const socket_address& to, time_point give_up) {
  const bool fits =
      all_.size() <= settings_.max_connections || CloseIdleForRoom();
  if (fits && (connection.Connect(to, give_up) ||
               (CloseIdleForRoom() && connection.Connect(to, give_up)))) {
    return;
  }
  connection.LackDescriptor();
  ++not_made_;
}

bool connection_pool::CloseIdleForRoom() {
  pooled_connection* first = nullptr;
  for (const auto& [address, idle] : idle_) {
    for (pooled_connection* each : idle) {
      if (first == nullptr || each->idle_until() < first->idle_until()) {
        first = each;
      }
    }
  }
  if (first == nullptr) {
    return false;
  }
  ++closed_for_room_;
  Drop(first);
  return true;
}

void connection_pool::Wait(call_id id, pool_call call, receiver on_ended) {
  const std::string address{call.address};
  waiting_.Add({.id = id,
                .address = address,
                .call = std::move(call),
                .on_ended = std::move(on_ended),
                .write_until = Now() + settings_.write_timeout});
  ArmWriteTimer();
  OpenConnection(*waiting_.First(address));
}

// A reference could be to the address of a connection that is dropped here.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void connection_pool::ServeWaiting(std::string address) {
  // The process may have stood still, so that the timer is late as well.
  EndOverdue();
  while (const waiting_call* first = waiting_.First(address)) {
    pooled_connection* kept = TakeIdle(address, first->call);
    if (kept == nullptr) {
      OpenConnection(*first);
      return;
    }
    waiting_call next = *waiting_.TakeFirst(address);
    calls_.emplace(next.id, kept);
    kept->Begin(next.id, std::move(next.call), std::move(next.on_ended), false);
  }
}

void connection_pool::OpenConnection(const waiting_call& waiting) {
  if (!opening_.insert(waiting.address).second) {
    return;
  }
  pooled_connection& connection =
      MakeConnection(waiting.address, waiting.call.connect_timeout, true);
  connection.Open(waiting.call.opening, Now() + settings_.opening_timeout);
  ArmSweep();
}

void connection_pool::FinishOpening(pooled_connection* connection,
                                    call_end end) {
  const std::string address = connection->address();
  opening_.erase(address);
  if (connection->is_reusable()) {
    Keep(connection);
    return;
  }
  connection->Abort();
  Drop(connection);
  // Nothing was written of the calls, however the opening ended.
  const bool is_told =
      end == call_end::kRefused || end == call_end::kNoDescriptor;
  const call_end failure = is_told ? end : call_end::kUnreachable;
  while (auto waiting = waiting_.TakeFirst(address)) {
    waiting->on_ended({.end = failure});
  }
}

void connection_pool::EndOverdue() {
  while (auto overdue = waiting_.TakeOverdue(Now())) {
    overdue->on_ended({.end = call_end::kNotWritten});
  }
}

void connection_pool::ArmWriteTimer() {
  const auto deadline = waiting_.NextDeadline();
  if (write_timer_armed_ || !deadline) {
    return;
  }
  write_timer_armed_ = true;
  write_timer_ = RunAfter(*deadline - Now(), [this] {
    write_timer_armed_ = false;
    EndOverdue();
    ArmWriteTimer();
  });
}

pooled_connection* connection_pool::TakeIdle(const std::string& address,
                                             const pool_call& call) {
  const uint64_t newest = call.newest_connection;
  const time_point now = Now();
  for (;;) {
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) {
      return nullptr;
    }
    auto& idle = found->second;
    const auto last = std::find_if(
        idle.rbegin(), idle.rend(), [&](const pooled_connection* each) {
          return (newest == 0 || each->number() <= newest) &&
                 each->CanTellAnswerTo(call);
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
  ServeWaiting(connection->address());
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
  waiting_.Take(id);
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

void connection_pool::SetAnswerLimits(size_t one, size_t all) {
  settings_.limits.max_body_bytes = one;
  arriving_.SetBound(all);
}

void connection_pool::PaceReading(pooled_connection& connection) {
  if (connection.id() == 0) {
    return;
  }
  if (paced_reads_left_ > 0) {
    --paced_reads_left_;
  } else {
    connection.PauseReading(true);
    paced_.push_back(connection.id());
  }
  ArmPacing();
}

void connection_pool::ArmPacing() {
  if (!pacing_armed_ && paced_reads_left_ < kPacedReads) {
    pacing_armed_ = true;
    pacing_ = RunAfter(kPacingPeriod, [this] { ReadPaced(); });
  }
}

void connection_pool::ReadPaced() {
  pacing_armed_ = false;
  for (paced_reads_left_ = kPacedReads;
       paced_reads_left_ > 0 && !paced_.empty();) {
    const auto found = calls_.find(paced_.front());
    paced_.pop_front();
    if (found != calls_.end()) {
      found->second->PauseReading(false);
      --paced_reads_left_;
    }
  }
  ArmPacing();
}

void connection_pool::GiveUpLongestSoon() {
  if (!std::exchange(give_up_due_, true)) {
    give_up_ = RunAfter(duration{0}, [this] { GiveUpLongest(); });
  }
}

void connection_pool::GiveUpLongest() {
  give_up_due_ = false;
  for (size_t before = arriving_.total() + 1;
       arriving_.IsExceeded() && arriving_.total() < before;) {
    before = arriving_.total();
    std::ranges::max_element(all_, {}, &pooled_connection::arriving_bytes)
        ->GiveUpAnswer();
  }
}

void connection_pool::Sweep() {
  sweep_armed_ = false;
  const time_point now = Now();
  std::vector<pooled_connection*> late;
  std::vector<pooled_connection*> late_openings;
  std::vector<pooled_connection*> over;
  for (pooled_connection& each : all_) {
    if (each.IsOpeningLate(now)) {
      late_openings.push_back(&each);
    } else if (each.IsConnectLate(now) || each.IsAnswerLate(now) ||
               each.IsPeerGone(now)) {
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
      found->second->OnLate();
    }
  }
  for (pooled_connection* connection : late_openings) {
    connection->OnOpeningLate();
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
