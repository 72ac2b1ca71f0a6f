#ifndef FOXTAILSPREAD_CRASH_WATCH_H_
#define FOXTAILSPREAD_CRASH_WATCH_H_

/// @file
/// Distinguishes requests that crash their targets from requests that merely
/// got no complete response.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "foxtailspread/crash_mark.h"
#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Who is told of crashes.
enum class crash_audience {
  kLeaseHolder,  ///< All that this host has learnt itself.
  /// Contents with marks of several targets. Answers get lost all the time, and
  /// most contents break off once.
  kAllHosts,
};

/// What a crash_watch has concluded, for the log.
struct crash_note {
  enum class kind {
    kSuspected,  ///< The target's answer broke off.
    kCounted,    ///< The target ended under the content.
    kSurvived,   ///< The target ran on after its answer broke off.
    kRefused,    ///< The content is refused from now on.
    kCleared,    ///< The content is harmless: a target served it.
  };
  kind note_kind = kind::kSuspected;
  uint64_t content_hash = 0;
  std::string target{};  ///< Empty unless the note is about one target.
  int crashes = 0;       ///< Marks of the content.
};

/// Detects request contents that crash targets, from what one host observes and
/// what the other hosts report.
///
/// Load pattern: a caller repeats the same request, through any host, and each
/// target that begins to run it crashes. A response that breaks off proves
/// nothing by itself, as links are reset and responses corrupted while targets
/// run on. It leaves a mark, a content and a life of a target (one run of its
/// process), which is confirmed when the store no longer lists that life, and
/// void when the target shows that it has run on. A content is refused after
/// confirmed marks of two targets, or marks of three of which none is void:
/// confirmation takes as long as an entry of the store takes to lapse, and
/// never comes while the store is unavailable.
///
/// Marks that tell nothing of the content do not count: those of a target under
/// which another content with more marks broke off too, and of targets that
/// broke off at the same moment.
///
/// @code
/// watch.OnBrokenResponse(content_hash, target, now);
/// watch.OnLifeSign(target, sent_at, now);
/// watch.OnTargetList([&](const target_life& life) { return IsListed(life); },
///                    now);
/// if (watch.IsQuarantined(content_hash, now)) Refuse();
/// @endcode
class crash_watch {
 public:
  /// Targets write to the store each `target_heartbeat`; the entry of one that
  /// has crashed lapses after three periods.
  explicit crash_watch(duration target_heartbeat = std::chrono::milliseconds{
                           870});

  /// Records that a request with this content got no complete response. A hash
  /// of 0 stands for no content and is ignored.
  void OnBrokenResponse(uint64_t content_hash, const target_life& target,
                        time_point now);
  /// Records that a target served the content, which is therefore harmless.
  void OnServed(uint64_t content_hash, time_point now);
  /// Records that a target answered a request that was sent at `sent_at`.
  void OnLifeSign(const target_life& target, time_point sent_at,
                  time_point now);
  /// Confirms the marks of targets that the store no longer lists, and drops
  /// those of targets that it still lists. Call it only with a list that is
  /// reliable.
  void OnTargetList(const std::function<bool(const target_life&)>& is_listed,
                    time_point now);

  /// Returns whether requests with this content are to be refused.
  bool IsQuarantined(uint64_t content_hash, time_point now) const;
  /// As IsQuarantined(), for a request that is then refused: the first refusal
  /// of a content leaves a note.
  bool ShouldRefuse(uint64_t content_hash, time_point now);
  /// Returns how long the content will still be refused if nothing more becomes
  /// known of it; 0 if it is not.
  duration RefusedFor(uint64_t content_hash, time_point now) const;
  /// Number of contents that are refused.
  size_t QuarantinedCount(time_point now) const;

  /// Returns what is to be sent at once: what this host has learnt itself since
  /// the last call, and what it was told to pass on.
  crash_evidence TakeNews(crash_audience audience, time_point now);
  /// Whether TakeNews() will return anything, now or soon.
  bool HasNews() const;
  /// Returns what was learnt in the last second, which is sent repeatedly as
  /// datagrams get lost.
  crash_evidence Recent(crash_audience audience, time_point now) const;
  /// Returns, for all hosts, the latest `max_count` items of each kind that any
  /// host knows, newest last.
  crash_evidence Latest(size_t max_count, time_point now) const;
  /// Merges what another host knows; `passes_on` adds what is new to the news
  /// of this host.
  void Import(const crash_evidence& evidence, bool passes_on, time_point now);

  /// Returns what was concluded since the last call.
  std::vector<crash_note> TakeNotes() { return std::exchange(notes_, {}); }

 private:
  struct mark {
    uint64_t content_hash = 0;
    target_life target;
    time_point broken_at{};
    time_point learnt_at{};
    bool is_confirmed = false;
    bool is_own = false;   ///< The response broke off at this host.
    bool is_news = false;  ///< To be returned by TakeNews().
  };
  /// The latest answer of a target to this host.
  struct life_sign {
    uint64_t started = 0;
    time_point sent_at{};
    time_point received_at{};
  };
  /// When something happened that voids earlier marks.
  struct voiding {
    time_point at{};
    time_point learnt_at{};
    bool is_own = false;  ///< Learnt at this host, not told by another.
    /// All hosts may know a mark that it voids.
    bool is_for_all = false;
    bool is_news = false;
  };

  /// Whether the target ran on after its answer broke off at `broken_at`.
  static bool ShowsSurvival(const life_sign& sign, time_point broken_at);
  bool HasShownSurvival(const mark& candidate) const;
  bool IsVoid(const mark& candidate) const;
  /// Whether responses of several targets have just broken off at this host.
  bool HasLostLinks(const target_life& target, time_point now);
  void Add(mark added, time_point now);
  void AddSurvivor(const target_life& target, voiding survived);
  void AddServed(uint64_t content_hash, voiding served);
  /// Removes the marks that `is_voided` holds for; returns their number.
  template <typename Predicate>
  size_t RemoveVoided(voiding& cause, const Predicate& is_voided);
  bool IsFor(crash_audience audience, const mark& known) const;
  static bool IsFor(crash_audience audience, const voiding& known);
  void DropExpired(time_point now);
  /// Returns marks learnt from `marks_since` on, and what voids marks and was
  /// learnt from `voidings_since` on; the newest `max_count` of each kind.
  crash_evidence Select(crash_audience audience, time_point marks_since,
                        time_point voidings_since, size_t max_count,
                        time_point now) const;
  size_t MarkCount(uint64_t content_hash) const;
  /// Whether another content explains the end of the mark's target better.
  bool IsExplained(const mark& candidate, size_t mark_count) const;
  void AddNote(crash_note note);

  duration entry_lifetime_;
  std::vector<mark> marks_;  ///< In the order in which they were learnt.
  std::unordered_map<std::string, life_sign> signs_;  ///< By target id.
  /// The latest break that each target survived, by id and start.
  std::map<std::pair<std::string, uint64_t>, voiding> survivors_;
  std::map<uint64_t, voiding> served_;  ///< By content.
  time_point links_lost_at_{};
  std::vector<uint64_t> refused_;  ///< Contents whose refusal was noted.
  std::vector<crash_note> notes_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CRASH_WATCH_H_
