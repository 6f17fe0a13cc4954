#include "node/mesh_node.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>

#include "node/shutdown.h"
#include "state/event_log.h"
#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Maximum frame size in bytes: the largest body and the metadata of its call.
constexpr std::size_t kFrameLimit = std::size_t{65} * 1024 * 1024;
constexpr std::uint64_t kBodyLimit = std::uint64_t{64} * 1024 * 1024;
/// Interval between checks for due or urgent updates.
constexpr std::chrono::milliseconds kUpdateCheckInterval{100};
/// Change of the target's usable slots since the last update, as a fraction of
/// them, that makes an update urgent.
constexpr double kUrgentSlotChange = 0.2;
/// Time from the stop signal for which root requests are served as before: the
/// platform checks readiness once a second and stops traffic after two failed
/// checks.
constexpr std::chrono::milliseconds kMaxServingTime{2800};
/// The same as a fraction of the time until the process exits, if that is
/// shorter. The rest is for the requests in progress.
constexpr double kServingFraction = 0.6;
/// Time before the end of the serving time at which the local target gets no
/// more requests, as a fraction of it: those that it has begun may make nested
/// calls, which are taken for about as long as root requests.
constexpr double kTargetMargin = 0.2;
/// Time before the end of the grace period at which the process exits even if
/// requests are in progress; at most a quarter of that period.
constexpr std::chrono::milliseconds kGraceMargin{300};

HttpLimits CallerServerLimits(MemoryBudget& memory) {
  HttpLimits limits;
  limits.memory = &memory;
  limits.body_bytes = kBodyLimit;
  return limits;
}

HttpResponse MakeTextResponse(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = std::move(text);
  response.prepare_payload();
  return response;
}

}  // namespace

MeshNode::MeshNode(const MeshSettings& settings, const SettingsFile& file)
    : settings(settings),
      incarnation(RandomNumber()),
      watcher(this->control_context,
              this->clock,
              settings.platform_address,
              RandomNumber(),
              this->directory,
              [this] { this->PublishView(); }),
      gate(this->traffic_context,
           this->clock,
           this->settings,
           this->views,
           this->cost_estimator,
           this->fatal_requests,
           this->running_trees,
           this->memory),
      router(
          this->traffic_context,
          nullptr,
          this->clock,
          settings.ip,
          kFrameLimit,
          this->traffic_context,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->gate.Handle(std::move(request),
                                     std::move(cancellation));
          },
          &this->memory),
      ingress(this->traffic_context,
              this->clock,
              this->settings,
              RandomNumber(),
              this->views,
              this->cost_estimator,
              this->fatal_requests,
              this->running_trees,
              this->router),
      caller_server(this->traffic_context,
                    CallerServerLimits(this->memory),
                    [this](HttpRequest request,
                           std::shared_ptr<Cancellation> cancellation) {
                      return this->ingress.Handle(std::move(request),
                                                  std::move(cancellation));
                    }),
      call_server(
          this->traffic_context,
          nullptr,
          kFrameLimit,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->gate.Handle(std::move(request),
                                     std::move(cancellation));
          },
          &this->memory),
      ready_server(this->control_context,
                   HttpLimits(),
                   [this](HttpRequest, std::shared_ptr<Cancellation>) {
                     return this->HandleReadyRequest();
                   }),
      operator_server(
          this->control_context,
          HttpLimits(),
          [this](HttpRequest request, std::shared_ptr<Cancellation>) {
            return this->HandleOperatorRequest(std::move(request));
          }),
      update_exchange(this->control_context,
                      this->clock,
                      this->settings,
                      this->incarnation,
                      this->views,
                      this->watcher,
                      [this](TrafficSum sum) {
                        asio::post(this->traffic_context,
                                   [this, sum = std::move(sum)]() mutable {
                                     this->ingress.ApplyUpdate(std::move(sum));
                                   });
                      }),
      signals(this->control_context, SIGTERM, SIGINT),
      settings_watcher(this->control_context,
                       file,
                       settings,
                       ReadMeshSettings,
                       [this](const MeshSettings& changed) {
                         this->ApplySettings(changed);
                       }) {}

