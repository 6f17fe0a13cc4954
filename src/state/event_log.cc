#include "state/event_log.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
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
                     "The process is running and listens on its ports."},
    EventDescription{EventId::kNodeReady, kInformation, "node-ready",
                     "A configuration and a VM list are applied; the node "
                     "accepts requests."},
    EventDescription{EventId::kShutdownStarted, kInformation,
                     "shutdown-started",
                     "The node was told to stop. It closes connections after "
                     "their next response, refuses new requests once callers "
                     "have had time to leave, and completes those in "
                     "progress."},
    EventDescription{EventId::kShutdownFinished, kInformation,
                     "shutdown-finished",
                     "No request is in progress; the process exits."},
    EventDescription{EventId::kShutdownTimedOut, kWarning, "shutdown-timed-out",
                     "Requests were still in progress when the shutdown "
                     "timeout expired: calls at the gate, and requests at the "
                     "ingress, which were cancelled."},
    EventDescription{EventId::kPortUnavailable, kError, "port-unavailable",
                     "The node cannot listen on an address of its settings."},
    EventDescription{EventId::kNodeIsolated, kWarning, "node-isolated",
                     "The node reaches too few other nodes to serve requests "
                     "and reports that it isn't ready."},
    EventDescription{EventId::kNodeRejoined, kInformation, "node-rejoined",
                     "The node reaches enough other nodes again."},
    EventDescription{EventId::kSettingsReloaded, kInformation,
                     "settings-reloaded",
                     "The settings file was read again after SIGHUP or a "
                     "change; applied names the fields that took effect."},
    EventDescription{EventId::kSettingsRefused, kError, "settings-refused",
                     "The settings file cannot be read or is not valid; the "
                     "settings in force stay."},
    EventDescription{EventId::kSettingsNeedRestart, kWarning,
                     "settings-need-restart",
                     "Fields of the settings file differ from those in force "
                     "and take effect only after a restart."},
    EventDescription{EventId::kLoopDelayed, kWarning, "loop-delayed",
                     "An event loop of the node handled nothing for a while; "
                     "what arrived meanwhile was read late."},
    EventDescription{EventId::kMessageBrokenOff, kWarning, "message-broken-off",
                     "The messages that the node holds exceed their memory; "
                     "the largest one that was being read is given up."},
    EventDescription{EventId::kConfigurationInForce, kInformation,
                     "configuration-in-force",
                     "A new configuration was applied."},
    EventDescription{EventId::kConfigurationRefused, kError,
                     "configuration-refused",
                     "A configuration is not valid; the previous one stays "
                     "applied."},
    EventDescription{EventId::kVmListInForce, kInformation, "vm-list-in-force",
                     "A new VM list was applied."},
    EventDescription{EventId::kVmListRefused, kError, "vm-list-refused",
                     "A VM list is not valid; the previous one stays applied."},
    EventDescription{EventId::kPlatformUnreachable, kWarning,
                     "platform-unreachable",
                     "The platform service does not respond; the node "
                     "continues with the last known state."},
    EventDescription{EventId::kPlatformReachable, kInformation,
                     "platform-reachable",
                     "The platform service responds again."},
    EventDescription{EventId::kVersionBehind, kWarning, "version-behind",
                     "A source offered an older version than the applied one; "
                     "it is ignored."},
    EventDescription{EventId::kTargetListed, kInformation, "target-listed",
                     "A target was registered or its record changed."},
    EventDescription{EventId::kTargetGone, kInformation, "target-gone",
                     "The record of a target was removed."},
    EventDescription{EventId::kTargetRefused, kWarning, "target-refused",
                     "The record of a target is not valid; the target is not "
                     "used."},
    EventDescription{EventId::kEvacuationChanged, kInformation,
                     "evacuation-changed",
                     "A data centre was taken out of service or put back into "
                     "service."},
    EventDescription{EventId::kStoreHistoryGone, kInformation,
                     "store-history-gone",
                     "The store no longer keeps the changes since the last "
                     "revision that was read; all keys are read again."},
    EventDescription{EventId::kStoreFed, kInformation, "store-fed",
                     "A relay forwards the changes in the store; this node "
                     "stops watching the store itself."},
    EventDescription{EventId::kStoreReadItself, kInformation,
                     "store-read-itself",
                     "This node reads the store itself, because it is a relay "
                     "or receives no updates from a relay that reads it."},
    EventDescription{EventId::kStoreRestored, kWarning, "store-restored",
                     "The store was restored from an older copy and began a "
                     "new era; all keys are read again."},
    EventDescription{EventId::kStorePollOverdue, kWarning, "store-poll-overdue",
                     "The store hasn't answered a request for changes after "
                     "its wait; what changed since it was sent isn't known."},
    EventDescription{EventId::kPeerSuspected, kWarning, "peer-suspected",
                     "A node of the VM list stopped responding."},
    EventDescription{EventId::kPeerRestored, kInformation, "peer-restored",
                     "A suspected node responds again."},
    EventDescription{EventId::kPeerRejected, kWarning, "peer-rejected",
                     "A connection or message was not authenticated with the "
                     "fleet secret."},
    EventDescription{
        EventId::kRelayFollowed, kInformation, "relay-followed",
        "This node selected another relay as its source of the fleet's "
        "traffic."},
    EventDescription{EventId::kTrafficSilent, kWarning, "traffic-silent",
                     "A relay receives no more traffic updates of a node or a "
                     "data centre and estimates its traffic by its share of "
                     "the rates."},
    EventDescription{EventId::kTrafficHeard, kInformation, "traffic-heard",
                     "A relay receives these traffic updates again."},
    EventDescription{EventId::kPeerSilent, kWarning, "peer-silent",
                     "A node whose calls are in progress at this gate sent "
                     "nothing for so long that its power or link may be lost; "
                     "its connection is closed and the calls are cancelled."},
    EventDescription{EventId::kPeerReplyInvalid, kWarning, "peer-reply-invalid",
                     "The response in a reply of another node isn't valid HTTP "
                     "and is not passed on."},
    EventDescription{EventId::kTargetCold, kWarning, "target-cold",
                     "The target is new, restarted or cold again; its "
                     "concurrency limit starts low."},
    EventDescription{EventId::kTargetWarm, kInformation, "target-warm",
                     "The target reached its full concurrency limit."},
    EventDescription{EventId::kTargetMaxRateChanged, kWarning,
                     "target-max-rate-changed",
                     "The target states another maximum rate in its responses, "
                     "in requests per second, or none any more; logged at most "
                     "once per second."},
    EventDescription{EventId::kTargetStatesLeaving, kInformation,
                     "target-states-leaving",
                     "The target states in its responses that it leaves, or "
                     "another run of it no longer does; source says how the "
                     "gate learned that, and record what the store has."},
    EventDescription{EventId::kTargetCrashed, kWarning, "target-crashed",
                     "The process of the target ended while it was running "
                     "requests; requests holds the digests of some of them, as "
                     "in the lines of the requests."},
    EventDescription{EventId::kTargetResponseInvalid, kWarning,
                     "target-response-invalid",
                     "The target's response to a request or health check isn't "
                     "valid HTTP and is not passed on; its connection is "
                     "closed."},
    EventDescription{EventId::kLeavingRunKnown, kInformation,
                     "leaving-run-known",
                     "The ingress learned that a run of a target leaves, from "
                     "the response to the named request or from the gate, or "
                     "that it has ended; the run gets no calls until then."},
    EventDescription{EventId::kAdmissionChanged, kInformation,
                     "admission-changed",
                     "The admitted fraction of a class of root requests "
                     "changed with the demand on a service or its capacity."},
    EventDescription{EventId::kCustomerOverRate, kInformation,
                     "customer-over-rate",
                     "Requests of a customer are refused because it is over "
                     "its rate and burst; logged at most once per second for "
                     "each customer."},
    EventDescription{EventId::kRequestJudgedFatal, kWarning,
                     "request-judged-fatal",
                     "A request is refused from now on, because targets ended "
                     "whenever they ran it; crashes says how many."},
    EventDescription{EventId::kRequestEnded, kInformation, "request-ended",
                     "The ingress responded to a caller or a target. Served "
                     "requests are sampled; left_out counts the lines that "
                     "were not written."},
    EventDescription{EventId::kCallEnded, kInformation, "call-ended",
                     "A gate refused a call or got no successful response to "
                     "it from its target."},
    EventDescription{EventId::kRequestCancelled, kInformation,
                     "request-cancelled",
                     "The ingress learned that nobody waits for the response "
                     "to a request any more, for the named cause; targets says "
                     "to which ones it had been sent."},
    EventDescription{EventId::kCallCancelled, kInformation, "call-cancelled",
                     "The gate learned that nobody waits for the reply to a "
                     "call any more; state says whether the call waited for a "
                     "slot or its target was running it. The connection to the "
                     "target is closed at once."},
};

