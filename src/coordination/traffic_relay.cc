#include "coordination/traffic_relay.h"

#include <algorithm>
#include <utility>

#include "state/duration.h"
#include "state/event_log.h"

namespace daisywinch {

namespace {

/// Relays that a node sends its updates to, so that one may fail without a gap.
constexpr std::size_t kRelaysPerDataCentre = 2;
/// Time after its last update for which a node is sent the sum of the others.
constexpr std::chrono::milliseconds kSubscriptionTimeout{2500};
/// Time without an answer after which a relay is suspected, and time between
/// two retries of a suspected relay.
constexpr std::chrono::milliseconds kSuspicionTimeout{1500};
constexpr std::chrono::milliseconds kSuspectRetryInterval{3000};
/// Maximum share of a customer's limits that is reserved for all silent sources
/// together. The rest is left to the reachable nodes, so that the customer is
/// served there if its callers move; the operators' allowance covers it.
constexpr double kMaxSilentShare = 0.95;
/// Length of the demand history; longer than the time after which a source is
/// silent.
constexpr std::chrono::seconds kDemandHistoryTime{3};
/// Time for which the traffic of a node that left the list without announcing
/// its shutdown is estimated.
constexpr std::chrono::seconds kDepartedRetention{30};
/// An update that follows the last one sooner than this is forwarded at once;
/// regular updates come twice a second.
constexpr std::chrono::milliseconds kEarlyUpdateInterval{350};

std::uint64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from)
      .count();
}

}  // namespace

TrafficRelay::TrafficRelay(std::string ip, std::string data_centre)
    : ip(std::move(ip)), data_centre(std::move(data_centre)) {}

void TrafficRelay::SetNodes(std::map<std::string, std::set<std::string>> next) {
  this->listed = std::move(next);
}

void TrafficRelay::SetConfiguration(const MeshConfiguration& configuration) {
  this->limits.clear();
  for (const MeshCustomer& customer : configuration.Customers()) {
    this->limits[customer.name] = {customer.rate, customer.burst};
  }
}

void TrafficRelay::ApplyNodeUpdate(const std::string& node,
                                   std::uint64_t incarnation,
                                   const TrafficUpdate& update,
                                   TimePoint now) {
  this->RecordReply(node);
  const bool is_new = !this->nodes.contains(node);
  Source& source = this->nodes[node];
  if (!is_new && now - source.last_seen_at < kEarlyUpdateInterval) {
    this->urgency = {true, true};
  }
  if (this->fatal_requests.Merge(update.crashes, now)) {
    this->urgency = {true, true};
  }
  const bool is_same_run = source.incarnation == incarnation;
  source.incarnation = incarnation;
  std::map<std::string, double> deltas;
  for (const auto& [customer, usage] : update.customers) {
    // A known node that has restarted counts from zero. For a node without an
    // earlier update there is no count to compare with.
    CustomerCount& count = source.customers[customer];
    const std::uint64_t before = is_same_run ? count.last_received : 0;
    if ((!is_new || update.age < kMaxFullCountAge) &&
        usage.admitted >= before) {
      deltas[customer] = static_cast<double>(usage.admitted - before);
    }
    count.last_received = usage.admitted;
  }
  this->ApplyDeltas(node, source, deltas, update.customers, now);
  source.is_leaving = update.is_leaving;
  source.load = LoadSum();
  AddTo(source.load, update.load);
}

void TrafficRelay::ApplyDataCentreSum(const std::string& other,
                                      const std::string& relay,
                                      std::uint64_t incarnation,
                                      TrafficSum sum,
                                      TimePoint now) {
  this->RecordReply(relay);
  if (other == this->data_centre) {
    return;
  }
  if (this->fatal_requests.Merge(sum.crashes, now)) {
    this->urgency.subscribers = true;
  }
  Source& source = this->data_centres[other];
  std::map<std::string, double> deltas;
  if (!source.relay_counts.ApplyCounts(relay, incarnation, sum, now, deltas)) {
    return;
  }
  if (now - source.last_seen_at < kEarlyUpdateInterval) {
    this->urgency.subscribers = true;
  }
  this->ApplyDeltas(other, source, deltas, sum.customers, now);
  source.members = sum.members;
  source.load = std::move(sum.load);
}

