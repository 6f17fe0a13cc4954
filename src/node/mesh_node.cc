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
/// Time between two news without a special reason, and between two looks for
/// one.
constexpr std::chrono::milliseconds kNewsInterval{500};
constexpr std::chrono::milliseconds kNewsCheckInterval{100};
/// Growth of the part of inner calls that the gate refuses that is told at
/// once.
constexpr double kUrgentRefusedPart = 0.05;
/// Least time between two rounds of a relay when something is urgent.
constexpr std::chrono::milliseconds kUrgentInterval{200};
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
      news_socket(this->control_context,
                  [this](const std::string& ip, std::string_view content) {
                    this->TakeDatagram(ip, content);
                  }),
      relay(settings.ip, settings.data_centre),
      signals(this->control_context, SIGTERM, SIGINT) {}

int MeshNode::Run() {
  if (!this->Listen()) {
    return EXIT_FAILURE;
  }
  this->watcher.SetFeeder(
      [this](const protocol::StoreNews& news) { this->SendFeed(news); });
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
         report(own.news_address, this->news_socket.Listen(own.news_address));
}

void MeshNode::PublishView() {
  const bool was_ready = this->IsReady();
  const std::shared_ptr<const MeshView> view = this->directory.MakeView();
  this->views.Publish(view);
  this->relay.SetNodes(view->VmsByDataCentre());
  if (view->Configuration() != nullptr) {
    this->relay.SetConfiguration(*view->Configuration());
  }
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
    this->RelayNews();
  }
}

void MeshNode::CollectOwnNews() {
  const TimePoint now = this->clock.Now();
  NodeLoad load;
  load.slots = this->gate.Slots();
  load.refused_part = this->gate.RefusedPart();
  const bool is_urgent =
      this->entry.HasUrgentNews() ||
      load.refused_part > this->told_refused_part + kUrgentRefusedPart;
  if (now - this->told_at < kNewsInterval && !is_urgent) {
    return;
  }
  this->told_at = now;
  this->told_refused_part = load.refused_part;
  protocol::NodeNews news;
  EncodeTrafficNews(this->entry.TellNews(std::move(load)), news);
  asio::post(this->control_context, [this, news = std::move(news)]() mutable {
    this->SendOwnNews(std::move(news));
  });
}

void MeshNode::SendOwnNews(protocol::NodeNews news) {
  news.set_node(this->settings.ip);
  news.set_incarnation(this->incarnation);
  news.set_sequence(++this->news_sequence);
  news.set_configuration_version(this->directory.ConfigurationVersion());
  news.set_store_revision(this->watcher.Revision());
  news.set_draining(this->draining);
  const TimePoint now = this->clock.Now();
  protocol::Datagram datagram;
  *datagram.mutable_node() = std::move(news);
  for (const std::string& ip : this->relay.OwnRelays(now)) {
    if (ip == this->settings.ip) {
      this->relay.TakeNode(ip, this->incarnation,
                           DecodeTrafficNews(datagram.node()), now);
    } else {
      this->Send(ip, datagram);
    }
  }
}

void MeshNode::RelayNews() {
  const TimePoint now = this->clock.Now();
  this->watcher.SetRelay(!this->draining &&
                         !this->relay.Listeners(now).empty());
  const std::optional<protocol::StoreNews> feed = this->watcher.TellFeed();
  const bool is_time = now - this->relayed_at >= kNewsInterval;
  const bool has_turned = feed && feed->is_reachable() != this->told_reachable;
  if (feed && (is_time || has_turned)) {
    this->told_reachable = feed->is_reachable();
    this->SendFeed(*feed);
  }
  const bool may_be_urgent = now - this->relayed_at >= kUrgentInterval;
  if (this->draining || !may_be_urgent) {
    return;
  }
  const NewsRelay::Urgency urgency = this->relay.TakeUrgency();
  if (!is_time && !urgency.listeners && !urgency.data_centres) {
    return;
  }
  this->relayed_at = now;
  if (is_time || urgency.data_centres) {
    const std::vector<std::string> remote = this->relay.RemoteRelays(now);
    const TrafficSum sum =
        remote.empty() ? TrafficSum() : this->relay.OwnDataCentre(now);
    for (const std::string& ip : remote) {
      this->SendSum(ip, this->settings.data_centre, sum);
    }
  }
  const std::vector<std::string> listeners = this->relay.Listeners(now);
  const FleetSum fleet =
      listeners.empty() ? FleetSum() : this->relay.Fleet(now);
  for (const std::string& ip : listeners) {
    TrafficSum rest = this->relay.RestFor(ip, fleet);
    if (ip == this->settings.ip) {
      this->TakeRest(ip, this->incarnation, std::move(rest));
    } else {
      this->SendSum(ip, "", rest);
    }
  }
}

void MeshNode::SendFeed(const protocol::StoreNews& news) {
  protocol::Datagram datagram;
  *datagram.mutable_store() = news;
  datagram.mutable_store()->set_relay(this->settings.ip);
  datagram.mutable_store()->set_incarnation(this->incarnation);
  for (const std::string& ip : this->relay.Listeners(this->clock.Now())) {
    if (ip != this->settings.ip) {
      this->Send(ip, datagram);
    }
  }
}

void MeshNode::SendSum(const std::string& ip,
                       const std::string& data_centre,
                       const TrafficSum& sum) {
  protocol::Datagram datagram;
  protocol::SumNews& news = *datagram.mutable_sum();
  EncodeTrafficSum(sum, news);
  news.set_relay(this->settings.ip);
  news.set_incarnation(this->incarnation);
  news.set_sequence(++this->news_sequence);
  news.set_data_centre(data_centre);
  this->Send(ip, datagram);
}

void MeshNode::Send(const std::string& ip, const protocol::Datagram& datagram) {
  this->news_socket.Send({ip, this->settings.news_address.port},
                         datagram.SerializeAsString());
}

void MeshNode::TakeDatagram(const std::string& ip, std::string_view content) {
  protocol::Datagram datagram;
  const std::shared_ptr<const MeshView> view = this->views.Load();
  const bool is_listed = view != nullptr && view->VmAddresses().contains(ip);
  if (!is_listed || !datagram.ParseFromArray(
                        content.data(), static_cast<int>(content.size()))) {
    return;
  }
  if (datagram.has_node() && datagram.node().node() == ip) {
    this->relay.TakeNode(ip, datagram.node().incarnation(),
                         DecodeTrafficNews(datagram.node()), this->clock.Now());
  } else if (datagram.has_sum() && datagram.sum().relay() == ip) {
    this->TakeSum(ip, datagram.sum());
  } else if (datagram.has_store() && datagram.store().relay() == ip) {
    this->watcher.TakeFeed(datagram.store());
  }
}

void MeshNode::TakeSum(const std::string& ip, const protocol::SumNews& news) {
  TrafficSum sum = DecodeTrafficSum(news);
  if (news.data_centre().empty()) {
    this->TakeRest(ip, news.incarnation(), std::move(sum));
  } else {
    this->relay.TakeDataCentre(news.data_centre(), ip, news.incarnation(),
                               std::move(sum), this->clock.Now());
  }
}

void MeshNode::TakeRest(const std::string& relay_ip,
                        std::uint64_t relay_incarnation,
                        TrafficSum sum) {
  if (!this->relay.TakeRest(relay_ip, relay_incarnation, sum,
                            this->clock.Now())) {
    return;
  }
  asio::post(this->traffic_context, [this, sum = std::move(sum)]() mutable {
    this->entry.TakeNews(std::move(sum));
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
