#include "review_target.h"

#include <sys/epoll.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "net/http_types.h"
#include "net/loop.h"
#include "platform/config_codec.h"
#include "platform/wire.h"

namespace foxtailspread::review {
namespace {

using nlohmann::json;

constexpr size_t kKeys = size_t{kLastKey} + 1;

/// A server that the users' pages describe closes an idle connection after this
/// time, and says so.
constexpr char kKeepAlive[] = "timeout=10";

std::string Text(std::optional<std::string_view> header) {
  return std::string{header.value_or(std::string_view{})};
}

}  // namespace

record::record(const std::string& path) : out_(path), start_(Now()) {}

void record::Line(const std::string& text) {
  const auto at =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - start_);
  out_ << at.count() << ' ' << text << '\n' << std::flush;
}

ledger::ledger(record& lines) : log(lines) {}

void ledger::OnRun(const std::string& attempt, const std::string& server) {
  const int count = ++runs[attempt];
  log.Line("run " + attempt + " at " + server +
           (count > 1 ? " again: run " + std::to_string(count) : ""));
}

void ledger::OnTake(const std::string& service, const std::string& server,
                    key_point first, key_point last, fence_number fence) {
  auto& top = top_[service];
  top.resize(kKeys);
  bool low = false;
  for (size_t key = first; key <= last; ++key) {
    low = low || (!top[key].server.empty() && top[key].server != server &&
                  fence <= top[key].fence);
    if (fence >= top[key].fence) {
      top[key] = {.fence = fence, .server = server};
    }
  }
  const std::string what = server + " takes " + std::to_string(first) + ".." +
                           std::to_string(last) + " with " +
                           std::to_string(fence);
  log.Line(what);
  if (is_at_work && is_at_work(server, first, last)) {
    owner_faults.push_back(what + ", on which another is at work");
    log.Line("broken: " + owner_faults.back());
  }
  if (low) {
    owner_faults.push_back(what + ", not above the fences of others");
  }
}

struct review_target::link {
  link(review_target& server, int fd)
      : owner(server),
        stream(server.events_, HandlerFor<&link::OnReady>(this)),
        reader(HTTP_REQUEST,
               {.max_header_bytes = 65536, .max_body_bytes = size_t{1} << 26}) {
    stream.Adopt(fd);
  }

  void OnReady(uint32_t events) {
    if (!stream.OnWritable(events)) {
      owner.OnClosed(*this);
      return;
    }
    const read_result read = stream.Read();
    if (read.end == read_end::kNothing) {
      return;
    }
    if (read.end != read_end::kData || !reader.Feed(read.bytes)) {
      owner.OnClosed(*this);
      return;
    }
    TakeNext();
  }

  void TakeNext() {
    while (!is_closed && !is_busy) {
      auto request = reader.Take();
      if (!request) {
        return;
      }
      is_busy = true;
      owner.OnRequest(*this, std::move(*request));
    }
  }

  review_target& owner;
  tcp_stream stream;
  http_reader reader;
  std::string extra;  ///< Sent when the next request arrives.
  bool is_busy = false;
  bool is_closed = false;
};

review_target::review_target(poller& events, server_options options,
                             ledger& seen)
    : events_(events),
      options_(std::move(options)),
      seen_(seen),
      listener_(events, [this](int fd) { OnAccepted(fd); }),
      holds_(options_.keyed ? kKeys : 0),
      fences_(options_.keyed ? kKeys : 0, 0) {}

review_target::~review_target() = default;

status review_target::Listen(const std::string& address) {
  status listening = listener_.Listen(address);
  address_ = "127.0.0.1:" + std::to_string(listener_.port());
  return listening;
}

void review_target::OnAccepted(int fd) {
  links_.push_back(std::make_unique<link>(*this, fd));
}

void review_target::OnClosed(link& from) {
  from.is_closed = true;  // Turn() destroys it.
  from.stream.Close();
  // A server drops a request when its connection closes.
  const auto is_its = [&](const job& each) { return each.from == &from; };
  std::erase_if(working_, is_its);
  std::erase_if(waiting_, is_its);
  std::erase_if(releases_, [&](const waiting_release& each) {
    return each.from == &from;
  });
}

