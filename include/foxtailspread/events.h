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
/// 100 to 199: every program. 800 to 899: the stand-ins of the tests.
enum class event_id {
  kListening = 100,
  kListenFailed = 101,
  kStopRequested = 102,
  kStopped = 103,
  kSettingsRejected = 104,
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
     "Nothing to do. A second signal stops it at once."},
    {event_id::kStopped, event_level::kInfo, "stopped",
     "The program has ended its work.", "Nothing to do."},
    {event_id::kSettingsRejected, event_level::kError, "settings-rejected",
     "The command line or the settings are not valid; the program ends.",
     "Correct the field named in the event and start again."},
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
