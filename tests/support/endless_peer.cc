#include "support/endless_peer.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace foxtailspread::testing {
namespace {

constexpr size_t kBlockBytes = 65536;

}  // namespace

struct endless_peer::connection {
  connection(endless_peer& owner, int fd)
      : peer(owner),
        stream(owner.events_, HandlerFor<&connection::OnReady>(this)) {
    stream.Adopt(fd);
  }

  void OnReady(uint32_t events) {
    if (!stream.is_open() || !stream.OnWritable(events)) {
      stream.Close();
      return;
    }
    if (!has_request) {
      TakeRequest();
    }
    while (has_request && stream.is_open() && stream.bytes_waiting() == 0) {
      stream.Write(peer.block_);
    }
  }

  void TakeRequest() {
    const read_result read = stream.Read();
    if (read.end == read_end::kClosed || read.end == read_end::kBroken) {
      stream.Close();
    } else if (read.end == read_end::kData) {
      has_request = true;
      ++peer.requests_;
      stream.Write(peer.answer_.beginning);
    }
  }

  endless_peer& peer;
  tcp_stream stream;
  bool has_request = false;
};

endless_peer::endless_peer(poller& events, endless_answer answer)
    : events_(events),
      answer_(std::move(answer)),
      listener_(events, [this](int fd) { OnAccepted(fd); }) {
  while (block_.size() < kBlockBytes) {
    block_.append(answer_.repeated);
  }
}

endless_peer::~endless_peer() = default;

size_t endless_peer::connections() const {
  return static_cast<size_t>(std::ranges::count_if(
      connections_, [](const auto& each) { return each->stream.is_open(); }));
}

uint64_t endless_peer::bytes_sent() const {
  return std::accumulate(connections_.begin(), connections_.end(), uint64_t{0},
                         [](uint64_t sum, const auto& each) {
                           return sum + each->stream.bytes_sent();
                         });
}

void endless_peer::OnAccepted(int fd) {
  connections_.push_back(std::make_unique<connection>(*this, fd));
}

}  // namespace foxtailspread::testing
