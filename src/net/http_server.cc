#include "net/http_server.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "net/json_answer.h"

namespace foxtailspread {
namespace internal {
namespace {

constexpr char kContentLength[] = "Content-Length";
// A body over the limit is read through up to this many times the limit.
constexpr size_t kReadThroughFactor = 16;

}  // namespace

// One accepted connection. It is owned by its GSocket and deleted when libsoup
// lets go of that.
class server_connection : public boost::intrusive::list_base_hook<> {
 public:
  server_connection(http_server* server, GSocket* socket)
      : server_(server), socket_(socket) {
    server_->connections_.push_back(*this);
  }

  ~server_connection() {
    responder* const waiting = responder_;
    ReleaseResponder();
    Unlink();
    if (waiting != nullptr) {
      waiting->HandleGone();
    }
  }

  // The server is about to be destroyed before libsoup lets go of the socket.
  void Detach() {
    NoteWritten();
    server_ = nullptr;
    ReleaseResponder();
    deadline_.Cancel();
    first_byte_.Cancel();
    hang_up_.Cancel();
  }

  void AwaitRequest() {
    NoteWritten();
    receiving_ = false;
    too_large_ = false;
    received_ = 0;
    if (server_->draining_) {
      Close();
      return;
    }
    deadline_ = RunAfter(server_->limits_.max_idle_time, [this] { Close(); });
    if (g_socket_get_available_bytes(socket_) > 0) {
      BeginReceiving();
      return;
    }
    first_byte_ = RunOnDescriptor(g_socket_get_fd(socket_), POLLIN,
                                  [this] { BeginReceiving(); });
  }

  void BeginReceiving() {
    first_byte_.Cancel();
    if (receiving_) {
      return;
    }
    receiving_ = true;
    deadline_ = RunAfter(server_->limits_.max_request_time,
                         [this] { Refuse("408 Request Timeout"); });
  }

  void CheckHeaders(SoupServerMessage* message) {
    BeginReceiving();
    if (HasCallerEnded()) {
      Refuse("400 Bad Request");
      return;
    }
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(message);
    const char* length = soup_message_headers_get_one(headers, kContentLength);
    if (length == nullptr) {
      return;
    }
    // libsoup takes a length that it cannot read for none, and the body would
    // then be read as the next request. Two ways to state the length at once
    // let two readers disagree about where the request ends.
    const bool also_chunked =
        soup_message_headers_get_one(headers, "Transfer-Encoding") != nullptr;
    guint64 declared = 0;
    if (also_chunked || !g_ascii_string_to_unsigned(length, 10, 0, G_MAXINT64,
                                                    &declared, nullptr)) {
      Refuse("400 Bad Request");
      return;
    }
    if (declared / kReadThroughFactor > server_->limits_.max_body) {
      Refuse("413 Payload Too Large");
      return;
    }
    CheckLength(message, static_cast<goffset>(declared));
  }

  void CountChunk(SoupServerMessage* message, GBytes* chunk) {
    received_ += static_cast<goffset>(g_bytes_get_size(chunk));
    CheckLength(message, received_);
  }

  void EndReceiving() {
    first_byte_.Cancel();
    deadline_.Cancel();
  }

  void Attach(responder* to) {
    responder_ = to;
    unwritten_ = true;
    ++server_->in_flight_;
    // libsoup does not look at the socket while a request is being handled
    // and would find out only when it writes the answer. POLLRDHUP tells that
    // the caller has closed even when it had sent more bytes before.
    hang_up_ = RunOnDescriptor(g_socket_get_fd(socket_), POLLRDHUP, [this] {
      hang_up_.Cancel();
      responder* const waiting = responder_;
      if (waiting != nullptr) {
        waiting->HandleGone();
      }
    });
  }

  void ReleaseResponder() {
    hang_up_.Cancel();
    if (responder_ == nullptr) {
      return;
    }
    responder_->link_ = nullptr;
    responder_ = nullptr;
  }

  // libsoup writes an answer some turns of the loop after it was given. A
  // program that ended in between would lose it, and its caller would see a
  // connection that ends without an answer; so a request counts until then.
  void NoteWritten() {
    if (unwritten_ && server_ != nullptr) {
      --server_->in_flight_;
    }
    unwritten_ = false;
  }

  // Takes the connection out of the server's count, and with it an answer that
  // can no longer be written.
  void Unlink() {
    NoteWritten();
    if (is_linked()) {
      server_->connections_.erase(server_->connections_.iterator_to(*this));
    }
  }

  // Closes in both directions at once. The descriptor itself goes when libsoup
  // and the holders of responders let go of the socket.
  void Close() {
    g_socket_shutdown(socket_, TRUE, TRUE, nullptr);
    Unlink();
  }

