#ifndef FOXTAILSPREAD_LOAD_DESCRIPTOR_BUDGET_H_
#define FOXTAILSPREAD_LOAD_DESCRIPTOR_BUDGET_H_

/// @file
/// What a host does when its descriptors run out.
///
/// Load pattern: callers open more connections than the process may have
/// descriptors, and keep them open.

#include <cstddef>

namespace foxtailspread {

/// Whether a call of the system failed with `error` (of errno) because this
/// host has nothing left to make a connection with. It says nothing about the
/// peer.
bool IsShortage(int error);

/// What follows a connection that was not accepted.
enum class accept_step {
  kNext,      ///< That one is gone; accept the next one.
  kDone,      ///< None waits.
  kMakeRoom,  ///< Free a descriptor, or wait a moment.
  kWait,      ///< Wait a moment: at once it would fail again.
};

/// Decides it from the error of the system (errno).
accept_step StepAfterFailedAccept(int error);

/// How many connections of each kind a host holds at most.
struct descriptor_shares {
  size_t callers = 0;   ///< Of callers.
  size_t refusals = 0;  ///< More of callers, whose requests are refused.
  size_t relayed = 0;   ///< Of hosts that hand requests over.
  size_t targets = 0;   ///< To targets.
  // The rest is for files, listeners, the balancer, the store, orders, probes
  // and hosts that requests are handed to.
};

/// Shares out the descriptors that a process may have.
descriptor_shares ShareDescriptors(size_t descriptors);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_DESCRIPTOR_BUDGET_H_
