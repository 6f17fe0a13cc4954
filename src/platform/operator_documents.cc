#include "platform/operator_documents.h"

#include <charconv>
#include <set>
#include <utility>
#include <vector>

#include "state/duration.h"
#include "state/key_digest.h"
#include "state/object_reader.h"

namespace daisywinch::platform {

namespace {

constexpr NumberRange kRateRange = {0, 1e9};
constexpr NumberRange kCountRange = {0, 1e9};
constexpr NumberRange kAttemptRange = {1, 100};
constexpr NumberRange kSlotRange = {1, 1e6};
constexpr NumberRange kUnixMillisecondRange = {0, 1e15};
constexpr NumberRange kSequenceRange = {0, 9e15};
constexpr int kVersionBase = 16;
constexpr int kDefaultAttempts = 2;
constexpr std::int64_t kDefaultPriority = 2;
constexpr std::int64_t kDefaultHeaderBytes = 16 * 1024;
constexpr std::int64_t kDefaultBodyBytes = 64 * 1024 * 1024;

Duration ReadDuration(ObjectReader& reader,
                      std::string_view name,
                      Duration fallback) {
  if (!reader.Has(name)) {
    return fallback;
  }
  const std::optional<Duration> duration = ParseDuration(reader.String(name));
  if (!duration) {
    reader.AddError(name, "is not a duration", "write it such as \"1500ms\"");
  }
  return duration.value_or(fallback);
}

std::uint64_t ReadVersion(ObjectReader& reader) {
  const std::string text = reader.String("Version");
  std::uint64_t version = 0;
  const std::from_chars_result result = std::from_chars(
      text.data(), text.data() + text.size(), version, kVersionBase);
  if (text.empty() || result.ec != std::errc() ||
      result.ptr != text.data() + text.size()) {
    reader.AddError("Version", "is not a hexadecimal number",
                    "write eight hexadecimal digits");
  }
  return version;
}

std::vector<WeightedService> ReadTrafficSplit(ObjectReader& reader) {
  std::vector<WeightedService> traffic_split;
  if (reader.Has("TrafficSplit")) {
    for (ObjectReader& item : reader.Objects("TrafficSplit")) {
      const std::string service = item.String("Service");
      const double weight = item.Number("Weight", kRateRange);
      if (weight > 0) {
        traffic_split.push_back({service, weight});
      }
    }
  } else {
    traffic_split.push_back({reader.String("Service"), 1});
  }
  if (traffic_split.empty()) {
    reader.AddError("TrafficSplit", "has no service with a weight above 0",
                    "give at least one service a weight above 0");
  }
  return traffic_split;
}

MeshRoute ReadRoute(const std::string& name, ObjectReader& reader) {
  MeshRoute route;
  route.name = name;
  route.host = reader.String("Host");
  route.prefix = reader.String("Prefix");
  if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
    reader.AddError("Prefix", "does not begin and end with a slash",
                    "write it such as \"/orders/\"");
  }
  const std::string kind = reader.String("Kind");
  // "download" is for large responses; it is as repeatable as "safe".
  route.repeatable = kind == "safe" || kind == "download";
  route.timeout = ReadDuration(reader, "Timeout", Duration::zero());
  route.objective = ReadDuration(reader, "TargetLatency", Duration::zero());
  route.priority = static_cast<std::uint32_t>(
      reader.Integer("Priority", kCountRange, kDefaultPriority));
  route.max_attempts = static_cast<int>(
      reader.Integer("MaxAttempts", kAttemptRange, kDefaultAttempts));
  route.open = reader.Boolean("Public", false);
  route.traffic_split = ReadTrafficSplit(reader);
  return route;
}

MeshService ReadService(const std::string& name, ObjectReader& reader) {
  MeshService service;
  service.name = name;
  service.health_path = reader.String("HealthPath", "/health");
  service.connections =
      static_cast<int>(reader.Integer("MaxConnections", kCountRange, 0));
  service.cold_start = ReadDuration(reader, "ColdStart", Duration::zero());
  service.cold_rate = reader.Number("ColdPerS", kRateRange, 0);
  return service;
}

MeshCustomer ReadCustomer(const std::string& name, ObjectReader& reader) {
  MeshCustomer customer;
  customer.name = name;
  for (const std::string& key : reader.Strings("ApiKeys")) {
    customer.key_digests.push_back(Sha256Hex(key));
  }
  customer.has_priority = reader.Has("Priority");
  customer.priority = static_cast<std::uint32_t>(
      reader.Integer("Priority", kCountRange, kDefaultPriority));
  customer.rate = reader.Number("RatePerS", kRateRange, 0);
  customer.burst = reader.Number("Burst", kRateRange, 0);
  return customer;
}

CallerLimits ReadLimits(ObjectReader& reader) {
  CallerLimits limits;
  limits.header_bytes = static_cast<std::uint32_t>(
      reader.Integer("MaxHeaderBytes", kCountRange, kDefaultHeaderBytes));
  limits.body_bytes =
      reader.Integer("MaxBodyBytes", kCountRange, kDefaultBodyBytes);
  limits.header_timeout =
      ReadDuration(reader, "HeaderTimeout", limits.header_timeout);
  limits.idle_timeout =
      ReadDuration(reader, "IdleTimeout", limits.idle_timeout);
  return limits;
}

/// Adds errors for routes to unknown services and for keys that belong to
/// several customers.
void CheckReferences(const std::vector<MeshRoute>& routes,
                     const std::vector<MeshService>& services,
                     const std::vector<MeshCustomer>& customers,
                     ValidationErrorList& errors) {
  std::set<std::string> known_services;
  for (const MeshService& service : services) {
    known_services.insert(service.name);
  }
  for (const MeshRoute& route : routes) {
    for (const WeightedService& weighted_service : route.traffic_split) {
      if (!known_services.contains(weighted_service.service)) {
        errors.Add("/Routes/" + route.name, "refers to an unknown service",
                   "add the service or correct its name");
      }
    }
  }
  std::set<std::string> digests;
  for (const MeshCustomer& customer : customers) {
    for (const std::string& digest : customer.key_digests) {
      if (!digests.insert(digest).second) {
        errors.Add("/Tenants/" + customer.name,
                   "has a key that another customer also has",
                   "give each customer its own keys");
      }
    }
  }
}

}  // namespace

