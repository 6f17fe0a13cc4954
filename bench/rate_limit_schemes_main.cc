#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "state/token_bucket.h"
#include "support/token_simulation.h"

namespace daisywinch::bench {

namespace {

using test::RateBoundChecker;
using test::TokenSimulation;

/// Time from the start of the nodes to the first request.
constexpr std::chrono::seconds kSettleTime{8};
constexpr std::chrono::seconds kTraceDuration{60};

/// Eight customers with rates from 5 to 300 requests per second; "leaning"
/// sends all requests to one node, "hog" sends four times its rate, the others
/// 0.8 times.
std::vector<Customer> MakeCustomers() {
  const std::vector<std::pair<std::string, double>> rates = {
      {"large", 300}, {"leaning", 200}, {"hog", 100}, {"medium", 80},
      {"small", 20},  {"little", 12},   {"few", 10},  {"tiny", 5}};
  std::vector<Customer> customers;
  for (const auto& [name, rate] : rates) {
    Customer customer;
    customer.name = name;
    customer.rate = rate;
    customer.burst = 2 * rate;
    customers.push_back(customer);
  }
  return customers;
}

/// One request of the trace.
struct Arrival {
  TimePoint at;
  std::string customer;
  std::size_t node = 0;
};

/// A fault during the trace, at a time since its start: a node is killed and
/// then removed from the VM list, a data centre is partitioned from the others,
/// or a node is paused.
struct Fault {
  Duration at;
  std::string kind;
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {std::chrono::seconds(5), "kill"},
      {std::chrono::seconds(12), "remove"},
      {std::chrono::seconds(20), "partition"},
      {std::chrono::seconds(32), "heal"},
      {std::chrono::seconds(40), "pause"},
      {std::chrono::seconds(48), "resume"}};
  return faults;
}

std::vector<Arrival> MakeTrace(const std::vector<Customer>& customers,
                               std::size_t nodes,
                               TimePoint start) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::size_t> any_node(0, nodes - 1);
  std::vector<Arrival> trace;
  for (const Customer& customer : customers) {
    const double rate_factor = customer.name == "hog" ? 4 : 0.8;
    std::exponential_distribution<double> interval(rate_factor * customer.rate);
    TimePoint at = start;
    while (at < start + kTraceDuration) {
      at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(interval(random)));
      const std::size_t node =
          customer.name == "leaning" ? 0 : any_node(random);
      trace.push_back({at, customer.name, node});
    }
  }
  std::sort(trace.begin(), trace.end(),
            [](const Arrival& left, const Arrival& right) {
              return left.at < right.at;
            });
  return trace;
}

/// The nodes of the fleet and the faults that are currently in effect.
struct FleetState {
  std::vector<std::string> names;
  std::string killed_node = "a2";
  std::string paused_node = "a3";
  bool is_killed = false;
  bool is_removed = false;
  bool is_partitioned = false;
  bool is_paused = false;

  bool IsRunning(const std::string& name) const {
    return !(this->is_killed && name == this->killed_node) &&
           !(this->is_paused && name == this->paused_node);
  }
  bool IsReachable(const std::string& from, const std::string& to) const {
    return this->IsRunning(to) && !(this->is_partitioned && from[0] != to[0] &&
                                    (from[0] == 'b' || to[0] == 'b'));
  }
  void ApplyFault(const std::string& kind) {
    this->is_killed = this->is_killed || kind == "kill";
    this->is_removed = this->is_removed || kind == "remove";
    this->is_partitioned =
        kind == "partition" || (this->is_partitioned && kind != "heal");
    this->is_paused = kind == "pause" || (this->is_paused && kind != "resume");
  }
};

/// A scheme that limits the rate of customers over all nodes.
class RateLimitScheme {
 public:
  virtual ~RateLimitScheme() = default;
  virtual void HandleFault(const std::string& kind,
                           const FleetState& state) = 0;
  virtual void AdvanceTo(TimePoint now) = 0;
  virtual bool Admit(const std::string& node,
                     const std::string& customer,
                     TimePoint now) = 0;
};

