#include "node/node.h"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>

#include "node/shutdown.h"
#include "state/event_log.h"
#include "state/key_digest.h"
#include "transport/psk_context.h"

namespace daisywinch {

namespace {

/// Maximum size of the headers and message fields in the frame of a call, in
/// addition to the body.
constexpr std::size_t kFrameOverheadBytes = 64 * 1024;
constexpr char kConfigurationValue[] = "daisywinch.configuration";
constexpr char kVmListValue[] = "vms";
constexpr std::string_view kPlatformSource = "platform";

HttpLimits CallerLimits(const Settings& settings, MemoryBudget& memory) {
  HttpLimits limits;
  limits.memory = &memory;
  limits.body_bytes = settings.body_limit;
  return limits;
}

/// Identifies this run of the process; later runs get higher numbers because it
/// is the start time in microseconds.
std::uint64_t MakeIncarnation() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t RandomSeed() {
  return std::stoull(RandomHex(sizeof(std::uint64_t)), nullptr, 16);
}

}  // namespace

Node::Node(const Settings& settings, const SettingsFile& file)
    : settings(settings),
      incarnation(MakeIncarnation()),
      handles(std::to_string(this->incarnation), this->clock),
      ingress_tls(MakePskContext(settings.fleet_secret)),
      gate_tls(MakePskContext(settings.fleet_secret)),
      fleet_view(this->snapshots),
      control(this->control_context,
              this->clock,
              this->settings,
              this->incarnation,
              this->fleet_view,
              [this](const std::string& vm, const TokenReply& reply) {
                asio::post(this->ingress_context, [this, vm, reply] {
                  this->rate_limiter.HandleReply(vm, reply);
                });
              }),
      rate_limiter(this->ingress_context,
                   this->clock,
                   this->settings,
                   RandomSeed(),
                   this->snapshots,
                   [this](const AddressedTokenRequest& request) {
                     asio::post(this->control_context, [this, request] {
                       this->control.SendTokenRequest(request);
                     });
                   }),
      gate(this->gate_context,
           this->clock,
           this->settings,
           this->snapshots,
           this->handles,
           this->memory),
      router(
          this->ingress_context,
          &this->ingress_tls,
          this->clock,
          settings.vm,
          settings.body_limit + kFrameOverheadBytes,
          this->gate_context,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->gate.Handle(std::move(request),
                                     std::move(cancellation));
          },
          &this->memory),
      ingress(this->ingress_context,
              this->clock,
              this->settings,
              RandomSeed(),
              this->snapshots,
              this->handles,
              this->rate_limiter,
              this->router),
      caller_server(this->ingress_context,
                    CallerLimits(settings, this->memory),
                    [this](HttpRequest request,
                           std::shared_ptr<Cancellation> cancellation) {
                      return this->ingress.Handle(std::move(request),
                                                  std::move(cancellation));
                    }),
      call_server(
          this->gate_context,
          &this->gate_tls,
          settings.body_limit + kFrameOverheadBytes,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->gate.Handle(std::move(request),
                                     std::move(cancellation));
          },
          &this->memory),
      operator_service(this->settings,
                       this->incarnation,
                       this->fleet_view,
                       this->control,
                       this->ingress_context,
                       this->ingress,
                       this->gate_context,
                       this->gate),
      operator_server(this->control_context,
                      HttpLimits(),
                      [this](HttpRequest request,
                             std::shared_ptr<Cancellation> cancellation) {
                        return this->operator_service.Handle(
                            std::move(request), std::move(cancellation));
                      }),
      configuration_watcher(
          this->control_context,
          settings.platform_address,
          kConfigurationValue,
          [this](const std::string& text) {
            this->control.OfferConfiguration(text, kPlatformSource);
          },
          [this] { return this->control.ShouldWatch(kConfigurationValue); }),
      vm_list_watcher(
          this->control_context,
          settings.platform_address,
          kVmListValue,
          [this](const std::string& text) {
            this->control.OfferVmList(text, kPlatformSource);
          },
          [this] { return this->control.ShouldWatch(kVmListValue); }),
      signals(this->control_context, SIGTERM, SIGINT),
      settings_watcher(
          this->control_context,
          file,
          settings,
          ReadSettings,
          [this](const Settings& changed) { this->ApplySettings(changed); }) {}

