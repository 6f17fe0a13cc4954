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

/// Importance of a request; under overload the lowest is shed first.
enum class RequestClass { kImportant, kNormal, kBackground };

constexpr int kRequestClassCount = 3;

std::string_view ToString(RequestClass request_class);
std::optional<RequestClass> ParseRequestClass(std::string_view name);

/// A group of VMs that can be taken out of service and brought back together.
struct DataCentre {
  std::string name;
  std::string region;
  bool in_service = true;
  /// Part of every customer's rate and burst that is granted here; the shares
  /// of all data centres add up to 1 at most.
  double share = 0;
};

/// What the targets of one service bear.
struct Service {
  std::string name;
  /// Requests that a warm target runs at once.
  int slots = 0;
  /// Open connections that a warm target accepts.
  int connections = 0;
  /// Requests that a freshly started target runs at once.
  int cold_slots = 0;
  /// Time a freshly started target needs under load to become warm.
  Duration warm_up = Duration::zero();
};

/// A tenant with its rate, burst and keys.
struct Customer {
  std::string name;
  /// Calls per second over all VMs together.
  double rate = 0;
  /// Calls that may come at once over all VMs together.
  double burst = 0;
  /// SHA-256 digests of the keys in force, in lower-case hexadecimal.
  std::vector<std::string> key_digests;
};

/// A kind of request: how to recognise it and how to treat it.
struct Route {
  std::string name;
  std::string service;
  std::string method;
  /// Path of which a segment in braces matches any one segment.
  std::string path;
  RequestClass request_class = RequestClass::kNormal;
  /// Callers need no key.
  bool open = false;
  /// Running the request twice does no harm (idempotent).
  bool repeatable = false;
  /// The feature is withdrawn; every call is refused.
  bool retired = false;
  /// Longest time an answer may take.
  Duration timeout = Duration::zero();
  /// Customers that may use the route; empty means all.
  std::vector<std::string> customers;

  bool AllowsCustomer(std::string_view customer) const;
};

/// Everything the fleet is told to do, under one version.
struct Configuration {
  std::string deployment;
  std::uint64_t version = 0;
  /// Retries that each fresh call earns, over time and over the call tree.
  double retry_ratio = 0;
  /// Attempts that the whole call tree of a request may spend on retries.
  int tree_retries = 0;
  /// Time over which repeats of an idempotency key are recognised.
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
/// Every fault is recorded; nothing is returned when there is one.
std::optional<Configuration> ReadConfiguration(const boost::json::value& json,
                                               ValidationErrorList& errors);

boost::json::object WriteConfiguration(const Configuration& configuration);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_H
