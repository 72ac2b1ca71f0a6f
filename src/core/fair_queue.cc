#include "foxtailspread/fair_queue.h"

#include <algorithm>

namespace foxtailspread {

void fair_queue::SetShare(int32_t organisation, double share) {
  flow& changed = FlowOf(organisation);
  if (changed.size > 0) {
    waiting_share_ += share - changed.share;
  }
  changed.share = share;
}

void fair_queue::PushBack(live_request& waiting) {
  Admit(waiting).waiting.push_back(waiting);
}

void fair_queue::PushFront(live_request& waiting) {
  Admit(waiting).waiting.push_front(waiting);
}

void fair_queue::Erase(live_request& waiting) {
  flow& f = *flows_[static_cast<size_t>(waiting.request.organisation)];
  Forget(f.classes[Index(waiting.request.level)], waiting);
}

live_request* fair_queue::Pop(bool archive_allowed, double cost) {
  class_flow* kind = Choose(archive_allowed, cost);
  if (kind == nullptr) {
    return nullptr;
  }
  live_request& first = kind->waiting.front();
  if (first.request.level == urgency::kArchive) {
    since_archive_ = 0;
  } else if (Size(urgency::kArchive) > 0) {
    since_archive_++;
  }
  Charge(*kind->owner, cost);
  Forget(*kind, first);
  return &first;
}

void fair_queue::Correct(int32_t organisation, double difference) {
  flow& f = FlowOf(organisation);
  Reorder(f, f.virtual_time + difference / f.share);
}

int fair_queue::SizeAhead(int32_t organisation, urgency level) const {
  const flow* f = FindFlow(organisation);
  if (f == nullptr) {
    return 0;
  }
  size_t ahead = 0;
  for (size_t c = 0; c <= Index(level); ++c) {
    ahead += f->classes[c].waiting.size();
  }
  return static_cast<int>(ahead);
}

double fair_queue::ShareNow(int32_t organisation) const {
  const flow* f = FindFlow(organisation);
  const double own = f == nullptr ? 1 : f->share;
  const bool waits = f != nullptr && f->size > 0;
  return own / (waits ? waiting_share_ : waiting_share_ + own);
}

fair_queue::flow& fair_queue::FlowOf(int32_t organisation) {
  const auto index = static_cast<size_t>(organisation);
  if (index >= flows_.size()) {
    flows_.resize(index + 1);
  }
  if (flows_[index] == nullptr) {
    flows_[index] = std::make_unique<flow>();
    flows_[index]->organisation = organisation;
    for (class_flow& kind : flows_[index]->classes) {
      kind.owner = flows_[index].get();
    }
  }
  return *flows_[index];
}

const fair_queue::flow* fair_queue::FindFlow(int32_t organisation) const {
  const auto index = static_cast<size_t>(organisation);
  return index < flows_.size() ? flows_[index].get() : nullptr;
}

fair_queue::class_flow& fair_queue::Admit(live_request& waiting) {
  flow& f = FlowOf(waiting.request.organisation);
  const size_t level = Index(waiting.request.level);
  if (f.size == 0) {
    // One start ahead of those that have been waiting, so that it gets the
    // next free slot and not a draw.
    f.virtual_time =
        std::max(f.virtual_time, virtual_time_ - last_cost_ / f.share);
    waiting_share_ += f.share;
  }
  class_flow& kind = f.classes[level];
  if (kind.waiting.empty()) {
    by_class_[level].order.insert(kind);
  }
  if (level == Index(urgency::kUrgent) && by_class_[level].size == 0) {
    urgent_since_ = waiting.queued_since;
  }
  f.size++;
  by_class_[level].size++;
  size_++;
  return kind;
}

fair_queue::class_flow* fair_queue::Choose(bool archive_allowed, double cost) {
  flow_order& archive = by_class_[Index(urgency::kArchive)].order;
  const bool archive_waits = archive_allowed && !archive.empty();
  if (archive_waits && since_archive_ >= kArchiveEvery) {
    return &*archive.begin();
  }
  class_flow* lent = nullptr;
  for (size_t c = 0; c < by_class_.size(); ++c) {
    flow_order& order = by_class_[c].order;
    const bool allowed = c != Index(urgency::kArchive) || archive_allowed;
    if (order.empty() || !allowed) {
      continue;
    }
    class_flow& first = *order.begin();
    const double ahead = kMostAhead * cost / first.owner->share;
    if (first.owner->virtual_time <= virtual_time_ + ahead) {
      return &first;
    }
    lent = lent == nullptr ? &first : lent;
  }
  return lent;
}

void fair_queue::Charge(flow& charged, double cost) {
  last_cost_ = cost;
  const double shares = std::max(waiting_share_, charged.share);
  virtual_time_ += cost / shares;
  // An organisation held back by the cap on archive work falls behind; if it
  // kept all of that, its next urgent run would shut everybody else out.
  const double behind = kMostBehind * cost / charged.share;
  const double begin = std::max(charged.virtual_time, virtual_time_ - behind);
  Reorder(charged, begin + cost / charged.share);
  // Nobody waits who is not ahead of the queue's time: catch up, or all
  // would count as borrowing and urgency alone would decide.
  double least = charged.virtual_time;
  for (const class_state& state : by_class_) {
    if (!state.order.empty()) {
      least = std::min(least, state.order.begin()->owner->virtual_time);
    }
  }
  virtual_time_ = std::max(virtual_time_, least);
}

void fair_queue::Reorder(flow& moved, double virtual_time) {
  for (size_t c = 0; c < by_class_.size(); ++c) {
    class_flow& kind = moved.classes[c];
    if (kind.order_hook.is_linked()) {
      flow_order& order = by_class_[c].order;
      order.erase(order.iterator_to(kind));
    }
  }
  moved.virtual_time = virtual_time;
  for (size_t c = 0; c < by_class_.size(); ++c) {
    if (!moved.classes[c].waiting.empty()) {
      by_class_[c].order.insert(moved.classes[c]);
    }
  }
}

void fair_queue::Forget(class_flow& kind, live_request& waiting) {
  const size_t level = Index(waiting.request.level);
  flow& f = *kind.owner;
  kind.waiting.erase(kind.waiting.iterator_to(waiting));
  if (kind.waiting.empty()) {
    flow_order& order = by_class_[level].order;
    order.erase(order.iterator_to(kind));
  }
  f.size--;
  by_class_[level].size--;
  size_--;
  if (f.size == 0) {
    waiting_share_ -= f.share;
  }
}

}  // namespace foxtailspread