/// Each node permanently has an equal share of each rate and burst.
class StaticSplit : public RateLimitScheme {
 public:
  StaticSplit(const std::vector<Customer>& customers,
              const std::vector<std::string>& names,
              TimePoint now) {
    const double fraction = 1.0 / static_cast<double>(names.size());
    for (const std::string& name : names) {
      for (const Customer& customer : customers) {
        this->buckets.emplace(
            std::make_pair(name, customer.name),
            TokenBucket(customer.rate * fraction, customer.burst * fraction,
                        customer.burst * fraction, now));
      }
    }
  }

  void HandleFault(const std::string&, const FleetState&) override {}
  void AdvanceTo(TimePoint) override {}
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint now) override {
    return this->buckets.at({node, customer}).TryAcquire(1, now);
  }

 private:
  std::map<std::pair<std::string, std::string>, TokenBucket> buckets;
};

/// One node, the home node, limits all requests of a customer. It is the first
/// node, in an order given by a hash of the customer, that the requesting node
/// does not consider failed. When the failure detector has noticed a partition,
/// each side considers the nodes of the other one failed, so that the customer
/// has a full bucket on either side.
class HomeNode : public RateLimitScheme {
 public:
  HomeNode(const std::vector<Customer>& customers,
           const FleetState& state,
           TimePoint now)
      : state(state), changed_at(now) {
    for (const Customer& customer : customers) {
      this->customer_by_name[customer.name] = customer;
    }
  }

  void HandleFault(const std::string& kind, const FleetState&) override {
    this->changed_at = this->now;
    static_cast<void>(kind);
  }
  void AdvanceTo(TimePoint time) override { this->now = time; }
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint time) override {
    // The failure detector takes 2 s; until then requests for an unreachable
    // node are refused.
    const bool detected = time - this->changed_at > std::chrono::seconds(2);
    for (std::size_t offset = 0; offset < this->state.names.size(); ++offset) {
      const std::size_t first_index = std::hash<std::string>()(customer);
      const std::string& home_node =
          this->state.names[(first_index + offset) % this->state.names.size()];
      if (!this->state.IsReachable(node, home_node)) {
        if (!detected) {
          return false;
        }
        continue;
      }
      const Customer& customer_settings = this->customer_by_name.at(customer);
      const auto bucket =
          this->buckets
              .try_emplace({home_node, customer}, customer_settings.rate,
                           customer_settings.burst, customer_settings.burst,
                           time)
              .first;
      return bucket->second.TryAcquire(1, time);
    }
    return false;
  }

 private:
  const FleetState& state;
  TimePoint changed_at;
  TimePoint now;
  std::map<std::string, Customer> customer_by_name;
  std::map<std::pair<std::string, std::string>, TokenBucket> buckets;
};

/// Tokens minted under leases, by the code of the nodes.
class MintedTokens : public RateLimitScheme {
 public:
  explicit MintedTokens(TokenSimulation& simulation) : simulation(simulation) {}

  void HandleFault(const std::string& kind, const FleetState& state) override {
    if (kind == "kill") {
      this->simulation.Kill(state.killed_node);
    } else if (kind == "remove") {
      this->simulation.RemoveFromVmList(state.killed_node);
    } else if (kind == "partition" || kind == "heal") {
      this->simulation.SetDataCentreIsolated("b", kind == "partition");
    } else {
      this->simulation.SetPaused(state.paused_node, kind == "pause");
    }
  }
  void AdvanceTo(TimePoint now) override {
    while (this->simulation.Now() < now) {
      this->simulation.Step();
    }
  }
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint /*now*/) override {
    return this->simulation.TryAcquire(node, customer);
  }

 private:
  TokenSimulation& simulation;
};

/// Result of a scheme. Requests of the over-rate customer count only in
/// max_excess: the largest number of requests by which a window exceeded the
/// bound of rate and burst.
struct Score {
  std::uint64_t within_rate_count = 0;
  std::uint64_t wrongly_refused_count = 0;
  double max_excess = 0;
};

