#ifndef FOXTAILSPREAD_CRASH_WATCH_H_
#define FOXTAILSPREAD_CRASH_WATCH_H_

/// @file
/// Tells requests that crash their targets from requests that a target
/// merely failed to answer.

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

#include "foxtailspread/key_map.h"
#include "foxtailspread/poison_guard.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What one host knows of contents that crash targets.
///
/// Load pattern: one caller sends the same request again and again, through
/// any host, and each target that begins to run it dies. A broken connection
/// alone proves nothing: links are reset, and answers spoiled. So a content is
/// held against only if its answer broke off and that life of the target then
/// vanished from the store's list. After two targets the content is refused.
///
/// @code
/// watch.OnBroken(content, target, now);
/// watch.OnListed([&](const target_life& life) { return IsListed(life); },
///                now);
/// if (watch.IsCrashing(content, now)) Refuse();
/// @endcode
class crash_watch {
 public:
  crash_watch();

  /// A request of this content ended without a whole answer. 0 is no content.
  void OnBroken(uint64_t content, const target_life& target, time_point now);
  /// A target answered the content: it is harmless.
  void OnAnswered(uint64_t content);
  /// Takes a list of targets that can be relied on.
  void OnListed(const std::function<bool(const target_life&)>& is_listed,
                time_point now);

  /// Whether the content is to be refused.
  bool IsCrashing(uint64_t content, time_point now) const;

  /// What this host saw since the last call, for the others.
  std::vector<poison_mark> TakeNews(time_point now);
  /// What is known of all hosts, the latest last and no more than `most`.
  std::vector<poison_mark> Marks(size_t most, time_point now) const;
  /// Takes what other hosts saw.
  void Import(std::span<const poison_mark> marks, time_point now);

 private:
  struct suspect {
    uint64_t content = 0;
    target_life target;
    time_point broke{};
  };

  poison_guard guard_;
  std::deque<suspect> suspects_;  ///< Oldest first.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CRASH_WATCH_H_
