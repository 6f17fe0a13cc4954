#include "state/event_log.h"

#include <array>
#include <iostream>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace daisywinch {

namespace {

constexpr Severity kInformation = Severity::kInformation;
constexpr Severity kWarning = Severity::kWarning;
constexpr Severity kError = Severity::kError;

constexpr std::array kEvents = {
    EventDescription{EventId::kNodeStarted, kInformation, "node-started",
                     "The process runs and listens on its ports."},
    EventDescription{EventId::kNodeReady, kInformation, "node-ready",
                     "A configuration and a VM list are in force; calls are "
                     "taken."},
    EventDescription{EventId::kShutdownStarted, kInformation,
                     "shutdown-started",
                     "The process takes no new work and finishes what it "
                     "holds."},
    EventDescription{EventId::kShutdownFinished, kInformation,
                     "shutdown-finished", "Nothing is held; the process ends."},
    EventDescription{EventId::kShutdownTimedOut, kWarning, "shutdown-timed-out",
                     "Requests were still held when the shutdown time ended."},
    EventDescription{EventId::kPortUnavailable, kError, "port-unavailable",
                     "An address of the settings cannot be listened on."},
    EventDescription{EventId::kConfigurationInForce, kInformation,
                     "configuration-in-force",
                     "A configuration replaced the one before it."},
    EventDescription{EventId::kConfigurationRefused, kError,
                     "configuration-refused",
                     "A configuration is not valid; the last one stays."},
    EventDescription{EventId::kVmListInForce, kInformation, "vm-list-in-force",
                     "A VM list replaced the one before it."},
    EventDescription{EventId::kVmListRefused, kError, "vm-list-refused",
                     "A VM list is not valid; the last one stays."},
    EventDescription{EventId::kPlatformUnreachable, kWarning,
                     "platform-unreachable",
                     "The platform's service does not answer; the node goes on "
                     "with what it knows."},
    EventDescription{EventId::kPlatformReachable, kInformation,
                     "platform-reachable",
                     "The platform's service answers again."},
    EventDescription{EventId::kVersionBehind, kWarning, "version-behind",
                     "A source offered an older version than the one in "
                     "force; it is ignored."},
    EventDescription{EventId::kTargetListed, kInformation, "target-listed",
                     "A target registered itself or changed its entry."},
    EventDescription{EventId::kTargetGone, kInformation, "target-gone",
                     "The entry of a target was removed."},
    EventDescription{EventId::kTargetRefused, kWarning, "target-refused",
                     "An entry names no target that could be used."},
    EventDescription{EventId::kEvacuationChanged, kInformation,
                     "evacuation-changed",
                     "A data centre was taken out of service or brought "
                     "back."},
    EventDescription{EventId::kStoreHistoryGone, kInformation,
                     "store-history-gone",
                     "The store no longer keeps the changes since the last "
                     "one that was read; everything is read anew."},
    EventDescription{EventId::kPeerSuspected, kWarning, "peer-suspected",
                     "A node of the VM list stopped answering."},
    EventDescription{EventId::kPeerRestored, kInformation, "peer-restored",
                     "A suspected node answers again."},
    EventDescription{EventId::kPeerRejected, kWarning, "peer-rejected",
                     "A connection or message did not prove the fleet's "
                     "secret."},
    EventDescription{EventId::kTargetCold, kWarning, "target-cold",
                     "The target is new, restarted or cold again; its limit "
                     "starts low."},
    EventDescription{EventId::kTargetWarm, kInformation, "target-warm",
                     "The target reached its full limit."},
    EventDescription{EventId::kAdmissionChanged, kInformation,
                     "admission-changed",
                     "The part of a kind of root request that is admitted "
                     "changed, as demand or supply of a service did."},
    EventDescription{EventId::kCustomerOverRate, kInformation,
                     "customer-over-rate",
                     "Requests of a customer are refused as it is over its "
                     "rate and burst; at most once a second for each."},
};

const char* SeverityLetter(Severity severity) {
  switch (severity) {
    case Severity::kInformation:
      return "I";
    case Severity::kWarning:
      return "W";
    case Severity::kError:
      return "E";
  }
  return "E";
}

}  // namespace

std::span<const EventDescription> AllEvents() {
  return kEvents;
}

const EventDescription& Describe(EventId id) {
  for (const EventDescription& event : kEvents) {
    if (event.id == id) {
      return event;
    }
  }
  return kEvents.front();
}

void InitializeEventLog(Severity lowest) {
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cout,
      boost::log::keywords::format =
          expressions::stream
          << expressions::format_date_time<boost::posix_time::ptime>(
                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
          << " " << expressions::smessage,
      boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(expressions::attr<Severity>("Severity") >=
                                      lowest);
}

void LogEvent(EventId id, std::initializer_list<EventField> fields) {
  static boost::log::sources::severity_logger_mt<Severity> logger;
  const EventDescription& event = Describe(id);
  std::string line = SeverityLetter(event.severity);
  line += " " + std::to_string(static_cast<std::uint32_t>(id)) + " ";
  line += event.name;
  for (const EventField& field : fields) {
    line += " " + field.name + "=\"" + field.value + "\"";
  }
  BOOST_LOG_SEV(logger, event.severity) << line;
}

}  // namespace daisywinch