void review_target::Answer(link& to, int status,
                           std::vector<http_header> headers, std::string body) {
  http_message answer;
  answer.status = status;
  answer.headers = std::move(headers);
  answer.headers.push_back({"Keep-Alive", kKeepAlive});
  if (draining) {
    answer.headers.push_back({std::string{platform::kServerLeaving}, "1"});
  }
  answer.body = std::move(body);
  const std::string bytes = FormatAnswer(answer, false);
  to.stream.Write(bytes);
  to.is_busy = false;
  std::uniform_real_distribution<double> share(0.0, 1.0);
  if (extra_share_ > 0.0 && share(seen_.random) < extra_share_) {
    to.extra = bytes;
  }
}

void review_target::Reject(link& to, int status, const std::string& attempt) {
  seen_.log.Line("reject " + attempt + " with " + std::to_string(status) +
                 " at " + options_.id);
  std::vector<http_header> headers = {
      {std::string{platform::kNotExecuted}, "1"}};
  if (rejects_with_id_) {
    headers.push_back({std::string{platform::kAttemptId}, attempt});
  }
  Answer(to, status, std::move(headers));
}

void review_target::OnRequest(link& from, http_message request) {
  if (!from.extra.empty()) {
    ++extras_;
    seen_.log.Line("extra answer from " + options_.id + " as " +
                   Text(request.Header(platform::kAttemptId)) + " arrives");
    from.stream.Write(std::exchange(from.extra, {}));
  }
  Serve(from, std::move(request));
}

void review_target::Serve(link& from, http_message request) {
  if (request.target == platform::kGrantPath ||
      request.target == platform::kReleasePath) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Answer(from, kHttpBadRequest, {});
    } else if (request.target == platform::kGrantPath) {
      Grant(from, body);
    } else {
      Release(from, body);
    }
    return;
  }
  if (request.target == "/healthz") {
    Answer(from, draining ? kHttpUnavailable : kHttpOk,
           {{"Instance-Id", options_.id}});
    return;
  }
  const time_point now = Now();
  const auto expected = request.Header(platform::kExpectedInstance);
  if (expected && *expected != options_.id) {
    Reject(from, platform::kMisdirectedStatus,
           Text(request.Header(platform::kAttemptId)));
    return;
  }
  job added{.from = &from, .request = std::move(request)};
  added.attempt = Text(added.request.Header(platform::kAttemptId));
  if (options_.keyed) {
    added.key =
        std::atoi(Text(added.request.Header(platform::kShardKey)).c_str());
    if (!Holds(static_cast<size_t>(added.key), now)) {
      Reject(from, platform::kMisdirectedStatus, added.attempt);
      return;
    }
  }
  std::uniform_real_distribution<double> share(0.0, 1.0);
  const bool turns_away =
      rejected_share_ > 0.0 && share(seen_.random) < rejected_share_;
  if (turns_away || (working_.size() >= options_.slots &&
                     waiting_.size() >= options_.queue)) {
    Reject(from, kHttpUnavailable, added.attempt);
  } else if (working_.size() < options_.slots) {
    Begin(std::move(added), now);
  } else {
    waiting_.push_back(std::move(added));
  }
}

bool review_target::IsAtWork(key_point first, key_point last,
                             time_point now) const {
  return std::any_of(working_.begin(), working_.end(), [&](const job& running) {
    return running.key >= first && running.key <= last &&
           (Holds(static_cast<size_t>(running.key), now) ||
            running.hold_until > now);
  });
}

void review_target::Begin(job started, time_point now) {
  seen_.OnRun(started.attempt, options_.id);
  started.done = now + options_.work;
  working_.push_back(std::move(started));
}

