#include "net/http_client.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace foxtailspread {
namespace {

constexpr size_t kChunkSize = size_t{16} << 10;

guint ToSeconds(duration value) {
  return static_cast<guint>(
      std::chrono::ceil<std::chrono::seconds>(value).count());
}

void AppendHeader(const char* name, const char* value, gpointer headers) {
  static_cast<std::vector<http_header>*>(headers)->push_back({name, value});
}

// Whether a truncated body would be noticed. One that ends with the connection
// cannot be told from a truncated one. Nor can one in chunks: libsoup 3.2
// takes a connection that closes between two chunks for the end of the body
// (seen with libsoup 3.2.3), and a caller would get a part for the whole.
bool StatesLength(SoupMessageHeaders* headers) {
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  return encoding == SOUP_ENCODING_CONTENT_LENGTH ||
         encoding == SOUP_ENCODING_NONE;
}

struct guri_unref {
  void operator()(GUri* uri) const { g_uri_unref(uri); }
};

}  // namespace

std::string_view ToString(http_outcome outcome) {
  switch (outcome) {
    case http_outcome::kAnswered:
      return "answered";
    case http_outcome::kConnectFailed:
      return "connect-failed";
    case http_outcome::kBroken:
      return "broken";
    case http_outcome::kTimedOut:
      return "timed-out";
    case http_outcome::kTooLarge:
      return "too-large";
  }
  return "unknown";
}

std::optional<std::string_view> http_call_result::Header(
    std::string_view name) const {
  for (const http_header& header : headers) {
    const bool same =
        header.name.size() == name.size() &&
        g_ascii_strncasecmp(header.name.data(), name.data(), name.size()) == 0;
    if (same) {
      return header.value;
    }
  }
  return std::nullopt;
}

http_call::http_call(http_call_request request, callback done)
    : request_(std::move(request)),
      done_(std::move(done)),
      cancellable_(g_cancellable_new()) {}

http_call::~http_call() { Disconnect(); }

void http_call::Disconnect() {
  if (message_) {
    g_signal_handlers_disconnect_by_data(message_.get(), this);
  }
}

void http_call::Cancel() {
  done_ = nullptr;
  timeout_.Cancel();
  g_cancellable_cancel(cancellable_.get());
}

