#include "foxtailspread/crash_watch.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// How long after a broken answer the target's life may vanish from the list
/// for the two to belong together: three missed reports of a target (2.6 s),
/// the list's lag and this host's reading of it (1.5 s).
constexpr duration kCrashShows{std::chrono::seconds{5}};

/// Suspects kept. A crash breaks a dozen requests at once; more than this many
/// at a time come from links that fail, and say little of contents.
constexpr size_t kMostSuspects = 256;

/// Contents remembered, and for how long after the latest crash. Longer would
/// punish a content that was merely there when two targets died; shorter would
/// let one that does crash them take down two targets each time.
constexpr size_t kMostContents = 256;
constexpr duration kRemembered{std::chrono::minutes{2}};

}  // namespace

crash_watch::crash_watch() : guard_(kMostContents, kRemembered) {}

void crash_watch::OnBroken(uint64_t content, const target_life& target,
                           time_point now) {
  const bool known =
      std::any_of(suspects_.begin(), suspects_.end(), [&](const suspect& each) {
        return each.content == content && each.target == target;
      });
  if (content == 0 || known) {
    return;
  }
  if (suspects_.size() >= kMostSuspects) {
    suspects_.pop_front();
  }
  suspects_.push_back({.content = content, .target = target, .broke = now});
}

void crash_watch::OnAnswered(uint64_t content) {
  guard_.Clear(content);
  if (!suspects_.empty()) {
    std::erase_if(suspects_,
                  [&](const suspect& each) { return each.content == content; });
  }
}

void crash_watch::OnListed(
    const std::function<bool(const target_life&)>& is_listed, time_point now) {
  std::erase_if(suspects_, [&](const suspect& each) {
    if (now - each.broke > kCrashShows) {
      return true;
    }
    if (is_listed(each.target)) {
      return false;
    }
    guard_.CountCrash(each.content, now);
    return true;
  });
}

bool crash_watch::IsCrashing(uint64_t content, time_point now) const {
  return guard_.IsQuarantined(content, now);
}

std::vector<poison_mark> crash_watch::TakeNews(time_point now) {
  return guard_.TakeNews(now);
}

std::vector<poison_mark> crash_watch::Marks(size_t most, time_point now) const {
  std::vector<poison_mark> marks = guard_.Export(now);
  if (marks.size() > most) {
    marks.erase(marks.begin(), marks.end() - static_cast<std::ptrdiff_t>(most));
  }
  return marks;
}

void crash_watch::Import(std::span<const poison_mark> marks, time_point now) {
  guard_.Import(marks, now);
}

}  // namespace foxtailspread
