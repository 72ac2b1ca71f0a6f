#ifndef FOXTAILSPREAD_KIND_FOLLOWER_H_
#define FOXTAILSPREAD_KIND_FOLLOWER_H_

/// @file
/// Keeps a host's copy of one kind of the store's objects up to date: lists it
/// once, then watches from the listed revision on.
///
/// A stale list costs a fraction of a current one, and a watch from its
/// revision makes it current. Kinds of several pages are listed so.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/object_sync.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One object of the store. An object whose content cannot be read has no
/// item: it exists, but says nothing that may be used.
template <typename Item>
struct store_object {
  std::string name;
  uint64_t revision = 0;
  std::optional<Item> item{};
};

/// The answer to a list call: a page of the kind.
template <typename Item>
struct list_page {
  std::vector<store_object<Item>> objects;
  bool more = false;      ///< Ask again after the last name.
  uint64_t revision = 0;  ///< The store's when it answered.
};

/// One change of an object.
template <typename Item>
struct store_change {
  store_object<Item> object;
  bool deleted = false;
};

/// The answer to a watch.
template <typename Item>
struct change_page {
  std::vector<store_change<Item>> changes;
  uint64_t revision = 0;  ///< Watch on from here.
};

/// The intervals of a follower.
struct follow_timing {
  /// How long a watch waits for a change.
  duration wait{std::chrono::seconds{20}};
  /// Least time between two watches. Kinds that change all the time are
  /// fetched in batches, since each call is paid for.
  duration pace{0};
  /// Pauses after failed calls. Each of them is paid for, also while the store
  /// turns this host away; a leaving target must be known soon after that ends.
  duration retry_first{std::chrono::milliseconds{200}};
  duration retry_most{std::chrono::milliseconds{1600}};
  /// A copy that differs from another host's is read again no more often: the
  /// other's may be the older one, until its own next call (650 ms) and
  /// heartbeat.
  duration refresh_pause{std::chrono::milliseconds{900}};
  /// Lists may be stale; each is made current by a watch before it is used.
  bool stale_lists = false;
  /// A copy whose revision is older is listed: the store may have forgotten the
  /// changes since.
  duration history{std::chrono::seconds{10}};
  /// Another host tells the content itself: while it vouches for that, no copy
  /// is needed here.
  bool told_by_others = false;
};

/// The next call of a follower.
struct follow_call {
  bool list = false;
  bool stale = false;   ///< With list: the answer may be seconds old.
  std::string after{};  ///< With list: the last name of the page before.
  uint64_t since = 0;   ///< With watch.
  duration wait{};      ///< With watch.
};

/// Follows one kind. At most one call is under way.
///
/// @code
/// if (auto call = follower.NextCall(now)) Start(*call);
/// if (follower.OnWatched(page, now)) Use(follower.objects());
/// @endcode
template <typename Item>
class kind_follower {
 public:
  using object_map = std::map<std::string, store_object<Item>>;

  explicit kind_follower(follow_timing timing)
      : timing_(timing), pause_(timing.retry_first, timing.retry_most) {}

  /// Returns the call that is due now and counts it as under way.
  std::optional<follow_call> NextCall(time_point now) {
    if (calling_ || now < DueAt()) {
      return std::nullopt;
    }
    calling_ = true;
    began_ = now;
    if (catching_up_) {
      return follow_call{.since = listing_revision_};
    }
    if (must_list_ || now - revision_at_ > timing_.history) {
      must_list_ = true;
      return follow_call{.list = true,
                         .stale = timing_.stale_lists && !stale_failed_,
                         .after = listing_after_};
    }
    return follow_call{
        .since = revision_,
        .wait = std::exchange(at_once_, false) ? duration{0} : timing_.wait};
  }

  /// When NextCall has something, if no call is under way.
  time_point NextDue() const { return calling_ ? time_point::max() : DueAt(); }

  /// Takes a page of the list. True when the copy is complete and may differ
  /// from before.
  bool OnListed(list_page<Item> page, time_point now) {
    Answered(now);
    if (listing_after_.empty()) {
      listing_began_ = began_;
    }
    for (store_object<Item>& object : page.objects) {
      listing_after_ = std::max(listing_after_, object.name);
      std::string name = object.name;
      listed_.insert_or_assign(std::move(name), std::move(object));
    }
    // Changes between two pages are found by watching from the oldest.
    listing_revision_ = listing_revision_ == 0
                            ? page.revision
                            : std::min(listing_revision_, page.revision);
    if (page.more && !page.objects.empty()) {
      return false;
    }
    if (timing_.stale_lists && !stale_failed_) {
      catching_up_ = true;
      return false;
    }
    UseListed(listing_began_);
    return true;
  }

  /// Takes the answer to a watch. True when something changed.
  bool OnWatched(change_page<Item> page, time_point now) {
    Answered(now);
    next_call_ = std::max(now, began_ + timing_.pace);
    bool changed = false;
    if (catching_up_) {
      for (store_change<Item>& change : page.changes) {
        Apply(change, listed_);
      }
      listing_revision_ = std::max(listing_revision_, page.revision);
      UseListed(began_);
      return true;
    }
    for (store_change<Item>& change : page.changes) {
      changed = Apply(change, objects_) || changed;
    }
    revision_ = std::max(revision_, page.revision);
    revision_at_ = now;
    IsCurrentAsOf(now);
    return changed;
  }

