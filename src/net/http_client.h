#ifndef FOXTAILSPREAD_NET_HTTP_CLIENT_H_
#define FOXTAILSPREAD_NET_HTTP_CLIENT_H_

/// @file
/// An HTTP/1.1 client on the GLib loop, over libsoup, that says of every
/// failure whether the request can have reached the other side.

#include <libsoup/soup.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/time.h"
#include "net/gobject_ptr.h"
#include "net/http_types.h"
#include "net/loop.h"

namespace foxtailspread {

/// How a call ended.
enum class http_outcome {
  kAnswered,       ///< The whole answer arrived.
  kConnectFailed,  ///< No connection came about; nothing was written.
  kBroken,         ///< The connection failed or the answer was not whole.
  kTimedOut,       ///< The time allowed for the call ran out.
  kTooLarge,       ///< The answer's body exceeds the call's limit.
};

/// Returns "answered", "connect-failed", "broken", "timed-out", "too-large".
std::string_view ToString(http_outcome outcome);

/// Whether the other side can have begun to work on the request.
enum class http_delivery {
  kNotWritten,    ///< Provably not: no byte of it was handed to a connection.
  kMaybeWritten,  ///< Cannot be excluded.
};

/// Which connection a call may use.
enum class http_connection_use {
  kKept,  ///< A kept connection if one is free.
  /// A connection of its own. Costs its set-up, and spares the call the unknown
  /// end that comes when the server closes a kept connection at this moment.
  kNew,
};

/// One call.
struct http_call_request {
  std::string method = "GET";
  std::string url{};
  std::vector<http_header> headers{};
  std::string body{};
  std::string content_type{kJsonType};  ///< Used when the body is not empty.
  duration timeout{std::chrono::seconds{5}};
  size_t max_body = size_t{4} << 20;
  http_connection_use connection = http_connection_use::kKept;
};

/// How a call ended, with the answer when there is a whole one.
struct http_call_result {
  http_outcome outcome = http_outcome::kBroken;
  http_delivery delivery = http_delivery::kNotWritten;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  std::string reason;  ///< For logs, when the outcome is not kAnswered.

  /// Returns the header field, its case ignored, or nothing.
  std::optional<std::string_view> Header(std::string_view name) const;
};

/// Bounds of a client's connections.
struct http_client_settings {
  int max_connections = 100'000;
  int max_connections_per_host = 50;
  /// Closes a connection that was unused for so long. Shorter than what the
  /// servers allow, so that the client is the one that closes.
  duration idle_timeout{std::chrono::seconds{30}};
};

/// A call in flight.
class http_call
    : public boost::intrusive_ref_counter<http_call,
                                          boost::thread_unsafe_counter> {
 public:
  using callback = std::function<void(http_call_result)>;

  http_call(http_call_request request, callback done);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  /// Gives the call up: its connection is closed, not reused, and the
  /// callback is not run. Does nothing after the callback.
  void Cancel();

  /// Whether the other side can have begun to work on the request by now.
  http_delivery Delivery() const { return delivery_; }

 private:
  friend class http_client;

  void Start(SoupSession* session);
  bool MakeMessage();
  void CollectHeaders();
  void ReadMore();
  void HandleSent(SoupSession* session, GAsyncResult* result);
  void HandleRead(GAsyncResult* result);
  void HandleEnd();
  void HandleError(const GError& error);
  void Complete(http_outcome outcome, std::string reason);
  void Disconnect();

  http_call_request request_;
  callback done_;
  gobject_ptr<SoupMessage> message_;
  gobject_ptr<GCancellable> cancellable_;
  gobject_ptr<GInputStream> stream_;
  timer timeout_;
  std::string chunk_;
  http_delivery delivery_ = http_delivery::kNotWritten;
  bool resend_refused_ = false;
  http_call_result result_;
};

using http_call_ptr = boost::intrusive_ptr<http_call>;

/// Sends calls over kept connections. Never follows a redirect, never sends
/// a request a second time and never takes a part of an answer for the whole.
///
/// @code
/// http_client client;
/// http_call_ptr call = client.Send(
///     {.method = "POST", .url = "http://10.0.0.7:8080/work", .body = text},
///     [](http_call_result result) { ... });
/// @endcode
class http_client {
 public:
  explicit http_client(http_client_settings settings = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. `done` runs once on the loop, never inside Send(), unless
  /// the call is cancelled first. The call goes on when the pointer is
  /// dropped.
  http_call_ptr Send(http_call_request request, http_call::callback done);

 private:
  gobject_ptr<SoupSession> session_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_CLIENT_H_
