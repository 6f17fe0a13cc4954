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

constexpr std::chrono::seconds kSettleTime{8};
constexpr std::chrono::seconds kTraceTime{60};

/// Eight customers, a few large.
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

/// A fault of the trace: a node killed, replaced, or paused, or a data centre
/// cut off, at a time since the start.
struct Fault {
  Duration at;
  std::string kind;
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {std::chrono::seconds(5), "kill"},   {std::chrono::seconds(12), "drop"},
      {std::chrono::seconds(20), "cut"},   {std::chrono::seconds(32), "join"},
      {std::chrono::seconds(40), "pause"}, {std::chrono::seconds(48), "wake"}};
  return faults;
}

std::vector<Arrival> MakeTrace(const std::vector<Customer>& customers,
                               std::size_t nodes,
                               TimePoint start) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::size_t> any_node(0, nodes - 1);
  std::vector<Arrival> trace;
  for (const Customer& customer : customers) {
    const double used = customer.name == "hog" ? 4 : 0.8;
    std::exponential_distribution<double> gap(used * customer.rate);
    TimePoint at = start;
    while (at < start + kTraceTime) {
      at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(random)));
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

/// The fleet's nodes and who of them runs, in the words of the faults.
struct FleetState {
  std::vector<std::string> names;
  std::string killed = "a2";
  std::string paused = "a3";
  bool is_killed = false;
  bool is_dropped = false;
  bool is_cut = false;
  bool is_paused = false;

  bool Runs(const std::string& name) const {
    return !(this->is_killed && name == this->killed) &&
           !(this->is_paused && name == this->paused);
  }
  bool Reaches(const std::string& from, const std::string& to) const {
    return this->Runs(to) && !(this->is_cut && from[0] != to[0] &&
                               (from[0] == 'b' || to[0] == 'b'));
  }
  void Take(const std::string& kind) {
    this->is_killed = this->is_killed || kind == "kill";
    this->is_dropped = this->is_dropped || kind == "drop";
    this->is_cut = kind == "cut" || (this->is_cut && kind != "join");
    this->is_paused = kind == "pause" || (this->is_paused && kind != "wake");
  }
};

/// A way to hold customers to their rate over all nodes.
class Way {
 public:
  virtual ~Way() = default;
  virtual void TakeFault(const std::string& kind, const FleetState& state) = 0;
  virtual void AdvanceTo(TimePoint now) = 0;
  virtual bool Admit(const std::string& node,
                     const std::string& customer,
                     TimePoint now) = 0;
};

/// Each node grants an even part, for good.
class StaticSplit : public Way {
 public:
  StaticSplit(const std::vector<Customer>& customers,
              const std::vector<std::string>& names,
              TimePoint now) {
    const double part = 1.0 / static_cast<double>(names.size());
    for (const std::string& name : names) {
      for (const Customer& customer : customers) {
        this->buckets.emplace(
            std::make_pair(name, customer.name),
            TokenBucket(customer.rate * part, customer.burst * part,
                        customer.burst * part, now));
      }
    }
  }

  void TakeFault(const std::string&, const FleetState&) override {}
  void AdvanceTo(TimePoint) override {}
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint now) override {
    return this->buckets.at({node, customer}).TryAcquire(1, now);
  }

 private:
  std::map<std::pair<std::string, std::string>, TokenBucket> buckets;
};

/// One node for each customer, the first that the asking node believes alive;
/// a cut data centre believes the others dead after a while.
class HomeNode : public Way {
 public:
  HomeNode(const std::vector<Customer>& customers,
           const FleetState& state,
           TimePoint now)
      : state(state), changed_at(now) {
    for (const Customer& customer : customers) {
      this->terms[customer.name] = customer;
    }
  }

  void TakeFault(const std::string& kind, const FleetState&) override {
    this->changed_at = this->now;
    static_cast<void>(kind);
  }
  void AdvanceTo(TimePoint time) override { this->now = time; }
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint time) override {
    // Nobody is believed dead before the failure detector says so.
    const bool detected = time - this->changed_at > std::chrono::seconds(2);
    for (std::size_t offset = 0; offset < this->state.names.size(); ++offset) {
      const std::size_t first = std::hash<std::string>()(customer);
      const std::string& home =
          this->state.names[(first + offset) % this->state.names.size()];
      if (!this->state.Reaches(node, home)) {
        if (!detected) {
          return false;
        }
        continue;
      }
      const Customer& customer_terms = this->terms.at(customer);
      const auto bucket =
          this->buckets
              .try_emplace({home, customer}, customer_terms.rate,
                           customer_terms.burst, customer_terms.burst, time)
              .first;
      return bucket->second.TryAcquire(1, time);
    }
    return false;
  }

 private:
  const FleetState& state;
  TimePoint changed_at;
  TimePoint now;
  std::map<std::string, Customer> terms;
  std::map<std::pair<std::string, std::string>, TokenBucket> buckets;
};

/// Minted and lent tokens, by the product's own code.
class LentTokens : public Way {
 public:
  explicit LentTokens(TokenSimulation& world) : world(world) {}

