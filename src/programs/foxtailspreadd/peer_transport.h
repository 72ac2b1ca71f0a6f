#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_TRANSPORT_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_TRANSPORT_H_

/// @file
/// Messages between entry hosts over gRPC, on the program's one GLib loop.

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "foxtailspread/error.h"
#include "foxtailspread/peer_message.h"
#include "peer.grpc.pb.h"

namespace foxtailspread {

/// Receives and sends messages. gRPC keeps threads of its own for its sockets;
/// no code of the project runs on them. Its one completion queue, for what is
/// received and sent alike, is emptied, never waited on, by whoever calls
/// Drain from the GLib loop.
class peer_transport {
 public:
  using receiver = std::function<void(peer_message)>;

  /// `secret` is shared by the deployment's hosts; messages without it are
  /// dropped.
  peer_transport(std::string secret, receiver on_message);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// Starts to serve on "IP:port" (port 0 takes a free one) and returns the
  /// bound address.
  result<std::string> Listen(std::string_view address);

  /// Sends a message, once Listen has succeeded. Lost ones are not repeated
  /// here: every message is either repeated by its sender's next tick or of no
  /// use later.
  void Send(const std::string& address, const peer_message& message);

  /// Passes on what has arrived since the last call, and lets gRPC look at its
  /// sockets. Most of a message's delay is the time between two calls; see
  /// docs/design/transport.md for the trade against processor time.
  void Drain();

 private:
  /// An operation whose end the completion queue reports.
  class operation;
  class incoming;
  class outgoing;
  struct link {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<proto::Peer::Stub> stub;
    int in_flight = 0;
  };

  void Accept();
  void Receive(const proto::PeerMessage& wire);
  link& LinkTo(const std::string& address);

  std::string secret_;
  receiver on_message_;
  proto::Peer::AsyncService service_;
  std::unique_ptr<grpc::ServerCompletionQueue> queue_;
  std::unique_ptr<grpc::Server> server_;
  std::map<std::string, link> links_;
  bool closing_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_TRANSPORT_H_
