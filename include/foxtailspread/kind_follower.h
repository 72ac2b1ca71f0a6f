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
#include "foxtailspread/store_revision.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One object of the store. An object whose content cannot be parsed is kept
/// without an item: it exists, but its content must not be used.
template <typename Item>
struct store_object {
  std::string name;
  store_revision revision{};
  std::optional<Item> item{};
};

/// The response to a list call: one page of the objects of a kind.
template <typename Item>
struct list_page {
  std::vector<store_object<Item>> objects;
  bool has_more = false;      ///< Continue after the last name.
  store_revision revision{};  ///< Of the store at the response.
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
  store_revision revision{};  ///< The next watch starts here.
};

/// Timing and behaviour of a follower.
struct follower_options {
  /// How long the store holds a watch call open until something changes.
  duration watch_timeout{std::chrono::seconds{20}};
  /// Minimum time between the starts of two watch calls. Calls to the store are
  /// billed, so changes of frequently written kinds are fetched in batches.
  duration min_watch_interval{0};
  /// Bounds of the backoff after failed calls. Calls are billed even while the
  /// store rejects this host, but once it accepts calls again, a draining
  /// target must be discovered soon.
  duration min_retry_delay{std::chrono::milliseconds{200}};
  duration max_retry_delay{std::chrono::milliseconds{1600}};
  /// Minimum time between two lists that are made because another host's copy
  /// differs. The other copy may be the outdated one, until that host's next
  /// call (650 ms) and heartbeat.
  duration min_refresh_interval{std::chrono::milliseconds{900}};
  /// Lists may return stale data; a watch brings each list up to date before it
  /// is used.
  bool stale_lists = false;
  /// How old a list that may be stale is at most.
  duration max_list_staleness{std::chrono::seconds{30}};
  /// How long the store is assumed to keep its change history. A copy whose
  /// revision is older than this is listed again instead of watched.
  duration history_retention{std::chrono::seconds{10}};
  /// Another host sends the content itself. While it does (see SuppressCalls),
  /// this host needs no copy and makes no calls.
  bool pushed_by_peer = false;
};

/// A call that a follower asks its owner to make: a list or a watch.
struct follower_call {
  bool is_list = false;
  bool allow_stale = false;  ///< List only: the response may be seconds old.
  std::string after_name{};  ///< List only: last name of the previous page.
  store_revision since_revision{};  ///< Watch only: the revision to start from.
  duration watch_timeout{};  ///< Watch only: how long to wait for a change.
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

  explicit kind_follower(follower_options options)
      : options_(options),
        retry_backoff_(options.min_retry_delay, options.max_retry_delay) {}

  /// Returns the call that is due now, if any, and marks it as in flight.
  std::optional<follower_call> NextCall(time_point now) {
    if (call_in_flight_ || now < EarliestCallTime()) {
      return std::nullopt;
    }
    call_in_flight_ = true;
    call_started_at_ = now;
    drop_response_ = false;
    call_is_first_page_ = false;
    if (catching_up_) {
      return follower_call{.since_revision = listing_revision_};
    }
    if (needs_list_ || now - revision_time_ > options_.history_retention) {
      needs_list_ = true;
      call_is_first_page_ = listing_after_name_.empty();
      if (call_is_first_page_) {
        listing_is_stale_ = MayListStale(now);
      }
      return follower_call{.is_list = true,
                           .allow_stale = listing_is_stale_,
                           .after_name = listing_after_name_};
    }
    return follower_call{.since_revision = revision_,
                         .watch_timeout = std::exchange(skip_watch_wait_, false)
                                              ? duration{0}
                                              : options_.watch_timeout};
  }

  /// When NextCall will return a call; never while one is in flight.
  time_point NextCallTime() const {
    return call_in_flight_ ? time_point::max() : EarliestCallTime();
  }

  /// Handles a page of a list. Returns true when the list has replaced the
  /// copy, which may have changed by that.
  bool OnListed(list_page<Item> page, time_point now) {
    if (page.has_more && page.objects.empty()) {
      // No name tells where the list goes on.
      OnFailed(now);
      return false;
    }
    OnResponse(now);
    if (drop_response_ || page.revision.era != era_) {
      return false;
    }
    if (listing_after_name_.empty()) {
      listing_started_at_ = call_started_at_;
    }
    for (store_object<Item>& object : page.objects) {
      listing_after_name_ = std::max(listing_after_name_, object.name);
      std::string name = object.name;
      listed_objects_.insert_or_assign(std::move(name), std::move(object));
    }
    // The watch starts at the oldest revision of all pages, so that it covers
    // changes made between two pages.
    listing_revision_ = listing_revision_.Exists()
                            ? std::min(listing_revision_, page.revision)
                            : page.revision;
    if (page.has_more) {
      return false;
    }
    if (listing_is_stale_) {
      catching_up_ = true;
      return false;
    }
    CommitListing(listing_started_at_);
    return true;
  }