/// Lines that the queue holds before further lines are dropped.
constexpr std::size_t kMaxQueuedLines = 4000;
constexpr std::chrono::milliseconds kFlushTimeout{200};

std::atomic<std::uint64_t> dropped_lines = 0;

/// Overflow strategy of the log queue: drops and counts the line that does not
/// fit. Boost.Log prescribes the names of the functions.
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

/// Writes each line to the standard output. A line that cannot be written, for
/// example because the reader has gone, is dropped and counted; the next one is
/// tried again. Boost.Log prescribes the name of the function.
class StandardOutputBackend
    : public boost::log::sinks::basic_formatted_sink_backend<
          char,
          boost::log::sinks::synchronized_feeding> {
 public:
  static void consume(const boost::log::record_view& /*record*/,
                      const std::string& line) {
    const std::string text = line + "\n";
    std::size_t written = 0;
    while (written < text.size()) {
      const ssize_t count =
          ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        ++dropped_lines;
        return;
      }
      written += static_cast<std::size_t>(count);
    }
  }
};

using LogSink = boost::log::sinks::asynchronous_sink<
    StandardOutputBackend,
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
  log_sink = boost::make_shared<LogSink>();
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
  // The flush runs in a detached thread with a timeout: if the reader of the
  // standard output is stuck, a blocking flush would keep the process from
  // exiting.
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
