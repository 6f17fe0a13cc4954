#ifndef DAISYWINCH_STATE_CONFIGURATION_H
#define DAISYWINCH_STATE_CONFIGURATION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "state/clock.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// Importance of a request; under overload the least important class is shed
/// first.
enum class RequestClass { kImportant, kNormal, kBackground };

constexpr int kRequestClassCount = 3;

std::string_view ToString(RequestClass request_class);
std::optional<RequestClass> ParseRequestClass(std::string_view name);

/// A group of VMs that are taken out of service and brought back together.
struct DataCentre {
  std::string name;
  std::string region;
  bool in_service = true;
  /// Fraction of each customer's rate and burst that this data centre may
  /// admit; the shares of all data centres add up to 1 at most.
  double share = 0;
};

/// A service and the capacity of each of its targets.
struct Service {
  std::string name;
  /// Requests that a warm target can run concurrently.
  int slots = 0;
  /// Open connections that a warm target accepts.
  int connections = 0;
  /// Requests that a newly started target can run concurrently.
  int cold_slots = 0;
  /// Time under load that a newly started target needs to become warm.
  Duration warm_up = Duration::zero();
};

/// A customer with its rate limit and API keys.
struct Customer {
  std::string name;
  /// Calls per second, over all VMs together.
  double rate = 0;
  /// Calls that may arrive at once, over all VMs together.
  double burst = 0;
  /// SHA-256 digests of the valid keys, in lower-case hexadecimal.
  std::vector<std::string> key_digests;
};

/// How requests of one kind are matched and handled.
struct Route {
  std::string name;
  std::string service;
  std::string method;
  /// Path pattern; a segment in braces, such as `{id}`, matches any one
  /// segment.
  std::string path;
  RequestClass request_class = RequestClass::kNormal;
  /// Callers need no key.
  bool open = false;
  /// Requests are idempotent: running one twice is safe.
  bool repeatable = false;
  /// The route is no longer offered; every call is refused.
  bool retired = false;
  /// Maximum time until the response.
  Duration timeout = Duration::zero();
  /// Customers that may use the route; empty means all.
  std::vector<std::string> customers;

  bool AllowsCustomer(std::string_view customer) const;
};

/// The versioned configuration that all nodes of a fleet share.
struct Configuration {
  std::string deployment;
  std::uint64_t version = 0;
  /// Retries allowed for each first attempt of a call; limits both the retries
  /// over time and those within one call tree.
  double retry_ratio = 0;
  /// Maximum number of retries in the whole call tree of a request.
  int tree_retries = 0;
  /// Time for which a duplicate of an idempotency key is recognized.
  Duration repeat_window = Duration::zero();
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<Customer> customers;
  std::vector<Route> routes;

  const DataCentre* FindDataCentre(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Customer* FindCustomer(std::string_view name) const;
};

/// Reads and validates a configuration.
///
/// All errors are added to `errors`; returns nothing if there is one.
std::optional<Configuration> ReadConfiguration(const boost::json::value& json,
                                               ValidationErrorList& errors);

/// Converts a configuration to the JSON that ReadConfiguration() reads.
boost::json::object WriteConfiguration(const Configuration& configuration);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_H
