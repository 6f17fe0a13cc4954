#ifndef DAISYWINCH_STATE_EVENT_LOG_H
#define DAISYWINCH_STATE_EVENT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace daisywinch {

enum class Severity { kInformation, kWarning, kError };

/// Events that a node logs. The numbers are part of the public interface and
/// must not change; docs/EVENTS.md lists them with their meanings.
enum class EventId : std::uint32_t {
  kNodeStarted = 1001,
  kNodeReady = 1002,
  kShutdownStarted = 1003,
  kShutdownFinished = 1004,
  kShutdownTimedOut = 1005,
  kPortUnavailable = 1006,
  kNodeIsolated = 1007,
  kNodeRejoined = 1008,
  kSettingsReloaded = 1009,
  kSettingsRefused = 1010,
  kSettingsNeedRestart = 1011,
  kLoopDelayed = 1012,
  kMessageBrokenOff = 1013,
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
  kStoreRestored = 2015,
  kStorePollOverdue = 2016,
  kPeerSuspected = 3001,
  kPeerRestored = 3002,
  kPeerRejected = 3003,
  kRelayFollowed = 3004,
  kTrafficSilent = 3005,
  kTrafficHeard = 3006,
  kPeerSilent = 3007,
  kPeerReplyInvalid = 3008,
  kTargetCold = 4001,
  kTargetWarm = 4002,
  kTargetMaxRateChanged = 4003,
  kTargetStatesLeaving = 4004,
  kTargetCrashed = 4005,
  kTargetResponseInvalid = 4006,
  kLeavingRunKnown = 4007,
  kAdmissionChanged = 5001,
  kCustomerOverRate = 5002,
  kRequestJudgedFatal = 5003,
  kRequestEnded = 6001,
  kCallEnded = 6002,
  kRequestCancelled = 6003,
  kCallCancelled = 6004,
};

/// The number, severity, name and meaning of an event.
struct EventDescription {
  EventId id = EventId::kNodeStarted;
  Severity severity = Severity::kInformation;
  std::string_view name;
  std::string_view meaning;
};

/// All events in the order of their numbers.
std::span<const EventDescription> AllEvents();
const EventDescription& Describe(EventId id);

/// A named value logged with an event.
struct EventField {
  EventField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  EventField(std::string_view name, std::uint64_t value)
      : name(name), value(std::to_string(value)) {}

  std::string name;
  std::string value;
};

/// Starts logging events of at least `min_severity` to the standard output.
///
/// A separate thread writes the lines, so that LogEvent() never blocks. When
/// its queue is full, further lines are dropped and counted.
void InitializeEventLog(Severity min_severity);

/// Number of lines dropped so far because the queue was full.
std::uint64_t DroppedLogLines();

/// Waits until the queued lines are written, for 200 ms at most.
void FlushEventLog();

/// Logs an event as one line: time stamp, severity (I, W or E), number, name
/// and `name="value"` for each field. Values are not escaped.
void LogEvent(EventId id, std::initializer_list<EventField> fields);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_EVENT_LOG_H
