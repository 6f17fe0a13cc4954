#include "state/route_classes.h"

namespace daisywinch {

namespace {

constexpr std::chrono::seconds kReviewInterval{1};
/// Factor by which the number of requests decreases from review to review.
constexpr double kDecayFactor = 0.9;
/// Decayed number of requests below which a route is forgotten.
constexpr double kMinRequests = 0.05;
/// Share of the requests with which a route gets a class of its own. With half
/// of it a route keeps the class.
constexpr double kOwnClassShare = 2.0 / RouteClasses::kMaxOwnClasses;
/// Begins the names of shared classes.
constexpr char kSharedPrefix = '*';

}  // namespace

std::string RouteClasses::Count(const std::string& route,
                                const std::string& service,
                                TimePoint now) {
  if (now - this->reviewed_at >= kReviewInterval) {
    this->reviewed_at = now;
    this->Review();
  }
  const auto [position, is_new] = this->usage_by_route.try_emplace(route);
  Usage& usage = position->second;
  if (is_new) {
    usage.has_own_class = this->usage_by_route.size() <= kMaxOwnClasses;
  }
  usage.requests += 1;
  return usage.has_own_class ? route : SharedClass(service);
}

std::string RouteClasses::SharedClass(std::string_view service) {
  return kSharedPrefix + std::string(service);
}

std::optional<std::string_view> RouteClasses::ServiceOf(std::string_view name) {
  return name.starts_with(kSharedPrefix)
             ? std::optional<std::string_view>(name.substr(1))
             : std::nullopt;
}

void RouteClasses::Review() {
  double sum = 0;
  for (auto& [route, usage] : this->usage_by_route) {
    usage.requests *= kDecayFactor;
    sum += usage.requests;
  }
  std::erase_if(this->usage_by_route, [](const auto& entry) {
    return entry.second.requests < kMinRequests;
  });
  const bool has_few_routes = this->usage_by_route.size() <= kMaxOwnClasses;
  for (auto& [route, usage] : this->usage_by_route) {
    const double min_share =
        usage.has_own_class ? kOwnClassShare / 2 : kOwnClassShare;
    usage.has_own_class = has_few_routes || usage.requests >= min_share * sum;
  }
}

}  // namespace daisywinch
