#ifndef FOXTAILSPREAD_REVIEW_STAND_IN_REVIEW_TARGET_H_
#define FOXTAILSPREAD_REVIEW_STAND_IN_REVIEW_TARGET_H_

/// @file
/// A stand-in for one of the users' servers with its own sockets, so that it
/// can send bytes that belong to no request, and what all of them have run.

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"
#include "net/http_message.h"
#include "net/poller.h"
#include "net/tcp_stream.h"

namespace foxtailspread::review {

/// Writes record.txt: one line for each event, with milliseconds from the
/// start.
class record {
 public:
  explicit record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::ofstream out_;
  time_point start_;
};

/// What all servers of the run have seen.
struct ledger {
  explicit ledger(record& lines);

  /// A server begins to work on a request.
  void OnRun(const std::string& attempt, const std::string& server);
  /// A server that did not hold the keys takes them with this fence.
  void OnTake(const std::string& service, const std::string& server,
              key_point first, key_point last, fence_number fence);

  record& log;
  /// Whether another server of the service is at work on these keys.
  std::function<bool(const std::string& server, key_point first,
                     key_point last)>
      is_at_work;
  std::map<std::string, int> runs;  ///< By the identifier of the attempt.
  std::vector<std::string> owner_faults;
  std::mt19937 random{7};

 private:
  struct top_fence {
    fence_number fence = 0;
    std::string server;
  };
  std::map<std::string, std::vector<top_fence>> top_;  ///< By service.
};

/// What one server is like.
struct server_options {
  std::string id;
  uint64_t born = 0;
  std::string service;
  std::string zone;
  bool keyed = false;
  size_t slots = 3;
  size_t queue = 12;
  duration work{};
};

/// One life of a server. It serves one request at a time on a connection.
class review_target {
 public:
  review_target(poller& events, server_options options, ledger& seen);
  ~review_target();
  review_target(const review_target&) = delete;
  review_target& operator=(const review_target&) = delete;

  /// Listens at any free port of 127.0.0.1, or at `address`.
  status Listen(const std::string& address);
  const std::string& address() const { return address_; }
  const server_options& options() const { return options_; }

  /// Sends this part of its answers a second time, at the point where the next
  /// answer on the connection is expected.
  void SendExtra(double share) { extra_share_ = share; }
  /// Rejects this part of the requests although there is room.
  void RejectSome(double share) { rejected_share_ = share; }
  uint64_t extras() const { return extras_; }
  /// Leaves the identifier of the request out of rejections.
  void RejectWithoutId() { rejects_with_id_ = false; }

  /// Ends work whose time is over and begins what waits.
  void Turn(time_point now);

  /// What it writes of itself into the store.
  nlohmann::json Entry(uint64_t sequence) const;
  bool Holds(size_t key, time_point now) const {
    return options_.keyed && holds_[key].until > now;
  }

  /// Whether it is still at work on one of these keys, before its hold of it
  /// would have run out had it not been released.
  bool IsAtWork(key_point first, key_point last, time_point now) const;

  bool draining = false;

 private:
  struct link;
  struct job {
    link* from = nullptr;
    http_message request;
    std::string attempt;
    int key = -1;
    time_point done{};
    time_point hold_until{};  ///< As it stood when its key was released.
  };
  struct hold {
    fence_number fence = 0;
    time_point until{};
  };
  struct waiting_release {
    link* from = nullptr;
    int first = 0;
    int last = 0;
  };

  void OnAccepted(int fd);
  void OnRequest(link& from, http_message request);
  void OnClosed(link& from);
  void Serve(link& from, http_message request);
  void Grant(link& from, const nlohmann::json& body);
  void Release(link& from, const nlohmann::json& body);
  void Begin(job started, time_point now);
  void Answer(link& to, int status, std::vector<http_header> headers,
              std::string body = {});
  void AnswerReleases();
  /// Says that the request did not run.
  void Reject(link& to, int status, const std::string& attempt);

  poller& events_;
  server_options options_;
  ledger& seen_;
  tcp_listener listener_;
  std::string address_;
  std::list<std::unique_ptr<link>> links_;
  std::vector<job> working_;
  std::deque<job> waiting_;
  std::vector<hold> holds_;
  std::vector<fence_number> fences_;
  std::vector<waiting_release> releases_;
  double extra_share_ = 0.0;
  double rejected_share_ = 0.0;
  bool rejects_with_id_ = true;
  uint64_t extras_ = 0;
};

}  // namespace foxtailspread::review

#endif  // FOXTAILSPREAD_REVIEW_STAND_IN_REVIEW_TARGET_H_