bool TrafficRelay::ApplyOthersSum(const std::string& relay,
                                  std::uint64_t incarnation,
                                  TrafficSum& sum,
                                  TimePoint now) {
  this->RecordReply(relay);
  std::map<std::string, double> deltas;
  const std::string before = this->others.SelectedRelay();
  if (!this->others.ApplyCounts(relay, incarnation, sum, now, deltas)) {
    return false;
  }
  if (before != relay) {
    LogEvent(EventId::kRelayFollowed,
             {{"relay", relay},
              {"before", before},
              {"members", static_cast<std::uint64_t>(sum.members)}});
  }
  this->others_sum_at = now;
  this->reached_nodes = sum.members;
  this->reached_local_nodes = sum.local_members;
  for (const auto& [customer, delta] : deltas) {
    this->others_counts[customer] += delta;
  }
  for (auto& [customer, usage] : sum.customers) {
    usage.admitted = static_cast<std::uint64_t>(this->others_counts[customer]);
  }
  return true;
}

bool TrafficRelay::IsIsolated(TimePoint now) const {
  if (this->others_sum_at == TimePoint()) {
    return false;
  }
  std::size_t listed_nodes = 0;
  std::size_t listed_local_nodes = 0;
  for (const auto& [name, vms] : this->listed) {
    listed_nodes += vms.size();
    listed_local_nodes += name == this->data_centre ? vms.size() : 0;
  }
  if (now - this->others_sum_at > kSubscriptionTimeout) {
    return listed_nodes > 1;
  }
  return 2 * this->reached_local_nodes <= listed_local_nodes &&
         2 * this->reached_nodes < listed_nodes;
}

void TrafficRelay::ApplyDeltas(
    const std::string& name,
    Source& source,
    const std::map<std::string, double>& deltas,
    const std::map<std::string, CustomerUsage>& usages,
    TimePoint now) {
  this->EstimateSilentSource(source, now);
  if (source.is_silent) {
    LogEvent(EventId::kTrafficHeard,
             {{"source", name},
              {"silent_ms", MillisecondsBetween(source.last_seen_at, now)}});
  }
  for (const auto& [customer, usage] : usages) {
    source.customers.try_emplace(customer);
  }
  for (const auto& [customer, delta] : deltas) {
    CustomerCount& count = source.customers[customer];
    count.total += std::max(0.0, delta - count.estimated);
  }
  for (auto& [customer, count] : source.customers) {
    const auto usage = usages.find(customer);
    count.demand = usage == usages.end() ? 0 : usage->second.demand;
    count.reserved = usage == usages.end() ? 0 : usage->second.reserved;
    count.estimated = 0;
  }
  source.last_seen_at = now;
  source.is_silent = false;
}

void TrafficRelay::EstimateSilentSources(TimePoint now) {
  for (std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (auto& [name, source] : *sources) {
      const bool was_silent = source.is_silent;
      this->EstimateSilentSource(source, now);
      if (source.is_silent && !was_silent) {
        LogEvent(
            EventId::kTrafficSilent,
            {{"source", name},
             {"silent_ms", MillisecondsBetween(source.last_seen_at, now)}});
      }
    }
  }
  const std::set<std::string>& local_vms = this->listed[this->data_centre];
  std::erase_if(this->nodes, [&](const auto& entry) {
    const Source& source = entry.second;
    const bool may_forget =
        source.is_leaving || now - source.last_seen_at > kDepartedRetention;
    const bool is_forgotten = may_forget && !local_vms.contains(entry.first) &&
                              now - source.last_seen_at > kSubscriptionTimeout;
    if (is_forgotten) {
      for (const auto& [customer, count] : source.customers) {
        this->departed_counts[customer] += count.total;
      }
    }
    return is_forgotten;
  });
}

