#include "foxtailspread/load/descriptor_budget.h"

#include <algorithm>
#include <cerrno>

namespace foxtailspread {
namespace {

/// Kept for files, listeners, the balancer and the store, whatever the limit.
constexpr size_t kReserve = 48;

/// The shares of what is left, in sixteenths.
constexpr size_t kParts = 16;
constexpr size_t kCallersParts = 8;
constexpr size_t kRefusalsParts = 1;
constexpr size_t kRelayedParts = 1;
constexpr size_t kTargetsParts = 5;

}  // namespace

bool IsShortage(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:  // No free port of this host.
      return true;
    default:
      return false;
  }
}

accept_step StepAfterFailedAccept(int error) {
  switch (error) {
    case EAGAIN:
      return accept_step::kDone;
    case EMFILE:
      return accept_step::kMakeRoom;
    // The connection had failed before it was accepted.
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
      return accept_step::kNext;
    default:
      return accept_step::kWait;
  }
}

descriptor_shares ShareDescriptors(size_t descriptors) {
  const size_t left = descriptors - std::min(descriptors, kReserve);
  const auto share = [&](size_t parts) {
    return std::max<size_t>(left / kParts * parts, 1);
  };
  return {.callers = share(kCallersParts),
          .refusals = share(kRefusalsParts),
          .relayed = share(kRelayedParts),
          .targets = share(kTargetsParts)};
}

}  // namespace foxtailspread
