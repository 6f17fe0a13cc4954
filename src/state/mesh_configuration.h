#ifndef DAISYWINCH_STATE_MESH_CONFIGURATION_H
#define DAISYWINCH_STATE_MESH_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/clock.h"

namespace daisywinch {

/// A service that gets a fraction of a route's requests.
struct WeightedService {
  std::string service;
  /// Fraction of the requests, relative to the weights of the other services.
  double weight = 1;
};

/// How requests of one kind are matched and handled on the mesh interface.
struct MeshRoute {
  std::string name;
  std::string host;
  /// Path prefix; begins and ends with a slash. The longest match applies.
  std::string prefix;
  /// Requests are idempotent: running one twice is safe.
  bool repeatable = false;
  /// Maximum time until the response; zero means no limit.
  Duration timeout = Duration::zero();
  /// Target latency: a response within this time has its full value.
  Duration objective = Duration::zero();
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Maximum number of targets to which one request of a caller may be sent.
  int max_attempts = 1;
  /// Callers need no key.
  bool open = false;
  std::vector<WeightedService> traffic_split;
};

/// A service and what its targets state about themselves.
struct MeshService {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts, over all callers.
  int connections = 0;
  /// Time for which a target stays cold after its start.
  Duration cold_start = Duration::zero();
  /// Requests per second that a cold target can serve.
  double cold_rate = 0;
};

/// A customer with its API keys and its rate limit over the whole fleet.
struct MeshCustomer {
  std::string name;
  std::vector<std::string> key_digests;
  /// Replaces the priority of the route if has_priority is set.
  std::uint32_t priority = 0;
  bool has_priority = false;
  /// Requests per second; 0 means no limit.
  double rate = 0;
  double burst = 0;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// The versioned configuration that all nodes of a mesh fleet share; immutable.
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

  /// The route of the host with the longest prefix that matches the path; null
  /// if there is none. `target` is the request target; its query is ignored.
  const MeshRoute* FindRoute(std::string_view host,
                             std::string_view target) const;
  const MeshRoute* FindRouteByName(std::string_view name) const;
  const MeshService* FindService(std::string_view name) const;
  /// The customer that an API key belongs to; null if there is none.
  const MeshCustomer* FindCustomer(std::string_view key) const;

 private:
  std::uint64_t version = 0;
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services;
  std::vector<MeshCustomer> customers;
  CallerLimits limits;
  /// Indices of the routes of one host, by prefix.
  struct HostRoutes {
    std::unordered_map<std::string, std::size_t> by_prefix;
    /// Length of the longest prefix, in bytes.
    std::size_t longest_prefix = 0;
  };

  std::unordered_map<std::string, HostRoutes> routes_by_host;
  std::unordered_map<std::string, std::size_t> routes_by_name;
  std::unordered_map<std::string, std::size_t> services_by_name;
  std::unordered_map<std::string, std::size_t> customers_by_digest;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_CONFIGURATION_H