int Node::Run() {
  if (!this->Listen() || !this->control.Start()) {
    return EXIT_FAILURE;
  }
  this->settings_watcher.Start();
  this->rate_limiter.Start();
  this->configuration_watcher.Start();
  this->vm_list_watcher.Start();
  asio::co_spawn(this->control_context, this->ShutDownOnSignal(),
                 asio::detached);
  LogEvent(EventId::kNodeStarted,
           {{"vm", this->settings.vm}, {"incarnation", this->incarnation}});
  const asio::executor_work_guard ingress_work =
      asio::make_work_guard(this->ingress_context);
  const asio::executor_work_guard gate_work =
      asio::make_work_guard(this->gate_context);
  std::thread ingress_thread([this] { this->ingress_context.run(); });
  std::thread gate_thread([this] { this->gate_context.run(); });
  this->control_context.run();
  ingress_thread.join();
  gate_thread.join();
  return EXIT_SUCCESS;
}

bool Node::Listen() {
  const auto report = [](const Address& address, const ErrorCode& error) {
    if (error) {
      LogEvent(EventId::kPortUnavailable,
               {{"address", address.ToString()}, {"reason", error.message()}});
    }
    return !error;
  };
  return report(this->settings.caller_address,
                this->caller_server.Listen(this->settings.caller_address)) &&
         report(this->settings.peer_address,
                this->call_server.Listen(this->settings.peer_address)) &&
         report(this->settings.operator_address,
                this->operator_server.Listen(this->settings.operator_address));
}

void Node::ApplySettings(const Settings& changed) {
  this->settings.shutdown_timeout = changed.shutdown_timeout;
  this->settings.platform_address = changed.platform_address;
  this->configuration_watcher.SetPlatformAddress(changed.platform_address);
  this->vm_list_watcher.SetPlatformAddress(changed.platform_address);
}

Awaitable<> Node::ShutDownOnSignal() {
  ErrorCode error;
  co_await this->signals.async_wait(Await(error));
  LogEvent(EventId::kShutdownStarted, {{"vm", this->settings.vm}});
  this->ingress.Drain();
  this->gate.Drain();
  this->control.Drain();
  const TimePoint started = this->clock.Now();
  const Duration time_left = this->settings.shutdown_timeout;
  const TimePoint deadline = started + time_left;
  asio::post(this->ingress_context, [this, started, time_left, deadline] {
    this->caller_server.AnnounceClose();
    this->ingress.SetStopSchedule(StopSchedule(
        started, time_left, deadline - HttpServer::kCancellationMargin));
  });
  const auto is_gate_busy = [this] {
    return this->gate.CallsInProgress() > 0 ||
           this->call_server.CallsInProgress() > 0;
  };
  // Until then, the local target may make nested calls.
  co_await WaitWhileBusy(this->control_context, is_gate_busy,
                         deadline - kCallerShutdownTime);
  using asio::experimental::awaitable_operators::operator&&;
  const int cancelled_requests = co_await (
      asio::co_spawn(this->gate_context, this->call_server.ShutDown(deadline),
                     asio::use_awaitable) &&
      asio::co_spawn(this->ingress_context,
                     this->caller_server.ShutDown(deadline),
                     asio::use_awaitable));
  LogShutdownEnd(this->settings.vm, this->gate.CallsInProgress(),
                 cancelled_requests);
  this->ingress_context.stop();
  this->gate_context.stop();
  this->control_context.stop();
}

}  // namespace daisywinch