  /// The store no longer has the changes since this copy: list again.
  void OnHistoryGone(time_point now) {
    Answered(now);
    stale_failed_ = catching_up_;
    must_list_ = true;
    DropListed();
  }

  /// The call brought no answer, or was refused.
  void OnFailed(time_point now) {
    calling_ = false;
    answers_ = false;
    failed_at_ = now;
    next_call_ = now + pause_.Fail();
  }

  /// The store answered another call: one that failed may be made again.
  void RetryNow(time_point now) {
    if (IsFailing() && !calling_) {
      next_call_ = std::min(next_call_, now);
    }
  }

  /// Another host vouches that the copy was current at `as_of`: no call before
  /// `until`.
  void Confirm(time_point as_of, time_point until) {
    vouched_until_ = until;
    current_as_of_ = std::max(current_as_of_, as_of);
  }

  /// Another host tells the content itself: no call before `until`.
  void Spare(time_point until) { vouched_until_ = until; }

  /// Another host's copy differs: read the kind again now, unless that was
  /// just done. It will have been compared again by `until`.
  void Refresh(time_point now, time_point until) {
    if (now < refresh_after_) {
      return;
    }
    refresh_after_ = now + timing_.refresh_pause;
    vouched_until_ = until;
    if (!calling_ && complete_) {
      next_call_ = now;
      must_list_ = true;
    }
  }

  /// Nobody vouches any more, and what the store has now is needed: the next
  /// watch starts now and does not wait.
  void ReadNow(time_point now) {
    vouched_until_ = {};
    at_once_ = true;
    if (!calling_) {
      next_call_ = now;
    }
  }

  /// Takes changes that another host read, whose copy with them was current at
  /// `as_of`. True when something changed here.
  bool OnShared(std::vector<store_change<Item>> changes, time_point as_of) {
    if (!complete_) {
      return false;
    }
    bool changed = false;
    for (store_change<Item>& change : changes) {
      const auto found = objects_.find(change.object.name);
      const bool newer = found == objects_.end() ||
                         found->second.revision < change.object.revision;
      changed = (newer && Apply(change, objects_)) || changed;
    }
    IsCurrentAsOf(as_of);
    return changed;
  }

  const object_map& objects() const { return objects_; }
  /// True once the whole kind was read in this life.
  bool complete() const { return complete_; }
  /// True while the copy is to be replaced by a list of the whole kind.
  bool is_listing() const { return must_list_; }
  /// True while the last call was answered.
  bool answers() const { return answers_; }
  /// True while the last call failed.
  bool IsFailing() const { return !answers_ && failed_at_; }
  /// When a call last failed.
  std::optional<time_point> failed_at() const { return failed_at_; }
  /// The copy holds all that the store had by then, unless it has stopped
  /// hearing the watch, which the next one shows.
  time_point current_as_of() const { return current_as_of_; }
  /// The same of the copy before the last answer: what that answer changed
  /// happened after this.
  time_point same_until() const { return same_until_; }

 private:
  time_point DueAt() const {
    const bool vouched = timing_.told_by_others || (complete_ && !must_list_);
    return vouched ? std::max(next_call_, vouched_until_) : next_call_;
  }

  void Answered(time_point now) {
    calling_ = false;
    answers_ = true;
    next_call_ = now;
    pause_.Succeed();
  }

  void IsCurrentAsOf(time_point as_of) {
    same_until_ = current_as_of_;
    current_as_of_ = std::max(current_as_of_, as_of);
  }

  void DropListed() {
    listed_.clear();
    listing_after_.clear();
    listing_revision_ = 0;
    catching_up_ = false;
  }

  /// Puts the list in place of the copy; it holds all that the store had by
  /// `as_of`.
  void UseListed(time_point as_of) {
    objects_ = std::exchange(listed_, {});
    revision_ = listing_revision_;
    revision_at_ = as_of;
    DropListed();
    stale_failed_ = false;
    must_list_ = false;
    complete_ = true;
    IsCurrentAsOf(as_of);
  }

  static bool Apply(store_change<Item>& change, object_map& to) {
    const auto found = to.find(change.object.name);
    if (found != to.end() && found->second.revision >= change.object.revision &&
        !change.deleted) {
      return false;
    }
    if (change.deleted) {
      return to.erase(change.object.name) > 0;
    }
    std::string name = change.object.name;
    to.insert_or_assign(std::move(name), std::move(change.object));
    return true;
  }

  follow_timing timing_;
  backoff pause_;
  object_map objects_;
  object_map listed_;
  std::string listing_after_;
  uint64_t listing_revision_ = 0;
  uint64_t revision_ = 0;
  time_point revision_at_{};  ///< When the store was at that revision.
  bool must_list_ = true;
  bool catching_up_ = false;   ///< All pages are there, stale.
  bool stale_failed_ = false;  ///< History was gone since a stale list.
  bool complete_ = false;
  bool calling_ = false;
  bool answers_ = false;
  bool at_once_ = false;
  time_point began_{};
  time_point next_call_{};
  time_point vouched_until_{};
  time_point refresh_after_{};
  time_point current_as_of_{};
  time_point same_until_{};
  time_point listing_began_{};
  std::optional<time_point> failed_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KIND_FOLLOWER_H_
