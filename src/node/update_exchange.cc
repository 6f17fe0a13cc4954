#include "node/update_exchange.h"

#include <memory>
#include <utility>
#include <vector>

namespace daisywinch {

namespace {

/// Minimum interval between two rounds of a relay when something is urgent.
constexpr std::chrono::milliseconds kUrgentInterval{200};

}  // namespace

UpdateExchange::UpdateExchange(asio::io_context& context,
                               const Clock& clock,
                               const MeshSettings& settings,
                               std::uint64_t incarnation,
                               const MeshViewHolder& views,
                               StoreWatcher& watcher,
                               SumHandler handle_sum)
    : clock(clock),
      ip(settings.ip),
      data_centre(settings.data_centre),
      address(settings.news_address),
      incarnation(incarnation),
      started_at(clock.Now()),
      views(views),
      watcher(watcher),
      handle_sum(std::move(handle_sum)),
      socket(context,
             [this](const std::string& ip, std::string_view content) {
               this->HandleDatagram(ip, content);
             }),
      relay(settings.ip, settings.data_centre) {
  watcher.SetUpdateForwarder([this](const protocol::StoreNews& update) {
    this->SendStoreUpdate(update);
  });
}

void UpdateExchange::ApplyView(const MeshView& view) {
  this->relay.SetNodes(view.VmsByDataCentre());
  if (view.Configuration() != nullptr) {
    this->relay.SetConfiguration(*view.Configuration());
  }
}

std::uint64_t UpdateExchange::UptimeInMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->clock.Now() - this->started_at)
      .count();
}

void UpdateExchange::SendLocalUpdate(protocol::NodeNews update) {
  update.set_node(this->ip);
  update.set_incarnation(this->incarnation);
  update.set_sequence(++this->sequence);
  update.set_age_ms(this->UptimeInMilliseconds());
  const StorePosition position = this->watcher.Position();
  update.set_store_era(position.era);
  update.set_store_revision(position.revision);
  const TimePoint now = this->clock.Now();
  protocol::Datagram datagram;
  *datagram.mutable_node() = std::move(update);
  this->local_relays = this->relay.LocalRelays(now);
  for (const std::string& ip : this->local_relays) {
    if (ip == this->ip) {
      this->relay.ApplyNodeUpdate(ip, this->incarnation,
                                  DecodeTrafficUpdate(datagram.node()), now);
    } else {
      this->Send(ip, datagram);
    }
  }
}

void UpdateExchange::RelayUpdates(bool is_draining) {
  const TimePoint now = this->clock.Now();
  this->watcher.SetRelay(!is_draining && !this->relay.Subscribers(now).empty());
  const std::optional<protocol::StoreNews> store_update =
      this->watcher.MakeStoreUpdate();
  const bool is_due = now - this->last_relayed_at >= kUpdateInterval;
  const bool has_reachability_changed =
      store_update && store_update->is_reachable() != this->sent_reachable;
  if (store_update && (is_due || has_reachability_changed)) {
    this->sent_reachable = store_update->is_reachable();
    this->SendStoreUpdate(*store_update);
  }
  const bool may_send_urgent = now - this->last_relayed_at >= kUrgentInterval;
  if (is_draining || !may_send_urgent) {
    return;
  }
  const TrafficRelay::Urgency urgency = this->relay.TakeUrgency();
  if (!is_due && !urgency.subscribers && !urgency.data_centres) {
    return;
  }
  this->last_relayed_at = now;
  if (is_due || urgency.data_centres) {
    const std::vector<std::string> remote_relays =
        this->relay.RemoteRelays(now);
    const TrafficSum sum =
        remote_relays.empty() ? TrafficSum() : this->relay.MakeLocalSum(now);
    for (const std::string& ip : remote_relays) {
      this->SendSum(ip, this->data_centre, sum);
    }
  }
  const std::vector<std::string> subscribers = this->relay.Subscribers(now);
  const FleetSum fleet =
      subscribers.empty() ? FleetSum() : this->relay.MakeFleetSum(now);
  for (const std::string& ip : subscribers) {
    TrafficSum others_sum = this->relay.OthersSumFor(ip, fleet);
    if (ip == this->ip) {
      others_sum.age = now - this->started_at;
      this->ApplyOthersSum(ip, this->incarnation, std::move(others_sum));
    } else {
      this->SendSum(ip, "", others_sum);
    }
  }
}

void UpdateExchange::SendStoreUpdate(const protocol::StoreNews& update) {
  protocol::Datagram datagram;
  *datagram.mutable_store() = update;
  datagram.mutable_store()->set_relay(this->ip);
  datagram.mutable_store()->set_incarnation(this->incarnation);
  std::vector<std::string> recipients =
      this->relay.Subscribers(this->clock.Now());
  if (recipients.empty()) {
    // This node is not a relay. That it reads the store itself means that its
    // relays can't, so the changes are sent to them.
    recipients = this->local_relays;
  }
  for (const std::string& ip : recipients) {
    if (ip != this->ip) {
      this->Send(ip, datagram);
    }
  }
}

void UpdateExchange::SendSum(const std::string& ip,
                             const std::string& data_centre,
                             const TrafficSum& sum) {
  protocol::Datagram datagram;
  protocol::SumNews& update = *datagram.mutable_sum();
  EncodeTrafficSum(sum, update);
  update.set_relay(this->ip);
  update.set_incarnation(this->incarnation);
  update.set_sequence(++this->sequence);
  update.set_data_centre(data_centre);
  update.set_age_ms(this->UptimeInMilliseconds());
  this->Send(ip, datagram);
}

void UpdateExchange::Send(const std::string& ip,
                          const protocol::Datagram& datagram) {
  this->socket.Send({ip, this->address.port}, datagram.SerializeAsString());
}

void UpdateExchange::HandleDatagram(const std::string& ip,
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
                                DecodeTrafficUpdate(datagram.node()),
                                this->clock.Now());
  } else if (datagram.has_sum() && datagram.sum().relay() == ip) {
    this->HandleSum(ip, datagram.sum());
  } else if (datagram.has_store() && datagram.store().relay() == ip) {
    this->watcher.ApplyStoreUpdate(datagram.store());
  }
}

void UpdateExchange::HandleSum(const std::string& ip,
                               const protocol::SumNews& update) {
  TrafficSum sum = DecodeTrafficSum(update);
  if (update.data_centre().empty()) {
    this->ApplyOthersSum(ip, update.incarnation(), std::move(sum));
  } else {
    this->relay.ApplyDataCentreSum(update.data_centre(), ip,
                                   update.incarnation(), std::move(sum),
                                   this->clock.Now());
  }
}

void UpdateExchange::ApplyOthersSum(const std::string& relay_ip,
                                    std::uint64_t relay_incarnation,
                                    TrafficSum sum) {
  if (!this->relay.ApplyOthersSum(relay_ip, relay_incarnation, sum,
                                  this->clock.Now())) {
    return;
  }
  this->handle_sum(std::move(sum));
}

}  // namespace daisywinch
