#ifndef DAISYWINCH_STATE_MESH_CONFIGURATION_H
#define DAISYWINCH_STATE_MESH_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/clock.h"

namespace daisywinch {

/// A service that takes a part of a route's requests.
struct WeightedService {
  std::string service;
  /// Part of the requests relative to the other parts' weights.
  double weight = 1;
};

/// A kind of request on the mesh interface.
struct MeshRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash; the longest that fits wins.
  std::string prefix;
  /// Running the request twice does no harm (idempotent).
  bool repeatable = false;
  /// Longest time that a caller is kept waiting; zero means no bound.
  Duration timeout = Duration::zero();
  /// Time within which an answer earns its full worth.
  Duration objective = Duration::zero();
  /// 0 is the highest rank.
  std::uint32_t priority = 0;
  /// Targets that one try of a caller may be sent to.
  int max_attempts = 1;
  /// Callers need no key.
  bool open = false;
  std::vector<WeightedService> traffic_split;
};

/// What the targets of a service state of themselves.
struct MeshService {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts from all callers together.
  int connections = 0;
  /// Time that a target stays cold after it started.
  Duration cold_start = Duration::zero();
  /// Requests per second that a cold target bears.
  double cold_rate = 0;
};

/// A customer with its keys and its rate over the whole fleet.
struct MeshCustomer {
  std::string name;
  std::vector<std::string> key_digests;
  /// Goes before the rank of the route where it is given.
  std::uint32_t priority = 0;
  bool has_priority = false;
  /// Requests per second; 0 means no limit.
  double rate = 0;
  double burst = 0;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// Everything that the operators tell a mesh fleet, under one version.
class MeshConfiguration {
 public:
  MeshConfiguration() = default;
  MeshConfiguration(std::uint64_t version,
                    std::vector<MeshRoute> routes,
                    std::vector<MeshService> services,
                    std::vector<MeshCustomer> customers,
                    CallerLimits limits);

  std::uint64_t Version() const { return this->version; }
  const CallerLimits& Limits() const { return this->limits; }
  const std::vector<MeshRoute>& Routes() const { return this->routes; }
  const std::vector<MeshService>& Services() const { return this->services; }
  const std::vector<MeshCustomer>& Customers() const { return this->customers; }

  /// The route of the host with the longest prefix that begins the path; null
  /// if there is none. The query of `target` is not looked at.
  const MeshRoute* FindRoute(std::string_view host,
                             std::string_view target) const;
  const MeshRoute* FindRouteByName(std::string_view name) const;
  const MeshService* FindService(std::string_view name) const;
  /// The customer that holds a key; null if none does.
  const MeshCustomer* FindCustomer(std::string_view key) const;

 private:
  std::uint64_t version = 0;
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services;
  std::vector<MeshCustomer> customers;
  CallerLimits limits;
  /// Indices of the routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::unordered_map<std::string, std::size_t> routes_by_name;
  std::unordered_map<std::string, std::size_t> services_by_name;
  std::unordered_map<std::string, std::size_t> customers_by_digest;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_CONFIGURATION_H
