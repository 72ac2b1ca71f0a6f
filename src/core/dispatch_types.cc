#include "foxtailspread/dispatch_types.h"

namespace foxtailspread {

std::string_view ToString(finish_reason reason) {
  switch (reason) {
    case finish_reason::kQueueFull:
      return "queue-full";
    case finish_reason::kTooLate:
      return "too-late";
    case finish_reason::kDeadline:
      return "deadline";
    case finish_reason::kNoTarget:
      return "no-target";
    case finish_reason::kNoOwner:
      return "no-owner";
    case finish_reason::kPoisoned:
      return "poisoned";
    case finish_reason::kTargetLost:
      return "target-lost";
    case finish_reason::kRetryBudget:
      return "retry-budget";
    case finish_reason::kCancelled:
      return "cancelled";
    case finish_reason::kNoAuthority:
      return "no-authority";
    case finish_reason::kArchiveClosed:
      return "archive-closed";
  }
  return "unknown";
}

}  // namespace foxtailspread
