#include "state/configuration.h"

#include <algorithm>
#include <array>

#include "state/key_digest.h"
#include "state/object_reader.h"

namespace daisywinch {

namespace {

constexpr std::array<std::string_view, kRequestClassCount> kClassNames = {
    "important", "normal", "background"};

constexpr NumberRange kShareRange = {0, 1};
constexpr NumberRange kSlotRange = {1, 1e5};
constexpr NumberRange kRateRange = {0, 1e7};
constexpr NumberRange kVersionRange = {1, 9e15};
constexpr NumberRange kMillisecondsRange = {1, 3.6e6};
constexpr NumberRange kRetryRatioRange = {0, 0.1};
constexpr NumberRange kTreeRetriesRange = {0, 10};
constexpr double kShareTolerance = 1e-9;

template <typename Item>
const Item* FindByName(const std::vector<Item>& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [name](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

template <typename Item>
std::vector<std::string> NamesOf(const std::vector<Item>& items) {
  std::vector<std::string> names;
  names.reserve(items.size());
  for (const Item& item : items) {
    names.push_back(item.name);
  }
  return names;
}

Duration ReadMilliseconds(ObjectReader& reader, std::string_view name) {
  return std::chrono::milliseconds(reader.Integer(name, kMillisecondsRange));
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

DataCentre ReadDataCentre(ObjectReader& reader) {
  DataCentre data_centre;
  data_centre.name = reader.String("name");
  data_centre.region = reader.String("region");
  data_centre.in_service = reader.Boolean("in_service", true);
  data_centre.share = reader.Number("share", kShareRange);
  reader.ReportUnknownFields();
  return data_centre;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  service.name = reader.String("name");
  service.slots = static_cast<int>(reader.Integer("slots", kSlotRange));
  service.connections =
      static_cast<int>(reader.Integer("connections", kSlotRange));
  service.cold_slots =
      static_cast<int>(reader.Integer("cold_slots", kSlotRange));
  service.warm_up = ReadMilliseconds(reader, "warm_up_ms");
  if (service.cold_slots > service.slots) {
    reader.AddError("cold_slots", "is more than slots",
                    "use at most the value of slots");
  }
  reader.ReportUnknownFields();
  return service;
}

Customer ReadCustomer(ObjectReader& reader) {
  Customer customer;
  customer.name = reader.String("name");
  customer.rate = reader.Number("rate", kRateRange);
  customer.burst = reader.Number("burst", kRateRange);
  customer.key_digests = reader.Strings("key_digests");
  for (const std::string& digest : customer.key_digests) {
    if (!IsKeyDigest(digest)) {
      reader.AddError("key_digests", "contains a text that is not a key digest",
                      "use the digest that \"daisywinch keygen\" prints");
    }
  }
  reader.ReportUnknownFields();
  return customer;
}

Route ReadRoute(ObjectReader& reader) {
  Route route;
  route.name = reader.String("name");
  route.service = reader.String("service");
  route.method = reader.String("method");
  route.path = reader.String("path");
  if (!route.path.empty() && route.path.front() != '/') {
    reader.AddError("path", "does not begin with a slash", "begin it with /");
  }
  const std::optional<RequestClass> request_class =
      ParseRequestClass(reader.String("class"));
  if (!request_class) {
    reader.AddError("class", "is not a request class",
                    "use important, normal or background");
  }
  route.request_class = request_class.value_or(RequestClass::kNormal);
  route.open = reader.Boolean("open", false);
  route.repeatable = reader.Boolean("repeatable", false);
  route.retired = reader.Boolean("retired", false);
  route.timeout = ReadMilliseconds(reader, "timeout_ms");
  route.customers = reader.Strings("customers");
  reader.ReportUnknownFields();
  return route;
}

/// Reports references to services and customers that are not defined.
void CheckReferences(const Configuration& configuration,
                     ValidationErrorList& errors) {
  for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
    const Route& route = configuration.routes[index];
    const std::string pointer = "/routes/" + std::to_string(index);
    if (configuration.FindService(route.service) == nullptr) {
      errors.Add(pointer + "/service",
                 "names the unknown service \"" + route.service + "\"",
                 "add the service or correct the name");
    }
    for (const std::string& customer : route.customers) {
      if (configuration.FindCustomer(customer) == nullptr) {
        errors.Add(pointer + "/customers",
                   "names the unknown customer \"" + customer + "\"",
                   "add the customer or correct the name");
      }
    }
  }
}

void CheckKeys(const Configuration& configuration,
               ValidationErrorList& errors) {
  std::vector<std::string> digests;
  for (const Customer& customer : configuration.customers) {
    digests.insert(digests.end(), customer.key_digests.begin(),
                   customer.key_digests.end());
  }
  std::sort(digests.begin(), digests.end());
  if (std::adjacent_find(digests.begin(), digests.end()) != digests.end()) {
    errors.Add("/customers", "contains a key digest twice",
               "give each customer its own keys");
  }
}

void CheckShares(const Configuration& configuration,
                 ValidationErrorList& errors) {
  double sum = 0;
  for (const DataCentre& data_centre : configuration.data_centres) {
    sum += data_centre.share;
  }
  if (sum > 1 + kShareTolerance) {
    errors.Add("/data_centres", "has shares that add up to more than 1",
               "lower the shares");
  }
}

void CheckDuplicates(const Configuration& configuration,
                     ValidationErrorList& errors) {
  ReportDuplicates(NamesOf(configuration.data_centres), "/data_centres",
                   errors);
  ReportDuplicates(NamesOf(configuration.services), "/services", errors);
  ReportDuplicates(NamesOf(configuration.customers), "/customers", errors);
  ReportDuplicates(NamesOf(configuration.routes), "/routes", errors);
}

boost::json::array WriteStrings(const std::vector<std::string>& strings) {
  return boost::json::array(strings.begin(), strings.end());
}

}  // namespace

std::string_view ToString(RequestClass request_class) {
  return kClassNames[static_cast<std::size_t>(request_class)];
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  const auto found = std::find(kClassNames.begin(), kClassNames.end(), name);
  if (found == kClassNames.end()) {
    return std::nullopt;
  }
  return static_cast<RequestClass>(found - kClassNames.begin());
}

bool Route::AllowsCustomer(std::string_view customer) const {
  return this->customers.empty() ||
         std::find(this->customers.begin(), this->customers.end(), customer) !=
             this->customers.end();
}

const DataCentre* Configuration::FindDataCentre(std::string_view name) const {
  return FindByName(this->data_centres, name);
}

const Service* Configuration::FindService(std::string_view name) const {
  return FindByName(this->services, name);
}

const Customer* Configuration::FindCustomer(std::string_view name) const {
  return FindByName(this->customers, name);
}

std::optional<Configuration> ReadConfiguration(const boost::json::value& json,
                                               ValidationErrorList& errors) {
  Configuration configuration;
  ObjectReader reader(json, "", errors);
  configuration.deployment = reader.String("deployment");
  configuration.version = reader.Integer("version", kVersionRange);
  configuration.retry_ratio = reader.Number("retry_ratio", kRetryRatioRange);
  configuration.tree_retries =
      static_cast<int>(reader.Integer("tree_retries", kTreeRetriesRange));
  configuration.repeat_window = ReadMilliseconds(reader, "repeat_window_ms");
  for (ObjectReader& item : reader.Objects("data_centres")) {
    configuration.data_centres.push_back(ReadDataCentre(item));
  }
  for (ObjectReader& item : reader.Objects("services")) {
    configuration.services.push_back(ReadService(item));
  }
  for (ObjectReader& item : reader.Objects("customers")) {
    configuration.customers.push_back(ReadCustomer(item));
  }
  for (ObjectReader& item : reader.Objects("routes")) {
    configuration.routes.push_back(ReadRoute(item));
  }
  reader.ReportUnknownFields();
  CheckDuplicates(configuration, errors);
  CheckReferences(configuration, errors);
  CheckKeys(configuration, errors);
  CheckShares(configuration, errors);
  if (!errors.empty()) {
    return std::nullopt;
  }
  return configuration;
}

boost::json::object WriteConfiguration(const Configuration& configuration) {
  boost::json::array data_centres;
  for (const DataCentre& data_centre : configuration.data_centres) {
    data_centres.push_back({{"name", data_centre.name},
                            {"region", data_centre.region},
                            {"in_service", data_centre.in_service},
                            {"share", data_centre.share}});
  }
  boost::json::array services;
  for (const Service& service : configuration.services) {
    services.push_back({{"name", service.name},
                        {"slots", service.slots},
                        {"connections", service.connections},
                        {"cold_slots", service.cold_slots},
                        {"warm_up_ms", ToMilliseconds(service.warm_up)}});
  }
  boost::json::array customers;
  for (const Customer& customer : configuration.customers) {
    customers.push_back({{"name", customer.name},
                         {"rate", customer.rate},
                         {"burst", customer.burst},
                         {"key_digests", WriteStrings(customer.key_digests)}});
  }
  boost::json::array routes;
  for (const Route& route : configuration.routes) {
    routes.push_back({{"name", route.name},
                      {"service", route.service},
                      {"method", route.method},
                      {"path", route.path},
                      {"class", ToString(route.request_class)},
                      {"open", route.open},
                      {"repeatable", route.repeatable},
                      {"retired", route.retired},
                      {"timeout_ms", ToMilliseconds(route.timeout)},
                      {"customers", WriteStrings(route.customers)}});
  }
  return {{"deployment", configuration.deployment},
          {"version", configuration.version},
          {"retry_ratio", configuration.retry_ratio},
          {"tree_retries", configuration.tree_retries},
          {"repeat_window_ms", ToMilliseconds(configuration.repeat_window)},
          {"data_centres", std::move(data_centres)},
          {"services", std::move(services)},
          {"customers", std::move(customers)},
          {"routes", std::move(routes)}};
}

}  // namespace daisywinch
