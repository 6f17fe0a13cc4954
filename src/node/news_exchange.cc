#include "node/news_exchange.h"

#include <memory>
#include <utility>
#include <vector>

namespace daisywinch {

namespace {

/// Least time between two rounds of a relay when something is urgent.
constexpr std::chrono::milliseconds kUrgentInterval{200};

}  // namespace

NewsExchange::NewsExchange(asio::io_context& context,
                           const Clock& clock,
                           const MeshSettings& settings,
                           std::uint64_t incarnation,
                           const MeshViewHolder& views,
                           StoreWatcher& watcher,
                           Receiver deliver)
    : clock(clock),
      ip(settings.ip),
      data_centre(settings.data_centre),
      address(settings.news_address),
      incarnation(incarnation),
      started_at(clock.Now()),
      views(views),
      watcher(watcher),
      deliver(std::move(deliver)),
      socket(context,
             [this](const std::string& ip, std::string_view content) {
               this->TakeDatagram(ip, content);
             }),
      relay(settings.ip, settings.data_centre) {
  watcher.SetFeeder(
      [this](const protocol::StoreNews& news) { this->SendFeed(news); });
}

void NewsExchange::TakeView(const MeshView& view) {
  this->relay.SetNodes(view.VmsByDataCentre());
  if (view.Configuration() != nullptr) {
    this->relay.SetConfiguration(*view.Configuration());
  }
}

std::uint64_t NewsExchange::AgeInMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->clock.Now() - this->started_at)
      .count();
}

void NewsExchange::TellOwn(protocol::NodeNews news) {
  news.set_node(this->ip);
  news.set_incarnation(this->incarnation);
  news.set_sequence(++this->sequence);
  news.set_age_ms(this->AgeInMilliseconds());
  news.set_store_revision(this->watcher.Revision());
  const TimePoint now = this->clock.Now();
  protocol::Datagram datagram;
  *datagram.mutable_node() = std::move(news);
  this->own_relays = this->relay.LocalRelays(now);
  for (const std::string& ip : this->own_relays) {
    if (ip == this->ip) {
      this->relay.ApplyNodeUpdate(ip, this->incarnation,
                                  DecodeTrafficNews(datagram.node()), now);
    } else {
      this->Send(ip, datagram);
    }
  }
}

void NewsExchange::RelayNews(bool is_draining) {
  const TimePoint now = this->clock.Now();
  this->watcher.SetRelay(!is_draining && !this->relay.Subscribers(now).empty());
  const std::optional<protocol::StoreNews> feed = this->watcher.TellFeed();
  const bool is_time = now - this->relayed_at >= kNewsInterval;
  const bool has_turned = feed && feed->is_reachable() != this->told_reachable;
  if (feed && (is_time || has_turned)) {
    this->told_reachable = feed->is_reachable();
    this->SendFeed(*feed);
  }
  const bool may_be_urgent = now - this->relayed_at >= kUrgentInterval;
  if (is_draining || !may_be_urgent) {
    return;
  }
  const TrafficRelay::Urgency urgency = this->relay.TakeUrgency();
  if (!is_time && !urgency.subscribers && !urgency.data_centres) {
    return;
  }
  this->relayed_at = now;
  if (is_time || urgency.data_centres) {
    const std::vector<std::string> remote = this->relay.RemoteRelays(now);
    const TrafficSum sum =
        remote.empty() ? TrafficSum() : this->relay.MakeLocalSum(now);
    for (const std::string& ip : remote) {
      this->SendSum(ip, this->data_centre, sum);
    }
  }
  const std::vector<std::string> listeners = this->relay.Subscribers(now);
  const FleetSum fleet =
      listeners.empty() ? FleetSum() : this->relay.MakeFleetSum(now);
  for (const std::string& ip : listeners) {
    TrafficSum rest = this->relay.OthersSumFor(ip, fleet);
    if (ip == this->ip) {
      rest.age = now - this->started_at;
      this->TakeRest(ip, this->incarnation, std::move(rest));
    } else {
      this->SendSum(ip, "", rest);
    }
  }
}

void NewsExchange::SendFeed(const protocol::StoreNews& news) {
  protocol::Datagram datagram;
  *datagram.mutable_store() = news;
  datagram.mutable_store()->set_relay(this->ip);
  datagram.mutable_store()->set_incarnation(this->incarnation);
  std::vector<std::string> receivers =
      this->relay.Subscribers(this->clock.Now());
  if (receivers.empty()) {
    // The relays do not read the store, or this node would be fed.
    receivers = this->own_relays;
  }
  for (const std::string& ip : receivers) {
    if (ip != this->ip) {
      this->Send(ip, datagram);
    }
  }
}

void NewsExchange::SendSum(const std::string& ip,
                           const std::string& data_centre,
                           const TrafficSum& sum) {
  protocol::Datagram datagram;
  protocol::SumNews& news = *datagram.mutable_sum();
  EncodeTrafficSum(sum, news);
  news.set_relay(this->ip);
  news.set_incarnation(this->incarnation);
  news.set_sequence(++this->sequence);
  news.set_data_centre(data_centre);
  news.set_age_ms(this->AgeInMilliseconds());
  this->Send(ip, datagram);
}

void NewsExchange::Send(const std::string& ip,
                        const protocol::Datagram& datagram) {
  this->socket.Send({ip, this->address.port}, datagram.SerializeAsString());
}

void NewsExchange::TakeDatagram(const std::string& ip,
                                std::string_view content) {
  protocol::Datagram datagram;
  const std::shared_ptr<const MeshView> view = this->views.Load();
  const bool is_listed = view != nullptr && view->VmAddresses().contains(ip);
  if (!is_listed || !datagram.ParseFromArray(
                        content.data(), static_cast<int>(content.size()))) {
    return;
  }
  if (datagram.has_node() && datagram.node().node() == ip) {
    this->relay.ApplyNodeUpdate(ip, datagram.node().incarnation(),
                                DecodeTrafficNews(datagram.node()),
                                this->clock.Now());
  } else if (datagram.has_sum() && datagram.sum().relay() == ip) {
    this->TakeSum(ip, datagram.sum());
  } else if (datagram.has_store() && datagram.store().relay() == ip) {
    this->watcher.TakeFeed(datagram.store());
  }
}

void NewsExchange::TakeSum(const std::string& ip,
                           const protocol::SumNews& news) {
  TrafficSum sum = DecodeTrafficSum(news);
  if (news.data_centre().empty()) {
    this->TakeRest(ip, news.incarnation(), std::move(sum));
  } else {
    this->relay.ApplyDataCentreSum(news.data_centre(), ip, news.incarnation(),
                                   std::move(sum), this->clock.Now());
  }
}

void NewsExchange::TakeRest(const std::string& relay_ip,
                            std::uint64_t relay_incarnation,
                            TrafficSum sum) {
  if (!this->relay.ApplyOthersSum(relay_ip, relay_incarnation, sum,
                                  this->clock.Now())) {
    return;
  }
  this->deliver(std::move(sum));
}

}  // namespace daisywinch
