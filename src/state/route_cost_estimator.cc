#include "state/route_cost_estimator.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Window after which the recorded runs and calls update the estimate.
constexpr std::chrono::milliseconds kWindow{500};
/// Interval in which calls are attributed to active routes. Shorter than most
/// runs, so that the set of active routes differs between intervals.
constexpr std::chrono::milliseconds kInterval{50};
/// Factor by which a new window reduces the weight of the previous sums.
constexpr double kDecayFactor = 0.9;
/// Fraction of failed runs above which a window may be discarded.
constexpr double kMaxFailureFraction = 0.15;
/// Runs that must have been recorded before windows may be discarded.
constexpr double kMinRunsToReject = 20;
/// Decayed number of runs below which a route is no longer reported.
constexpr double kMinRuns = 0.05;
/// Number of routes above which those that have been idle for longest are
/// forgotten.
constexpr std::size_t kMaxRoutes = 48;
/// Calls per run below which a callee is not reported, and the maximum number
/// of reported callees of a route, those with the most calls.
constexpr double kMinReportedCalls = 0.005;
constexpr std::size_t kMaxReportedCallees = 16;

/// The entries with the most calls.
std::map<std::string, double> MostCalled(
    std::map<std::string, double> nested_calls) {
  if (nested_calls.size() <= kMaxReportedCallees) {
    return nested_calls;
  }
  std::vector<std::pair<double, std::string>> by_calls;
  by_calls.reserve(nested_calls.size());
  for (const auto& [callee, calls] : nested_calls) {
    by_calls.emplace_back(calls, callee);
  }
  std::nth_element(by_calls.begin(), by_calls.begin() + kMaxReportedCallees,
                   by_calls.end(), std::greater<>());
  std::map<std::string, double> most_called;
  for (std::size_t rank = 0; rank < kMaxReportedCallees; ++rank) {
    most_called[by_calls[rank].second] = by_calls[rank].first;
  }
  return most_called;
}

}  // namespace

void RouteCostEstimator::RunStarted(const std::string& route, TimePoint now) {
  this->Advance(now);
  this->AccumulateActiveTime(now);
  RouteState& state = this->routes[route];
  state.last_accumulated = now;
  ++state.active_runs;
}

void RouteCostEstimator::RunEnded(const std::string& route,
                                  Duration slot_time,
                                  bool has_failed,
                                  bool is_cold,
                                  TimePoint now) {
  this->Advance(now);
  this->AccumulateActiveTime(now);
  RouteState& state = this->routes[route];
  state.active_runs = std::max(0, state.active_runs - 1);
  state.last_ended = now;
  this->call_rates.AddRun(route);
  if (is_cold) {
    state.cold_total.runs += 1;
    state.cold_total.slot_seconds += ToSeconds(slot_time);
    return;
  }
  state.window.runs += 1;
  state.window.failed_runs += has_failed ? 1 : 0;
  state.window.slot_seconds += ToSeconds(slot_time);
}

void RouteCostEstimator::RecordNestedCall(const std::string& route,
                                          TimePoint now) {
  this->Advance(now);
  this->call_rates.AddCall(route);
}

void RouteCostEstimator::AccumulateActiveTime(TimePoint now) {
  for (auto& [name, state] : this->routes) {
    this->call_rates.AddActiveTime(
        name, state.active_runs * ToSeconds(now - state.last_accumulated));
    state.last_accumulated = now;
  }
}

void RouteCostEstimator::Advance(TimePoint now) {
  if (now - this->interval_start < kInterval) {
    return;
  }
  this->interval_start = now;
  this->AccumulateActiveTime(now);
  this->call_rates.CloseInterval();
  if (now - this->window_start >= kWindow) {
    this->CloseWindow(now - this->window_start);
    this->window_start = now;
  }
}

bool RouteCostEstimator::IsWindowUnreliable() const {
  double runs = 0;
  double failed_runs = 0;
  double total_runs = 0;
  for (const auto& [name, state] : this->routes) {
    runs += state.window.runs;
    failed_runs += state.window.failed_runs;
    total_runs += state.total.runs;
  }
  return total_runs > kMinRunsToReject &&
         failed_runs > kMaxFailureFraction * runs &&
         this->call_rates.RecentCalls() <= this->call_rates.ExpectedCalls();
}

void RouteCostEstimator::CloseWindow(Duration elapsed) {
  const bool is_unreliable = this->IsWindowUnreliable();
  if (is_unreliable) {
    this->call_rates.DiscardRecent();
  } else {
    this->call_rates.FitRecent();
  }
  for (auto& [name, state] : this->routes) {
    state.rate = state.window.runs / ToSeconds(elapsed);
    if (!is_unreliable && state.window.runs > 0) {
      Sums& total = state.total;
      total.runs = total.runs * kDecayFactor + state.window.runs;
      total.slot_seconds =
          total.slot_seconds * kDecayFactor + state.window.slot_seconds;
    }
    state.window = Sums();
  }
  this->ForgetIdleRoutes();
}

void RouteCostEstimator::ForgetIdleRoutes() {
  if (this->routes.size() <= kMaxRoutes) {
    return;
  }
  using Position = std::map<std::string, RouteState>::iterator;
  std::vector<Position> idle;
  for (Position route = this->routes.begin(); route != this->routes.end();
       ++route) {
    if (route->second.active_runs == 0) {
      idle.push_back(route);
    }
  }
  std::sort(idle.begin(), idle.end(), [](Position left, Position right) {
    return left->second.last_ended < right->second.last_ended;
  });
  for (std::size_t index = 0;
       index < idle.size() && this->routes.size() > kMaxRoutes; ++index) {
    this->routes.erase(idle[index]);
  }
}

std::vector<RouteCost> RouteCostEstimator::Costs(TimePoint now) {
  this->Advance(now);
  std::vector<RouteCost> costs;
  for (const auto& [name, state] : this->routes) {
    const Sums& sums =
        state.total.runs < kMinRuns ? state.cold_total : state.total;
    if (sums.runs < kMinRuns) {
      continue;
    }
    RouteCost cost;
    cost.route = name;
    cost.rate = state.rate;
    cost.slot_seconds = sums.slot_seconds / sums.runs;
    cost.nested_calls = MostCalled(this->call_rates.CallsPerRun(
        name, state.active_runs, kMinReportedCalls));
    costs.push_back(std::move(cost));
  }
  return costs;
}

}  // namespace daisywinch
