#include "foxtailspread/load/held_memory.h"

namespace foxtailspread {

const char* ToString(held_kind kind) {
  switch (kind) {
    case held_kind::kRequests:
      return "requests";
    case held_kind::kAnswers:
      return "answers";
    case held_kind::kToTargets:
      return "to-targets";
  }
  return "unknown";
}

void held_memory::OnRefused() {
  ++refused_;
  is_short_ = true;
}

void held_memory::Replace(held_kind kind, size_t before, size_t after) {
  bytes_[static_cast<size_t>(kind)] += after - before;
  total_ += after - before;
  if (total_ <= bound_ / 2) {
    is_short_ = false;
  }
}

void memory_charge::Set(size_t bytes) {
  if (memory_ != nullptr && bytes != bytes_) {
    memory_->Replace(kind_, bytes_, bytes);
    bytes_ = bytes;
  }
}

}  // namespace foxtailspread
