#include "foxtailspread/crash_watch.h"

#include <algorithm>
#include <set>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Missed heartbeats after which the store removes the entry of a target, and
/// the time until this host has read that.
constexpr int kHeartbeatsUntilLapse = 3;
constexpr duration kListLag{milliseconds{2400}};

/// A content is refused after this many targets that ended under it, or that
/// may have ended under it.
constexpr size_t kMaxConfirmed = 2;
constexpr size_t kMaxSuspected = 3;

/// A suspicion counts after this time, in which a target that runs on nearly
/// always answers a request of some host.
constexpr duration kSuspicionDelay{milliseconds{600}};

/// Responses that break off within this time have the same cause, and answers
/// that were sent before a crash have arrived after it.
constexpr duration kSameMoment{milliseconds{50}};

/// When responses of this many targets break off at one host in the same
/// moment, its links are lost, not the targets.
constexpr size_t kTargetsOfLostLinks = 3;

/// A target that has crashed does not answer again, under its former id, before
/// this time.
constexpr duration kMinRestartTime{milliseconds{1500}};

/// Two hosts learn of the same break within this time.
constexpr duration kReportingJitter{milliseconds{200}};

/// Maximum number of marks, in all and of one content, and how long a mark
/// lasts. A longer time would punish a content that merely ran when targets
/// crashed for another reason; a shorter one would let a harmful content crash
/// targets each time its marks expire.
constexpr size_t kMaxMarks = 256;
constexpr size_t kMaxMarksPerContent = 16;
constexpr duration kMarkTtl{std::chrono::minutes{2}};

/// Maximum number of targets of which signs of life are kept, and of targets
/// and contents whose marks are void.
constexpr size_t kMaxSigns = 4096;
constexpr size_t kMaxVoidings = 256;
/// How long hosts tell each other that marks are void.
constexpr duration kVoidingSharedFor{std::chrono::seconds{10}};

/// What was learnt in this time is sent repeatedly, and how much of each kind.
constexpr duration kRecentTime{std::chrono::seconds{1}};
constexpr size_t kMaxRecent = 60;

/// All hosts are told of contents with this many marks.
constexpr size_t kMinMarksForAll = 2;

/// Contents whose refusal has been noted.
constexpr size_t kMaxRefused = 64;

/// Notes kept until they are taken.
constexpr size_t kMaxNotes = 256;

template <typename Items>
void KeepLast(Items& items, size_t max_count) {
  if (items.size() > max_count) {
    items.erase(items.begin(),
                items.end() - static_cast<std::ptrdiff_t>(max_count));
  }
}

/// Records a later time in a bounded map; returns whether it is new.
template <typename Map, typename Key, typename Voiding>
bool RecordLater(Map& map, const Key& key, const Voiding& later) {
  const auto found = map.find(key);
  if (found != map.end() && found->second.at + kReportingJitter >= later.at) {
    return false;
  }
  if (found == map.end() && map.size() >= kMaxVoidings) {
    map.erase(std::ranges::min_element(
        map, {}, [](const auto& entry) { return entry.second.at; }));
  }
  map[key] = later;
  return true;
}

}  // namespace

crash_watch::crash_watch(duration target_heartbeat)
    : entry_lifetime_(kHeartbeatsUntilLapse * target_heartbeat + kListLag) {}

void crash_watch::OnBrokenResponse(uint64_t content_hash,
                                   const target_life& target, time_point now) {
  if (content_hash == 0 || HasLostLinks(target, now)) {
    return;
  }
  Add({.content_hash = content_hash,
       .target = target,
       .broken_at = now,
       .is_own = true,
       .is_news = true},
      now);
}

bool crash_watch::HasLostLinks(const target_life& target, time_point now) {
  const auto is_recent = [now](const mark& known) {
    return known.is_own && now - known.broken_at < kSameMoment;
  };
  std::set<std::string> broken{target.id};
  for (const mark& known : marks_) {
    if (is_recent(known)) {
      broken.insert(known.target.id);
    }
  }
  if (broken.size() >= kTargetsOfLostLinks) {
    links_lost_at_ = now;
    std::erase_if(marks_, is_recent);
  }
  return links_lost_at_ != time_point{} && now - links_lost_at_ < kSameMoment;
}

