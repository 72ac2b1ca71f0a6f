#ifndef FOXTAILSPREAD_KIND_FOLLOWER_H_
#define FOXTAILSPREAD_KIND_FOLLOWER_H_

/// @file
/// Keeps a host's copy of all objects of one kind in the store up to date:
/// lists the kind once, then watches it from the listed revision.
///
/// A list call that allows stale data costs a fraction of a consistent one, and
/// a watch from the returned revision brings it up to date. Kinds that span
/// several pages are listed this way.

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

/// One object of the store. An object whose content cannot be parsed is kept
/// without an item: it exists, but its content must not be used.
template <typename Item>
struct store_object {
  std::string name;
  uint64_t revision = 0;
  std::optional<Item> item{};
};

/// The response to a list call: one page of the objects of a kind.
template <typename Item>
struct list_page {
  std::vector<store_object<Item>> objects;
  bool more = false;      ///< Continue after the last name.
  uint64_t revision = 0;  ///< Of the store at the response.
};

/// A written or deleted object.
template <typename Item>
struct store_change {
  store_object<Item> object;
  bool deleted = false;
};

/// The response to a watch call.
template <typename Item>
struct change_page {
  std::vector<store_change<Item>> changes;
  uint64_t revision = 0;  ///< The next watch starts here.
};

/// Timing and behaviour of a follower.
struct follow_timing {
  /// How long the store holds a watch call open until something changes.
  duration wait{std::chrono::seconds{20}};
  /// Minimum time between the starts of two watch calls. Calls to the store are
  /// billed, so changes of frequently written kinds are fetched in batches.
  duration pace{0};
  /// Bounds of the backoff after failed calls. Calls are billed even while the
  /// store rejects this host, but once it accepts calls again, a draining
  /// target must be discovered soon.
  duration retry_first{std::chrono::milliseconds{200}};
  duration retry_most{std::chrono::milliseconds{1600}};
  /// Minimum time between two lists that are made because another host's copy
  /// differs. The other copy may be the outdated one, until that host's next
  /// call (650 ms) and heartbeat.
  duration refresh_pause{std::chrono::milliseconds{900}};
  /// Lists may return stale data; a watch brings each list up to date before it
  /// is used.
  bool stale_lists = false;
  /// How long the store is assumed to keep its change history. A copy whose
  /// revision is older than this is listed again instead of watched.
  duration history{std::chrono::seconds{10}};
  /// Another host sends the content itself. While it does (see SuppressCalls),
  /// this host needs no copy and makes no calls.
  bool told_by_others = false;
};

/// A call that a follower asks its owner to make: a list or a watch.
struct follow_call {
  bool list = false;
  bool stale = false;   ///< List only: the response may be seconds old.
  std::string after{};  ///< List only: last name of the previous page.
  uint64_t since = 0;   ///< Watch only: the revision to start from.
  duration wait{};      ///< Watch only: how long to wait for a change.
};

/// Tracks all objects of one kind. At most one call is in flight.
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

  /// Returns the call that is due now, if any, and marks it as in flight.
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

  /// When NextCall will return a call; never while one is in flight.
  time_point NextDue() const { return calling_ ? time_point::max() : DueAt(); }

  /// Handles a page of a list. Returns true when the list has replaced the
  /// copy, which may have changed by that.
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
    // The watch starts at the oldest revision of all pages, so that it covers
    // changes made between two pages.
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

  /// Handles the response to a watch. Returns whether the copy may have
  /// changed.
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

  /// The store no longer has the changes since this copy's revision, so the
  /// kind is listed again.
  void OnHistoryGone(time_point now) {
    Answered(now);
    stale_failed_ = catching_up_;
    must_list_ = true;
    DropListed();
  }

  /// The call got no response, or was rejected.
  void OnFailed(time_point now) {
    calling_ = false;
    answers_ = false;
    failed_at_ = now;
    next_call_ = now + pause_.Fail();
  }

  /// The store answered a call of another follower: a call that is waiting in
  /// backoff may be retried now.
  void RetryNow(time_point now) {
    if (IsFailing() && !calling_) {
      next_call_ = std::min(next_call_, now);
    }
  }

  /// Another host has confirmed that the copy was current at `as_of`. Makes no
  /// call before `until`.
  void Confirm(time_point as_of, time_point until) {
    vouched_until_ = until;
    current_as_of_ = std::max(current_as_of_, as_of);
  }

  /// Another host sends the content itself. Makes no call before `until`.
  void Spare(time_point until) { vouched_until_ = until; }

  /// Another host's copy differs: lists the kind again now, unless it was just
  /// listed for that reason. The copies will be compared again by `until`, so
  /// no further call is made before then.
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

  /// No other host confirms the copy any more and the store's current state is
  /// needed: the next watch starts now and returns without waiting for a
  /// change.
  void ReadNow(time_point now) {
    vouched_until_ = {};
    at_once_ = true;
    if (!calling_) {
      next_call_ = now;
    }
  }

  /// Applies changes that another host has read; with them its copy was current
  /// at `as_of`. Returns whether this copy changed.
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
  /// True once the whole kind has been read since the process started.
  bool complete() const { return complete_; }
  /// True while a list of the whole kind is needed or in progress.
  bool is_listing() const { return must_list_; }
  /// True if the last finished call got a response; false before the first.
  bool answers() const { return answers_; }
  /// True if the last finished call failed.
  bool IsFailing() const { return !answers_ && failed_at_; }
  std::optional<time_point> failed_at() const { return failed_at_; }
  /// The copy contains everything that the store had at this time, unless a
  /// watch has stopped delivering changes, which the next watch reveals.
  time_point current_as_of() const { return current_as_of_; }
  /// The value of current_as_of() before the last update. Everything that this
  /// update changed happened after that time.
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

  /// Replaces the copy by the finished list, which contains everything that the
  /// store had at `as_of`.
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
  time_point revision_at_{};  ///< When the store had that revision.
  bool must_list_ = true;
  bool catching_up_ = false;   ///< Stale list complete; its watch is next.
  bool stale_failed_ = false;  ///< History no longer reached back to it.
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
