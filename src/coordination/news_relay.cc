#include "coordination/news_relay.h"

#include <algorithm>
#include <utility>

#include "state/event_log.h"
#include "state/time_text.h"

namespace daisywinch {

namespace {

/// Relays that a node tells its news: one may fail without a gap.
constexpr std::size_t kRelays = 2;
/// Time after its last news in which a source counts as heard: two may be lost.
constexpr std::chrono::milliseconds kSilence{1300};
/// Time after its last news in which a node is told the sum of the others, and
/// in which its load counts.
constexpr std::chrono::milliseconds kListening{2500};
/// Time without an answer after which a relay is suspected, and between two
/// tries whether it answers again.
constexpr std::chrono::milliseconds kSuspicion{1500};
constexpr std::chrono::milliseconds kRetry{3000};
/// Time for which the fleet's demand is kept; longer than the silence in which
/// a source is still waited for.
constexpr std::chrono::seconds kRecorded{3};
/// Time for which a node that left the list without a word is reckoned with.
constexpr std::chrono::seconds kRemembered{30};
/// News that come sooner after the last than this are told on at once; nodes
/// tell twice a second without a special reason.
constexpr std::chrono::milliseconds kUrgentGap{350};

std::uint64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from)
      .count();
}

}  // namespace

NewsRelay::NewsRelay(std::string ip, std::string data_centre)
    : ip(std::move(ip)), data_centre(std::move(data_centre)) {}

void NewsRelay::SetNodes(std::map<std::string, std::set<std::string>> next) {
  this->listed = std::move(next);
}

void NewsRelay::SetConfiguration(const MeshConfiguration& configuration) {
  this->limits.clear();
  for (const MeshCustomer& customer : configuration.Customers()) {
    this->limits[customer.name] = {customer.rate, customer.burst};
  }
}

void NewsRelay::TakeNode(const std::string& node,
                         std::uint64_t incarnation,
                         const TrafficNews& news,
                         TimePoint now) {
  this->Heard(node);
  const bool is_new = !this->nodes.contains(node);
  Source& source = this->nodes[node];
  if (!is_new && now - source.heard_at < kUrgentGap) {
    this->urgency = {true, true};
  }
  const bool is_same_run = source.incarnation == incarnation;
  source.incarnation = incarnation;
  std::map<std::string, double> deltas;
  for (const auto& [customer, use] : news.customers) {
    // A node that this relay knew and that has started anew counts from zero;
    // of one that it never heard, no earlier count is known to compare with.
    Count& count = source.customers[customer];
    const std::uint64_t before = is_same_run ? count.told : 0;
    if ((!is_new || news.age < kYoungAge) && use.admitted >= before) {
      deltas[customer] = static_cast<double>(use.admitted - before);
    }
    count.told = use.admitted;
  }
  this->TakeDeltas(node, source, deltas, news.customers, now);
  source.is_leaving = news.is_leaving;
  source.load = LoadSum();
  AddTo(source.load, news.load);
}

void NewsRelay::TakeDataCentre(const std::string& other,
                               const std::string& relay,
                               std::uint64_t incarnation,
                               TrafficSum sum,
                               TimePoint now) {
  this->Heard(relay);
  if (other == this->data_centre) {
    return;
  }
  Source& source = this->data_centres[other];
  std::map<std::string, double> deltas;
  if (!source.relayed.Take(relay, incarnation, sum, now, deltas)) {
    return;
  }
  if (now - source.heard_at < kUrgentGap) {
    this->urgency.listeners = true;
  }
  this->TakeDeltas(other, source, deltas, sum.customers, now);
  source.members = sum.members;
  source.load = std::move(sum.load);
}

bool NewsRelay::TakeRest(const std::string& relay,
                         std::uint64_t incarnation,
                         TrafficSum& sum,
                         TimePoint now) {
  this->Heard(relay);
  std::map<std::string, double> deltas;
  const std::string before = this->rest.Followed();
  if (!this->rest.Take(relay, incarnation, sum, now, deltas)) {
    return false;
  }
  if (before != relay) {
    LogEvent(EventId::kRelayFollowed,
             {{"relay", relay},
              {"before", before},
              {"members", static_cast<std::uint64_t>(sum.members)}});
  }
  for (const auto& [customer, delta] : deltas) {
    this->rest_counts[customer] += delta;
  }
  for (auto& [customer, use] : sum.customers) {
    use.admitted = static_cast<std::uint64_t>(this->rest_counts[customer]);
  }
  return true;
}

