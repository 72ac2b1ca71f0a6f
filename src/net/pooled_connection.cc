#include "net/pooled_connection.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "foxtailspread/hash.h"
#include "net/connection_pool.h"

namespace foxtailspread {
namespace {

/// The part of the peer's stated idle time that is used: a request that
/// crosses the peer's close is lost, and may not be repeated if it has side
/// effects.
constexpr double kIdleShare = 0.6;

/// A connection is replaced after this many calls with an echo or a mark, all
/// of which it remembers.
constexpr size_t kMaxRemembered = 1000;

/// Answers that a call does not await may come before its own: interim ones,
/// and copies of earlier ones.
constexpr int kMaxSkippedAnswers = 16;

/// Bytes that frame one byte of a body which is sent in chunks of one byte.
constexpr uint64_t kMaxFramingPerBodyByte = 6;

/// From this size on an answer is read at a bounded pace.
constexpr size_t kLargeAnswer = size_t{256} << 10;

/// Returns the idle time that the answer states, if any.
std::optional<duration> StatedIdle(const http_message& answer) {
  const auto header = answer.Header("Keep-Alive");
  if (!header) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const size_t at = header->find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = header->substr(at + kName.size());
  int64_t seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return duration{std::chrono::seconds{seconds}};
}

}  // namespace

pooled_connection::pooled_connection(connection_pool& pool, std::string address,
                                     uint64_t number)
    : pool_(pool),
      address_(std::move(address)),
      number_(number),
      stream_(pool.events_, HandlerFor<&pooled_connection::OnReady>(this),
              pool.settings_.silence),
      reader_(HTTP_RESPONSE, pool.settings_.limits),
      to_target_(pool.settings_.memory, held_kind::kToTargets),
      answer_(pool.settings_.memory, held_kind::kAnswers),
      arriving_(&pool.arriving_, held_kind::kAnswers) {}

void pooled_connection::CountBytes() {
  to_target_.Set(stream_.copied_waiting());
  answer_.Set(reader_.buffered());
  arriving_.Set(reader_.buffered());
}

void pooled_connection::ExpectAnswer() {
  received_bytes_ = 0;
  skipped_bytes_ = 0;
  skipped_answers_ = 0;
}

bool pooled_connection::Connect(const socket_address& to, time_point give_up) {
  connect_until_ = give_up;
  lacks_descriptor_ = !stream_.Connect(to) && stream_.was_short();
  if (pool_.settings_.reset_on_close) {
    stream_.ResetOnClose();
  }
  return !lacks_descriptor_;
}

call_receiver pooled_connection::TakeReceiver() {
  id_ = 0;
  return std::move(on_ended_);
}

void pooled_connection::Begin(call_id id, pool_call call,
                              call_receiver on_ended, bool fresh) {
  id_ = id;
  on_ended_ = std::move(on_ended);
  echo_ = std::move(call.echo);
  if (!echo_.empty()) {
    carried_echoes_.push_back(HashText(echo_));
  }
  mark_ = call.mark;
  marked_ = call.marked;
  fresh_ = fresh;
  ExpectAnswer();
  if (pool_.settings_.call_timeout > duration{0}) {
    answer_until_ = Now() + pool_.settings_.call_timeout;
  }
  sent_before_ = stream_.bytes_sent();
  reader_.ExpectNoBody(call.head);
  stream_.WriteMessage(std::move(call.request), std::move(call.body));
  CountBytes();
}

bool pooled_connection::CanTellAnswerTo(const pool_call& call) const {
  return call.echo.empty() ||
         std::ranges::find(carried_echoes_, HashText(call.echo)) ==
             carried_echoes_.end();
}

void pooled_connection::Open(std::string_view request, time_point give_up) {
  opening_ = true;
  opening_until_ = give_up;
  ExpectAnswer();
  stream_.Write(request);
}

void pooled_connection::OnReady(uint32_t events) {
  const bool was_connected = stream_.is_connected();
  if (!stream_.OnWritable(events)) {
    FailSend(was_connected);
    return;
  }
  CountBytes();
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0) {
    return;
  }
  const read_result read = stream_.Read();
  if (read.end == read_end::kNothing) {
    return;
  }
  if (id_ == 0 && !opening_) {
    // Bytes or an end on an idle connection belong to no call.
    reader_.Feed(read.bytes);
    ReportLeftAnswers();
    pool_.Drop(this);
    return;
  }
  if (read.end == read_end::kData) {
    OnBytes(read.bytes);
  } else if (read.end == read_end::kClosed && reader_.FeedEnd()) {
    closed_ = true;
    FinishIfWhole();
  } else {
    FailSend(true);
  }
}

void pooled_connection::OnBytes(std::string_view bytes) {
  received_bytes_ += bytes.size();
  spoiled_ = !reader_.Feed(bytes);
  CountBytes();
  if (reader_.buffered() > kLargeAnswer) {
    pool_.PaceReading(*this);
  }
  if (pool_.arriving_.IsExceeded()) {
    pool_.GiveUpLongestSoon();
  }
  FinishIfWhole();
}

bool pooled_connection::IsEndless() const {
  const http_parse_limits& limits = pool_.settings_.limits;
  const uint64_t body = reader_.body_size();
  const uint64_t framing =
      std::min<uint64_t>(body * kMaxFramingPerBodyByte, limits.max_body_bytes);
  return skipped_answers_ > kMaxSkippedAnswers ||
         skipped_bytes_ > limits.max_body_bytes ||
         received_bytes_ - skipped_bytes_ - body >
             limits.max_header_bytes + framing;
}

