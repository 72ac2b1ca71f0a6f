#ifndef FOXTAILSPREAD_EVENTS_H_
#define FOXTAILSPREAD_EVENTS_H_

/// @file
/// The catalogue of numbered events that the programs write to their logs.
/// docs/EVENTS.md lists the same events for operators; a test compares them.

#include <string_view>

namespace foxtailspread {

/// How much an event matters to whoever watches the logs.
enum class event_level { kDebug, kInfo, kWarning, kError };

/// Returns "debug", "info", "warning" or "error".
std::string_view ToString(event_level level);

/// The number of each event. A number is never used again for another event.
/// 100 to 199: every program. 200 to 399: the entry host's decisions. 800 to
/// 899: the stand-ins of the tests.
enum class event_id {
  kListening = 100,
  kListenFailed = 101,
  kStopRequested = 102,
  kStopped = 103,
  kSettingsRejected = 104,
  kLinesLeftOut = 105,
  kProgramFailed = 106,
  kStartDelayed = 107,
  kHostStarted = 200,
  kHostStopped = 201,
  kConfigInForce = 210,
  kConfigRefused = 211,
  kObjectRefused = 212,
  kConfigKept = 213,
  kStewardBegan = 220,
  kStewardEnded = 221,
  kTargetSuspected = 230,
  kSettingsReloaded = 300,
  kStoreLost = 301,
  kStoreBack = 302,
  kDatagramRefused = 303,
  kStoreListed = 304,
  kStoreHistoryGone = 305,
  kStoreCallFailed = 306,
  kRecordRefused = 307,
  kStoreEra = 308,
  kWriteConflict = 309,
  kRequestRefused = 310,
  kRequestNotRead = 311,
  kCallerGone = 312,
  kLoopStalled = 313,
  kAssignerBegan = 320,
  kAssignerEnded = 321,
  kOwnerLost = 322,
  kKeysMoving = 323,
  kKeysGranted = 324,
  kGrantFenced = 325,
  kKeysFree = 326,
  kOrderFailed = 327,
  kOrderCancelled = 328,
  kGrantAnsweredLate = 329,
  kZoneEvacuated = 330,
  kZoneReturned = 331,
  kTargetLimited = 340,
  kTargetLimitEnded = 341,
  kTargetLimitUnreadable = 342,
  kTargetLeaving = 343,
  kTargetBackoff = 344,
  kTargetBackoffUnreadable = 345,
  kCrashSuspected = 346,
  kCrashCounted = 347,
  kContentRefused = 348,
  kContentCleared = 349,
  kTargetSurvived = 350,
  kTargetsUnreachable = 351,
  kTargetsReachable = 352,
  kRequestRelayed = 353,
  kLoadsShared = 354,
  kLoadsNotShared = 355,
  kKeysThrottled = 356,
  kKeysUnthrottled = 357,
  kSurplusAnswer = 358,
  kAnswerGivenUp = 359,
  kAnswerMalformed = 360,
  kAnswerUntaken = 361,
  kMemoryShort = 366,
  kMemoryFree = 367,
  kRequestUnanswered = 368,
  kDescriptorsShort = 375,
  kDescriptorsFree = 376,
  kRequestCutShort = 385,
  kFaultsChanged = 800,
  kPoisonedRequest = 801,
  kWorkCancelled = 802,
};

/// One event of the catalogue.
struct event_definition {
  event_id id;
  event_level level;
  std::string_view name;     ///< Stable name in kebab case.
  std::string_view meaning;  ///< What has happened.
  std::string_view remedy;   ///< What the operator does about it.
};

/// All events, in order of their numbers.
inline constexpr event_definition kEvents[] = {
    {event_id::kListening, event_level::kInfo, "listening",
     "The program accepts connections on the address given.", "Nothing to do."},
    {event_id::kListenFailed, event_level::kError, "listen-failed",
     "The address cannot be bound; the program ends.",
     "Free the port, or set an address that this host has."},
    {event_id::kStopRequested, event_level::kInfo, "stop-requested",
     "A signal asked the program to stop; it finishes what is in flight.",
     "Nothing to do. SIGINT stops it at once after that."},
    {event_id::kStopped, event_level::kInfo, "stopped",
     "The program has ended its work, for the reason given.", "Nothing to do."},
    {event_id::kSettingsRejected, event_level::kError, "settings-rejected",
     "The command line or the settings are not valid; the program ends.",
     "Correct the field named in the event and start again."},
    {event_id::kLinesLeftOut, event_level::kWarning, "lines-left-out",
     "More events of the number given came within a second than are written; "
     "so many were left out.",
     "Look at the metrics, which count all of them."},
    {event_id::kProgramFailed, event_level::kError, "program-failed",
     "The problem given, which nothing handles, ends the program.",
     "Report it with the lines of the log before it."},
    {event_id::kStartDelayed, event_level::kWarning, "start-delayed",
     "The program cannot start yet, for the problem given; it tries again for "
     "some seconds.",
     "Nothing to do if it starts; else correct what the problem names."},
    {event_id::kHostStarted, event_level::kInfo, "host-started",
     "The entry host began to decide, in the life given.", "Nothing to do."},
    {event_id::kHostStopped, event_level::kInfo, "host-stopped",
     "The entry host handed over what it held and ends.", "Nothing to do."},
    {event_id::kConfigInForce, event_level::kInfo, "config-in-force",
     "The configuration of the version given is in force on this host.",
     "Nothing to do."},
    {event_id::kConfigRefused, event_level::kError, "config-refused",
     "The platform's configuration cannot be used; the last good one stays in "
     "force.",
     "Correct the field named in the event and apply the declarations again."},
    {event_id::kObjectRefused, event_level::kError, "object-refused",
     "An object of the platform cannot be used; what was known stays.",
     "Correct or remove the object; its owner writes it anew."},
    {event_id::kConfigKept, event_level::kWarning, "config-kept",
     "The store has a configuration of another version than the one in force "
     "and it was not taken.",
     "Nothing to do if the operator's system writes the newest one again; else "
     "apply it once more."},
    {event_id::kStewardBegan, event_level::kInfo, "steward-began",
     "This host became steward of the range.", "Nothing to do."},
    {event_id::kStewardEnded, event_level::kInfo, "steward-ended",
     "This host is steward of the range no longer.",
     "Nothing to do if another host became steward; see docs/OPERATORS.md."},
    {event_id::kTargetSuspected, event_level::kWarning, "target-suspected",
     "A target shows signs of being lost or frozen.",
     "Look at the target if the event repeats."},
    {event_id::kSettingsReloaded, event_level::kInfo, "settings-reloaded",
     "The settings file was read again.",
     "Nothing to do; addresses and names take effect at the next start."},
    {event_id::kStoreLost, event_level::kWarning, "store-lost",
     "A call of the store was not answered; this host goes on with what it "
     "knows.",
     "Look at the store if other hosts say the same, else at this host's "
     "link."},
    {event_id::kStoreBack, event_level::kInfo, "store-back",
     "The store answers this host again.", "Nothing to do."},
    {event_id::kDatagramRefused, event_level::kWarning, "datagram-refused",
     "A datagram of another host could not be read and was dropped.",
     "Run one release on all hosts."},
    {event_id::kStoreListed, event_level::kInfo, "store-listed",
     "All objects of the kind given were read.", "Nothing to do."},
    {event_id::kStoreHistoryGone, event_level::kInfo, "store-history-gone",
     "The store no longer has the changes since this host's copy; the kind is "
     "read whole.",
     "Nothing to do."},
    {event_id::kStoreCallFailed, event_level::kWarning, "store-call-failed",
     "A read of the kind given brought no answer (status 0) or was refused.",
     "Look at the store, or at this host's link, if it goes on."},
    {event_id::kRecordRefused, event_level::kError, "record-refused",
     "A record of the system's own in the store cannot be read; the last good "
     "one stays in force.",
     "Find who else writes to the system's own kind; run one release on all "
     "hosts."},
    {event_id::kStoreEra, event_level::kWarning, "store-era",
     "The store names another era than before: it may have come back from an "
     "older copy. An era of -1 is unknown.",
     "Look at the store if nobody has restored it."},
    {event_id::kWriteConflict, event_level::kInfo, "write-conflict",
     "The store refused a write of the system's own because the object has "
     "another revision than expected; both are given.",
     "Nothing to do unless it repeats many times a second."},
    {event_id::kRequestRefused, event_level::kInfo, "request-refused",
     "The host answered the request itself, for the reason given.",
     "See docs/OPERATIONS.md for each reason."},
    {event_id::kRequestNotRead, event_level::kWarning, "request-not-read",
     "A caller's request was refused before it was read whole: malformed "
     "(400, 501; the problem is given), body too large (413), headers too "
     "large (431), or too many bytes kept for all callers (503).",
     "For 400, 413 and 431 look at the caller; for 503 add hosts or memory."},
    {event_id::kCallerGone, event_level::kInfo, "caller-gone",
     "A caller's connection ended before the answer to this request; the host "
     "did not close it.",
     "Nothing to do if the caller gave up; else look at its network."},
    {event_id::kLoopStalled, event_level::kWarning, "loop-stalled",
     "The host handled nothing for the time given: it was busy or stood still.",
     "Add hosts or processor time if it comes often."},
    {event_id::kAssignerBegan, event_level::kInfo, "assigner-began",
     "This host now gives keys to targets.", "Nothing to do."},
    {event_id::kAssignerEnded, event_level::kInfo, "assigner-ended",
     "This host gives keys to targets no longer.",
     "Nothing to do if another host began."},
    {event_id::kOwnerLost, event_level::kWarning, "owner-lost",
     "The owner of the keys given is gone or leaving; they get another one.",
     "Look at the target if it was not meant to leave."},
    {event_id::kKeysMoving, event_level::kInfo, "keys-moving",
     "The keys given move to the target given, to spread the load.",
     "Nothing to do."},
    {event_id::kKeysGranted, event_level::kInfo, "keys-granted",
     "The target has confirmed the keys given.", "Nothing to do."},
    {event_id::kGrantFenced, event_level::kWarning, "grant-fenced",
     "The target has seen a higher fence on the keys; they are granted anew.",
     "Nothing to do unless it repeats: two deployments would share targets."},
    {event_id::kKeysFree, event_level::kInfo, "keys-free",
     "The former owner cannot hold the keys given any more, for the reason "
     "given; the next owner may get them.",
     "Nothing to do."},
    {event_id::kOrderFailed, event_level::kWarning, "order-failed",
     "A target did not carry out an order on the keys given, as far as is "
     "known; how it ended is given.",
     "Look at the target, or at the links to it, if it goes on."},
    {event_id::kOrderCancelled, event_level::kWarning, "order-cancelled",
     "An order was not answered in time and its connection was reset; the "
     "fields tell how old it is, over which connection it went and whether it "
     "was written.",
     "Look at the target, or at the links to it, if it goes on."},
    {event_id::kGrantAnsweredLate, event_level::kInfo, "grant-answered-late",
     "A target answered a grant late; the fields are those of event 328.",
     "Look at the load of the target if it repeats."},
    {event_id::kZoneEvacuated, event_level::kInfo, "zone-evacuated",
     "An operator has evacuated the zone; its targets get nothing new.",
     "Switch the zone off once its targets have finished what they run."},
    {event_id::kZoneReturned, event_level::kInfo, "zone-returned",
     "The zone is evacuated no longer; its targets get requests when they are "
     "warm.",
     "Nothing to do."},
    {event_id::kTargetLimited, event_level::kInfo, "target-limited",
     "A target accepts only the rate given, in requests per second, from all "
     "hosts together.",
     "Look at the target, or add targets to its service."},
    {event_id::kTargetLimitEnded, event_level::kInfo, "target-limit-ended",
     "A target accepts requests at any rate again.", "Nothing to do."},
    {event_id::kTargetLimitUnreadable, event_level::kWarning,
     "target-limit-unreadable",
     "A target states a limit that is not a number of requests per second; "
     "what was known of its limit stays. Logged once per start of a target.",
     "Correct the target."},
    {event_id::kTargetLeaving, event_level::kInfo, "target-leaving",
     "A target says in its answers that it shuts down.", "Nothing to do."},
    {event_id::kTargetBackoff, event_level::kInfo, "target-backoff",
     "A target that rejected a request wants no more of this host for the time "
     "given.",
     "Look at the target, or add targets to its service, if it repeats."},
    {event_id::kTargetBackoffUnreadable, event_level::kWarning,
     "target-backoff-unreadable",
     "A target that rejected a request states a backoff that is not a "
     "number of seconds; it is ignored. Logged once per start of a target.",
     "Correct the target."},
    {event_id::kCrashSuspected, event_level::kInfo, "crash-suspected",
     "The answer of the target given broke off; the request with the content "
     "given may have crashed it.",
     "Look at the target, or at the links to it, if it repeats."},
    {event_id::kCrashCounted, event_level::kWarning, "crash-counted",
     "The store no longer lists the target given, whose answer to a request "
     "with the content given broke off before.",
     "Look at the target's own logs."},
    {event_id::kContentRefused, event_level::kWarning, "content-refused",
     "Requests with the content given are refused from now on, as targets "
     "ended under them.",
     "Find the request by event 310 with the reason crashes-targets; correct "
     "the target's program."},
    {event_id::kContentCleared, event_level::kInfo, "content-cleared",
     "A target has served a request with the content given, which is therefore "
     "suspected no more.",
     "Nothing to do."},
    {event_id::kTargetSurvived, event_level::kInfo, "target-survived",
     "The target given has run on after its answer broke off, which is "
     "therefore held against no content.",
     "Look at the links to the target if it repeats."},
    {event_id::kTargetsUnreachable, event_level::kWarning,
     "targets-unreachable", "This host reaches no target of any service.",
     "Look at this host's links to the targets."},
    {event_id::kTargetsReachable, event_level::kInfo, "targets-reachable",
     "A target answers this host again, or only some targets are unreachable.",
     "Nothing to do if it reaches all."},
    {event_id::kRequestRelayed, event_level::kInfo, "request-relayed",
     "The host handed a request to the host at the address given, as it "
     "reaches "
     "no target for it.",
     "Look at this host's links to the targets."},
    {event_id::kLoadsShared, event_level::kInfo, "loads-shared",
     "This host begins to tell the others of its requests at the targets of "
     "the "
     "service given: they report their load, or so many hosts share them that "
     "one request of each would take longer than the objective given.",
     "Nothing to do."},
    {event_id::kLoadsNotShared, event_level::kInfo, "loads-not-shared",
     "The loads of the service given need no sharing any more.",
     "Nothing to do."},
    {event_id::kKeysThrottled, event_level::kWarning, "keys-throttled",
     "The keys of the target given get more requests than it serves in time; "
     "the busiest of them are refused in part.",
     "Look for the callers of these keys if it lasts."},
    {event_id::kKeysUnthrottled, event_level::kInfo, "keys-unthrottled",
     "The target given serves what its keys are asked for again.",
     "Nothing to do."},
    {event_id::kSurplusAnswer, event_level::kInfo, "surplus-answer",
     "A target sent an answer that no request awaited, and it was dropped; the "
     "request that it names and the one that was awaited are given.",
     "Look at the target: it answers twice, or sends what is no answer."},
    {event_id::kAnswerGivenUp, event_level::kWarning, "answer-given-up",
     "The target given sent more bytes than an answer may have, or than there "
     "is memory for; the connection was reset.",
     "Look at the target; see docs/OPERATIONS.md for the bounds."},
    {event_id::kAnswerMalformed, event_level::kWarning, "answer-malformed",
     "What the target given sent in answer to the request given is no answer "
     "of HTTP/1.1, for the problem given; the connection was reset.",
     "Look at the target; see docs/OPERATIONS.md for the problems."},
    {event_id::kAnswerUntaken, event_level::kWarning, "answer-untaken",
     "A caller did not take its answer and its connection was reset, for the "
     "reason given: it is gone, it has stalled for too long, or it has "
     "stalled while memory is short.",
     "Nothing to do if callers leave; else look at their network."},
    {event_id::kMemoryShort, event_level::kWarning, "memory-short",
     "The host refuses requests with bodies: those and the answers that it "
     "holds take the memory given, in bytes, that it has for them.",
     "Look whether targets or callers read slowly; add hosts or memory."},
    {event_id::kMemoryFree, event_level::kInfo, "memory-free",
     "Half of the memory for requests and answers is free again; the number "
     "of requests refused since the start is given.",
     "Nothing to do."},
    {event_id::kRequestUnanswered, event_level::kWarning, "request-unanswered",
     "The host ended before the answer to this request was written; the state "
     "tells what it waited for: a target, another host, its turn, or, with its "
     "answer held, requests ahead of it on its connection.",
     "Look at the target of the first request without an answer."},
    {event_id::kDescriptorsShort, event_level::kWarning, "descriptors-short",
     "The host has no room for more connections of callers, hosts or to "
     "targets: idle ones are closed for others, and what finds no room is "
     "refused; how many there are is given, and the bound of callers'.",
     "Raise the limit of descriptors, or add hosts; look for callers that keep "
     "many connections."},
    {event_id::kDescriptorsFree, event_level::kInfo, "descriptors-free",
     "There is room for connections again; what was closed, refused and not "
     "connected since the start is given.",
     "Nothing to do."},
    {event_id::kRequestCutShort, event_level::kInfo, "request-cut-short",
     "A caller's connection ended within a request, of which the bytes given "
     "had come; nothing of it was handed on.",
     "Nothing to do if the caller gave up; else look at its network."},
    {event_id::kFaultsChanged, event_level::kInfo, "faults-changed",
     "A test has set the faults of a stand-in.", "Nothing to do."},
    {event_id::kPoisonedRequest, event_level::kError, "poisoned-request",
     "A stand-in target ends because a request contains the poison text.",
     "Nothing to do; the test wants it."},
    {event_id::kWorkCancelled, event_level::kDebug, "work-cancelled",
     "The caller of a request is gone; the target gave the request up.",
     "Nothing to do."},
};

/// Returns the catalogue's entry for `id`, or nullptr.
constexpr const event_definition* FindEvent(event_id id) {
  for (const event_definition& event : kEvents) {
    if (event.id == id) {
      return &event;
    }
  }
  return nullptr;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_EVENTS_H_