void NewsRelay::TakeDeltas(const std::string& name,
                           Source& source,
                           const std::map<std::string, double>& deltas,
                           const std::map<std::string, CustomerUse>& uses,
                           TimePoint now) {
  this->ReckonSilenceOf(source, now);
  if (source.is_silent) {
    LogEvent(EventId::kTrafficHeard,
             {{"source", name},
              {"silent_ms", MillisecondsBetween(source.heard_at, now)}});
  }
  for (const auto& [customer, use] : uses) {
    source.customers.try_emplace(customer);
  }
  for (const auto& [customer, delta] : deltas) {
    Count& count = source.customers[customer];
    count.counted += std::max(0.0, delta - count.reckoned);
  }
  for (auto& [customer, count] : source.customers) {
    const auto use = uses.find(customer);
    count.demand = use == uses.end() ? 0 : use->second.demand;
    count.reserved = use == uses.end() ? 0 : use->second.reserved;
    count.reckoned = 0;
  }
  source.heard_at = now;
  source.is_silent = false;
}

void NewsRelay::ReckonSilence(TimePoint now) {
  for (std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (auto& [name, source] : *sources) {
      const bool was_silent = source.is_silent;
      this->ReckonSilenceOf(source, now);
      if (source.is_silent && !was_silent) {
        LogEvent(EventId::kTrafficSilent,
                 {{"source", name},
                  {"silent_ms", MillisecondsBetween(source.heard_at, now)}});
      }
    }
  }
  const std::set<std::string>& own = this->listed[this->data_centre];
  std::erase_if(this->nodes, [&](const auto& entry) {
    const Source& source = entry.second;
    const bool is_over =
        source.is_leaving || now - source.heard_at > kRemembered;
    const bool is_gone = is_over && !own.contains(entry.first) &&
                         now - source.heard_at > kListening;
    if (is_gone) {
      for (const auto& [customer, count] : source.customers) {
        this->departed[customer] += count.counted;
      }
    }
    return is_gone;
  });
}

void NewsRelay::ReckonSilenceOf(Source& source, TimePoint now) {
  if (source.is_leaving || source.heard_at == TimePoint() ||
      now - source.heard_at <= kSilence) {
    return;
  }
  if (!source.is_silent) {
    source.is_silent = true;
    source.reckoned_until = source.heard_at;
    for (auto& [customer, count] : source.customers) {
      // As of then: since, only the demand of those still heard has changed.
      const double demand = this->DemandAt(customer, source.heard_at);
      count.silent_part = demand > 0 ? std::min(1.0, count.demand / demand) : 0;
    }
  }
  const double elapsed = ToSeconds(now - source.reckoned_until);
  source.reckoned_until = now;
  for (auto& [customer, count] : source.customers) {
    const double possible =
        this->LimitOf(customer).rate * count.silent_part * elapsed;
    count.counted += possible;
    count.reckoned += possible;
  }
}

void NewsRelay::RecordDemand(TimePoint now) {
  DemandRecord record = {now, {}};
  for (const std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (const auto& [name, source] : *sources) {
      if (source.is_leaving) {
        continue;
      }
      for (const auto& [customer, count] : source.customers) {
        record.demands[customer] += count.demand;
      }
    }
  }
  this->demand_records.push_back(std::move(record));
  while (now - this->demand_records.front().at > kRecorded) {
    this->demand_records.pop_front();
  }
}

double NewsRelay::DemandAt(const std::string& customer, TimePoint time) const {
  const DemandRecord* found = nullptr;
  for (const DemandRecord& record : this->demand_records) {
    if (found == nullptr || record.at <= time) {
      found = &record;
    }
  }
  if (found == nullptr) {
    return 0;
  }
  const auto demand = found->demands.find(customer);
  return demand == found->demands.end() ? 0 : demand->second;
}

bool NewsRelay::IsSuspected(const std::string& vm, TimePoint now) const {
  const auto contact = this->contacts.find(vm);
  return contact != this->contacts.end() && contact->second.asked_at &&
         now - *contact->second.asked_at > kSuspicion;
}