int MeshNode::Run() {
  if (!this->Listen()) {
    return EXIT_FAILURE;
  }
  this->settings_watcher.Start();
  this->watcher.Start();
  this->gate.Start();
  asio::co_spawn(this->control_context, this->ShutDownOnSignal(),
                 asio::detached);
  asio::co_spawn(this->control_context, this->SendUpdates(), asio::detached);
  LogEvent(EventId::kNodeStarted,
           {{"vm", this->settings.vm}, {"incarnation", this->incarnation}});
  const asio::executor_work_guard traffic_work =
      asio::make_work_guard(this->traffic_context);
  std::thread traffic_thread([this] { this->traffic_context.run(); });
  this->control_context.run();
  traffic_thread.join();
  return EXIT_SUCCESS;
}

bool MeshNode::Listen() {
  const auto report = [](const Address& address, const ErrorCode& error) {
    if (error) {
      LogEvent(EventId::kPortUnavailable,
               {{"address", address.ToString()}, {"reason", error.message()}});
    }
    return !error;
  };
  const MeshSettings& node_settings = this->settings;
  return report(node_settings.caller_address,
                this->caller_server.Listen(node_settings.caller_address)) &&
         report(node_settings.peer_address,
                this->call_server.Listen(node_settings.peer_address)) &&
         report(node_settings.ready_address,
                this->ready_server.Listen(node_settings.ready_address)) &&
         report(node_settings.operator_address,
                this->operator_server.Listen(node_settings.operator_address)) &&
         report(node_settings.news_address, this->update_exchange.Listen());
}

void MeshNode::ApplySettings(const MeshSettings& changed) {
  this->settings.bounds = changed.bounds;
  this->settings.platform_address = changed.platform_address;
  this->watcher.SetStoreAddress(changed.platform_address);
  asio::post(this->traffic_context, [this, bounds = changed.bounds] {
    this->ingress.SetBounds(bounds);
  });
}

void MeshNode::PublishView() {
  const bool was_ready = this->IsReady();
  const std::shared_ptr<const MeshView> view = this->directory.MakeView();
  this->views.Publish(view);
  this->update_exchange.ApplyView(*view);
  if (!was_ready && this->IsReady()) {
    LogEvent(EventId::kNodeReady, {{"vm", this->settings.vm}});
  }
}

bool MeshNode::IsReady() const {
  const std::shared_ptr<const MeshView> view = this->views.Load();
  return !this->draining && !this->is_isolated && view != nullptr &&
         view->Configuration() != nullptr && !view->Targets().empty();
}

Awaitable<HttpResponse> MeshNode::HandleReadyRequest() {
  const bool is_ready = this->IsReady();
  co_return MakeTextResponse(
      is_ready ? http::status::ok : http::status::service_unavailable, "");
}

Awaitable<HttpResponse> MeshNode::HandleOperatorRequest(HttpRequest request) {
  if (request.target() == "/metrics") {
    const auto collect = [](const MeshNode& node) -> Awaitable<std::string> {
      co_return node.ingress.Metrics().ToPrometheusText() +
          node.gate.ToPrometheusText() + node.traffic_delay.ToPrometheusText();
    };
    std::string text = co_await asio::co_spawn(
        this->traffic_context, collect(*this), asio::use_awaitable);
    text += this->control_delay.ToPrometheusText() +
            this->memory.ToPrometheusText();
    co_return MakeTextResponse(http::status::ok, std::move(text));
  }
  if (request.target() == "/status") {
    const auto collect =
        [](const MeshGate& gate) -> Awaitable<boost::json::object> {
      co_return gate.Status();
    };
    const boost::json::object gate_status = co_await asio::co_spawn(
        this->traffic_context, collect(this->gate), asio::use_awaitable);
    const boost::json::object status = {
        {"vm", this->settings.vm},
        {"incarnation", this->incarnation},
        {"data_centre", this->settings.data_centre},
        {"service", this->settings.service},
        {"ready", this->IsReady()},
        {"configuration_version", this->directory.ConfigurationVersion()},
        {"store_era", this->watcher.Position().era},
        {"store_revision", this->watcher.Position().revision},
        {"store_calls", this->watcher.CallCount()},
        {"gate", gate_status}};
    co_return MakeTextResponse(http::status::ok,
                               boost::json::serialize(status));
  }
  co_return MakeTextResponse(http::status::not_found,
                             "known paths: /status /metrics\n");
}

