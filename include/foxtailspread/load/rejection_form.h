#ifndef FOXTAILSPREAD_LOAD_REJECTION_FORM_H_
#define FOXTAILSPREAD_LOAD_REJECTION_FORM_H_

/// @file
/// How the full targets of a service reject requests.
///
/// Load pattern: more requests reach targets than they take. A target that
/// answers that it did not run a request costs its caller a moment; one that
/// resets the connection leaves open whether it ran, so that the request is
/// lost or draws on the retry budget. Only for the latter is it better to
/// refuse requests before they are sent.

#include <cstdint>

namespace foxtailspread {

/// What one host has seen of a service's targets.
class rejection_form {
 public:
  void OnRejectionAnswer() { ++answers_; }
  /// A connection to a target that was expected to be full was reset.
  void OnResetWhenFull() { ++resets_; }

  /// Whether full targets reset connections, as far as this host has seen; also
  /// before it has seen any rejection, because a reset may lose a request.
  bool resets_connections() const { return resets_ >= answers_; }

 private:
  uint64_t answers_ = 0;
  uint64_t resets_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_REJECTION_FORM_H_
