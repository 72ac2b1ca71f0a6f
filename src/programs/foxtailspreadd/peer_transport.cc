#include "peer_transport.h"

#include <chrono>
#include <utility>

#include "peer_codec.h"

namespace foxtailspread {
namespace {

constexpr std::chrono::milliseconds kSendDeadline{800};
/// Messages under way to one host; more are dropped, since newer ones replace
/// them.
constexpr int kMaxInFlight = 64;
constexpr int kReconnectFirstMs = 50;
constexpr int kReconnectMostMs = 500;
constexpr int kMaxMessageBytes = 8 << 20;

}  // namespace

class peer_transport::operation {
 public:
  virtual ~operation() = default;
  /// Runs on the loop's thread when the queue reports the end.
  virtual void Done(bool ok) = 0;
};

class peer_transport::incoming : public operation {
 public:
  explicit incoming(peer_transport& owner)
      : owner_(owner), responder_(&context_) {
    owner_.service_.RequestDeliver(&context_, &message_, &responder_,
                                   owner_.queue_.get(), owner_.queue_.get(),
                                   this);
  }

  void Done(bool ok) override {
    if (finishing_ || !ok) {
      delete this;
      return;
    }
    owner_.Accept();
    finishing_ = true;
    responder_.Finish(proto::Ack(), grpc::Status::OK, this);
    owner_.Receive(message_);
  }

 private:
  peer_transport& owner_;
  grpc::ServerContext context_;
  proto::PeerMessage message_;
  grpc::ServerAsyncResponseWriter<proto::Ack> responder_;
  bool finishing_ = false;
};

class peer_transport::outgoing : public operation {
 public:
  outgoing(peer_transport& owner, link& to, const proto::PeerMessage& message)
      : to_(to) {
    ++to_.in_flight;
    context_.set_deadline(std::chrono::system_clock::now() + kSendDeadline);
    reader_ = to_.stub->AsyncDeliver(&context_, message, owner.queue_.get());
    reader_->Finish(&ack_, &status_, this);
  }

  void Done(bool) override {
    --to_.in_flight;
    delete this;
  }

 private:
  link& to_;
  grpc::ClientContext context_;
  proto::Ack ack_;
  grpc::Status status_;
  std::unique_ptr<grpc::ClientAsyncResponseReader<proto::Ack>> reader_;
};

peer_transport::peer_transport(std::string secret, receiver on_message)
    : secret_(std::move(secret)), on_message_(std::move(on_message)) {}

peer_transport::~peer_transport() {
  closing_ = true;
  if (server_ != nullptr) {
    server_->Shutdown(std::chrono::system_clock::now());
  }
  if (queue_ == nullptr) {
    return;
  }
  queue_->Shutdown();
  void* tag = nullptr;
  bool ok = false;
  while (queue_->Next(&tag, &ok)) {
    static_cast<operation*>(tag)->Done(false);
  }
}

result<std::string> peer_transport::Listen(std::string_view address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(std::string(address),
                           grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service_);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  queue_ = builder.AddCompletionQueue();
  server_ = builder.BuildAndStart();
  if (server_ == nullptr || port == 0) {
    return error{error_code::kUnavailable, std::string(address),
                 "the address cannot be bound",
                 "choose a free port or stop what uses it"};
  }
  Accept();
  const std::string_view ip = address.substr(0, address.rfind(':'));
  return std::string(ip) + ":" + std::to_string(port);
}

void peer_transport::Accept() {
  if (!closing_) {
    new incoming(*this);
  }
}

void peer_transport::Receive(const proto::PeerMessage& wire) {
  if (wire.secret() == secret_ && !closing_) {
    on_message_(Decode(wire));
  }
}

peer_transport::link& peer_transport::LinkTo(const std::string& address) {
  link& to = links_[address];
  if (to.channel == nullptr) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectFirstMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMostMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMostMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    to.channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
    to.stub = proto::Peer::NewStub(to.channel);
  }
  return to;
}

void peer_transport::Send(const std::string& address,
                          const peer_message& message) {
  if (queue_ == nullptr) {
    return;
  }
  link& to = LinkTo(address);
  if (to.in_flight < kMaxInFlight) {
    new outgoing(*this, to, Encode(message, secret_));
  }
}

void peer_transport::Drain() {
  if (queue_ == nullptr) {
    return;
  }
  void* tag = nullptr;
  bool ok = false;
  const gpr_timespec now = gpr_time_0(GPR_CLOCK_REALTIME);
  while (queue_->AsyncNext(&tag, &ok, now) ==
         grpc::CompletionQueue::GOT_EVENT) {
    static_cast<operation*>(tag)->Done(ok);
  }
}

}  // namespace foxtailspread
