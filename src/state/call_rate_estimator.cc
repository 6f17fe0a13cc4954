#include "state/call_rate_estimator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisywinch {

namespace {

/// Length of the history: 20 s of intervals of 50 ms. Routes that run
/// concurrently most of the time can only be told apart over a long history.
constexpr std::size_t kMaxIntervals = 400;
/// Iterations of the algorithm for each fit; each fit starts from the previous
/// result, so a few are enough.
constexpr int kIterations = 10;
/// Initial rate of each route, in calls per active second. It must be positive,
/// because the iteration scales rates by a factor.
constexpr double kInitialRate = 1.0;
/// Lower bound of a rate, in calls per active second. A rate of 0 could not
/// increase again when calls appear that no other route explains.
constexpr double kMinRate = 1e-3;

/// Maximum number of steps of a fit in one interval.
constexpr std::size_t kMaxStepsPerInterval = 200'000;

/// Part of its calls that a run has made on average before it has ended. Counts
/// while few runs have ended.
constexpr double kActiveRunWeight = 0.5;

}  // namespace

std::pair<CallRateEstimator::Index, bool> CallRateEstimator::NameTable::Add(
    const std::string& name) {
  const auto found = this->indices.find(name);
  if (found != this->indices.end()) {
    return {found->second, false};
  }
  Index index = static_cast<Index>(this->names.size());
  if (this->free_indices.empty()) {
    this->names.push_back(name);
  } else {
    index = this->free_indices.back();
    this->free_indices.pop_back();
    this->names[index] = name;
  }
  this->indices[name] = index;
  return {index, true};
}

std::optional<CallRateEstimator::Index> CallRateEstimator::NameTable::Find(
    const std::string& name) const {
  const auto found = this->indices.find(name);
  return found == this->indices.end() ? std::nullopt
                                      : std::optional<Index>(found->second);
}

void CallRateEstimator::NameTable::Retain(const std::vector<bool>& is_used) {
  std::erase_if(this->indices, [&, this](const auto& entry) {
    const Index index = entry.second;
    if (!is_used[index]) {
      this->names[index].clear();
      this->free_indices.push_back(index);
    }
    return !is_used[index];
  });
}

CallRateEstimator::Index CallRateEstimator::RouteIndex(
    const std::string& route) {
  const auto [index, is_new] = this->routes.Add(route);
  if (is_new) {
    this->total_active_seconds.resize(this->routes.Limit());
    this->total_runs.resize(this->routes.Limit());
    for (std::vector<double>& row : this->rates) {
      row.resize(this->routes.Limit());
      row[index] = 0;
    }
  }
  return index;
}

CallRateEstimator::Index CallRateEstimator::CalleeIndex(
    const std::string& callee) {
  const auto [index, is_new] = this->callees.Add(callee);
  if (is_new) {
    this->rates.resize(this->callees.Limit());
    this->rates[index].assign(this->routes.Limit(), 0);
  }
  return index;
}

std::vector<CallRateEstimator::Entry> CallRateEstimator::ToEntries(
    std::map<Index, float>& amounts) {
  std::vector<Entry> entries;
  entries.reserve(amounts.size());
  for (const auto& [index, amount] : amounts) {
    entries.push_back({index, amount});
  }
  amounts.clear();
  return entries;
}

void CallRateEstimator::AddActiveTime(const std::string& route,
                                      double seconds) {
  if (seconds > 0) {
    this->active_seconds[this->RouteIndex(route)] +=
        static_cast<float>(seconds);
  }
}

void CallRateEstimator::AddRun(const std::string& route) {
  this->runs[this->RouteIndex(route)] += 1;
}

void CallRateEstimator::AddCall(const std::string& callee) {
  this->calls[this->CalleeIndex(callee)] += 1;
}

void CallRateEstimator::CloseInterval() {
  this->recent.push_back({ToEntries(this->active_seconds),
                          ToEntries(this->runs), ToEntries(this->calls)});
  this->ContinueFit();
}

void CallRateEstimator::DiscardRecent() {
  this->recent.clear();
}

void CallRateEstimator::FitRecent() {
  std::move(this->recent.begin(), this->recent.end(),
            std::back_inserter(this->history));
  this->recent.clear();
  while (this->history.size() > kMaxIntervals) {
    this->history.pop_front();
  }
  this->ForgetUnusedNames();
  this->SumHistory();
  for (std::vector<double>& row : this->rates) {
    std::replace(row.begin(), row.end(), 0.0, kInitialRate);
  }
  this->updates_left = kIterations * this->callees.Limit();
  this->ContinueFit();
}