std::shared_ptr<const MeshConfiguration> DecodeConfiguration(
    std::string_view text,
    ValidationErrorList& errors) {
  const std::optional<boost::json::value> json = ParseJson(text, errors);
  if (!json) {
    return nullptr;
  }
  ObjectReader reader(*json, "", errors);
  const std::uint64_t version = ReadVersion(reader);
  std::vector<MeshRoute> routes;
  for (auto& [name, route] : reader.ObjectMap("Routes")) {
    routes.push_back(ReadRoute(name, route));
  }
  std::vector<MeshService> services;
  for (auto& [name, service] : reader.ObjectMap("Services")) {
    services.push_back(ReadService(name, service));
  }
  std::vector<MeshCustomer> customers;
  for (auto& [name, customer] : reader.ObjectMap("Tenants")) {
    customers.push_back(ReadCustomer(name, customer));
  }
  CallerLimits limits;
  if (reader.Has("Limits")) {
    ObjectReader limits_reader = reader.Object("Limits");
    limits = ReadLimits(limits_reader);
  }
  CheckReferences(routes, services, customers, errors);
  if (!errors.empty()) {
    return nullptr;
  }
  return std::make_shared<const MeshConfiguration>(
      version, std::move(routes), std::move(services), std::move(customers),
      limits);
}

std::optional<MeshTarget> DecodeTarget(std::string_view id,
                                       std::string_view text,
                                       ValidationErrorList& errors) {
  const std::optional<boost::json::value> json = ParseJson(text, errors);
  if (!json) {
    return std::nullopt;
  }
  MeshTarget target;
  target.id = std::string(id);
  ObjectReader reader(*json, "", errors);
  target.address = ReadAddress(reader, "Address");
  target.born = reader.Integer("born", kUnixMillisecondRange, 0);
  ObjectReader info = reader.Object("Info");
  target.service = info.String("Service");
  target.data_centre = info.String("Zone");
  target.slots = static_cast<int>(info.Integer("Slots", kSlotRange));
  ObjectReader status = reader.Object("Status");
  const std::string state = status.String("State");
  if (state != "ready" && state != "draining") {
    status.AddError("State", "is not known", "write ready or draining");
  }
  target.leaving = state == "draining";
  target.sequence = status.Integer("Seq", kSequenceRange, 0);
  target.cold_left = ReadDuration(status, "ColdLeft", Duration::zero());
  if (!errors.empty()) {
    return std::nullopt;
  }
  return target;
}

}  // namespace daisywinch::platform