void review_target::Turn(time_point now) {
  std::vector<job> done;
  for (auto each = working_.begin(); each != working_.end();) {
    if (each->done > now) {
      ++each;
      continue;
    }
    done.push_back(std::move(*each));
    each = working_.erase(each);
  }
  for (const job& each : done) {
    Answer(*each.from, kHttpOk,
           {{std::string{platform::kAttemptId}, each.attempt},
            {std::string{platform::kSignature}, options_.id + each.attempt}},
           each.request.method == "HEAD" ? "" : each.request.target);
  }
  while (working_.size() < options_.slots && !waiting_.empty()) {
    job next = std::move(waiting_.front());
    waiting_.pop_front();
    if (next.key >= 0 && !Holds(static_cast<size_t>(next.key), now)) {
      Reject(*next.from, platform::kMisdirectedStatus, next.attempt);
    } else {
      Begin(std::move(next), now);
    }
  }
  AnswerReleases();
  for (const auto& each : links_) {
    each->TakeNext();
  }
  links_.remove_if([](const auto& each) { return each->is_closed; });
}

void review_target::Grant(link& from, const json& body) {
  const auto first = body.value("from", size_t{kKeys});
  const auto last = body.value("target", size_t{kKeys});
  const auto fence = body.value("fence", fence_number{0});
  std::optional<duration> time;
  for (const auto& [name, value] : body.items()) {
    if (name.starts_with("hold")) {
      time = platform::ReadDuration(value);
    }
  }
  if (!options_.keyed || !time || last >= kKeys || first > last) {
    Answer(from, kHttpBadRequest, {});
    return;
  }
  const time_point now = Now();
  bool takes = false;
  for (size_t key = first; key <= last; ++key) {
    if (fences_[key] > fence) {
      Answer(from, kHttpConflict, {});
      return;
    }
    takes = takes || !Holds(key, now) || holds_[key].fence != fence;
  }
  for (size_t key = first; key <= last; ++key) {
    fences_[key] = fence;
    holds_[key] = {.fence = fence, .until = now + *time};
  }
  if (takes) {
    seen_.OnTake(options_.service, options_.id, static_cast<key_point>(first),
                 static_cast<key_point>(last), fence);
  }
  Answer(from, kHttpOk, {});
}

void review_target::Release(link& from, const json& body) {
  const auto first = body.value("from", size_t{kKeys});
  const auto last = body.value("target", size_t{kKeys});
  const auto fence = body.value("fence", fence_number{0});
  if (!options_.keyed || last >= kKeys || first > last) {
    Answer(from, kHttpBadRequest, {});
    return;
  }
  for (job& running : working_) {
    const auto key = static_cast<size_t>(running.key);
    if (key >= first && key <= last && holds_[key].fence <= fence) {
      running.hold_until = std::max(running.hold_until, holds_[key].until);
    }
  }
  for (size_t key = first; key <= last; ++key) {
    fences_[key] = std::max(fences_[key], fence);
    if (holds_[key].fence <= fence) {
      holds_[key].until = {};
    }
  }
  seen_.log.Line(options_.id + " releases " + std::to_string(first) + ".." +
                 std::to_string(last) + " with " + std::to_string(fence));
  releases_.push_back({.from = &from,
                       .first = static_cast<int>(first),
                       .last = static_cast<int>(last)});
  AnswerReleases();
}

void review_target::AnswerReleases() {
  std::vector<link*> ended;
  std::erase_if(releases_, [&](const waiting_release& each) {
    const bool is_at_work =
        std::any_of(working_.begin(), working_.end(), [&](const job& running) {
          return running.key >= each.first && running.key <= each.last;
        });
    if (!is_at_work) {
      ended.push_back(each.from);
    }
    return !is_at_work;
  });
  for (link* each : ended) {
    Answer(*each, kHttpOk, {{std::string{platform::kHandover}, options_.id}});
  }
}

json review_target::Entry(uint64_t sequence) const {
  return {
      {"service", options_.service}, {"address", address_},
      {"zone", options_.zone},       {"version", "v1"},
      {"capacity", options_.slots},  {"state", draining ? "draining" : "ready"},
      {"sequence", sequence},        {"born", options_.born}};
}

}  // namespace foxtailspread::review
