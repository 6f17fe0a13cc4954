#ifndef DAISYWINCH_STATE_EVENT_LOG_H
#define DAISYWINCH_STATE_EVENT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace daisywinch {

enum class Severity { kInformation, kWarning, kError };

/// Everything that a node writes to its log. The numbers are part of the
/// interface; docs/EVENTS.md lists them.
enum class EventId : std::uint32_t {
  kNodeStarted = 1001,
  kNodeReady = 1002,
  kShutdownStarted = 1003,
  kShutdownFinished = 1004,
  kShutdownTimedOut = 1005,
  kPortUnavailable = 1006,
  kConfigurationInForce = 2001,
  kConfigurationRefused = 2002,
  kVmListInForce = 2003,
  kVmListRefused = 2004,
  kPlatformUnreachable = 2005,
  kPlatformReachable = 2006,
  kVersionBehind = 2007,
  kTargetListed = 2008,
  kTargetGone = 2009,
  kTargetRefused = 2010,
  kEvacuationChanged = 2011,
  kStoreHistoryGone = 2012,
  kStoreFed = 2013,
  kStoreReadItself = 2014,
  kPeerSuspected = 3001,
  kPeerRestored = 3002,
  kPeerRejected = 3003,
  kRelayFollowed = 3004,
  kTrafficSilent = 3005,
  kTrafficHeard = 3006,
  kTargetCold = 4001,
  kTargetWarm = 4002,
  kAdmissionChanged = 5001,
  kCustomerOverRate = 5002,
  kRequestEnded = 6001,
  kCallEnded = 6002,
};

/// The fixed part of an event.
struct EventDescription {
  EventId id = EventId::kNodeStarted;
  Severity severity = Severity::kInformation;
  std::string_view name;
  std::string_view meaning;
};

std::span<const EventDescription> AllEvents();
const EventDescription& Describe(EventId id);

/// A named value that goes with one event.
struct EventField {
  EventField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  EventField(std::string_view name, std::uint64_t value)
      : name(name), value(std::to_string(value)) {}

  std::string name;
  std::string value;
};

/// Sends the log to the standard output, by a thread of its own.
///
/// Writing an event never waits: where the output takes no more, lines are
/// dropped and counted.
void InitializeEventLog(Severity min_severity);

/// Lines that were dropped as the output took no more.
std::uint64_t DroppedLogLines();

/// Waits a short time until the lines so far are written.
void FlushEventLog();

/// Writes one event as one line.
void LogEvent(EventId id, std::initializer_list<EventField> fields);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_EVENT_LOG_H
