#ifndef FOXTAILSPREAD_NET_HTTP_SERVER_H_
#define FOXTAILSPREAD_NET_HTTP_SERVER_H_

/// @file
/// An HTTP/1.1 server on the GLib loop, over libsoup.

#include <libsoup/soup.h>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"
#include "net/gobject_ptr.h"
#include "net/http_types.h"
#include "net/loop.h"

namespace foxtailspread {

namespace internal {
class server_connection;
}

/// A received request. Every view into it is valid while its responder lives.
class http_request {
 public:
  explicit http_request(SoupServerMessage* message) : message_(message) {}

  std::string_view Method() const;
  /// The path with its escapes decoded, without the query.
  std::string_view Path() const;
  /// The decoded query parameter, or nothing when it is absent.
  std::optional<std::string> Query(std::string_view name) const;
  /// The header field, its case ignored, or nothing when it is absent.
  std::optional<std::string_view> Header(std::string_view name) const;
  std::string_view Body() const;
  /// The address of the caller, "IP:port".
  std::string Peer() const;

 private:
  SoupServerMessage* message_;
};

/// The means to answer one request, now or later, exactly once. When the last
/// pointer goes without an answer, the caller gets a 500: a request is never
/// left hanging.
class responder
    : public boost::intrusive_ref_counter<responder,
                                          boost::thread_unsafe_counter> {
 public:
  responder(SoupServerMessage* message, internal::server_connection* link);
  ~responder();
  responder(const responder&) = delete;
  responder& operator=(const responder&) = delete;

  /// The request that is to be answered.
  http_request Request() const { return http_request{message_.get()}; }

  /// Sends the answer. Does nothing if one was sent or the caller is gone.
  void Answer(const http_answer& answer);

  /// Closes the connection without an answer.
  void Abort();

  /// Declares the whole answer but sends only half of its body, then closes.
  /// Serves the stand-ins to bring about truncated answers.
  void AnswerTruncated(const http_answer& answer);

  /// Calls `callback` when the caller closes its connection before the answer,
  /// so that work for it can be given up. Not called after an answer. The
  /// callback is dropped with the answer, so that it may hold this responder.
  void OnGone(std::function<void()> callback);

  /// Whether an answer can still be sent.
  bool Open() const { return open_; }

 private:
  friend class internal::server_connection;

  void HandleGone();
  void Finish();

  gobject_ptr<SoupServerMessage> message_;
  internal::server_connection* link_;  // Null once the connection is gone.
  std::function<void()> on_gone_;
  bool open_ = true;
};

using responder_ptr = boost::intrusive_ptr<responder>;

/// Handles a request: answers through the responder now, or keeps it.
using http_handler = std::function<void(const http_request&, responder_ptr)>;

/// Bounds that keep one caller from taking the server's memory or sockets.
struct http_server_limits {
  size_t max_body = size_t{1} << 20;
  size_t max_connections = 10'000;
  /// From the first byte of a request to the end of its body. libsoup itself
  /// has no such limit: a caller that sends half a request would hold its
  /// socket for ever.
  duration max_request_time{std::chrono::seconds{10}};
  /// How long a connection may stay open without a request. Longer than the
  /// clients' idle time (http_client_settings::idle_timeout): a server that
  /// closes first breaks requests that are just being written.
  duration max_idle_time{std::chrono::seconds{120}};
};

/// Serves HTTP/1.1 on one address.
///
/// @code
/// http_server server{{.max_body = 64 << 10}};
/// server.Route("/v1/", [](const http_request& request, responder_ptr to) {
///   to->Answer({.body = "{}"});
/// });
/// result<std::string> bound = server.Listen("127.0.0.1:0");
/// @endcode
class http_server {
 public:
  explicit http_server(http_server_limits limits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Hands requests whose path starts with `prefix` to `handler`; the longest
  /// matching prefix wins. A path without a route is answered with 404.
  void Route(std::string prefix, http_handler handler);

  /// Binds `address` ("IP:port", port 0 takes a free one) and starts serving.
  /// Returns the address that was bound.
  result<std::string> Listen(std::string_view address);

  /// Stops accepting connections, closes those without a request and closes
  /// each other one behind its answer. Nothing in flight is cut off.
  void Drain();

  /// The number of open connections.
  size_t ConnectionCount() const { return connections_.size(); }

  /// The number of requests received whole whose answers are not yet written.
  size_t RequestsInFlight() const { return in_flight_; }

 private:
  friend class internal::server_connection;
  friend class responder;

  void Accept();
  void OnRequestStarted(SoupServerMessage* message);
  void Dispatch(SoupServerMessage* message);
  const http_handler* FindRoute(std::string_view path) const;

  using connection_list = boost::intrusive::list<
      internal::server_connection,
      boost::intrusive::base_hook<boost::intrusive::list_base_hook<>>>;

  http_server_limits limits_;
  std::map<std::string, http_handler, std::less<>> routes_;
  gobject_ptr<SoupServer> server_;
  gobject_ptr<GSocket> listener_;
  timer accept_;
  connection_list connections_;
  size_t in_flight_ = 0;
  bool draining_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_SERVER_H_