  void SendRaw(std::string_view bytes) {
    g_socket_send(socket_, bytes.data(), bytes.size(), nullptr, nullptr);
  }

  bool Idle() const { return !receiving_ && responder_ == nullptr; }
  bool TooLarge() const { return too_large_; }
  bool Closed() const { return !is_linked(); }
  bool Draining() const { return server_ != nullptr && server_->draining_; }

 private:
  // Where a connection ends within a head, libsoup takes the lines that came
  // for the whole head.
  bool HasCallerEnded() const {
    char next = 0;
    return recv(g_socket_get_fd(socket_), &next, sizeof(next),
                MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // A body over the limit is read to its end but not kept: a caller that is
  // still writing would not see an answer that came before.
  void CheckLength(SoupServerMessage* message, goffset length) {
    if (too_large_ ||
        length <= static_cast<goffset>(server_->limits_.max_body)) {
      return;
    }
    too_large_ = true;
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
  }

  // Answers past libsoup, which answers only requests that it has read whole.
  void Refuse(std::string_view status) {
    SendRaw("HTTP/1.1 " + std::string{status} +
            "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    Close();
  }

  http_server* server_;
  GSocket* socket_;
  responder* responder_ = nullptr;
  timer first_byte_;
  timer deadline_;
  timer hang_up_;
  goffset received_ = 0;
  bool receiving_ = false;
  bool too_large_ = false;
  bool unwritten_ = false;
};

}  // namespace internal

namespace {

using internal::server_connection;

constexpr char kConnectionKey[] = "foxtailspread-connection";
constexpr int kBacklog = 1024;

struct guri_unref {
  void operator()(GHashTable* table) const { g_hash_table_unref(table); }
};

std::string FormatAddress(GSocketAddress* address) {
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) {
    return "";
  }
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  char* ip = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string{ip} + ":" +
                     std::to_string(g_inet_socket_address_get_port(inet));
  g_free(ip);
  return text;
}

gobject_ptr<GSocketAddress> ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return nullptr;
  }
  const std::string ip{address.substr(0, colon)};
  const std::string port{address.substr(colon + 1)};
  guint64 number = 0;
  if (!g_ascii_string_to_unsigned(port.c_str(), 10, 0, G_MAXUINT16, &number,
                                  nullptr)) {
    return nullptr;
  }
  return gobject_ptr<GSocketAddress>{g_inet_socket_address_new_from_string(
      ip.c_str(), static_cast<guint>(number))};
}

// The socket address of the caller is one object per connection; it carries
// the connection's own record from message to message.
server_connection* ConnectionOf(SoupServerMessage* message) {
  GSocketAddress* address = soup_server_message_get_remote_address(message);
  if (address == nullptr) {
    return nullptr;
  }
  return static_cast<server_connection*>(
      g_object_get_data(G_OBJECT(address), kConnectionKey));
}

// libsoup closes each connection behind its first answer when the server has
// no listener of its own, so that callers would connect anew for every
// request. This gives it one that nobody connects to: this file accepts by
// itself, because libsoup neither limits the connections nor can stop
// accepting without cutting off the requests in flight.
void KeepConnectionsAlive(SoupServer* server) {
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_un unnamed{.sun_family = AF_UNIX, .sun_path = {}};
  // A length that covers the family alone lets the kernel choose a free name.
  const bool listening = bind(fd, reinterpret_cast<const sockaddr*>(&unnamed),
                              sizeof(sa_family_t)) == 0 &&
                         listen(fd, 0) == 0;
  if (!listening) {
    close(fd);
    return;  // Works on, with a connection for each request.
  }
  const gobject_ptr<GSocket> listener{g_socket_new_from_fd(fd, nullptr)};
  soup_server_listen_socket(server, listener.get(),
                            static_cast<SoupServerListenOptions>(0), nullptr);
}

}  // namespace

std::string_view http_request::Method() const {
  return soup_server_message_get_method(message_);
}

std::string_view http_request::Path() const {
  return g_uri_get_path(soup_server_message_get_uri(message_));
}

std::optional<std::string> http_request::Query(std::string_view name) const {
  const char* query = g_uri_get_query(soup_server_message_get_uri(message_));
  if (query == nullptr) {
    return std::nullopt;
  }
  const std::unique_ptr<GHashTable, guri_unref> fields{soup_form_decode(query)};
  const std::string key{name};
  const auto* value =
      static_cast<const char*>(g_hash_table_lookup(fields.get(), key.c_str()));
  if (value == nullptr) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string_view> http_request::Header(
    std::string_view name) const {
  const std::string key{name};
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message_), key.c_str());
  if (value == nullptr) {
    return std::nullopt;
  }
  return value;
}

