#include "state/event_log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

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
    EventDescription{EventId::kStoreFed, kInformation, "store-fed",
                     "A relay passes the store's changes on; this node waits "
                     "at the store no longer."},
    EventDescription{EventId::kStoreReadItself, kInformation,
                     "store-read-itself",
                     "This node reads the store itself, as a relay or as no "
                     "relay that reads it is heard."},
    EventDescription{EventId::kPeerSuspected, kWarning, "peer-suspected",
                     "A node of the VM list stopped answering."},
    EventDescription{EventId::kPeerRestored, kInformation, "peer-restored",
                     "A suspected node answers again."},
    EventDescription{EventId::kPeerRejected, kWarning, "peer-rejected",
                     "A connection or message did not prove the fleet's "
                     "secret."},
    EventDescription{
        EventId::kRelayFollowed, kInformation, "relay-followed",
        "This node goes by what another relay tells of the fleet's "
        "traffic."},
    EventDescription{EventId::kTrafficSilent, kWarning, "traffic-silent",
                     "A relay hears no more of a node's or a data centre's "
                     "traffic and reckons with its part of the rates."},
    EventDescription{EventId::kTrafficHeard, kInformation, "traffic-heard",
                     "A relay hears of that traffic again."},
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
    EventDescription{EventId::kRequestEnded, kInformation, "request-ended",
                     "An entry has answered a caller or a target. Requests "
                     "that were served are sampled; left_out counts lines "
                     "that were not written."},
    EventDescription{EventId::kCallEnded, kInformation, "call-ended",
                     "A gate refused a call or got no good answer to it from "
                     "its target."},
};

/// Lines that may wait for the output.
constexpr std::size_t kMaxQueuedLines = 4000;
constexpr std::chrono::milliseconds kFlushTimeout{200};

std::atomic<std::uint64_t> dropped_lines = 0;

/// What a full log queue does with the next line: counts and drops it. The
/// names are those that the log library asks for.
struct DropAndCountOnOverflow {
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view& /*record*/,
                          Lock& /*lock*/) {
    ++dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using LogBackend = boost::log::sinks::text_ostream_backend;
using LogSink = boost::log::sinks::asynchronous_sink<
    LogBackend,
    boost::log::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                          DropAndCountOnOverflow>>;

boost::shared_ptr<LogSink> log_sink;

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

void InitializeEventLog(Severity min_severity) {
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  const boost::shared_ptr<LogBackend> backend =
      boost::make_shared<LogBackend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  log_sink = boost::make_shared<LogSink>(backend);
  log_sink->set_formatter(
      expressions::stream
      << expressions::format_date_time<boost::posix_time::ptime>(
             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
      << " " << expressions::smessage);
  boost::log::core::get()->add_sink(log_sink);
  boost::log::core::get()->set_filter(expressions::attr<Severity>("Severity") >=
                                      min_severity);
}

std::uint64_t DroppedLogLines() {
  return dropped_lines;
}

void FlushEventLog() {
  if (!log_sink) {
    return;
  }
  // A reader that has stopped reading must not keep the process from ending.
  const std::shared_ptr<std::promise<void>> flushed =
      std::make_shared<std::promise<void>>();
  std::future<void> done = flushed->get_future();
  std::thread([flushed, sink = log_sink] {
    sink->flush();
    flushed->set_value();
  }).detach();
  done.wait_for(kFlushTimeout);
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
