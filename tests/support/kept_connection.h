#ifndef FOXTAILSPREAD_TESTS_SUPPORT_KEPT_CONNECTION_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_KEPT_CONNECTION_H_

/// @file
/// Callers of soaks, which keep their connections, and what they send and get.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/address.h"
#include "foxtailspread/time.h"
#include "net/http_message.h"
#include "net/poller.h"
#include "net/tcp_stream.h"
#include "platform/wire.h"

namespace foxtailspread {

struct soak_service {
  const char* name;
  bool is_keyed;
  bool is_safe;
  duration timeout;
};

inline uint64_t EnvironmentNumber(const char* variable,
                                  uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Tells the time, and the time without the stalls of the loop, by which
/// nothing can be late because the machine was busy.
class loop_clock {
 public:
  void OnTurn() {
    const time_point now = Now();
    constexpr duration kStall{std::chrono::milliseconds{50}};
    if (now - turned_at_ > kStall) {
      stalled_ += now - turned_at_;
    }
    turned_at_ = now;
  }
  time_point WithoutStalls() const { return Now() - stalled_; }
  duration stalled() const { return stalled_; }

 private:
  time_point turned_at_ = Now();
  duration stalled_{};
};

/// One process of a host.
struct host_life {
  size_t host = 0;
  int number = 0;
  duration grace{};
  bool is_done = false;
  bool is_excused = false;  ///< What it loses, an unplanned end lost.
  std::optional<time_point> stopped_at{};
  time_point fair_stop{};  ///< Without stalls, as the following.
  time_point fair_end{};
  time_point fair_last_connection{};  ///< When its last one ended.
};

struct sent_request {
  const soak_service* service = nullptr;
  std::string path;
  time_point sent_at{};
  time_point fair_sent_at{};
  bool is_behind_other = false;
};

struct received_answer {
  http_message message;
  time_point at{};
};

/// A caller's connection, and all that was sent and received over it.
class kept_connection {
 public:
  kept_connection(poller& events, const loop_clock& clock, host_life& life,
                  bool ignores_end)
      : stream_(events, HandlerFor<&kept_connection::OnReady>(this)),
        reader_(HTTP_RESPONSE, {}),
        clock_(clock),
        life_(life),
        ignores_end_(ignores_end) {}

  void Connect(uint16_t port) {
    const auto address = ParseAddress("127.0.0.1:" + std::to_string(port));
    if (!address || !stream_.Connect(address.value())) {
      End();
    }
  }

  void Send(const soak_service& service, const std::string& path,
            const std::string& key) {
    requests_.push_back({.service = &service,
                         .path = path,
                         .sent_at = Now(),
                         .fair_sent_at = clock_.WithoutStalls(),
                         .is_behind_other = unanswered() > 0 || heard_end_});
    http_message request;
    request.method = service.is_safe ? "GET" : "POST";
    request.target = path;
    request.headers = {{"Host", std::string{service.name} + ".example"},
                       {std::string{platform::kAttemptId}, path},
                       {std::string{platform::kDeadline}, "30000"},
                       {std::string{platform::kShardKey}, key}};
    request.body = service.is_safe ? "" : "body";
    stream_.Write(FormatRequest(request));
  }

  void End() {
    HearEnd();
    if (!std::exchange(has_ended_, true)) {
      stream_.Close();
      life_.fair_last_connection =
          std::max(life_.fair_last_connection, clock_.WithoutStalls());
    }
  }

  const std::vector<sent_request>& requests() const { return requests_; }
  const std::vector<received_answer>& answers() const { return answers_; }
  size_t unanswered() const {
    return requests_.size() - std::min(answers_.size(), requests_.size());
  }
  const host_life& life() const { return life_; }
  bool has_ended() const { return has_ended_; }
  /// The host has ended its side; the caller may not have.
  bool heard_end() const { return heard_end_; }
  time_point fair_end() const { return fair_end_; }
  bool is_malformed() const { return is_malformed_; }
  bool is_cut() const { return reader_.in_message(); }

 private:
  void OnReady(uint32_t events) {
    if (has_ended_) {
      return;
    }
    const bool is_sound = stream_.OnWritable(events);
    read_result read;
    while (stream_.is_connected()) {
      read = stream_.Read();
      if (read.end != read_end::kData) {
        break;
      }
      is_malformed_ = !reader_.Feed(read.bytes) || is_malformed_;
      while (auto answer = reader_.Take()) {
        answers_.push_back({std::move(*answer), Now()});
      }
    }
    if (!is_sound || read.end == read_end::kBroken) {
      End();
    } else if (read.end == read_end::kClosed) {
      HearEnd();
      if (ignores_end_) {
        stream_.PauseReading(true);
      } else {
        End();
      }
    }
  }

  void HearEnd() {
    if (!std::exchange(heard_end_, true)) {
      fair_end_ = clock_.WithoutStalls();
    }
  }

  tcp_stream stream_;
  http_reader reader_;
  const loop_clock& clock_;
  host_life& life_;
  bool ignores_end_;
  std::vector<sent_request> requests_;
  std::vector<received_answer> answers_;
  bool heard_end_ = false;
  bool has_ended_ = false;
  bool is_malformed_ = false;
  time_point fair_end_{};
};

struct soak_caller {
  bool is_pipelining = false;
  bool ignores_end = false;
  size_t depth = 1;
  duration longest_pause{};
  kept_connection* connection = nullptr;
  time_point next_at{};
  int sent_after_end = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_KEPT_CONNECTION_H_