void TrafficRelay::EstimateSilentSource(Source& source, TimePoint now) {
  if (source.is_leaving || source.last_seen_at == TimePoint() ||
      now - source.last_seen_at <= kUpdateTimeout) {
    return;
  }
  if (!source.is_silent) {
    source.is_silent = true;
    source.estimated_until = source.last_seen_at;
    for (auto& [customer, count] : source.customers) {
      count.silent_share = 0;
      // Uses the demand at the start of the silence: since then, only the
      // demand of the remaining sources has changed.
      const double demand = this->DemandAt(customer, source.last_seen_at);
      const double share =
          demand > 0 ? std::min(1.0, count.demand / demand) : 0;
      // The source itself was limited to what earlier silences left over.
      const double left =
          std::max(0.0, kMaxSilentShare - this->SilentShare(customer));
      count.silent_share = std::min(share, left);
    }
  }
  const double elapsed = ToSeconds(now - source.estimated_until);
  source.estimated_until = now;
  for (auto& [customer, count] : source.customers) {
    const double estimate =
        this->LimitOf(customer).rate * count.silent_share * elapsed;
    count.total += estimate;
    count.estimated += estimate;
  }
}

double TrafficRelay::SilentShare(const std::string& customer) const {
  double sum = 0;
  for (const std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (const auto& [name, source] : *sources) {
      const auto count = source.customers.find(customer);
      if (source.is_silent && count != source.customers.end()) {
        sum += count->second.silent_share;
      }
    }
  }
  return sum;
}

void TrafficRelay::RecordDemand(TimePoint now) {
  DemandSample sample = {now, {}};
  for (const std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (const auto& [name, source] : *sources) {
      if (source.is_leaving || source.is_silent) {
        continue;
      }
      for (const auto& [customer, count] : source.customers) {
        sample.demands[customer] += count.demand;
      }
    }
  }
  this->demand_history.push_back(std::move(sample));
  while (now - this->demand_history.front().at > kDemandHistoryTime) {
    this->demand_history.pop_front();
  }
}

double TrafficRelay::DemandAt(const std::string& customer,
                              TimePoint time) const {
  const DemandSample* found = nullptr;
  for (const DemandSample& sample : this->demand_history) {
    if (found == nullptr || sample.at <= time) {
      found = &sample;
    }
  }
  if (found == nullptr) {
    return 0;
  }
  const auto demand = found->demands.find(customer);
  return demand == found->demands.end() ? 0 : demand->second;
}

bool TrafficRelay::IsSuspected(const std::string& vm, TimePoint now) const {
  const auto contact = this->contacts.find(vm);
  return contact != this->contacts.end() && contact->second.unanswered_since &&
         now - *contact->second.unanswered_since > kSuspicionTimeout;
}

std::vector<std::string> TrafficRelay::ChooseRelays(const std::string& other,
                                                    TimePoint now) {
  std::vector<std::string> chosen;
  std::size_t responsive = 0;
  for (const std::string& vm : this->listed[other]) {
    RelayContact& contact = this->contacts[vm];
    if (vm == this->ip) {
      chosen.push_back(vm);
      ++responsive;
    } else if (!this->IsSuspected(vm, now)) {
      contact.unanswered_since = contact.unanswered_since.value_or(now);
      contact.last_tried_at = now;
      chosen.push_back(vm);
      ++responsive;
    } else if (now - contact.last_tried_at > kSuspectRetryInterval) {
      contact.last_tried_at = now;
      chosen.push_back(vm);
    }
    if (responsive == kRelaysPerDataCentre) {
      break;
    }
  }
  return chosen;
}

std::vector<std::string> TrafficRelay::LocalRelays(TimePoint now) {
  return this->ChooseRelays(this->data_centre, now);
}