  /// Handles the response to a watch. Returns whether the copy may have
  /// changed.
  bool OnWatched(change_page<Item> page, time_point now) {
    OnResponse(now);
    if (drop_response_ || page.revision.era != era_) {
      return false;
    }
    next_call_at_ =
        std::max(now, call_started_at_ + options_.min_watch_interval);
    bool changed = false;
    if (catching_up_) {
      for (store_change<Item>& change : page.changes) {
        Apply(change, listed_objects_);
      }
      listing_revision_ = std::max(listing_revision_, page.revision);
      CommitListing(call_started_at_);
      return true;
    }
    for (store_change<Item>& change : page.changes) {
      changed = Apply(change, objects_) || changed;
    }
    revision_ = std::max(revision_, page.revision);
    revision_time_ = now;
    MarkCurrentAsOf(now);
    return changed;
  }

  /// The store no longer has the changes since this copy's revision, so the
  /// kind is listed again.
  void OnHistoryGone(time_point now) {
    OnResponse(now);
    if (drop_response_) {
      return;
    }
    stale_list_failed_ = catching_up_;
    needs_list_ = true;
    DiscardListing();
  }

  /// Must be called with the era that an answer of the store names before that
  /// answer is handled, and with the eras that other hosts have seen. In a new
  /// era the kind is listed again: the history of the store is another one,
  /// even where a watch from the copy's revision is answered. The copy stays as
  /// it is until then.
  void OnEra(uint64_t era, time_point now) {
    if (era <= era_) {
      return;
    }
    const bool is_first = era_ == 0 && !complete_;
    era_ = era;
    if (is_first) {
      return;
    }
    era_began_at_ = now;
    // The first page of a list is as good as one that is asked for now.
    const bool is_fresh_list = call_is_first_page_ && !listing_is_stale_;
    drop_response_ = call_in_flight_ && !is_fresh_list;
    needs_list_ = true;
    DiscardListing();
    confirmed_until_ = {};
    next_call_at_ = now;
  }

  /// Whether the response to the call in flight is of no use.
  bool drops_response() const { return drop_response_; }
  /// The call in flight was cancelled; another one is due at once.
  void OnCancelled() { call_in_flight_ = false; }

  /// The call got no response, or was rejected.
  void OnFailed(time_point now) {
    call_in_flight_ = false;
    last_call_succeeded_ = false;
    failed_at_ = now;
    next_call_at_ = now + retry_backoff_.RecordFailure();
  }

  /// The store answered a call of another follower: a call that is waiting in
  /// backoff may be retried now.
  void RetryNow(time_point now) {
    if (IsFailing() && !call_in_flight_) {
      next_call_at_ = std::min(next_call_at_, now);
    }
  }

  /// Another host has confirmed that the copy was current at `as_of`. Makes no
  /// call before `until`.
  void Confirm(time_point as_of, time_point until) {
    confirmed_until_ = until;
    current_as_of_ = std::max(current_as_of_, as_of);
  }

  /// Another host sends the content itself. Makes no call before `until`.
  void SuppressCalls(time_point until) { confirmed_until_ = until; }

  /// Another host's copy differs: lists the kind again now, unless it was just
  /// listed for that reason. The copies will be compared again by `until`, so
  /// no further call is made before then.
  void Refresh(time_point now, time_point until) {
    if (now < next_refresh_at_) {
      return;
    }
    next_refresh_at_ = now + options_.min_refresh_interval;
    confirmed_until_ = until;
    if (!call_in_flight_ && complete_) {
      next_call_at_ = now;
      needs_list_ = true;
    }
  }

  /// No other host confirms the copy any more and the store's current state is
  /// needed: the next watch starts now and returns without waiting for a
  /// change.
  void ReadNow(time_point now) {
    confirmed_until_ = {};
    skip_watch_wait_ = true;
    if (!call_in_flight_) {
      next_call_at_ = now;
    }
  }

  /// Applies changes that another host has read; with them its copy was current
  /// at `as_of`. Returns whether this copy changed.
  bool OnPeerChanges(std::vector<store_change<Item>> changes,
                     time_point as_of) {
    const auto is_of_this_era = [&](const store_change<Item>& change) {
      return change.object.revision.era == era_;
    };
    if (!complete_ || needs_list_ ||
        !std::all_of(changes.begin(), changes.end(), is_of_this_era)) {
      return false;
    }
    bool changed = false;
    for (store_change<Item>& change : changes) {
      const auto found = objects_.find(change.object.name);
      const bool newer = found == objects_.end() ||
                         found->second.revision < change.object.revision;
      changed = (newer && Apply(change, objects_)) || changed;
    }
    MarkCurrentAsOf(as_of);
    return changed;
  }