void crash_watch::OnServed(uint64_t content_hash, time_point now) {
  const bool is_marked = std::ranges::any_of(marks_, [&](const mark& known) {
    return known.content_hash == content_hash;
  });
  if (is_marked) {
    AddServed(content_hash,
              {.at = now, .learnt_at = now, .is_own = true, .is_news = true});
  }
}

void crash_watch::OnLifeSign(const target_life& target, time_point sent_at,
                             time_point now) {
  if (signs_.size() >= kMaxSigns) {
    signs_.clear();
  }
  const life_sign sign{
      .started = target.started, .sent_at = sent_at, .received_at = now};
  signs_[target.id] = sign;
  std::optional<time_point> survived;
  for (const mark& known : marks_) {
    if (known.target == target && ShowsSurvival(sign, known.broken_at)) {
      survived = std::max(survived.value_or(time_point{}), known.broken_at);
    }
  }
  if (survived) {
    AddSurvivor(
        target,
        {.at = *survived, .learnt_at = now, .is_own = true, .is_news = true});
  }
}

bool crash_watch::ShowsSurvival(const life_sign& sign, time_point broken_at) {
  if (sign.sent_at <= broken_at) {
    return sign.received_at > broken_at + kSameMoment;
  }
  // A new process may have the same id.
  return sign.received_at < broken_at + kMinRestartTime;
}

bool crash_watch::HasShownSurvival(const mark& candidate) const {
  const auto sign = signs_.find(candidate.target.id);
  return sign != signs_.end() &&
         sign->second.started == candidate.target.started &&
         ShowsSurvival(sign->second, candidate.broken_at);
}

void crash_watch::OnTargetList(
    const std::function<bool(const target_life&)>& is_listed, time_point now) {
  std::vector<mark> survived;
  for (mark& known : marks_) {
    const duration age = now - known.broken_at;
    if (is_listed(known.target)) {
      if (age > entry_lifetime_) {
        survived.push_back(known);
      }
    } else if (!known.is_confirmed && age <= entry_lifetime_) {
      known.is_confirmed = true;
      known.learnt_at = now;
      known.is_news = true;
      AddNote({.note_kind = crash_note::kind::kCounted,
               .content_hash = known.content_hash,
               .target = known.target.id,
               .crashes = static_cast<int>(MarkCount(known.content_hash))});
    }
  }
  for (const mark& known : survived) {
    AddSurvivor(known.target, {.at = known.broken_at,
                               .learnt_at = now,
                               .is_own = true,
                               .is_news = true});
  }
}

void crash_watch::Add(mark added, time_point now) {
  const auto found = std::ranges::find_if(marks_, [&](const mark& known) {
    return known.content_hash == added.content_hash &&
           known.target == added.target;
  });
  if (found != marks_.end()) {
    const bool is_first_proof = added.is_confirmed && !found->is_confirmed;
    if (is_first_proof) {
      found->is_confirmed = true;
      found->learnt_at = now;
      found->is_news = added.is_news;
    }
    return;
  }
  DropExpired(now);
  if (IsVoid(added) || MarkCount(added.content_hash) >= kMaxMarksPerContent) {
    return;
  }
  if (HasShownSurvival(added)) {
    AddSurvivor(added.target, {.at = added.broken_at,
                               .learnt_at = now,
                               .is_own = true,
                               .is_news = true});
    return;
  }
  if (marks_.size() >= kMaxMarks) {
    marks_.erase(marks_.begin());
  }
  if (added.is_own) {
    AddNote({.note_kind = crash_note::kind::kSuspected,
             .content_hash = added.content_hash,
             .target = added.target.id,
             .crashes = static_cast<int>(MarkCount(added.content_hash)) + 1});
  }
  added.learnt_at = now;
  const uint64_t content_hash = added.content_hash;
  const bool is_news = added.is_news;
  marks_.push_back(std::move(added));
  if (is_news && MarkCount(content_hash) == kMinMarksForAll) {
    for (mark& known : marks_) {
      known.is_news = known.is_news || known.content_hash == content_hash;
    }
  }
}

template <typename Predicate>
size_t crash_watch::RemoveVoided(voiding& cause, const Predicate& is_voided) {
  cause.is_for_all = std::ranges::any_of(marks_, [&](const mark& known) {
    return is_voided(known) && IsFor(crash_audience::kAllHosts, known);
  });
  return std::erase_if(marks_, is_voided);
}