std::string_view http_request::Body() const {
  const SoupMessageBody* body = soup_server_message_get_request_body(message_);
  return {body->data, static_cast<size_t>(body->length)};
}

std::string http_request::Peer() const {
  return FormatAddress(soup_server_message_get_remote_address(message_));
}

responder::responder(SoupServerMessage* message,
                     internal::server_connection* link)
    : message_(ShareGobject(message)), link_(link) {
  link_->Attach(this);
  soup_server_message_pause(message);
}

responder::~responder() {
  if (open_) {
    Answer(ErrorAnswer(
        kHttpInternalError,
        {error_code::kUnavailable, "", "the request ended without an answer",
         "look for events of this time in the log"}));
  }
}

void responder::OnGone(std::function<void()> callback) {
  if (open_) {
    on_gone_ = std::move(callback);
  }
}

void responder::HandleGone() {
  if (!open_) {
    return;
  }
  const responder_ptr keep{this};
  const std::function<void()> on_gone = std::exchange(on_gone_, nullptr);
  Abort();
  if (on_gone) {
    on_gone();
  }
}

void responder::Finish() {
  open_ = false;
  if (link_ != nullptr) {
    link_->ReleaseResponder();
  }
  soup_server_message_unpause(message_.get());
  // Last: the callback may hold the last pointer to this.
  const std::function<void()> dropped = std::exchange(on_gone_, nullptr);
}

void responder::Answer(const http_answer& answer) {
  if (!open_) {
    return;
  }
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_.get());
  for (const http_header& header : answer.headers) {
    soup_message_headers_append(headers, header.name.c_str(),
                                header.value.c_str());
  }
  if (link_ != nullptr && link_->Draining()) {
    soup_message_headers_replace(headers, "Connection", "close");
  }
  soup_server_message_set_status(message_.get(),
                                 static_cast<guint>(answer.status), nullptr);
  soup_server_message_set_response(message_.get(), answer.content_type.c_str(),
                                   SOUP_MEMORY_COPY, answer.body.data(),
                                   answer.body.size());
  Finish();
}

void responder::Abort() {
  if (!open_) {
    return;
  }
  if (link_ != nullptr) {
    link_->Close();
  }
  soup_server_message_set_status(message_.get(), kHttpUnavailable, nullptr);
  Finish();
}

void responder::AnswerTruncated(const http_answer& answer) {
  if (!open_ || link_ == nullptr) {
    return;
  }
  const std::string head =
      "HTTP/1.1 " + std::to_string(answer.status) +
      " OK\r\nContent-Type: " + answer.content_type +
      "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
  link_->SendRaw(head + answer.body.substr(0, answer.body.size() / 2));
  Abort();
}

http_server::http_server(http_server_limits limits) : limits_(limits) {
  server_.reset(soup_server_new("raw-paths", FALSE, nullptr));
  KeepConnectionsAlive(server_.get());
  g_signal_connect(
      server_.get(), "request-started",
      G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer self) {
        static_cast<http_server*>(self)->OnRequestStarted(message);
      }),
      this);
  soup_server_add_handler(
      server_.get(), nullptr,
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer self) { static_cast<http_server*>(self)->Dispatch(message); },
      this, nullptr);
}

http_server::~http_server() {
  while (!connections_.empty()) {
    internal::server_connection& connection = connections_.front();
    connection.Close();
    connection.Detach();
  }
  g_signal_handlers_disconnect_by_data(server_.get(), this);
  soup_server_remove_handler(server_.get(), nullptr);
  soup_server_disconnect(server_.get());
}

void http_server::Route(std::string prefix, http_handler handler) {
  routes_.insert_or_assign(std::move(prefix), std::move(handler));
}

result<std::string> http_server::Listen(std::string_view address) {
  const gobject_ptr<GSocketAddress> parsed = ParseAddress(address);
  if (!parsed) {
    return error{error_code::kMalformed, std::string{address},
                 "this is not an IP address and port",
                 "write it like 127.0.0.1:8080"};
  }
  GError* raw_error = nullptr;
  listener_.reset(g_socket_new(g_socket_address_get_family(parsed.get()),
                               G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                               &raw_error));
  if (listener_) {
    g_socket_set_blocking(listener_.get(), FALSE);
    g_socket_set_listen_backlog(listener_.get(), kBacklog);
  }
  const bool bound =
      listener_ &&
      g_socket_bind(listener_.get(), parsed.get(), TRUE, &raw_error) &&
      g_socket_listen(listener_.get(), &raw_error);
  const gerror_ptr failure{raw_error};
  if (!bound) {
    return error{error_code::kUnavailable, std::string{address},
                 failure->message, "free the port or choose another one"};
  }
  accept_ = RunOnDescriptor(g_socket_get_fd(listener_.get()), POLLIN,
                            [this] { Accept(); });
  const gobject_ptr<GSocketAddress> local{
      g_socket_get_local_address(listener_.get(), nullptr)};
  return FormatAddress(local.get());
}

