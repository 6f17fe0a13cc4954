#include "node/mesh_node.h"

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "state/event_log.h"
#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Largest body and what goes with it in a frame.
constexpr std::size_t kFrameLimit = std::size_t{65} * 1024 * 1024;
constexpr std::uint64_t kBodyLimit = std::uint64_t{64} * 1024 * 1024;
/// Time between two looks for news that are due or urgent.
constexpr std::chrono::milliseconds kNewsCheckInterval{100};
/// Growth of the part of inner calls that the gate refuses that is told at
/// once.
constexpr double kUrgentRefusedPart = 0.05;
constexpr std::chrono::milliseconds kDrainCheckInterval{20};
/// Time after the signal to stop in which callers may still send requests:
/// the platform notices after two misses of one check a second.
constexpr std::chrono::milliseconds kCallerTime{3000};
/// Time before the end of the grace at which the process ends in any case.
constexpr std::chrono::milliseconds kGraceMargin{300};

HttpLimits CallerServerLimits() {
  HttpLimits limits;
  limits.body_bytes = kBodyLimit;
  return limits;
}

std::uint64_t RandomNumber() {
  return std::stoull(RandomHex(sizeof(std::uint64_t)), nullptr, 16);
}

HttpResponse MakeText(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = std::move(text);
  response.prepare_payload();
  return response;
}

}  // namespace

MeshNode::MeshNode(const MeshSettings& settings)
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
           this->demand),
      router(this->traffic_context,
             nullptr,
             this->clock,
             settings.ip,
             kFrameLimit,
             this->traffic_context,
             [this](protocol::CallRequest request,
                    std::shared_ptr<Cancellation> cancellation) {
               return this->gate.Handle(std::move(request),
                                        std::move(cancellation));
             }),
      entry(this->traffic_context,
            this->clock,
            this->settings,
            RandomNumber(),
            this->views,
            this->demand,
            this->router),
      caller_server(this->traffic_context,
                    CallerServerLimits(),
                    [this](HttpRequest request,
                           std::shared_ptr<Cancellation> cancellation) {
                      return this->entry.Handle(std::move(request),
                                                std::move(cancellation));
                    }),
      call_server(this->traffic_context,
                  nullptr,
                  kFrameLimit,
                  [this](protocol::CallRequest request,
                         std::shared_ptr<Cancellation> cancellation) {
                    return this->gate.Handle(std::move(request),
                                             std::move(cancellation));
                  }),
      ready_server(this->control_context,
                   HttpLimits(),
                   [this](HttpRequest, std::shared_ptr<Cancellation>) {
                     return this->AnswerReady();
                   }),
      operator_server(
          this->control_context,
          HttpLimits(),
          [this](HttpRequest request, std::shared_ptr<Cancellation>) {
            return this->AnswerOperator(std::move(request));
          }),
      exchange(this->control_context,
               this->clock,
               this->settings,
               this->incarnation,
               this->views,
               this->watcher,
               [this](TrafficSum sum) {
                 asio::post(this->traffic_context,
                            [this, sum = std::move(sum)]() mutable {
                              this->entry.TakeNews(std::move(sum));
                            });
               }),
      signals(this->control_context, SIGTERM, SIGINT) {}

int MeshNode::Run() {
  if (!this->Listen()) {
    return EXIT_FAILURE;
  }
  this->watcher.Start();
  this->gate.Start();
  asio::co_spawn(this->control_context, this->ShutDownOnSignal(),
                 asio::detached);
  asio::co_spawn(this->control_context, this->SpreadNews(), asio::detached);
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
  const MeshSettings& own = this->settings;
  return report(own.caller_address,
                this->caller_server.Listen(own.caller_address)) &&
         report(own.peer_address, this->call_server.Listen(own.peer_address)) &&
         report(own.ready_address,
                this->ready_server.Listen(own.ready_address)) &&
         report(own.operator_address,
                this->operator_server.Listen(own.operator_address)) &&
         report(own.news_address, this->exchange.Listen());
}