void crash_watch::AddSurvivor(const target_life& target, voiding survived) {
  const std::pair key{target.id, target.started};
  if (!RecordLater(survivors_, key, survived)) {
    return;
  }
  const size_t voided = RemoveVoided(survivors_[key], [&](const mark& known) {
    return known.target == target && IsVoid(known);
  });
  if (voided > 0) {
    AddNote({.note_kind = crash_note::kind::kSurvived, .target = target.id});
  }
}

void crash_watch::AddServed(uint64_t content_hash, voiding served) {
  if (!RecordLater(served_, content_hash, served)) {
    return;
  }
  const size_t voided =
      RemoveVoided(served_[content_hash], [&](const mark& known) {
        return known.content_hash == content_hash && IsVoid(known);
      });
  if (voided > 0) {
    AddNote({.note_kind = crash_note::kind::kCleared,
             .content_hash = content_hash});
  }
}

bool crash_watch::IsFor(crash_audience audience, const mark& known) const {
  return audience == crash_audience::kLeaseHolder
             ? known.is_own
             : MarkCount(known.content_hash) >= kMinMarksForAll;
}

bool crash_watch::IsFor(crash_audience audience, const voiding& known) {
  return audience == crash_audience::kLeaseHolder ? known.is_own
                                                  : known.is_for_all;
}

bool crash_watch::IsVoid(const mark& candidate) const {
  const auto survivor =
      survivors_.find({candidate.target.id, candidate.target.started});
  if (survivor != survivors_.end() &&
      candidate.broken_at <= survivor->second.at + kReportingJitter) {
    return true;
  }
  const auto served = served_.find(candidate.content_hash);
  return served != served_.end() &&
         candidate.broken_at <= served->second.at + kReportingJitter;
}

void crash_watch::DropExpired(time_point now) {
  std::erase_if(marks_, [now](const mark& known) {
    return now - known.broken_at >= kMarkTtl;
  });
  const auto is_old = [now](const auto& entry) {
    return now - entry.second.at >= kMarkTtl;
  };
  std::erase_if(survivors_, is_old);
  std::erase_if(served_, is_old);
}

size_t crash_watch::MarkCount(uint64_t content_hash) const {
  return static_cast<size_t>(
      std::ranges::count(marks_, content_hash, &mark::content_hash));
}

bool crash_watch::IsExplained(const mark& candidate, size_t mark_count) const {
  return std::ranges::any_of(marks_, [&](const mark& other) {
    return other.target == candidate.target &&
           other.content_hash != candidate.content_hash &&
           MarkCount(other.content_hash) >
               std::max(mark_count, kMaxSuspected - 1);
  });
}

bool crash_watch::IsQuarantined(uint64_t content_hash, time_point now) const {
  if (marks_.empty()) {
    return false;
  }
  const size_t mark_count = MarkCount(content_hash);
  if (mark_count < kMaxConfirmed) {
    return false;
  }
  std::vector<time_point> confirmed;
  std::vector<time_point> all;
  for (const mark& known : marks_) {
    const duration age = now - known.broken_at;
    if (known.content_hash != content_hash || age >= kMarkTtl ||
        IsExplained(known, mark_count)) {
      continue;
    }
    if (known.is_confirmed) {
      confirmed.push_back(known.broken_at);
    }
    if (known.is_confirmed || age >= kSuspicionDelay) {
      all.push_back(known.broken_at);
    }
  }
  const auto count_moments = [](std::vector<time_point>& times) {
    std::ranges::sort(times);
    size_t moments = 0;
    time_point last{};
    for (const time_point time : times) {
      if (moments == 0 || time - last >= kSameMoment) {
        ++moments;
        last = time;
      }
    }
    return moments;
  };
  return count_moments(confirmed) >= kMaxConfirmed ||
         count_moments(all) >= kMaxSuspected;
}

bool crash_watch::ShouldRefuse(uint64_t content_hash, time_point now) {
  if (!IsQuarantined(content_hash, now)) {
    return false;
  }
  if (std::ranges::find(refused_, content_hash) == refused_.end()) {
    if (refused_.size() >= kMaxRefused) {
      refused_.erase(refused_.begin());
    }
    refused_.push_back(content_hash);
    AddNote({.note_kind = crash_note::kind::kRefused,
             .content_hash = content_hash,
             .crashes = static_cast<int>(MarkCount(content_hash))});
  }
  return true;
}

