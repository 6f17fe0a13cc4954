#include "state/call_mixture.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace daisywinch {

namespace {

/// Slots that are learned from; 20 s of slots of 50 ms. Long enough to tell
/// routes apart that run side by side most of the time.
constexpr std::size_t kMostSlots = 400;
/// Steps of the iteration each time that something new is learned; it starts
/// from the last result.
constexpr int kSteps = 10;
/// Calls per active second that every route is suspected of at first.
constexpr double kFirstRate = 1.0;
/// Least share of a route's rate that an unexplained call raises again.
constexpr double kLeastRate = 1e-3;

double Figure(const std::vector<float>& figures, std::size_t index) {
  return index < figures.size() ? figures[index] : 0;
}

}  // namespace

std::size_t CallMixture::IndexOf(std::map<std::string, std::size_t>& indices,
                                 const std::string& name) {
  return indices.try_emplace(name, indices.size()).first->second;
}

void CallMixture::AddAt(std::vector<float>& figures,
                        std::size_t index,
                        double amount) {
  if (figures.size() <= index) {
    figures.resize(index + 1);
  }
  figures[index] += static_cast<float>(amount);
}

void CallMixture::AddActive(const std::string& route, double seconds) {
  if (seconds > 0) {
    AddAt(this->current.active_seconds, IndexOf(this->routes, route), seconds);
  }
}

void CallMixture::AddCall(const std::string& callee) {
  AddAt(this->current.calls, IndexOf(this->callees, callee), 1);
}

void CallMixture::CloseSlot() {
  this->recent.push_back(std::exchange(this->current, Slot()));
}

void CallMixture::Forget() {
  this->recent.clear();
}

void CallMixture::Learn() {
  std::move(this->recent.begin(), this->recent.end(),
            std::back_inserter(this->kept));
  this->recent.clear();
  while (this->kept.size() > kMostSlots) {
    this->kept.pop_front();
  }
  this->rates.resize(this->callees.size());
  for (std::size_t callee = 0; callee < this->rates.size(); ++callee) {
    this->rates[callee].resize(this->routes.size(), kFirstRate);
    for (int step = 0; step < kSteps; ++step) {
      this->Estimate(callee);
    }
  }
}

void CallMixture::Estimate(std::size_t callee) {
  std::vector<double>& row = this->rates[callee];
  std::vector<double> active(row.size());
  std::vector<double> dealt(row.size());
  for (const Slot& slot : this->kept) {
    double expected = 0;
    for (std::size_t route = 0; route < slot.active_seconds.size(); ++route) {
      active[route] += slot.active_seconds[route];
      expected += row[route] * slot.active_seconds[route];
    }
    const double calls = Figure(slot.calls, callee);
    if (calls <= 0 || expected <= 0) {
      continue;
    }
    for (std::size_t route = 0; route < slot.active_seconds.size(); ++route) {
      dealt[route] +=
          calls * row[route] * slot.active_seconds[route] / expected;
    }
  }
  for (std::size_t route = 0; route < row.size(); ++route) {
    if (active[route] > 0) {
      row[route] = std::max(kLeastRate, dealt[route] / active[route]);
    }
  }
}

double CallMixture::ExpectedCalls() const {
  double sum = 0;
  for (const Slot& slot : this->recent) {
    for (const std::vector<double>& row : this->rates) {
      for (std::size_t route = 0; route < row.size(); ++route) {
        sum += row[route] * Figure(slot.active_seconds, route);
      }
    }
  }
  return sum;
}

double CallMixture::RecentCalls() const {
  double sum = 0;
  for (const Slot& slot : this->recent) {
    sum = std::accumulate(slot.calls.begin(), slot.calls.end(), sum);
  }
  return sum;
}

std::map<std::string, double> CallMixture::Rates(
    const std::string& route) const {
  std::map<std::string, double> result;
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return result;
  }
  for (const auto& [callee, index] : this->callees) {
    if (index < this->rates.size() &&
        found->second < this->rates[index].size()) {
      result[callee] = this->rates[index][found->second];
    }
  }
  return result;
}

}  // namespace daisywinch