  void TakeFault(const std::string& kind, const FleetState& state) override {
    if (kind == "kill") {
      this->world.Kill(state.killed);
    } else if (kind == "drop") {
      this->world.RemoveFromVmList(state.killed);
    } else if (kind == "cut" || kind == "join") {
      this->world.SetDataCentreIsolated("b", kind == "cut");
    } else {
      this->world.SetPaused(state.paused, kind == "pause");
    }
  }
  void AdvanceTo(TimePoint now) override {
    while (this->world.Now() < now) {
      this->world.Step();
    }
  }
  bool Admit(const std::string& node,
             const std::string& customer,
             TimePoint /*now*/) override {
    return this->world.TryAcquire(node, customer);
  }

 private:
  TokenSimulation& world;
};

struct Score {
  std::uint64_t inside = 0;
  std::uint64_t refused_inside = 0;
  double excess = 0;
};

/// Replays the trace; `retry` gives a waiting call another try.
Score Replay(Way& way,
             const std::vector<Arrival>& trace,
             const std::vector<Customer>& customers,
             FleetState& state,
             TimePoint start,
             const std::function<bool(const Arrival&)>& retry) {
  std::map<std::string, RateBoundChecker> bounds;
  std::map<std::string, TokenBucket> ideal;
  for (const Customer& customer : customers) {
    bounds.emplace(customer.name,
                   RateBoundChecker(customer.rate, customer.burst));
    ideal.emplace(customer.name, TokenBucket(customer.rate, customer.burst,
                                             customer.burst, start));
  }
  Score score;
  std::size_t next_fault = 0;
  std::deque<Arrival> waiting;
  const auto admit = [&](const Arrival& arrival, TimePoint now) {
    bounds.at(arrival.customer).RecordAdmission(now);
  };
  for (const Arrival& arrival : trace) {
    way.AdvanceTo(arrival.at);
    while (!waiting.empty()) {
      const Arrival call = waiting.front();
      if (retry && retry(call)) {
        admit(call, arrival.at);
      } else if (arrival.at - call.at > TokenSimulation::kMaxWait) {
        ++score.refused_inside;
      } else {
        break;
      }
      waiting.pop_front();
    }
    while (next_fault < Faults().size() &&
           arrival.at - start >= Faults()[next_fault].at) {
      state.Take(Faults()[next_fault].kind);
      way.TakeFault(Faults()[next_fault].kind, state);
      ++next_fault;
    }
    const std::string& node = state.names[arrival.node];
    if (!state.Runs(node)) {
      // Callers go to another node.
      continue;
    }
    const bool inside = ideal.at(arrival.customer).TryAcquire(1, arrival.at);
    const bool counts = inside && arrival.customer != "hog";
    score.inside += counts ? 1 : 0;
    if (way.Admit(node, arrival.customer, arrival.at)) {
      admit(arrival, arrival.at);
    } else if (counts && retry) {
      waiting.push_back(arrival);
    } else {
      score.refused_inside += counts ? 1 : 0;
    }
  }
  for (const auto& [name, bound] : bounds) {
    const double rate_burst = std::max(1.0, bound.MaxExcess());
    score.excess =
        std::max(score.excess, bound.MaxExcess() > 0 ? rate_burst : 0);
  }
  return score;
}

void Print(const std::string& name, const Score& score) {
  std::cout << "  " << std::left << std::setw(28) << name << std::right
            << std::setw(12) << std::fixed << std::setprecision(3)
            << 100.0 * static_cast<double>(score.refused_inside) /
                   static_cast<double>(score.inside)
            << std::setw(14) << std::setprecision(1) << score.excess << "\n";
}

void Compare(const std::map<std::string, int>& sites) {
  const std::vector<Customer> customers = MakeCustomers();
  TokenSimulation world(sites, customers, 1);
  world.RunFor(kSettleTime);
  const TimePoint start = world.Now();
  FleetState fresh;
  fresh.names = world.RunningNodes();
  const std::vector<Arrival> trace =
      MakeTrace(customers, fresh.names.size(), start);
  std::cout << fresh.names.size() << " nodes, " << trace.size()
            << " requests in " << kTraceTime.count() << " s\n"
            << "  way                         refused inside %   over the "
               "bound\n";
  FleetState state = fresh;
  StaticSplit split(customers, fresh.names, start);
  Print("even part per node",
        Replay(split, trace, customers, state, start, nullptr));
  state = fresh;
  HomeNode home(customers, state, start);
  Print("one home node a customer",
        Replay(home, trace, customers, state, start, nullptr));
  state = fresh;
  LentTokens lent(world);
  Print("minted and lent tokens",
        Replay(lent, trace, customers, state, start, [&](const Arrival& call) {
          return world.RetryAcquire(fresh.names[call.node], call.customer);
        }));
}

}  // namespace

}  // namespace daisywinch::bench

/// Compares ways to hold customers to their rate on the same traces.
int main() {
  daisywinch::bench::Compare({{"a", 4}, {"b", 3}, {"c", 3}});
  daisywinch::bench::Compare({{"a", 6}, {"b", 6}, {"c", 5}});
  return EXIT_SUCCESS;
}
