#include "state/tree_demand.h"

#include <algorithm>
#include <cmath>

#include "state/time_text.h"

namespace daisywinch {

namespace {

/// Time over which runs are counted before they teach.
constexpr std::chrono::milliseconds kSpan{500};
/// Part of the learned sums that is kept at the end of a span.
constexpr double kKept = 0.9;
/// Part of a span's runs beyond which failures make it useless.
constexpr double kMostFailures = 0.15;
/// Runs after which enough is known to reject spans.
constexpr double kEnoughRuns = 20;
/// Calls per active second that any route is suspected of at first.
constexpr double kSuspicion = 0.1;
/// Active time in seconds for which the suspicion counts.
constexpr double kSuspicionWeight = 1.0;
/// Active time in seconds below which intensities mean nothing.
constexpr double kLeastActive = 0.05;
/// Runs, decayed, below which a route is forgotten.
constexpr double kForgotten = 0.05;

}  // namespace

double TreeDemand::CallsPerRun(const Sums& sums) {
  double calls = 0;
  for (const auto& [callee, count] : sums.onward) {
    calls += count;
  }
  return sums.runs > 0 ? calls / sums.runs : 0;
}

void TreeDemand::RunStarted(const std::string& route, TimePoint now) {
  this->CloseSpan(now);
  this->CountActive(now);
  RouteState& state = this->routes[route];
  state.active_since = now;
  ++state.active;
}

void TreeDemand::RunEnded(const std::string& route,
                          Duration slot_time,
                          bool has_failed,
                          TimePoint now) {
  this->CloseSpan(now);
  this->CountActive(now);
  RouteState& state = this->routes[route];
  state.active = std::max(0, state.active - 1);
  state.span.runs += 1;
  state.span.failed_runs += has_failed ? 1 : 0;
  state.span.slot_seconds += ToSeconds(slot_time);
}

void TreeDemand::OnwardCall(const std::string& route, TimePoint now) {
  this->CloseSpan(now);
  double total = 0;
  for (const auto& [name, state] : this->routes) {
    total += state.active * Intensity(state, route);
  }
  if (total <= 0) {
    return;
  }
  for (auto& [name, state] : this->routes) {
    const double part = state.active * Intensity(state, route) / total;
    if (part > 0) {
      state.span.onward[route] += part;
    }
  }
}

double TreeDemand::Intensity(const RouteState& state,
                             const std::string& callee) {
  const auto found = state.learned.onward.find(callee);
  const double calls = found == state.learned.onward.end() ? 0 : found->second;
  return (calls + kSuspicion * kSuspicionWeight) /
         (state.learned.active_seconds + kSuspicionWeight);
}

void TreeDemand::CountActive(TimePoint now) {
  for (auto& [name, state] : this->routes) {
    state.span.active_seconds +=
        state.active * std::max(0.0, ToSeconds(now - state.active_since));
    state.active_since = now;
  }
}

void TreeDemand::CloseSpan(TimePoint now) {
  const Duration elapsed = now - this->span_started;
  if (elapsed < kSpan) {
    return;
  }
  this->CountActive(now);
  this->span_started = now;
  for (auto& [name, state] : this->routes) {
    const bool is_useless =
        state.learned.runs > kEnoughRuns &&
        state.span.failed_runs > kMostFailures * state.span.runs &&
        CallsPerRun(state.span) <= CallsPerRun(state.learned);
    state.rate = state.span.runs / ToSeconds(elapsed);
    if (!is_useless && state.span.runs > 0) {
      Sums& learned = state.learned;
      learned.runs = learned.runs * kKept + state.span.runs;
      learned.slot_seconds =
          learned.slot_seconds * kKept + state.span.slot_seconds;
      learned.active_seconds =
          learned.active_seconds * kKept + state.span.active_seconds;
      for (auto& [callee, calls] : learned.onward) {
        calls *= kKept;
      }
      for (const auto& [callee, calls] : state.span.onward) {
        learned.onward[callee] += calls;
      }
    }
    state.span = Sums();
  }
}

std::vector<RouteCost> TreeDemand::Costs(TimePoint now) {
  this->CloseSpan(now);
  std::vector<RouteCost> costs;
  for (const auto& [name, state] : this->routes) {
    if (state.learned.runs < kForgotten) {
      continue;
    }
    RouteCost cost;
    cost.route = name;
    cost.rate = state.rate;
    cost.slot_seconds = state.learned.slot_seconds / state.learned.runs;
    // By time and not by run: at first, runs that have made their calls are
    // not yet over.
    for (const auto& [callee, calls] : state.learned.onward) {
      cost.onward[callee] =
          calls / std::max(kLeastActive, state.learned.active_seconds) *
          cost.slot_seconds;
    }
    costs.push_back(std::move(cost));
  }
  return costs;
}

}  // namespace daisywinch
