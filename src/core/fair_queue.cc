#include "foxtailspread/fair_queue.h"

#include <algorithm>

namespace foxtailspread {

void fair_queue::SetShare(int32_t organisation, double share) {
  flow& changed = FindOrCreateFlow(organisation);
  if (changed.size > 0) {
    waiting_share_sum_ += share - changed.share;
  }
  changed.share = share;
}

void fair_queue::PushBack(live_request& waiting) {
  AddToFlow(waiting).waiting.push_back(waiting);
}

void fair_queue::PushFront(live_request& waiting) {
  AddToFlow(waiting).waiting.push_front(waiting);
}

void fair_queue::Erase(live_request& waiting) {
  flow& f = *flows_[static_cast<size_t>(waiting.request.organisation)];
  RemoveFromFlow(f.classes[Index(waiting.request.level)], waiting);
}

live_request* fair_queue::Pop(bool archive_allowed, double cost) {
  class_flow* class_entry = SelectNext(archive_allowed, cost);
  if (class_entry == nullptr) {
    return nullptr;
  }
  live_request& first = class_entry->waiting.front();
  if (first.request.level == urgency::kArchive) {
    starts_since_archive_ = 0;
  } else if (Size(urgency::kArchive) > 0) {
    starts_since_archive_++;
  }
  Charge(*class_entry->parent, cost);
  RemoveFromFlow(*class_entry, first);
  return &first;
}

void fair_queue::AdjustCharge(int32_t organisation, double difference) {
  flow& f = FindOrCreateFlow(organisation);
  SetVirtualTime(f, f.virtual_time + difference / f.share);
}

int fair_queue::CountAhead(int32_t organisation, urgency level) const {
  const flow* f = FindFlow(organisation);
  if (f == nullptr) {
    return 0;
  }
  size_t count = 0;
  for (size_t c = 0; c <= Index(level); ++c) {
    count += f->classes[c].waiting.size();
  }
  return static_cast<int>(count);
}

double fair_queue::ShareAmongWaiting(int32_t organisation) const {
  const flow* f = FindFlow(organisation);
  const double own_share = f == nullptr ? 1 : f->share;
  const bool is_waiting = f != nullptr && f->size > 0;
  return own_share /
         (is_waiting ? waiting_share_sum_ : waiting_share_sum_ + own_share);
}

fair_queue::flow& fair_queue::FindOrCreateFlow(int32_t organisation) {
  const auto index = static_cast<size_t>(organisation);
  if (index >= flows_.size()) {
    flows_.resize(index + 1);
  }
  if (flows_[index] == nullptr) {
    flows_[index] = std::make_unique<flow>();
    flows_[index]->organisation = organisation;
    for (class_flow& class_entry : flows_[index]->classes) {
      class_entry.parent = flows_[index].get();
    }
  }
  return *flows_[index];
}

const fair_queue::flow* fair_queue::FindFlow(int32_t organisation) const {
  const auto index = static_cast<size_t>(organisation);
  return index < flows_.size() ? flows_[index].get() : nullptr;
}

fair_queue::class_flow& fair_queue::AddToFlow(live_request& waiting) {
  flow& f = FindOrCreateFlow(waiting.request.organisation);
  const size_t level = Index(waiting.request.level);
  if (f.size == 0) {
    // One start behind the queue's virtual time, so that this organisation
    // reliably gets the next free slot instead of tying with the others.
    f.virtual_time =
        std::max(f.virtual_time, virtual_time_ - last_cost_us_ / f.share);
    waiting_share_sum_ += f.share;
  }
  class_flow& class_entry = f.classes[level];
  if (class_entry.waiting.empty()) {
    by_class_[level].order.insert(class_entry);
  }
  if (level == Index(urgency::kUrgent) && by_class_[level].size == 0) {
    urgent_since_ = waiting.queued_since;
  }
  f.size++;
  by_class_[level].size++;
  size_++;
  return class_entry;
}

fair_queue::class_flow* fair_queue::SelectNext(bool archive_allowed,
                                               double cost) {
  flow_order& archive = by_class_[Index(urgency::kArchive)].order;
  const bool archive_waits = archive_allowed && !archive.empty();
  if (archive_waits && starts_since_archive_ >= kMaxStartsBeforeArchive) {
    return &*archive.begin();
  }
  class_flow* over_share = nullptr;
  for (size_t c = 0; c < by_class_.size(); ++c) {
    flow_order& order = by_class_[c].order;
    const bool allowed = c != Index(urgency::kArchive) || archive_allowed;
    if (order.empty() || !allowed) {
      continue;
    }
    class_flow& first = *order.begin();
    const double max_ahead = kMaxStartsAhead * cost / first.parent->share;
    if (first.parent->virtual_time <= virtual_time_ + max_ahead) {
      return &first;
    }
    over_share = over_share == nullptr ? &first : over_share;
  }
  return over_share;
}

void fair_queue::Charge(flow& charged, double cost) {
  last_cost_us_ = cost;
  const double active_shares = std::max(waiting_share_sum_, charged.share);
  virtual_time_ += cost / active_shares;
  // The limit on archive requests can leave an organisation far behind. With
  // all of that credit, its next burst of urgent requests would block all
  // other organisations, so the credit is limited.
  const double max_behind = kMaxStartsBehind * cost / charged.share;
  const double start_time =
      std::max(charged.virtual_time, virtual_time_ - max_behind);
  SetVirtualTime(charged, start_time + cost / charged.share);
  // If every waiting organisation is ahead of the queue's virtual time, move
  // it forward to the earliest one. Otherwise all would count as over their
  // share, and urgency alone would decide the order.
  double min_virtual_time = charged.virtual_time;
  for (const class_state& state : by_class_) {
    if (!state.order.empty()) {
      min_virtual_time =
          std::min(min_virtual_time, state.order.begin()->parent->virtual_time);
    }
  }
  virtual_time_ = std::max(virtual_time_, min_virtual_time);
}

void fair_queue::SetVirtualTime(flow& moved, double virtual_time) {
  for (size_t c = 0; c < by_class_.size(); ++c) {
    class_flow& class_entry = moved.classes[c];
    if (class_entry.order_hook.is_linked()) {
      flow_order& order = by_class_[c].order;
      order.erase(order.iterator_to(class_entry));
    }
  }
  moved.virtual_time = virtual_time;
  for (size_t c = 0; c < by_class_.size(); ++c) {
    if (!moved.classes[c].waiting.empty()) {
      by_class_[c].order.insert(moved.classes[c]);
    }
  }
}

void fair_queue::RemoveFromFlow(class_flow& kind, live_request& waiting) {
  const size_t level = Index(waiting.request.level);
  flow& f = *kind.parent;
  kind.waiting.erase(kind.waiting.iterator_to(waiting));
  if (kind.waiting.empty()) {
    flow_order& order = by_class_[level].order;
    order.erase(order.iterator_to(kind));
  }
  f.size--;
  by_class_[level].size--;
  size_--;
  if (f.size == 0) {
    waiting_share_sum_ -= f.share;
  }
}

}  // namespace foxtailspread
