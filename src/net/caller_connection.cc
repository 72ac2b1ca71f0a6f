#include "net/caller_connection.h"

#include <algorithm>
#include <utility>

#include "net/caller_server.h"

namespace foxtailspread {
namespace {

/// Requests of one connection in work at once. Beyond, the connection is not
/// read until answers have gone out, so that one caller cannot fill memory.
constexpr size_t kMaxPipelined = 32;

/// How long a connection that this side has ended is still read. Closing with
/// unread bytes would reset it and could destroy the answer on its way.
constexpr duration kLingerTime{std::chrono::seconds{1}};

http_message PlainAnswer(int status) {
  http_message answer;
  answer.status = status;
  return answer;
}

int StatusOf(http_parse_error error) {
  switch (error) {
    case http_parse_error::kHeadersTooLarge:
      return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case http_parse_error::kBodyTooLarge:
      return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    default:
      return HTTP_STATUS_BAD_REQUEST;
  }
}

}  // namespace

caller_connection::caller_connection(caller_server& server, int fd,
                                     time_point now)
    : server_(server),
      stream_(server.events_, HandlerFor<&caller_connection::OnReady>(this)),
      reader_(HTTP_REQUEST, server.limits_.sizes),
      last_byte_(now) {
  stream_.Adopt(fd);
}

void caller_connection::OnReady(uint32_t events) {
  if (!stream_.OnWritable(events)) {
    End();
    return;
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 &&
      !ReadAll()) {
    End();
    return;
  }
  if (lingering_ && stream_.bytes_waiting() == 0) {
    stream_.ShutDownWriting();
  }
}

/// False when the caller has left.
bool caller_connection::ReadAll() {
  const read_result read = stream_.Read();
  if (read.end == read_end::kNothing) {
    return true;
  }
  if (read.end != read_end::kData) {
    return false;
  }
  if (lingering_ || no_more_requests_) {
    return true;
  }
  last_byte_ = Now();
  if (!reader_.in_message()) {
    message_began_ = last_byte_;
    reader_.set_limits(server_.limits_.sizes);
  }
  const bool good = reader_.Feed(read.bytes);
  TakeRequests();
  if (!good) {
    RefuseRest();
  } else if (reader_.expects_continue()) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  Flush();
  return true;
}

void caller_connection::TakeRequests() {
  while (auto request = reader_.Take()) {
    if (!no_more_requests_) {
      AddRequest(std::move(*request));
    }
  }
  if (exchanges_.size() >= kMaxPipelined) {
    stream_.PauseReading(true);
  }
}

void caller_connection::AddRequest(http_message request) {
  exchange& added = exchanges_.emplace_back();
  added.id = server_.Register(this);
  added.head = request.method == "HEAD";
  added.close_after = !request.keep_alive;
  // What follows a request that closes the connection is not read: its sender
  // may repeat it elsewhere.
  no_more_requests_ = no_more_requests_ || added.close_after;
  server_.owner_.on_request(added.id, std::move(request));
}

void caller_connection::RefuseRest() {
  exchange& refused = exchanges_.emplace_back();
  refused.close_after = true;
  refused.answer = FormatAnswer(PlainAnswer(StatusOf(reader_.error())), true);
  no_more_requests_ = true;
}

void caller_connection::Answer(exchange_id id, const http_message& answer) {
  const auto found =
      std::find_if(exchanges_.begin(), exchanges_.end(),
                   [&](const exchange& each) { return each.id == id; });
  if (found == exchanges_.end()) {
    return;
  }
  found->id = 0;
  found->close_after = found->close_after || server_.closing_;
  found->answer = FormatAnswer(answer, found->close_after);
  Flush();
}

void caller_connection::Flush() {
  while (!exchanges_.empty() && exchanges_.front().answer) {
    const exchange done = std::move(exchanges_.front());
    exchanges_.pop_front();
    stream_.Write(*done.answer);
    last_byte_ = Now();
    if (done.close_after) {
      BeginLingering(last_byte_);
      return;
    }
  }
  if (exchanges_.size() < kMaxPipelined) {
    stream_.PauseReading(false);
  }
}

void caller_connection::BeginLingering(time_point now) {
  // Requests behind the closing answer are dropped unread, by the rule that
  // the sender counts them as not read.
  for (const exchange& left : exchanges_) {
    if (left.id != 0) {
      server_.Forget(left.id);
      server_.owner_.on_gone(left.id);
    }
  }
  exchanges_.clear();
  no_more_requests_ = true;
  lingering_ = true;
  linger_until_ = now + kLingerTime;
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
    exchanges_.back().close_after = true;
  }
}

/// Whether the caller has taken too long to send its request, or to begin one.
bool caller_connection::IsOverdue(time_point now) const {
  const caller_limits& limits = server_.limits_;
  if (!exchanges_.empty()) {
    return false;
  }
  if (reader_.in_message() && !reader_.headers_done()) {
    return now - message_began_ > limits.header_timeout;
  }
  return now - last_byte_ > limits.idle_timeout;
}

void caller_connection::CheckTimes(time_point now) {
  if (lingering_) {
    if (now >= linger_until_ || !stream_.is_open()) {
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
  }
  BeginLingering(now);
}

void caller_connection::End() {
  for (const exchange& left : exchanges_) {
    if (left.id != 0) {
      server_.Forget(left.id);
      server_.owner_.on_gone(left.id);
    }
  }
  stream_.Close();
  server_.Remove(this);
}

}  // namespace foxtailspread