Awaitable<> MeshNode::SendUpdates() {
  while (true) {
    const TimePoint due = this->clock.Now() + kUpdateCheckInterval;
    Timer timer(this->control_context, due);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    const TimePoint now = this->clock.Now();
    this->control_delay.Record(now - due);
    asio::post(this->traffic_context, [this, now] {
      this->traffic_delay.Record(this->clock.Now() - now);
      this->SendLocalUpdateIfDue();
    });
    this->update_exchange.RelayUpdates(this->draining);
    this->CheckIsolation();
  }
}

void MeshNode::CheckIsolation() {
  const bool was_isolated = this->is_isolated;
  this->is_isolated = this->update_exchange.IsIsolated();
  if (this->is_isolated != was_isolated) {
    LogEvent(
        this->is_isolated ? EventId::kNodeIsolated : EventId::kNodeRejoined,
        {{"vm", this->settings.vm}});
  }
}

void MeshNode::SendLocalUpdateIfDue() {
  const TimePoint now = this->clock.Now();
  const double slots = this->gate.UsableSlots();
  const bool is_urgent =
      this->ingress.HasUrgentUpdate() ||
      std::abs(slots - this->sent_slots) >
          kUrgentSlotChange * std::max(slots, this->sent_slots);
  if (now - this->update_sent_at >= kUpdateInterval || is_urgent) {
    this->SendLocalUpdate();
  }
}

void MeshNode::SendLocalUpdate() {
  NodeLoad load;
  load.slots = this->gate.UsableSlots();
  this->update_sent_at = this->clock.Now();
  this->sent_slots = load.slots;
  protocol::NodeNews update;
  EncodeTrafficUpdate(this->ingress.MakeUpdate(std::move(load)), update);
  asio::post(this->control_context, [this,
                                     update = std::move(update)]() mutable {
    update.set_configuration_version(this->directory.ConfigurationVersion());
    update.set_draining(this->is_refusing);
    this->update_exchange.SendLocalUpdate(std::move(update));
  });
}

Awaitable<> MeshNode::ShutDownOnSignal() {
  ErrorCode error;
  co_await this->signals.async_wait(Await(error));
  LogEvent(EventId::kShutdownStarted, {{"vm", this->settings.vm}});
  this->draining = true;
  const TimePoint started = this->clock.Now();
  const Duration grace = this->settings.bounds.grace;
  const Duration time_left =
      grace - std::min<Duration>(kGraceMargin, grace / 4);
  const Duration serving_time = std::min<Duration>(
      kMaxServingTime,
      std::chrono::duration_cast<Duration>(time_left * kServingFraction));
  const int cancelled_requests = co_await asio::co_spawn(
      this->traffic_context,
      this->ShutDownTraffic(started, serving_time, time_left),
      asio::use_awaitable);
  LogShutdownEnd(this->settings.vm, this->gate.CallsInProgress(),
                 cancelled_requests);
  this->traffic_context.stop();
  this->control_context.stop();
}

Awaitable<int> MeshNode::ShutDownTraffic(TimePoint started,
                                         Duration serving_time,
                                         Duration time_left) {
  const TimePoint deadline = started + time_left;
  this->caller_server.AnnounceClose();
  const StopSchedule schedule(started, time_left,
                              deadline - HttpServer::kCancellationMargin);
  this->gate.Stop(schedule);
  this->SendLocalUpdate();
  ErrorCode ignored;
  Timer target_end(this->traffic_context,
                   started + std::chrono::duration_cast<Duration>(
                                 serving_time * (1 - kTargetMargin)));
  co_await target_end.async_wait(Await(ignored));
  this->gate.Drain();
  this->SendLocalUpdate();
  Timer serving_end(this->traffic_context, started + serving_time);
  co_await serving_end.async_wait(Await(ignored));
  this->is_refusing = true;
  this->ingress.Drain(schedule);
  this->SendLocalUpdate();
  const auto is_gate_busy = [this] {
    return this->gate.CallsInProgress() > 0 ||
           this->call_server.CallsInProgress() > 0;
  };
  // Until then, the local target may make nested calls.
  co_await WaitWhileBusy(this->traffic_context, is_gate_busy,
                         deadline - kCallerShutdownTime);
  using asio::experimental::awaitable_operators::operator&&;
  co_return co_await (this->call_server.ShutDown(deadline) &&
                      this->caller_server.ShutDown(deadline));
}

}  // namespace daisywinch