bool http_call::MakeMessage() {
  const std::unique_ptr<GUri, guri_unref> uri{
      g_uri_parse(request_.url.c_str(),
                  static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), nullptr)};
  if (!uri || g_strcmp0(g_uri_get_scheme(uri.get()), "http") != 0 ||
      g_strcmp0(g_uri_get_host(uri.get()), "") == 0) {
    return false;
  }
  message_.reset(soup_message_new_from_uri(request_.method.c_str(), uri.get()));
  // Without the flag, libsoup opens a connection for each POST, because it
  // would send the request again if a kept one had closed. Start() rules that
  // out, and a target's few connections would soon be used up.
  const SoupMessageFlags use = request_.connection == http_connection_use::kKept
                                   ? SOUP_MESSAGE_IDEMPOTENT
                                   : SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags(message_.get(), static_cast<SoupMessageFlags>(
                                             SOUP_MESSAGE_NO_REDIRECT | use));
  SoupMessageHeaders* headers =
      soup_message_get_request_headers(message_.get());
  for (const http_header& header : request_.headers) {
    soup_message_headers_append(headers, header.name.c_str(),
                                header.value.c_str());
  }
  if (!request_.body.empty() || request_.method != "GET") {
    GBytes* bytes = g_bytes_new(request_.body.data(), request_.body.size());
    soup_message_set_request_body_from_bytes(
        message_.get(), request_.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  return true;
}

void http_call::Start(SoupSession* session) {
  // The reference that the pending operation holds is dropped in HandleEnd().
  intrusive_ptr_add_ref(this);
  timeout_ = RunAfter(request_.timeout, [this] {
    Complete(http_outcome::kTimedOut, "no whole answer in the time allowed");
    g_cancellable_cancel(cancellable_.get());
  });
  if (!MakeMessage()) {
    timeout_ = RunAfter(duration{0}, [this] {
      Complete(http_outcome::kConnectFailed, "the URL is not valid");
      HandleEnd();
    });
    return;
  }
  // "starting" comes when the message has got its connection, before its
  // first byte is written. From then on nobody can tell what has arrived.
  g_signal_connect(
      message_.get(), "starting", G_CALLBACK(+[](SoupMessage*, gpointer self) {
        static_cast<http_call*>(self)->delivery_ = http_delivery::kMaybeWritten;
      }),
      this);
  // libsoup sends an idempotent request a second time on its own when a kept
  // connection closes before the answer. The first copy may have taken
  // effect: a conditional write would then lose against itself. The caller
  // decides about every repetition, so that the call ends here.
  g_signal_connect(message_.get(), "restarted",
                   G_CALLBACK(+[](SoupMessage*, gpointer self) {
                     auto* call = static_cast<http_call*>(self);
                     call->resend_refused_ = true;
                     g_cancellable_cancel(call->cancellable_.get());
                   }),
                   this);
  soup_session_send_async(
      session, message_.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
      [](GObject* source, GAsyncResult* result, gpointer self) {
        static_cast<http_call*>(self)->HandleSent(SOUP_SESSION(source), result);
      },
      this);
}

void http_call::HandleSent(SoupSession* session, GAsyncResult* result) {
  GError* raw_error = nullptr;
  stream_.reset(soup_session_send_finish(session, result, &raw_error));
  const gerror_ptr error{raw_error};
  if (!stream_) {
    HandleError(*error);
    HandleEnd();
    return;
  }
  SoupMessageHeaders* headers =
      soup_message_get_response_headers(message_.get());
  if (!StatesLength(headers)) {
    Complete(http_outcome::kBroken, "the answer does not state its length");
    g_cancellable_cancel(cancellable_.get());
    HandleEnd();
    return;
  }
  CollectHeaders();
  chunk_.resize(kChunkSize);
  ReadMore();
}

void http_call::CollectHeaders() {
  result_.status = soup_message_get_status(message_.get());
  soup_message_headers_foreach(
      soup_message_get_response_headers(message_.get()), AppendHeader,
      &result_.headers);
}

void http_call::ReadMore() {
  g_input_stream_read_async(
      stream_.get(), chunk_.data(), chunk_.size(), G_PRIORITY_DEFAULT,
      cancellable_.get(),
      [](GObject*, GAsyncResult* result, gpointer self) {
        static_cast<http_call*>(self)->HandleRead(result);
      },
      this);
}

void http_call::HandleRead(GAsyncResult* result) {
  GError* raw_error = nullptr;
  const gssize length =
      g_input_stream_read_finish(stream_.get(), result, &raw_error);
  const gerror_ptr error{raw_error};
  if (length < 0) {
    HandleError(*error);
    HandleEnd();
    return;
  }
  if (length == 0) {
    Complete(http_outcome::kAnswered, "");
    HandleEnd();
    return;
  }
  const auto size = static_cast<size_t>(length);
  if (result_.body.size() + size > request_.max_body) {
    Complete(http_outcome::kTooLarge, "the answer's body is over the limit");
    // Ends the exchange with the connection: the rest stays unread.
    g_cancellable_cancel(cancellable_.get());
    HandleEnd();
    return;
  }
  result_.body.append(chunk_, 0, size);
  ReadMore();
}

void http_call::HandleError(const GError& error) {
  if (resend_refused_) {
    Complete(http_outcome::kBroken,
             "the kept connection closed before the answer");
    return;
  }
  Complete(delivery_ == http_delivery::kNotWritten
               ? http_outcome::kConnectFailed
               : http_outcome::kBroken,
           error.message);
}

void http_call::HandleEnd() {
  timeout_.Cancel();
  Disconnect();
  stream_.reset();
  intrusive_ptr_release(this);
}

void http_call::Complete(http_outcome outcome, std::string reason) {
  timeout_.Cancel();
  if (!done_) {
    return;
  }
  http_call_result result = std::move(result_);
  result.outcome = outcome;
  result.delivery = delivery_;
  result.reason = std::move(reason);
  if (outcome != http_outcome::kAnswered) {
    result.status = 0;
    result.headers.clear();
    result.body.clear();
  }
  const callback done = std::exchange(done_, nullptr);
  done(std::move(result));
}

http_client::http_client(http_client_settings settings) {
  session_.reset(soup_session_new_with_options(
      "max-conns", settings.max_connections, "max-conns-per-host",
      settings.max_connections_per_host, "idle-timeout",
      ToSeconds(settings.idle_timeout), "timeout", 0, nullptr));
  // Bodies pass through as they are, and nothing but the settings decides
  // where a connection goes.
  soup_session_remove_feature_by_type(session_.get(),
                                      SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_AUTH_MANAGER);
  soup_session_set_proxy_resolver(session_.get(), nullptr);
}

http_client::~http_client() { soup_session_abort(session_.get()); }

http_call_ptr http_client::Send(http_call_request request,
                                http_call::callback done) {
  http_call_ptr call{new http_call{std::move(request), std::move(done)}};
  call->Start(session_.get());
  return call;
}

}  // namespace foxtailspread
