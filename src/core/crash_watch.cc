#include "foxtailspread/crash_watch.h"

#include <algorithm>
#include <set>

namespace foxtailspread {
namespace {

/// A target whose life disappears from the list within this time after a broken
/// response counts as crashed by the request. The time covers three missed
/// reports of a target (2.6 s), and the lag of the list and of this host's
/// reading of it (1.5 s).
constexpr duration kCrashDetectionWindow{std::chrono::seconds{5}};

/// Contents under which this many targets ended are refused.
constexpr int kQuarantineCrashCount = 2;

/// Maximum number of suspects. A crash breaks about a dozen requests at once;
/// larger numbers come from failing links and say little about contents.
constexpr size_t kMaxSuspects = 256;

/// Maximum number of marks, in all and of one content, and how long a mark
/// lasts. A longer time would punish a content that merely ran when two targets
/// crashed for another reason; a shorter one would let a harmful content crash
/// two targets each time its marks expire.
constexpr size_t kMaxMarks = 512;
constexpr size_t kMaxMarksPerContent = 8;
constexpr duration kMarkTtl{std::chrono::minutes{2}};

/// Notes kept until they are taken.
constexpr size_t kMaxNotes = 256;

}  // namespace

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
  if (IsQuarantined(content_hash, now)) {
    AddNote({.note_kind = crash_note::kind::kCleared,
             .content_hash = content_hash});
  }
  const auto is_of_content = [content_hash](const auto& known) {
    return known.content_hash == content_hash;
  };
  std::erase_if(marks_, is_of_content);
  std::erase_if(suspects_, is_of_content);
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
    Add({.content_hash = candidate.content_hash,
         .target = candidate.target,
         .broken_at = candidate.broken_at,
         .is_unsent = true},
        now);
    return true;
  });
}

void crash_watch::Add(mark added, time_point now) {
  DropExpired(now);
  const bool is_known = std::ranges::any_of(marks_, [&](const mark& known) {
    return known.content_hash == added.content_hash &&
           known.target == added.target;
  });
  const uint64_t content_hash = added.content_hash;
  const int crashes = CrashCount(content_hash, now);
  if (is_known || crashes >= static_cast<int>(kMaxMarksPerContent)) {
    return;
  }
  if (marks_.size() >= kMaxMarks) {
    marks_.erase(marks_.begin());
  }
  const bool was_refused = IsQuarantined(content_hash, now);
  AddNote({.note_kind = crash_note::kind::kCounted,
           .content_hash = content_hash,
           .target = added.target.id,
           .crashes = crashes + 1});
  marks_.push_back(std::move(added));
  NoteRefusal(content_hash, was_refused, now);
}

void crash_watch::DropExpired(time_point now) {
  std::erase_if(marks_, [now](const mark& known) {
    return now - known.broken_at >= kMarkTtl;
  });
}

int crash_watch::CrashCount(uint64_t content_hash, time_point now) const {
  return static_cast<int>(std::ranges::count_if(marks_, [&](const mark& known) {
    return known.content_hash == content_hash &&
           now - known.broken_at < kMarkTtl;
  }));
}

bool crash_watch::IsQuarantined(uint64_t content_hash, time_point now) const {
  return !marks_.empty() &&
         CrashCount(content_hash, now) >= kQuarantineCrashCount;
}

size_t crash_watch::QuarantinedCount(time_point now) const {
  std::set<uint64_t> refused;
  for (const mark& known : marks_) {
    if (IsQuarantined(known.content_hash, now)) {
      refused.insert(known.content_hash);
    }
  }
  return refused.size();
}

crash_evidence crash_watch::TakeNews(time_point now) {
  crash_evidence news;
  for (mark& known : marks_) {
    if (std::exchange(known.is_unsent, false)) {
      news.marks.push_back(
          {known.content_hash, known.target, now - known.broken_at});
    }
  }
  return news;
}

crash_evidence crash_watch::Latest(size_t max_count, time_point now) const {
  crash_evidence latest;
  for (const mark& known : marks_) {
    if (now - known.broken_at < kMarkTtl) {
      latest.marks.push_back(
          {known.content_hash, known.target, now - known.broken_at});
    }
  }
  if (latest.marks.size() > max_count) {
    latest.marks.erase(
        latest.marks.begin(),
        latest.marks.end() - static_cast<std::ptrdiff_t>(max_count));
  }
  return latest;
}

void crash_watch::Import(const crash_evidence& evidence, time_point now) {
  for (const crash_mark& told : evidence.marks) {
    if (told.content_hash != 0 && told.age < kMarkTtl) {
      Add({.content_hash = told.content_hash,
           .target = told.target,
           .broken_at = now - told.age},
          now);
    }
  }
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
             .crashes = CrashCount(content_hash, now)});
  }
}

}  // namespace foxtailspread