std::vector<std::string> TrafficRelay::RemoteRelays(TimePoint now) {
  std::vector<std::string> relays;
  if (this->Subscribers(now).empty()) {
    return relays;
  }
  std::vector<std::string> remote_centres;
  for (const auto& [other, vms] : this->listed) {
    if (other != this->data_centre) {
      remote_centres.push_back(other);
    }
  }
  for (const std::string& other : remote_centres) {
    const std::vector<std::string> chosen = this->ChooseRelays(other, now);
    relays.insert(relays.end(), chosen.begin(), chosen.end());
  }
  return relays;
}

std::vector<std::string> TrafficRelay::Subscribers(TimePoint now) const {
  std::vector<std::string> subscribers;
  for (const auto& [node, source] : this->nodes) {
    if (now - source.last_seen_at <= kSubscriptionTimeout) {
      subscribers.push_back(node);
    }
  }
  return subscribers;
}

TrafficRelay::Limit TrafficRelay::LimitOf(const std::string& customer) const {
  const auto found = this->limits.find(customer);
  return found == this->limits.end() ? Limit() : found->second;
}

void TrafficRelay::AddSource(const Source& source,
                             TimePoint now,
                             TrafficSum& sum) const {
  if (now - source.last_seen_at <= kUpdateTimeout) {
    AddTo(sum.load, source.load);
    sum.members += source.members;
  }
  for (const auto& [customer, count] : source.customers) {
    if (source.is_leaving) {
      continue;
    }
    CustomerUsage& usage = sum.customers[customer];
    usage.demand += count.demand;
    usage.reserved += source.is_silent
                          ? this->LimitOf(customer).burst * count.silent_share
                          : count.reserved;
  }
}

void TrafficRelay::SetAdmitted(const std::map<std::string, double>& counts,
                               TrafficSum& sum) {
  for (const auto& [customer, count] : counts) {
    sum.customers[customer].admitted = static_cast<std::uint64_t>(count);
  }
}

TrafficSum TrafficRelay::MakeLocalSum(TimePoint now) {
  this->EstimateSilentSources(now);
  TrafficSum sum;
  std::map<std::string, double> counts = this->departed_counts;
  for (const auto& [node, source] : this->nodes) {
    AddSource(source, now, sum);
    for (const auto& [customer, count] : source.customers) {
      counts[customer] += count.total;
    }
  }
  SetAdmitted(counts, sum);
  sum.crashes = this->fatal_requests.MakeReport(now);
  return sum;
}

FleetSum TrafficRelay::MakeFleetSum(TimePoint now) {
  this->EstimateSilentSources(now);
  this->RecordDemand(now);
  FleetSum fleet;
  fleet.counts = this->departed_counts;
  for (const std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (const auto& [name, source] : *sources) {
      AddSource(source, now, fleet.sum);
      if (sources == &this->nodes) {
        fleet.sum.local_members = fleet.sum.members;
      }
      for (const auto& [customer, count] : source.customers) {
        fleet.counts[customer] += count.total;
      }
    }
  }
  fleet.sum.crashes = this->fatal_requests.MakeReport(now);
  return fleet;
}

TrafficSum TrafficRelay::OthersSumFor(const std::string& node,
                                      const FleetSum& fleet) const {
  TrafficSum sum = fleet.sum;
  std::map<std::string, double> counts = fleet.counts;
  const auto recipient = this->nodes.find(node);
  if (recipient != this->nodes.end()) {
    for (const auto& [customer, count] : recipient->second.customers) {
      counts[customer] -= count.total;
      sum.customers[customer].demand -=
          recipient->second.is_leaving ? 0 : count.demand;
    }
  }
  SetAdmitted(counts, sum);
  return sum;
}

TrafficRelay::Urgency TrafficRelay::TakeUrgency() {
  return std::exchange(this->urgency, Urgency());
}

}  // namespace daisywinch
