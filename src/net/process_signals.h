#ifndef FOXTAILSPREAD_NET_PROCESS_SIGNALS_H_
#define FOXTAILSPREAD_NET_PROCESS_SIGNALS_H_

/// @file
/// The signals of a program, recorded from the first call until the process has
/// ended. docs/design/process-ends.md has the table of all signals.

#include <cstdint>

namespace foxtailspread {

/// How often each signal came.
struct signal_counts {
  uint32_t hang_ups = 0;      ///< SIGHUP
  uint32_t interrupts = 0;    ///< SIGINT
  uint32_t terminations = 0;  ///< SIGTERM
};

/// Records SIGINT and SIGTERM from now on instead of ending the process, until
/// the process has ended. What came before `event_loop` listens is handed to
/// it then. Ignores what only ends a program that writes: SIGPIPE, SIGXFSZ.
void RecordStopSignals();

/// The same for a program that runs without a terminal: records SIGHUP too and
/// ignores SIGUSR1, SIGUSR2, SIGTTIN and SIGTTOU.
void RecordDaemonSignals();

/// Returns what was recorded since the last call.
signal_counts TakeSignals();

/// Whether a request to stop was recorded and not taken yet.
bool IsStopRecorded();

/// Returns a descriptor that is readable after a signal was recorded, until
/// ClearSignalDescriptor(). -1 if none could be made.
int SignalDescriptor();
void ClearSignalDescriptor();

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_PROCESS_SIGNALS_H_