void MeshNode::PublishView() {
  const bool was_ready = this->IsReady();
  const std::shared_ptr<const MeshView> view = this->directory.MakeView();
  this->views.Publish(view);
  this->exchange.TakeView(*view);
  if (!was_ready && this->IsReady()) {
    LogEvent(EventId::kNodeReady, {{"vm", this->settings.vm}});
  }
}

bool MeshNode::IsReady() const {
  const std::shared_ptr<const MeshView> view = this->views.Load();
  return !this->draining && view != nullptr &&
         view->Configuration() != nullptr && !view->Targets().empty();
}

Awaitable<HttpResponse> MeshNode::AnswerReady() {
  const bool is_ready = this->IsReady();
  co_return MakeText(
      is_ready ? http::status::ok : http::status::service_unavailable, "");
}

Awaitable<HttpResponse> MeshNode::AnswerOperator(HttpRequest request) {
  if (request.target() == "/metrics") {
    const auto collect = [](const MeshEntry& entry) -> Awaitable<std::string> {
      co_return entry.Metrics().ToPrometheusText();
    };
    co_return MakeText(
        http::status::ok,
        co_await asio::co_spawn(this->traffic_context, collect(this->entry),
                                asio::use_awaitable));
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
        {"store_revision", this->watcher.Revision()},
        {"store_calls", this->watcher.CallCount()},
        {"gate", gate_status}};
    co_return MakeText(http::status::ok, boost::json::serialize(status));
  }
  co_return MakeText(http::status::not_found,
                     "known paths: /status /metrics\n");
}

Awaitable<> MeshNode::SpreadNews() {
  while (true) {
    Timer timer(this->control_context, kNewsCheckInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    asio::post(this->traffic_context, [this] { this->CollectOwnNews(); });
    this->exchange.RelayNews(this->draining);
  }
}

void MeshNode::CollectOwnNews() {
  const TimePoint now = this->clock.Now();
  NodeLoad load;
  load.slots = this->gate.Slots();
  load.refused_fraction = this->gate.RefusedPart();
  const bool is_urgent =
      this->entry.HasUrgentNews() ||
      load.refused_fraction > this->told_refused_part + kUrgentRefusedPart;
  if (now - this->told_at < kNewsInterval && !is_urgent) {
    return;
  }
  this->told_at = now;
  this->told_refused_part = load.refused_fraction;
  protocol::NodeNews news;
  EncodeTrafficNews(this->entry.TellNews(std::move(load)), news);
  asio::post(this->control_context, [this, news = std::move(news)]() mutable {
    news.set_configuration_version(this->directory.ConfigurationVersion());
    news.set_draining(this->draining);
    this->exchange.TellOwn(std::move(news));
  });
}

Awaitable<> MeshNode::ShutDownOnSignal() {
  ErrorCode error;
  co_await this->signals.async_wait(Await(error));
  LogEvent(EventId::kShutdownStarted, {{"vm", this->settings.vm}});
  this->draining = true;
  this->gate.Drain();
  const TimePoint started = this->clock.Now();
  const TimePoint latest = started + this->settings.bounds.grace - kGraceMargin;
  const auto is_idle = [this] {
    return this->gate.CallsInProgress() == 0 &&
           this->call_server.CallsInProgress() == 0 &&
           this->caller_server.RequestsInProgress() == 0;
  };
  while (this->clock.Now() < latest &&
         (!is_idle() || this->clock.Now() < started + kCallerTime)) {
    Timer timer(this->control_context, kDrainCheckInterval);
    co_await timer.async_wait(Await(error));
  }
  if (!is_idle()) {
    LogEvent(EventId::kShutdownTimedOut, {});
  }
  LogEvent(EventId::kShutdownFinished, {{"vm", this->settings.vm}});
  this->traffic_context.stop();
  this->control_context.stop();
}

}  // namespace daisywinch