void CallRateEstimator::ForgetUnusedNames() {
  std::vector<bool> used_routes(this->routes.Limit());
  std::vector<bool> used_callees(this->callees.Limit());
  for (const Interval& interval : this->history) {
    for (const Entry& entry : interval.active_seconds) {
      used_routes[entry.index] = true;
    }
    for (const Entry& entry : interval.runs) {
      used_routes[entry.index] = true;
    }
    for (const Entry& entry : interval.calls) {
      used_callees[entry.index] = true;
    }
  }
  for (const std::map<Index, float>* amounts :
       {&this->active_seconds, &this->runs}) {
    for (const auto& [index, amount] : *amounts) {
      used_routes[index] = true;
    }
  }
  for (const auto& [index, amount] : this->calls) {
    used_callees[index] = true;
  }
  this->routes.Retain(used_routes);
  this->callees.Retain(used_callees);
}

void CallRateEstimator::SumHistory() {
  this->total_active_seconds.assign(this->routes.Limit(), 0);
  this->total_runs.assign(this->routes.Limit(), 0);
  for (const Interval& interval : this->history) {
    for (const Entry& entry : interval.active_seconds) {
      this->total_active_seconds[entry.index] += entry.amount;
    }
    for (const Entry& entry : interval.runs) {
      this->total_runs[entry.index] += entry.amount;
    }
  }
}

void CallRateEstimator::ContinueFit() {
  std::size_t steps = 0;
  while (this->updates_left > 0 && steps < kMaxStepsPerInterval) {
    this->next_callee = this->next_callee + 1 < this->callees.Limit()
                            ? this->next_callee + 1
                            : 0;
    steps += this->UpdateRates(this->next_callee);
    --this->updates_left;
  }
}

std::size_t CallRateEstimator::UpdateRates(Index callee) {
  std::vector<double>& row = this->rates[callee];
  std::vector<double> attributed(row.size());
  std::size_t steps = row.size();
  for (const Interval& interval : this->history) {
    const std::vector<Entry>::const_iterator calls = std::lower_bound(
        interval.calls.begin(), interval.calls.end(), callee,
        [](const Entry& entry, Index index) { return entry.index < index; });
    ++steps;
    if (calls == interval.calls.end() || calls->index != callee) {
      continue;
    }
    steps += 2 * interval.active_seconds.size();
    double expected = 0;
    for (const Entry& active : interval.active_seconds) {
      expected += row[active.index] * active.amount;
    }
    if (expected <= 0) {
      continue;
    }
    for (const Entry& active : interval.active_seconds) {
      attributed[active.index] +=
          calls->amount * row[active.index] * active.amount / expected;
    }
  }
  for (std::size_t route = 0; route < this->total_active_seconds.size();
       ++route) {
    if (this->total_active_seconds[route] > 0) {
      row[route] = std::max(
          kMinRate, attributed[route] / this->total_active_seconds[route]);
    }
  }
  return steps;
}

double CallRateEstimator::ExpectedCalls() const {
  double sum = 0;
  for (const Interval& interval : this->recent) {
    for (Index callee = 0; callee < this->rates.size(); ++callee) {
      if (this->callees.NameOf(callee).empty()) {
        continue;
      }
      for (const Entry& active : interval.active_seconds) {
        sum += this->rates[callee][active.index] * active.amount;
      }
    }
  }
  return sum;
}

double CallRateEstimator::RecentCalls() const {
  double sum = 0;
  for (const Interval& interval : this->recent) {
    for (const Entry& calls : interval.calls) {
      sum += calls.amount;
    }
  }
  return sum;
}

std::map<std::string, double> CallRateEstimator::CallsPerRun(
    const std::string& route,
    int active_runs,
    double min_calls) const {
  std::map<std::string, double> result;
  const std::optional<Index> index = this->routes.Find(route);
  if (!index) {
    return result;
  }
  const double run_count =
      kActiveRunWeight * active_runs + this->total_runs[*index];
  if (run_count <= 0) {
    return result;
  }
  for (Index callee = 0; callee < this->rates.size(); ++callee) {
    const std::string& name = this->callees.NameOf(callee);
    const double calls = this->rates[callee][*index] *
                         this->total_active_seconds[*index] / run_count;
    if (!name.empty() && calls >= min_calls) {
      result[name] = calls;
    }
  }
  return result;
}

}  // namespace daisywinch