duration crash_watch::RefusedFor(uint64_t content_hash, time_point now) const {
  duration longest{0};
  for (const mark& known : marks_) {
    if (known.content_hash == content_hash) {
      longest = std::max(longest, known.broken_at + kMarkTtl - now);
    }
  }
  return IsQuarantined(content_hash, now) ? longest : duration{0};
}

size_t crash_watch::QuarantinedCount(time_point now) const {
  std::set<uint64_t> contents;
  for (const mark& known : marks_) {
    contents.insert(known.content_hash);
  }
  return static_cast<size_t>(std::ranges::count_if(
      contents,
      [&](uint64_t content_hash) { return IsQuarantined(content_hash, now); }));
}

crash_evidence crash_watch::TakeNews(crash_audience audience, time_point now) {
  crash_evidence news;
  for (mark& known : marks_) {
    // Until then other breaks may show that the links are lost.
    if (known.is_news && now - known.broken_at >= kSameMoment) {
      known.is_news = false;
      if (IsFor(audience, known)) {
        news.marks.push_back({known.content_hash, known.target,
                              now - known.broken_at, known.is_confirmed});
      }
    }
  }
  for (auto& [target, survived] : survivors_) {
    if (std::exchange(survived.is_news, false) && IsFor(audience, survived)) {
      news.survivors.push_back(
          {{target.first, target.second}, now - survived.at});
    }
  }
  for (auto& [content_hash, served] : served_) {
    if (std::exchange(served.is_news, false) && IsFor(audience, served)) {
      news.served.push_back({content_hash, now - served.at});
    }
  }
  return news;
}

bool crash_watch::HasNews() const {
  const auto is_news = [](const auto& entry) { return entry.second.is_news; };
  return std::ranges::any_of(marks_, &mark::is_news) ||
         std::ranges::any_of(survivors_, is_news) ||
         std::ranges::any_of(served_, is_news);
}

crash_evidence crash_watch::Recent(crash_audience audience,
                                   time_point now) const {
  return Select(audience, now - kRecentTime, now - kRecentTime, kMaxRecent,
                now);
}

crash_evidence crash_watch::Latest(size_t max_count, time_point now) const {
  return Select(crash_audience::kAllHosts, now - kMarkTtl,
                now - kVoidingSharedFor, max_count, now);
}

crash_evidence crash_watch::Select(crash_audience audience,
                                   time_point marks_since,
                                   time_point voidings_since, size_t max_count,
                                   time_point now) const {
  crash_evidence selected;
  for (const mark& known : marks_) {
    const duration age = now - known.broken_at;
    if (known.learnt_at >= marks_since && age >= kSameMoment &&
        age < kMarkTtl && IsFor(audience, known)) {
      selected.marks.push_back(
          {known.content_hash, known.target, age, known.is_confirmed});
    }
  }
  for (const auto& [target, survived] : survivors_) {
    if (survived.learnt_at >= voidings_since && IsFor(audience, survived)) {
      selected.survivors.push_back(
          {{target.first, target.second}, now - survived.at});
    }
  }
  for (const auto& [content_hash, served] : served_) {
    if (served.learnt_at >= voidings_since && IsFor(audience, served)) {
      selected.served.push_back({content_hash, now - served.at});
    }
  }
  const auto oldest_first = [](const auto& a, const auto& b) {
    return a.age > b.age;
  };
  std::ranges::sort(selected.survivors, oldest_first);
  std::ranges::sort(selected.served, oldest_first);
  KeepLast(selected.marks, max_count);
  KeepLast(selected.survivors, max_count);
  KeepLast(selected.served, max_count);
  return selected;
}

void crash_watch::Import(const crash_evidence& evidence, bool passes_on,
                         time_point now) {
  for (const served_content& told : evidence.served) {
    AddServed(told.content_hash,
              {.at = now - told.age, .learnt_at = now, .is_news = passes_on});
  }
  for (const survived_break& told : evidence.survivors) {
    AddSurvivor(told.target,
                {.at = now - told.age, .learnt_at = now, .is_news = passes_on});
  }
  for (const crash_mark& told : evidence.marks) {
    if (told.content_hash != 0 && told.age < kMarkTtl) {
      Add({.content_hash = told.content_hash,
           .target = told.target,
           .broken_at = now - told.age,
           .is_confirmed = told.is_confirmed,
           .is_news = passes_on},
          now);
    }
  }
}

void crash_watch::AddNote(crash_note note) {
  if (notes_.size() < kMaxNotes) {
    notes_.push_back(std::move(note));
  }
}

}  // namespace foxtailspread
