#include "state/tree_demand.h"

#include <algorithm>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Time over which runs are counted before they teach.
constexpr std::chrono::milliseconds kSpan{500};
/// Time over which calls are set against the routes that are active; shorter
/// than most runs, so that the mixture of routes differs from slot to slot.
constexpr std::chrono::milliseconds kSlot{50};
/// Part of the learned sums that is kept at the end of a span.
constexpr double kKept = 0.9;
/// Part of a span's runs beyond which failures make it useless.
constexpr double kMostFailures = 0.15;
/// Runs after which enough is known to reject spans.
constexpr double kEnoughRuns = 20;
/// Runs, decayed, below which a route is forgotten.
constexpr double kForgotten = 0.05;

}  // namespace

void TreeDemand::RunStarted(const std::string& route, TimePoint now) {
  this->Advance(now);
  this->CountActive(now);
  RouteState& state = this->routes[route];
  state.active_since = now;
  ++state.active;
}

void TreeDemand::RunEnded(const std::string& route,
                          Duration slot_time,
                          bool has_failed,
                          TimePoint now) {
  this->Advance(now);
  this->CountActive(now);
  RouteState& state = this->routes[route];
  state.active = std::max(0, state.active - 1);
  state.span.runs += 1;
  state.span.failed_runs += has_failed ? 1 : 0;
  state.span.slot_seconds += ToSeconds(slot_time);
}

void TreeDemand::OnwardCall(const std::string& route, TimePoint now) {
  this->Advance(now);
  this->calls.AddCall(route);
}

void TreeDemand::CountActive(TimePoint now) {
  for (auto& [name, state] : this->routes) {
    this->calls.AddActive(name,
                          state.active * ToSeconds(now - state.active_since));
    state.active_since = now;
  }
}

void TreeDemand::Advance(TimePoint now) {
  if (now - this->slot_started < kSlot) {
    return;
  }
  this->slot_started = now;
  this->CountActive(now);
  this->calls.CloseSlot();
  if (now - this->span_started >= kSpan) {
    this->CloseSpan(now - this->span_started);
    this->span_started = now;
  }
}

bool TreeDemand::IsSpanUseless() const {
  double runs = 0;
  double failed_runs = 0;
  double known_runs = 0;
  for (const auto& [name, state] : this->routes) {
    runs += state.span.runs;
    failed_runs += state.span.failed_runs;
    known_runs += state.learned.runs;
  }
  return known_runs > kEnoughRuns && failed_runs > kMostFailures * runs &&
         this->calls.RecentCalls() <= this->calls.ExpectedCalls();
}

void TreeDemand::CloseSpan(Duration elapsed) {
  const bool is_useless = this->IsSpanUseless();
  if (is_useless) {
    this->calls.Forget();
  } else {
    this->calls.Learn();
  }
  for (auto& [name, state] : this->routes) {
    state.rate = state.span.runs / ToSeconds(elapsed);
    if (!is_useless && state.span.runs > 0) {
      Sums& learned = state.learned;
      learned.runs = learned.runs * kKept + state.span.runs;
      learned.slot_seconds =
          learned.slot_seconds * kKept + state.span.slot_seconds;
    }
    state.span = Sums();
  }
}

std::vector<RouteCost> TreeDemand::Costs(TimePoint now) {
  this->Advance(now);
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
    for (const auto& [callee, rate] : this->calls.Rates(name)) {
      cost.onward[callee] = rate * cost.slot_seconds;
    }
    costs.push_back(std::move(cost));
  }
  return costs;
}

}  // namespace daisywinch