  const object_map& objects() const { return objects_; }
  /// The revision of the store that the copy has reached.
  store_revision revision() const { return revision_; }
  /// The newest era that is known of; 0 before the first.
  uint64_t era() const { return era_; }
  /// True once the whole kind has been read since the process started.
  bool complete() const { return complete_; }
  /// True while a list of the whole kind is needed or in progress.
  bool is_listing() const { return needs_list_; }
  /// True if the last finished call got a response; false before the first.
  bool last_call_succeeded() const { return last_call_succeeded_; }
  /// True if the last finished call failed.
  bool IsFailing() const { return !last_call_succeeded_ && failed_at_; }
  std::optional<time_point> failed_at() const { return failed_at_; }
  /// The copy contains everything that the store had at this time, unless a
  /// watch has stopped delivering changes, which the next watch reveals.
  time_point current_as_of() const { return current_as_of_; }
  /// The value of current_as_of() before the last update. Everything that this
  /// update changed happened after that time.
  time_point previous_as_of() const { return previous_as_of_; }

 private:
  /// A stale list of before the present era names a revision that the store
  /// may have given out again.
  bool MayListStale(time_point now) const {
    const bool is_new_era =
        era_began_at_ && now - *era_began_at_ < options_.max_list_staleness;
    return options_.stale_lists && !stale_list_failed_ && !is_new_era;
  }

  time_point EarliestCallTime() const {
    const bool confirmed_by_peer =
        options_.pushed_by_peer || (complete_ && !needs_list_);
    return confirmed_by_peer ? std::max(next_call_at_, confirmed_until_)
                             : next_call_at_;
  }

  void OnResponse(time_point now) {
    call_in_flight_ = false;
    last_call_succeeded_ = true;
    next_call_at_ = now;
    retry_backoff_.RecordSuccess();
  }

  void MarkCurrentAsOf(time_point as_of) {
    previous_as_of_ = current_as_of_;
    current_as_of_ = std::max(current_as_of_, as_of);
  }

  void DiscardListing() {
    listed_objects_.clear();
    listing_after_name_.clear();
    listing_revision_ = {};
    catching_up_ = false;
  }

  /// Replaces the copy by the finished list, which contains everything that the
  /// store had at `as_of`.
  void CommitListing(time_point as_of) {
    objects_ = std::exchange(listed_objects_, {});
    revision_ = listing_revision_;
    revision_time_ = as_of;
    DiscardListing();
    stale_list_failed_ = false;
    needs_list_ = false;
    complete_ = true;
    MarkCurrentAsOf(as_of);
  }

  static bool Apply(store_change<Item>& change, object_map& destination) {
    const auto found = destination.find(change.object.name);
    if (found != destination.end() &&
        found->second.revision >= change.object.revision && !change.deleted) {
      return false;
    }
    if (change.deleted) {
      return destination.erase(change.object.name) > 0;
    }
    std::string name = change.object.name;
    destination.insert_or_assign(std::move(name), std::move(change.object));
    return true;
  }

  follower_options options_;
  backoff retry_backoff_;
  object_map objects_;
  object_map listed_objects_;
  std::string listing_after_name_;
  store_revision listing_revision_{};
  store_revision revision_{};
  uint64_t era_ = 0;
  std::optional<time_point> era_began_at_;  ///< Not set for the first era.
  time_point revision_time_{};  ///< When the store had that revision.
  bool needs_list_ = true;
  bool catching_up_ = false;        ///< Stale list complete; its watch is next.
  bool stale_list_failed_ = false;  ///< History no longer reached back to it.
  bool complete_ = false;
  bool call_in_flight_ = false;
  bool call_is_first_page_ = false;  ///< The call lists from the beginning.
  bool listing_is_stale_ = false;    ///< The listing in progress may be stale.
  /// The call in flight was made for the history of an earlier era.
  bool drop_response_ = false;
  bool last_call_succeeded_ = false;
  bool skip_watch_wait_ = false;
  time_point call_started_at_{};
  time_point next_call_at_{};
  time_point confirmed_until_{};
  time_point next_refresh_at_{};
  time_point current_as_of_{};
  time_point previous_as_of_{};
  time_point listing_started_at_{};
  std::optional<time_point> failed_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_KIND_FOLLOWER_H_
