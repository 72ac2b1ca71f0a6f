#ifndef FOXTAILSPREAD_CRASH_WATCH_H_
#define FOXTAILSPREAD_CRASH_WATCH_H_

/// @file
/// Distinguishes requests that crash their targets from requests that merely
/// got no complete response.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/crash_mark.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What a crash_watch has concluded, for the log.
struct crash_note {
  enum class kind {
    kSuspected,  ///< The target's answer broke off.
    kCounted,    ///< The target ended under the content.
    kRefused,    ///< The content is refused from now on.
    kCleared,    ///< The content is no longer refused.
  };
  kind note_kind = kind::kSuspected;
  uint64_t content_hash = 0;
  std::string target{};  ///< Empty unless the note is about one target.
  int crashes = 0;       ///< Known crashes under the content.
};

/// Detects request contents that crash targets, from what one host observes and
/// what the other hosts report.
///
/// Load pattern: a caller repeats the same request, through any host, and each
/// target that begins to run it crashes. A broken connection alone proves
/// nothing, as links are reset and responses corrupted while targets run on. A
/// crash is therefore counted only if the response broke off and the target's
/// life (one run of its process) then disappeared from the store's list. After
/// crashes of two targets the content is refused.
///
/// @code
/// watch.OnBrokenResponse(content_hash, target, now);
/// watch.OnTargetList([&](const target_life& life) { return IsListed(life); },
///                    now);
/// if (watch.IsQuarantined(content_hash, now)) Refuse();
/// @endcode
class crash_watch {
 public:
  /// Records that a request with this content got no complete response. A hash
  /// of 0 stands for no content and is ignored.
  void OnBrokenResponse(uint64_t content_hash, const target_life& target,
                        time_point now);
  /// Records that a target answered the content, which is therefore harmless.
  void OnResponse(uint64_t content_hash, time_point now);
  /// Counts a crash for each suspect whose target is missing from the store's
  /// list. Call it only with a list that is reliable.
  void OnTargetList(const std::function<bool(const target_life&)>& is_listed,
                    time_point now);

  /// Returns whether requests with this content are to be refused.
  bool IsQuarantined(uint64_t content_hash, time_point now) const;
  /// Returns the number of targets that ended under the content.
  int CrashCount(uint64_t content_hash, time_point now) const;
  /// Number of contents that are refused.
  size_t QuarantinedCount(time_point now) const;

  /// Returns what this host has learnt itself since the last call.
  crash_evidence TakeNews(time_point now);
  /// Returns the latest `max_count` marks of all hosts, newest last.
  crash_evidence Latest(size_t max_count, time_point now) const;
  /// Merges what another host knows.
  void Import(const crash_evidence& evidence, time_point now);

  /// Returns what was concluded since the last call.
  std::vector<crash_note> TakeNotes() { return std::exchange(notes_, {}); }

 private:
  /// A request that got no complete response and may have crashed its target.
  struct suspect {
    uint64_t content_hash = 0;
    target_life target;
    time_point broken_at{};
  };
  /// A target that ended under a content.
  struct mark {
    uint64_t content_hash = 0;
    target_life target;
    time_point broken_at{};
    bool is_unsent = false;  ///< Learnt here and not yet taken for sending.
  };

  void Add(mark added, time_point now);
  void DropExpired(time_point now);
  void AddNote(crash_note note);
  /// Notes that a content is refused from now on, if it was not `before`.
  void NoteRefusal(uint64_t content_hash, bool before, time_point now);

  std::deque<suspect> suspects_;  ///< Oldest first.
  std::vector<mark> marks_;       ///< In the order in which they were learnt.
  std::vector<crash_note> notes_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CRASH_WATCH_H_