std::vector<std::string> NewsRelay::ChooseRelays(const std::string& other,
                                                 TimePoint now) {
  std::vector<std::string> chosen;
  std::size_t answering = 0;
  for (const std::string& vm : this->listed[other]) {
    Contact& contact = this->contacts[vm];
    if (vm == this->ip) {
      chosen.push_back(vm);
      ++answering;
    } else if (!this->IsSuspected(vm, now)) {
      contact.asked_at = contact.asked_at.value_or(now);
      contact.tried_at = now;
      chosen.push_back(vm);
      ++answering;
    } else if (now - contact.tried_at > kRetry) {
      contact.tried_at = now;
      chosen.push_back(vm);
    }
    if (answering == kRelays) {
      break;
    }
  }
  return chosen;
}

std::vector<std::string> NewsRelay::OwnRelays(TimePoint now) {
  return this->ChooseRelays(this->data_centre, now);
}

std::vector<std::string> NewsRelay::RemoteRelays(TimePoint now) {
  std::vector<std::string> relays;
  if (this->Listeners(now).empty()) {
    return relays;
  }
  std::vector<std::string> others;
  for (const auto& [other, vms] : this->listed) {
    if (other != this->data_centre) {
      others.push_back(other);
    }
  }
  for (const std::string& other : others) {
    const std::vector<std::string> chosen = this->ChooseRelays(other, now);
    relays.insert(relays.end(), chosen.begin(), chosen.end());
  }
  return relays;
}

std::vector<std::string> NewsRelay::Listeners(TimePoint now) const {
  std::vector<std::string> listeners;
  for (const auto& [node, source] : this->nodes) {
    if (now - source.heard_at <= kListening) {
      listeners.push_back(node);
    }
  }
  return listeners;
}

NewsRelay::Limit NewsRelay::LimitOf(const std::string& customer) const {
  const auto found = this->limits.find(customer);
  return found == this->limits.end() ? Limit() : found->second;
}

void NewsRelay::AddSource(const Source& source,
                          TimePoint now,
                          TrafficSum& sum) const {
  if (now - source.heard_at <= kListening) {
    AddTo(sum.load, source.load);
  }
  if (now - source.heard_at <= kSilence) {
    sum.members += source.members;
  }
  for (const auto& [customer, count] : source.customers) {
    if (source.is_leaving) {
      continue;
    }
    CustomerUse& use = sum.customers[customer];
    use.demand += count.demand;
    use.reserved += source.is_silent
                        ? this->LimitOf(customer).burst * count.silent_part
                        : count.reserved;
  }
}

void NewsRelay::Round(const std::map<std::string, double>& counts,
                      TrafficSum& sum) {
  for (const auto& [customer, count] : counts) {
    sum.customers[customer].admitted = static_cast<std::uint64_t>(count);
  }
}

TrafficSum NewsRelay::OwnDataCentre(TimePoint now) {
  this->ReckonSilence(now);
  TrafficSum sum;
  std::map<std::string, double> counts = this->departed;
  for (const auto& [node, source] : this->nodes) {
    AddSource(source, now, sum);
    for (const auto& [customer, count] : source.customers) {
      counts[customer] += count.counted;
    }
  }
  Round(counts, sum);
  return sum;
}

FleetSum NewsRelay::Fleet(TimePoint now) {
  this->ReckonSilence(now);
  this->RecordDemand(now);
  FleetSum fleet;
  fleet.counts = this->departed;
  for (const std::map<std::string, Source>* sources :
       {&this->nodes, &this->data_centres}) {
    for (const auto& [name, source] : *sources) {
      AddSource(source, now, fleet.sum);
      for (const auto& [customer, count] : source.customers) {
        fleet.counts[customer] += count.counted;
      }
    }
  }
  return fleet;
}

TrafficSum NewsRelay::RestFor(const std::string& node,
                              const FleetSum& fleet) const {
  TrafficSum sum = fleet.sum;
  std::map<std::string, double> counts = fleet.counts;
  const auto own = this->nodes.find(node);
  if (own != this->nodes.end()) {
    for (const auto& [customer, count] : own->second.customers) {
      counts[customer] -= count.counted;
      sum.customers[customer].demand -=
          own->second.is_leaving ? 0 : count.demand;
    }
  }
  Round(counts, sum);
  return sum;
}

NewsRelay::Urgency NewsRelay::TakeUrgency() {
  return std::exchange(this->urgency, Urgency());
}

}  // namespace daisywinch