void http_server::Accept() {
  const gobject_ptr<GSocket> socket{
      g_socket_accept(listener_.get(), nullptr, nullptr)};
  if (!socket) {
    return;
  }
  if (connections_.size() >= limits_.max_connections) {
    g_socket_close(socket.get(), nullptr);
    return;
  }
  g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  const gobject_ptr<GSocketConnection> stream{
      g_socket_connection_factory_create_connection(socket.get())};
  const gobject_ptr<GSocketAddress> local{
      g_socket_get_local_address(socket.get(), nullptr)};
  const gobject_ptr<GSocketAddress> remote{
      g_socket_get_remote_address(socket.get(), nullptr)};
  if (!local || !remote) {
    return;
  }
  auto connection =
      std::make_unique<internal::server_connection>(this, socket.get());
  g_object_set_data(G_OBJECT(remote.get()), kConnectionKey, connection.get());
  g_object_set_data_full(
      G_OBJECT(socket.get()), kConnectionKey, connection.release(),
      [](gpointer data) {
        delete static_cast<internal::server_connection*>(data);
      });
  soup_server_accept_iostream(server_.get(), G_IO_STREAM(stream.get()),
                              local.get(), remote.get(), nullptr);
}

void http_server::OnRequestStarted(SoupServerMessage* message) {
  internal::server_connection* connection = ConnectionOf(message);
  if (connection == nullptr) {
    if (GSocket* socket = soup_server_message_get_socket(message)) {
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    return;
  }
  g_signal_connect(message, "got-headers",
                   G_CALLBACK(+[](SoupServerMessage* m, gpointer) {
                     if (auto* connection = ConnectionOf(m)) {
                       connection->CheckHeaders(m);
                     }
                   }),
                   nullptr);
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage* m, GBytes* chunk, gpointer) {
        if (auto* connection = ConnectionOf(m)) {
          connection->CountChunk(m, chunk);
        }
      }),
      nullptr);
  g_signal_connect(message, "got-body",
                   G_CALLBACK(+[](SoupServerMessage* m, gpointer) {
                     if (auto* connection = ConnectionOf(m)) {
                       connection->EndReceiving();
                     }
                   }),
                   nullptr);
  g_signal_connect(message, "wrote-body",
                   G_CALLBACK(+[](SoupServerMessage* m, gpointer) {
                     if (auto* connection = ConnectionOf(m)) {
                       connection->NoteWritten();
                     }
                   }),
                   nullptr);
  g_signal_connect(message, "disconnected",
                   G_CALLBACK(+[](SoupServerMessage* m, gpointer) {
                     if (auto* connection = ConnectionOf(m)) {
                       connection->Unlink();
                     }
                   }),
                   nullptr);
  connection->AwaitRequest();
}

const http_handler* http_server::FindRoute(std::string_view path) const {
  const http_handler* found = nullptr;
  size_t longest = 0;
  for (const auto& [prefix, handler] : routes_) {
    if (path.starts_with(prefix) && prefix.size() >= longest) {
      found = &handler;
      longest = prefix.size();
    }
  }
  return found;
}

void http_server::Dispatch(SoupServerMessage* message) {
  internal::server_connection* connection = ConnectionOf(message);
  if (connection == nullptr || connection->Closed()) {
    soup_server_message_set_status(message, kHttpUnavailable, nullptr);
    return;
  }
  const responder_ptr to{new responder{message, connection}};
  if (connection->TooLarge()) {
    to->Answer(ErrorAnswer(
        kHttpTooLarge,
        {error_code::kTooLarge, "", "the body is over the limit",
         "send at most " + std::to_string(limits_.max_body) + " bytes"}));
    return;
  }
  const http_request request = to->Request();
  const http_handler* handler = FindRoute(request.Path());
  if (handler == nullptr) {
    to->Answer(ErrorAnswer(
        kHttpNotFound, {error_code::kUnknownName, "", "there is no such path",
                        "see the page of this program's protocol"}));
    return;
  }
  (*handler)(request, to);
}

void http_server::Drain() {
  draining_ = true;
  accept_.Cancel();
  listener_.reset();
  for (auto next = connections_.begin(); next != connections_.end();) {
    internal::server_connection& connection = *next;
    ++next;  // Closing takes the connection out of the list.
    if (connection.Idle()) {
      connection.Close();
    }
  }
}

}  // namespace foxtailspread