/// Replays the trace. If `retry` is set, a refused request within the rate
/// waits in a queue for up to TokenSimulation::kMaxWait, during which `retry`
/// is called to try to admit it; otherwise it counts as wrongly refused at
/// once.
Score Replay(RateLimitScheme& scheme,
             const std::vector<Arrival>& trace,
             const std::vector<Customer>& customers,
             FleetState& state,
             TimePoint start,
             const std::function<bool(const Arrival&)>& retry) {
  std::map<std::string, RateBoundChecker> bound_checkers;
  std::map<std::string, TokenBucket> ideal;
  for (const Customer& customer : customers) {
    bound_checkers.emplace(customer.name,
                           RateBoundChecker(customer.rate, customer.burst));
    ideal.emplace(customer.name, TokenBucket(customer.rate, customer.burst,
                                             customer.burst, start));
  }
  Score score;
  std::size_t next_fault = 0;
  std::deque<Arrival> queued;
  const auto admit = [&](const Arrival& arrival, TimePoint now) {
    bound_checkers.at(arrival.customer).RecordAdmission(now);
  };
  for (const Arrival& arrival : trace) {
    scheme.AdvanceTo(arrival.at);
    while (!queued.empty()) {
      const Arrival call = queued.front();
      if (retry && retry(call)) {
        admit(call, arrival.at);
      } else if (arrival.at - call.at > TokenSimulation::kMaxWait) {
        ++score.wrongly_refused_count;
      } else {
        break;
      }
      queued.pop_front();
    }
    while (next_fault < Faults().size() &&
           arrival.at - start >= Faults()[next_fault].at) {
      state.ApplyFault(Faults()[next_fault].kind);
      scheme.HandleFault(Faults()[next_fault].kind, state);
      ++next_fault;
    }
    const std::string& node = state.names[arrival.node];
    if (!state.IsRunning(node)) {
      // Clients of a stopped node would use another one; skip the request.
      continue;
    }
    const bool is_within_rate =
        ideal.at(arrival.customer).TryAcquire(1, arrival.at);
    const bool is_counted = is_within_rate && arrival.customer != "hog";
    score.within_rate_count += is_counted ? 1 : 0;
    if (scheme.Admit(node, arrival.customer, arrival.at)) {
      admit(arrival, arrival.at);
    } else if (is_counted && retry) {
      queued.push_back(arrival);
    } else {
      score.wrongly_refused_count += is_counted ? 1 : 0;
    }
  }
  for (const auto& [name, bound_checker] : bound_checkers) {
    const double excess = std::max(1.0, bound_checker.MaxExcess());
    score.max_excess =
        std::max(score.max_excess, bound_checker.MaxExcess() > 0 ? excess : 0);
  }
  return score;
}

void Print(const std::string& name, const Score& score) {
  std::cout << "  " << std::left << std::setw(28) << name << std::right
            << std::setw(12) << std::fixed << std::setprecision(3)
            << 100.0 * static_cast<double>(score.wrongly_refused_count) /
                   static_cast<double>(score.within_rate_count)
            << std::setw(14) << std::setprecision(1) << score.max_excess
            << "\n";
}

void Compare(const std::map<std::string, int>& data_centre_sizes) {
  const std::vector<Customer> customers = MakeCustomers();
  TokenSimulation simulation(data_centre_sizes, customers, 1);
  simulation.RunFor(kSettleTime);
  const TimePoint start = simulation.Now();
  FleetState initial_state;
  initial_state.names = simulation.RunningNodes();
  const std::vector<Arrival> trace =
      MakeTrace(customers, initial_state.names.size(), start);
  std::cout << initial_state.names.size() << " nodes, " << trace.size()
            << " requests in " << kTraceDuration.count() << " s\n"
            << "  scheme                   wrongly refused %    max excess\n";
  FleetState state = initial_state;
  StaticSplit static_split(customers, initial_state.names, start);
  Print("equal share per node",
        Replay(static_split, trace, customers, state, start, nullptr));
  state = initial_state;
  HomeNode home_node_scheme(customers, state, start);
  Print("one home node per customer",
        Replay(home_node_scheme, trace, customers, state, start, nullptr));
  state = initial_state;
  MintedTokens minted_tokens(simulation);
  Print("minted tokens under leases",
        Replay(minted_tokens, trace, customers, state, start,
               [&](const Arrival& call) {
                 return simulation.RetryAcquire(initial_state.names[call.node],
                                                call.customer);
               }));
}

}  // namespace

}  // namespace daisywinch::bench

/// Compares schemes of distributed rate limiting on the same traces with
/// faults: wrongly refused requests, and requests admitted beyond the bound.
int main() {
  daisywinch::bench::Compare({{"a", 4}, {"b", 3}, {"c", 3}});
  daisywinch::bench::Compare({{"a", 6}, {"b", 6}, {"c", 5}});
  return EXIT_SUCCESS;
}