void pooled_connection::GiveUpAnswer() {
  if (id_ != 0 || opening_) {
    Fail(call_end::kBroken, received_bytes_);
  }
}

/// Looks for the awaited answer among those that came.
void pooled_connection::FinishIfWhole() {
  while (auto answer = reader_.Take()) {
    if (answer->status / 100 == 1 || !IsAwaited(*answer)) {
      ++skipped_answers_;
      skipped_bytes_ += answer->body.size();
    }
    if (answer->status / 100 == 1) {
      continue;
    }
    if (!IsAwaited(*answer)) {
      ReportSurplus(*answer, false);
      continue;
    }
    if (marked_ && IsRepeatedMark(*answer)) {
      ReportSurplus(*answer, false);
      Fail(call_end::kBroken);
      return;
    }
    Answered(std::move(*answer));
    return;
  }
  const bool too_long = IsEndless() ||
                        reader_.error() == http_parse_error::kHeadersTooLarge ||
                        reader_.error() == http_parse_error::kBodyTooLarge;
  if (too_long) {
    GiveUpAnswer();
  } else if (spoiled_ || closed_) {
    Fail(call_end::kBroken);
  }
}

bool pooled_connection::IsAwaited(const http_message& answer) const {
  if (!mark_.empty() && answer.status == kHttpOk &&
      answer.Header(mark_).has_value() != marked_) {
    return false;
  }
  if (const auto echoed = EchoOf(answer)) {
    return *echoed == echo_;
  }
  // No answer without an echo came on this connection before: KeepIdle().
  const std::string& exempt = pool_.settings_.echo_exempt_header;
  return echo_.empty() || fresh_ || (!exempt.empty() && answer.Header(exempt));
}

bool pooled_connection::IsRepeatedMark(const http_message& answer) {
  const auto mark = answer.Header(mark_);
  if (!mark || answer.status != kHttpOk) {
    return false;
  }
  const uint64_t hash = HashText(*mark);
  if (std::ranges::find(seen_marks_, hash) != seen_marks_.end()) {
    return true;
  }
  seen_marks_.push_back(hash);
  return false;
}

bool pooled_connection::IsWithoutEcho() const {
  return opening_ || pool_.settings_.echo_header.empty();
}

std::optional<std::string_view> pooled_connection::EchoOf(
    const http_message& answer) const {
  const std::string& header = pool_.settings_.echo_header;
  return header.empty() ? std::nullopt : answer.Header(header);
}

bool pooled_connection::ReportLeftAnswers() {
  bool any = false;
  while (const auto answer = reader_.Take()) {
    ReportSurplus(*answer, true);
    any = true;
  }
  return any;
}

void pooled_connection::ReportSurplus(const http_message& answer,
                                      bool is_idle) {
  const pool_settings& settings = pool_.settings_;
  if (!settings.on_surplus) {
    return;
  }
  settings.on_surplus({.address = address_,
                       .connection = number_,
                       .status = answer.status,
                       .echo = EchoOf(answer).value_or(""),
                       .awaited = is_idle ? std::string_view{} : echo_,
                       .is_idle = is_idle});
}

void pooled_connection::Answered(http_message answer) {
  KeepIdle(answer);
  if (opening_) {
    opening_ = false;
    pool_.FinishOpening(this, call_end::kAnswered);
    return;
  }
  call_result result{.end = call_end::kAnswered, .answer = std::move(answer)};
  pool_.Finish(this, std::move(result));
}

/// Makes the connection idle, if it can carry another call after this answer. A
/// copy of an answer without an echo could pass for the answer to any call.
void pooled_connection::KeepIdle(const http_message& answer) {
  // A peer that answered before the request was through would read the rest
  // of it as the next request.
  const bool has_more = ReportLeftAnswers();
  const bool reusable =
      answer.keep_alive && !answer.ended_by_close && !spoiled_ && !closed_ &&
      !reader_.in_message() && !has_more && stream_.bytes_waiting() == 0 &&
      carried_echoes_.size() + seen_marks_.size() < kMaxRemembered &&
      (IsWithoutEcho() || EchoOf(answer));
  const auto stated = StatedIdle(answer);
  const duration idle =
      stated ? std::chrono::duration_cast<duration>(*stated * kIdleShare)
             : pool_.settings_.keep_idle;
  idle_until_ = reusable ? Now() + idle : time_point{};
  answer_until_ = time_point::max();
  stream_.PauseReading(false);
}

void pooled_connection::FailSend(bool was_connected) {
  if (id_ == 0 && !opening_) {
    pool_.Drop(this);
    return;
  }
  if (lacks_descriptor_) {
    Fail(call_end::kNoDescriptor);
    return;
  }
  if (!was_connected) {
    Fail(stream_.was_refused() ? call_end::kRefused : call_end::kUnreachable);
    return;
  }
  Fail(stream_.bytes_sent() == sent_before_ ? call_end::kNotWritten
                                            : call_end::kBroken);
}

void pooled_connection::Fail(call_end end, uint64_t excess_bytes) {
  idle_until_ = time_point{};
  if (opening_) {
    pool_.FinishOpening(this, end);
    return;
  }
  pool_.Finish(this, {.end = end,
                      .unsent_body = stream_.TakeBody(),
                      .excess_bytes = excess_bytes,
                      .malformed = reader_.problem()});
}

}  // namespace foxtailspread
