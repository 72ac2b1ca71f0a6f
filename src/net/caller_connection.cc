#include "net/caller_connection.h"

#include <algorithm>
#include <utility>

#include "net/caller_server.h"
#include "net/log.h"

namespace foxtailspread {
namespace {

/// Requests of one connection in work at once. Beyond, the connection is not
/// read until answers have gone out, so that one caller cannot fill memory.
constexpr size_t kMaxPipelined = 32;

/// How long a connection that this side has ended is kept for its caller to end
/// it too once the last answer has arrived, and the rest of a refused request
/// is read. Closing with unread bytes resets it and would destroy the answer on
/// its way.
constexpr duration kLingerTime{std::chrono::seconds{1}};

/// A request that is still arriving is refused for want of memory only when it
/// keeps more than this: refusing small ones frees nothing.
constexpr size_t kSmallRequest = 4096;

/// A body from this size on is kept once for the request and for the connection
/// that sends it; below, copying it is cheaper.
constexpr size_t kLargeBody = 16384;

/// Bytes of answers that a caller may leave untaken before its next requests
/// are read.
constexpr size_t kMostUntaken = 65536;

/// Retry-After of such a refusal, in seconds: about the time that a megabyte
/// takes on the slowest of the users' links.
constexpr char kRetryAfterMemory[] = "1";

http_message PlainAnswer(int status) {
  http_message answer;
  answer.status = status;
  if (status == HTTP_STATUS_SERVICE_UNAVAILABLE) {
    answer.headers = {{"Retry-After", kRetryAfterMemory}};
  }
  return answer;
}

size_t BytesOf(const http_message& answer) {
  size_t bytes = answer.body.size();
  for (const http_header& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

int StatusOf(http_parse_error error) {
  switch (error) {
    case http_parse_error::kHeadersTooLarge:
      return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case http_parse_error::kBodyTooLarge:
      return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    case http_parse_error::kUnsupported:
      return HTTP_STATUS_NOT_IMPLEMENTED;
    default:
      return HTTP_STATUS_BAD_REQUEST;
  }
}

}  // namespace

const char* ToString(untaken_reason reason) {
  switch (reason) {
    case untaken_reason::kCallerGone:
      return "caller-gone";
    case untaken_reason::kStalled:
      return "stalled";
    case untaken_reason::kMemory:
      return "memory";
  }
  return "";
}

caller_connection::caller_connection(caller_server& server, int fd,
                                     time_point now)
    : server_(server),
      stream_(server.events_, HandlerFor<&caller_connection::OnReady>(this)),
      reader_(HTTP_REQUEST, server.limits_.sizes),
      last_byte_(now),
      arriving_(&server.memory_, held_kind::kRequests),
      leaving_(&server.memory_, held_kind::kAnswers) {
  stream_.Adopt(fd);
}

caller_connection::~caller_connection() {
  // Closing with unread bytes makes a reset.
  if (stream_.bytes_unacknowledged() > 0) {
    stream_.DiscardUnread();
  }
}

void caller_connection::OnReady(uint32_t events) {
  const size_t waiting = stream_.bytes_waiting();
  if (!stream_.OnWritable(events)) {
    End();
    return;
  }
  if (stream_.bytes_waiting() < waiting) {
    last_byte_ = Now();
    UpdateReading();
  }
  const bool readable =
      (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (readable && lingering_ && !discards_rest_) {
    OnReadableAfterClose(events);
    return;
  }
  if (readable && !ReadAll()) {
    End();
    return;
  }
  CountBytes();
  if (lingering_ && stream_.bytes_waiting() == 0) {
    stream_.ShutDownWriting();
  }
}

/// The caller has left, or has sent a request after the close. That one is not
/// read: the reset tells its caller that it may be sent again.
void caller_connection::OnReadableAfterClose(uint32_t events) {
  const bool has_left = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (!has_left && !has_unread_request_) {
    ++server_.dropped_.connections;
  }
  if (has_left || UnreceivedBytes() == 0) {
    End();
    return;
  }
  stream_.PauseReading(true);
  has_unread_request_ = true;
}

size_t caller_connection::UnreceivedBytes() const {
  return stream_.bytes_waiting() + stream_.bytes_unacknowledged();
}

/// Whether the caller has got its last answer and has had the time to end its
/// side.
bool caller_connection::HasLingered(time_point now) {
  const size_t unreceived = UnreceivedBytes();
  if (unreceived != unreceived_bytes_) {
    unreceived_bytes_ = unreceived;
    answer_progress_at_ = now;
  }
  return unreceived == 0 &&
         (has_unread_request_ || now - answer_progress_at_ >= kLingerTime);
}

bool caller_connection::CheckReading(time_point now) {
  const peer_check found = stream_.CheckPeer(now);
  if (found.state == peer_state::kGone) {
    GiveUp(untaken_reason::kCallerGone, now);
    return false;
  }
  if (progress_.is_waiting()) {
    last_byte_ = now;
  }
  progress_.OnCheck(found.acknowledged, found.unreceived, now);
  if (progress_.is_waiting() &&
      StalledFor(now) >= server_.limits_.untaken_timeout) {
    GiveUp(untaken_reason::kStalled, now);
    return false;
  }
  return true;
}

void caller_connection::GiveUp(untaken_reason reason, time_point now) {
  server_.OnUntaken(reason);
  LogEvent(event_id::kAnswerUntaken,
           {{"reason", ToString(reason)},
            {"stalled_ms", StalledFor(now) / std::chrono::milliseconds{1}},
            {"bytes", static_cast<int64_t>(UnreceivedBytes())},
            {"unanswered", static_cast<int64_t>(exchanges_.size())}});
  // A close would leave the kernel with what it has taken.
  stream_.Abort();
  End();
}

/// False when the caller has left.
bool caller_connection::ReadAll() {
  const read_result read = stream_.Read();
  if (read.end == read_end::kNothing) {
    return true;
  }
  if (read.end != read_end::kData) {
    LogCutRequest();
    return false;
  }
  if (lingering_ || closes_after_last_) {
    ++server_.dropped_.reads;
    return true;
  }
  last_byte_ = Now();
  if (!reader_.in_message()) {
    message_began_ = last_byte_;
    reader_.set_limits(server_.limits_.sizes);
  }
  const bool good = reader_.Feed(read.bytes);
  TakeRequests();
  if (!good && !closes_after_last_) {
    RefuseRest(StatusOf(reader_.error()));
  } else if (IsShortOfMemory()) {
    server_.OnRefusedForMemory();
    RefuseRest(HTTP_STATUS_SERVICE_UNAVAILABLE);
  } else if (reader_.expects_continue()) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  Flush();
  return true;
}

void caller_connection::LogCutRequest() const {
  if (reader_.in_message()) {
    LogEvent(event_id::kRequestCutShort,
             {{"bytes", static_cast<int64_t>(reader_.buffered())},
              {"unanswered", static_cast<int64_t>(exchanges_.size())}});
  }
}

void caller_connection::TakeRequests() {
  // Requests that came together are handed on together: an answer given at once
  // must not close the connection before those behind it.
  handing_on_ = true;
  while (auto request = reader_.Take()) {
    if (!closes_after_last_) {
      AddRequest(std::move(*request));
    } else {
      ++server_.dropped_.requests;
    }
  }
  handing_on_ = false;
  if (server_.closing_ && !exchanges_.empty()) {
    CloseAfterLast();
  }
  if (exchanges_.size() >= kMaxPipelined) {
    stream_.PauseReading(true);
  }
}

void caller_connection::AddRequest(http_message request) {
  if (refuses_) {
    RefuseForRoom(request);
    return;
  }
  if (!std::exchange(has_room_, false) && IsTooMuch(request)) {
    RefuseForMemory(request);
    return;
  }
  if (request.body.size() >= kLargeBody) {
    request.large_body =
        body_ptr{new shared_body(std::move(request.body), &server_.memory_)};
    request.body.clear();
  }
  exchange& added = exchanges_.emplace_back();
  added.id = server_.Register(this);
  added.arrived_at = last_byte_;
  added.head = request.method == "HEAD";
  added.request_bytes = request.target.size() + request.body.size();
  if (!request.keep_alive) {
    CloseAfterLast();
  }
  server_.owner_.on_request(added.id, std::move(request));
}

void caller_connection::CloseAfterLast() {
  closes_after_last_ = true;
  reader_.Drop();
}

void caller_connection::AddRefusal(int status) {
  exchange& refused = exchanges_.emplace_back();
  refused.arrived_at = last_byte_;
  refused.answered_at = last_byte_;
  refused.answer = PlainAnswer(status);
}

void caller_connection::RefuseRest(int status) {
  LogEvent(event_id::kRequestNotRead,
           {{"status", int64_t{status}},
            {"problem", reader_.problem()},
            {"bytes", static_cast<int64_t>(reader_.announced())},
            {"all_bytes", static_cast<int64_t>(server_.memory_.total())}});
  AddRefusal(status);
  discards_rest_ = true;
  CloseAfterLast();
}

/// Whether the request that is arriving must be refused so that the process
/// stays inside its memory. Callers that send large bodies slowly would fill it
/// otherwise, and the host be killed with everybody's requests. One that states
/// its length is counted whole from its head on, and refused then or not at
/// all.
bool caller_connection::IsShortOfMemory() {
  if (has_room_ || !reader_.in_message() ||
      reader_.announced() <= kSmallRequest) {
    return false;
  }
  CountBytes();
  if (server_.IsFull()) {
    return true;
  }
  has_room_ = reader_.headers_done() && reader_.has_length();
  return false;
}

bool caller_connection::IsTooMuch(const http_message& request) {
  if (request.body.size() <= kSmallRequest) {
    return false;
  }
  CountBytes();
  return !server_.HasRoom(request.body.size());
}

void caller_connection::RefuseForMemory(const http_message& request) {
  server_.OnRefusedForMemory();
  LogEvent(event_id::kRequestNotRead,
           {{"status", int64_t{HTTP_STATUS_SERVICE_UNAVAILABLE}},
            {"bytes", static_cast<int64_t>(request.body.size())},
            {"all_bytes", static_cast<int64_t>(server_.memory_.total())}});
  AddRefusal(HTTP_STATUS_SERVICE_UNAVAILABLE);
  if (!request.keep_alive) {
    CloseAfterLast();
  }
}

void caller_connection::RefuseForRoom(const http_message& request) {
  LogEvent(event_id::kRequestNotRead,
           {{"status", int64_t{HTTP_STATUS_SERVICE_UNAVAILABLE}},
            {"bytes", static_cast<int64_t>(request.body.size())},
            {"connections", static_cast<int64_t>(server_.connections())}});
  AddRefusal(HTTP_STATUS_SERVICE_UNAVAILABLE);
  CloseAfterLast();
}

void caller_connection::CountBytes() {
  size_t requests = reader_.announced();
  size_t answers = stream_.bytes_waiting();
  for (const exchange& each : exchanges_) {
    requests += each.request_bytes;
    answers += each.answer ? BytesOf(*each.answer) : 0;
  }
  arriving_.Set(requests);
  leaving_.Set(answers);
  const size_t bytes = requests + answers;
  server_.buffered_ += bytes;
  server_.buffered_ -= std::exchange(counted_bytes_, bytes);
}

void caller_connection::Answer(exchange_id id, http_message answer) {
  const auto found = std::find_if(
      exchanges_.begin(), exchanges_.end(),
      [&](const exchange& each) { return each.id == id && each.is_in_work(); });
  if (found == exchanges_.end()) {
    return;
  }
  found->answered_at = Now();
  found->request_bytes = 0;
  found->answer = std::move(answer);
  if (handing_on_) {
    return;
  }
  if (server_.closing_) {
    CloseAfterLast();
  }
  Flush();
}

void caller_connection::Flush() {
  while (!exchanges_.empty() && exchanges_.front().answer) {
    const exchange done = std::move(exchanges_.front());
    exchanges_.pop_front();
    const bool closes = closes_after_last_ && exchanges_.empty();
    last_byte_ = Now();
    stream_.WriteMessage(FormatAnswer(*done.answer, closes, done.head),
                         nullptr);
    if (closes) {
      BeginLingering(last_byte_);
      return;
    }
  }
  UpdateReading();
  CountBytes();
}

/// A caller that sends requests and takes no answers would fill the memory.
void caller_connection::UpdateReading() {
  if (!lingering_) {
    stream_.PauseReading(exchanges_.size() >= kMaxPipelined ||
                         stream_.bytes_waiting() > kMostUntaken);
  }
}

void caller_connection::BeginLingering(time_point now) {
  lingering_ = true;
  reader_.Drop();
  CountBytes();
  unreceived_bytes_ = UnreceivedBytes();
  answer_progress_at_ = now;
  stream_.PauseReading(false);
  if (stream_.bytes_waiting() == 0) {
    stream_.ShutDownWriting();
  }
}

// A busy host may come to close a connection on which a whole request lies
// unread: its caller sent it in time and would see it lost. So what has arrived
// is read first.

void caller_connection::CloseWhenIdle(time_point now) {
  if (lingering_) {
    return;
  }
  if (exchanges_.empty() && !ReadAll()) {
    End();
    return;
  }
  if (lingering_) {
    return;
  }
  if (exchanges_.empty() && !reader_.in_message()) {
    BeginLingering(now);
  } else if (!exchanges_.empty()) {
    CloseAfterLast();
  }
}

duration caller_connection::IdleFor(time_point now) const {
  const bool is_idle = !lingering_ && exchanges_.empty() &&
                       !reader_.in_message() && stream_.bytes_waiting() == 0 &&
                       !progress_.is_waiting();
  return is_idle ? now - last_byte_ : duration{0};
}

bool caller_connection::CloseForRoom(time_point now) {
  const time_point last_byte = last_byte_;
  if (!ReadAll()) {
    End();
    return true;
  }
  if (last_byte_ != last_byte || lingering_) {
    return false;
  }
  if (UnreceivedBytes() > 0) {
    BeginLingering(now);
    return false;
  }
  End();
  return true;
}

/// Whether the caller has taken too long to send its request, or to begin one.
bool caller_connection::IsOverdue(time_point now) const {
  const caller_limits& limits = server_.limits_;
  // An answer that is still being sent counts as work.
  if (!exchanges_.empty() || stream_.bytes_waiting() > 0 ||
      progress_.is_waiting()) {
    return false;
  }
  if (reader_.in_message() && !reader_.headers_done()) {
    return now - message_began_ > limits.header_timeout;
  }
  return now - last_byte_ > limits.idle_timeout;
}

void caller_connection::CheckTimes(time_point now) {
  if (!CheckReading(now)) {
    return;
  }
  if (lingering_) {
    if (!stream_.is_open() || HasLingered(now)) {
      End();
    }
    return;
  }
  if (!IsOverdue(now)) {
    return;
  }
  if (!ReadAll()) {
    End();
    return;
  }
  if (lingering_ || !IsOverdue(now)) {
    return;
  }
  if (reader_.in_message()) {
    stream_.Write(FormatAnswer(PlainAnswer(HTTP_STATUS_REQUEST_TIMEOUT), true));
    discards_rest_ = true;
    last_byte_ = now;
  }
  BeginLingering(now);
}

void caller_connection::VisitUnanswered(
    const std::function<void(const unanswered_request&)>& visit) const {
  size_t in_work = 0;
  for (const exchange& each : exchanges_) {
    visit({.id = each.id,
           .arrived_at = each.arrived_at,
           .ahead = in_work,
           .answer = each.answer ? &*each.answer : nullptr,
           .answered_at = each.answered_at});
    in_work += each.is_in_work() ? 1 : 0;
  }
}

void caller_connection::End() {
  for (const exchange& left : exchanges_) {
    if (left.is_in_work()) {
      server_.Forget(left.id);
      server_.owner_.on_gone(left.id);
    }
  }
  stream_.Close();
  server_.buffered_ -= counted_bytes_;
  server_.Remove(this);
}

}  // namespace foxtailspread
