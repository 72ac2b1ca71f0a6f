#include "net/waiting_calls.h"

#include <utility>

namespace foxtailspread {

void waiting_calls::Add(waiting_call added) {
  by_address_[added.address].insert(added.id);
  calls_.emplace(added.id, std::move(added));
}

const waiting_call* waiting_calls::First(const std::string& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr
                                    : &calls_.at(*found->second.begin());
}

std::optional<time_point> waiting_calls::NextDeadline() const {
  return calls_.empty() ? std::nullopt
                        : std::optional{calls_.begin()->second.write_until};
}

std::optional<waiting_call> waiting_calls::Take(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  waiting_call taken = std::move(found->second);
  calls_.erase(found);
  const auto same_address = by_address_.find(taken.address);
  same_address->second.erase(id);
  if (same_address->second.empty()) {
    by_address_.erase(same_address);
  }
  return taken;
}

std::optional<waiting_call> waiting_calls::TakeFirst(
    const std::string& address) {
  const waiting_call* first = First(address);
  return first == nullptr ? std::nullopt : Take(first->id);
}

std::optional<waiting_call> waiting_calls::TakeOverdue(time_point now) {
  const auto deadline = NextDeadline();
  return deadline && now >= *deadline ? Take(calls_.begin()->first)
                                      : std::nullopt;
}

}  // namespace foxtailspread
