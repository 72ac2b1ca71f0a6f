#include "net/caller_server.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace foxtailspread {
namespace {

/// How often the times of connections are checked; the limits are seconds.
constexpr duration kSweepPeriod{std::chrono::milliseconds{500}};

}  // namespace

caller_server::caller_server(poller& events, caller_events owner,
                             held_memory* memory)
    : events_(events),
      owner_(std::move(owner)),
      listener_(events, [this](int fd) { OnAccepted(fd); }),
      memory_(memory != nullptr ? *memory : own_memory_) {
  listener_.OnShortage([this] { return CloseLongestIdle(); });
}

caller_server::~caller_server() {
  connections_.clear_and_dispose(std::default_delete<caller_connection>());
}

status caller_server::Listen(std::string_view address) {
  return listener_.Listen(address);
}

void caller_server::OnAccepted(int fd) {
  auto connection = std::make_unique<caller_connection>(*this, fd, Now());
  if (connections_.size() >= most_connections_ && !CloseLongestIdle()) {
    ++refused_for_room_;
    connection->RefuseRequests();
    if (connections_.size() + 1 >= most_connections_ + most_refused_) {
      listener_.AwaitRoom();
    }
  }
  connections_.push_back(*connection.release());
  ArmSweep();
}

caller_connection* caller_server::LongestIdle(time_point now) {
  caller_connection* longest = nullptr;
  duration longest_time = std::max(limits_.room_timeout, duration{1});
  for (caller_connection& each : connections_) {
    if (const duration time = each.IdleFor(now); time >= longest_time) {
      longest = &each;
      longest_time = time;
    }
  }
  return longest;
}

bool caller_server::CloseLongestIdle() {
  const time_point now = Now();
  bool has_closed = false;
  walking_ = true;
  while (caller_connection* longest = LongestIdle(now)) {
    if (longest->CloseForRoom(now)) {
      ++closed_for_room_;
      has_closed = true;
      break;
    }
  }
  walking_ = false;
  CloseIdle();
  return has_closed;
}

exchange_id caller_server::Register(caller_connection* from) {
  exchanges_.emplace(++last_id_, from);
  return last_id_;
}

void caller_server::Remove(caller_connection* connection) {
  connections_.erase_and_dispose(connections_.iterator_to(*connection),
                                 std::default_delete<caller_connection>());
  listener_.OnRoom();
}

void caller_server::Answer(exchange_id id, http_message answer) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  caller_connection* connection = found->second;
  exchanges_.erase(found);
  connection->Answer(id, std::move(answer));
}

void caller_server::VisitUnanswered(
    const std::function<void(const unanswered_request&)>& visit) const {
  for (const caller_connection& connection : connections_) {
    connection.VisitUnanswered(visit);
  }
}

size_t caller_server::UnreceivedBytes() const {
  size_t bytes = 0;
  for (const caller_connection& connection : connections_) {
    bytes += connection.UnreceivedBytes();
  }
  return bytes;
}

void caller_server::BeginClosing() {
  closing_ = true;
  close_idle_ = true;
  if (!walking_) {
    CloseIdle();
  }
}

void caller_server::CloseIdle() {
  walking_ = true;
  while (std::exchange(close_idle_, false)) {
    const time_point now = Now();
    for (auto each = connections_.begin(); each != connections_.end();) {
      caller_connection& connection = *each++;
      connection.CloseWhenIdle(now);
    }
  }
  walking_ = false;
}

void caller_server::OnRefusedForMemory() {
  memory_.OnRefused();
  has_refused_for_memory_ = true;
}

void caller_server::GiveUpStalled(time_point now) {
  const auto stall = [&](const caller_connection& each) {
    return each.held_bytes() > 0 ? each.StalledFor(now) : duration{0};
  };
  // Requests without bodies are never refused, and their answers may be long.
  if (!std::exchange(has_refused_for_memory_, false) && !IsFull()) {
    return;
  }
  while (IsHalfFull() && !connections_.empty()) {
    caller_connection& longest =
        *std::ranges::max_element(connections_, {}, stall);
    if (stall(longest) < (IsFull() ? kMinStallWhenFull : kMinStallForMemory)) {
      return;
    }
    longest.GiveUp(untaken_reason::kMemory, now);
  }
}

void caller_server::Sweep() {
  sweep_armed_ = false;
  const time_point now = Now();
  walking_ = true;
  for (auto each = connections_.begin(); each != connections_.end();) {
    caller_connection& connection = *each++;
    connection.CheckTimes(now);
  }
  GiveUpStalled(now);
  walking_ = false;
  CloseIdle();
  ArmSweep();
}

void caller_server::ArmSweep() {
  if (!sweep_armed_ && !connections_.empty()) {
    sweep_armed_ = true;
    sweep_ = RunAfter(kSweepPeriod, [this] { Sweep(); });
  }
}

}  // namespace foxtailspread
