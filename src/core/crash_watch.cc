#include "foxtailspread/crash_watch.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// A target whose life disappears from the list within this time after a broken
/// response counts as crashed by the request. The time covers three missed
/// reports of a target (2.6 s), and the lag of the list and of this host's
/// reading of it (1.5 s).
constexpr duration kCrashDetectionWindow{std::chrono::seconds{5}};

/// Maximum number of suspects. A crash breaks about a dozen requests at once;
/// larger numbers come from failing links and say little about contents.
constexpr size_t kMaxSuspects = 256;

/// Maximum number of marked contents, and how long a mark lasts after the
/// latest crash. A longer time would punish a content that merely ran when two
/// targets crashed for another reason; a shorter one would let a harmful
/// content crash two targets each time its mark expires.
constexpr size_t kMaxContents = 256;
constexpr duration kMarkTtl{std::chrono::minutes{2}};

/// Notes kept until they are taken.
constexpr size_t kMaxNotes = 256;

}  // namespace

crash_watch::crash_watch() : guard_(kMaxContents, kMarkTtl) {}

void crash_watch::OnBrokenResponse(uint64_t content_hash,
                                   const target_life& target, time_point now) {
  const bool known = std::any_of(
      suspects_.begin(), suspects_.end(), [&](const suspect& candidate) {
        return candidate.content_hash == content_hash &&
               candidate.target == target;
      });
  if (content_hash == 0 || known) {
    return;
  }
  if (suspects_.size() >= kMaxSuspects) {
    suspects_.pop_front();
  }
  suspects_.push_back(
      {.content_hash = content_hash, .target = target, .broken_at = now});
  AddNote({.note_kind = crash_note::kind::kSuspected,
           .content_hash = content_hash,
           .target = target.id});
}

void crash_watch::OnResponse(uint64_t content_hash, time_point now) {
  if (guard_.IsQuarantined(content_hash, now)) {
    AddNote({.note_kind = crash_note::kind::kCleared,
             .content_hash = content_hash});
  }
  guard_.Clear(content_hash);
  if (!suspects_.empty()) {
    std::erase_if(suspects_, [&](const suspect& candidate) {
      return candidate.content_hash == content_hash;
    });
  }
}

void crash_watch::OnTargetList(
    const std::function<bool(const target_life&)>& is_listed, time_point now) {
  std::erase_if(suspects_, [&](const suspect& candidate) {
    if (now - candidate.broken_at > kCrashDetectionWindow) {
      return true;
    }
    if (is_listed(candidate.target)) {
      return false;
    }
    const bool was_refused = IsQuarantined(candidate.content_hash, now);
    guard_.CountCrash(candidate.content_hash, now);
    AddNote({.note_kind = crash_note::kind::kCounted,
             .content_hash = candidate.content_hash,
             .target = candidate.target.id,
             .crashes = guard_.CrashCount(candidate.content_hash, now)});
    NoteRefusal(candidate.content_hash, was_refused, now);
    return true;
  });
}

bool crash_watch::IsQuarantined(uint64_t content_hash, time_point now) const {
  return guard_.IsQuarantined(content_hash, now);
}

std::vector<poison_mark> crash_watch::TakeNewMarks(time_point now) {
  return guard_.TakeNewMarks(now);
}

std::vector<poison_mark> crash_watch::LatestMarks(size_t max_count,
                                                  time_point now) const {
  std::vector<poison_mark> marks = guard_.Export(now);
  if (marks.size() > max_count) {
    marks.erase(marks.begin(),
                marks.end() - static_cast<std::ptrdiff_t>(max_count));
  }
  return marks;
}

void crash_watch::Import(std::span<const poison_mark> marks, time_point now) {
  for (const poison_mark& mark : marks) {
    const bool was_refused = IsQuarantined(mark.content_hash, now);
    guard_.Import(std::span{&mark, 1}, now);
    NoteRefusal(mark.content_hash, was_refused, now);
  }
}

size_t crash_watch::QuarantinedCount(time_point now) const {
  const std::vector<poison_mark> marks = guard_.Export(now);
  return static_cast<size_t>(
      std::ranges::count_if(marks, [&](const poison_mark& mark) {
        return guard_.IsQuarantined(mark.content_hash, now);
      }));
}

void crash_watch::AddNote(crash_note note) {
  if (notes_.size() < kMaxNotes) {
    notes_.push_back(std::move(note));
  }
}

void crash_watch::NoteRefusal(uint64_t content_hash, bool before,
                              time_point now) {
  if (!before && IsQuarantined(content_hash, now)) {
    AddNote({.note_kind = crash_note::kind::kRefused,
             .content_hash = content_hash,
             .crashes = guard_.CrashCount(content_hash, now)});
  }
}

}  // namespace foxtailspread
