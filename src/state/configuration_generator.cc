#include "state/configuration_generator.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "state/object_reader.h"

namespace daisywinch {

namespace {

constexpr NumberRange kCountRange = {1, 1e5};
constexpr NumberRange kRateRange = {0, 1e7};
constexpr NumberRange kSecondsRange = {0.001, 3600};
constexpr NumberRange kMillisecondsRange = {1, 3.6e6};
constexpr NumberRange kVersionRange = {1, 9e15};
constexpr double kRetryRatio = 0.1;
constexpr int kTreeRetries = 2;
constexpr std::chrono::milliseconds kDefaultTimeout{2000};
constexpr double kDefaultRepeatWindowSeconds = 20;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

/// A service and the number of its servers by data centre.
struct ServiceAnswer {
  Service service;
  std::map<std::string, int> servers;
};

ServiceAnswer ReadServiceAnswer(ObjectReader& reader) {
  ServiceAnswer answer;
  answer.service.name = reader.String("name");
  for (ObjectReader& item : reader.Objects("servers")) {
    const std::string data_centre = item.String("data_centre");
    answer.servers[data_centre] +=
        static_cast<int>(item.Integer("count", kCountRange));
    item.ReportUnknownFields();
  }
  answer.service.slots =
      static_cast<int>(reader.Integer("slots_per_server", kCountRange));
  answer.service.connections =
      static_cast<int>(reader.Integer("connections_per_server", kCountRange));
  answer.service.cold_slots =
      static_cast<int>(reader.Integer("slots_when_cold", kCountRange));
  answer.service.warm_up =
      FromSeconds(reader.Number("warm_up_seconds", kSecondsRange));
  reader.ReportUnknownFields();
  return answer;
}

Customer ReadCustomerAnswer(ObjectReader& reader) {
  Customer customer;
  customer.name = reader.String("name");
  customer.rate = reader.Number("calls_per_second", kRateRange);
  customer.burst = reader.Number("burst_calls", kRateRange);
  customer.key_digests = reader.Strings("key_digests");
  reader.ReportUnknownFields();
  return customer;
}

Route ReadRouteAnswer(ObjectReader& reader) {
  Route route;
  route.name = reader.String("name");
  route.service = reader.String("service");
  route.method = reader.String("method");
  route.path = reader.String("path");
  route.open = reader.Boolean("open_to_all", false);
  route.repeatable = reader.Boolean("may_be_repeated", false);
  route.retired = reader.Boolean("retired", false);
  route.timeout = std::chrono::milliseconds(reader.Integer(
      "answer_within_ms", kMillisecondsRange, kDefaultTimeout.count()));
  route.customers = reader.Strings("customers");
  reader.ReportUnknownFields();
  return route;
}

void AssignClass(const std::vector<std::string>& names,
                 RequestClass request_class,
                 std::string_view pointer,
                 std::vector<Route>& routes,
                 ValidationErrorList& errors) {
  for (std::size_t index = 0; index < names.size(); ++index) {
    const auto route = std::find_if(
        routes.begin(), routes.end(),
        [&](const Route& candidate) { return candidate.name == names[index]; });
    const std::string location =
        std::string(pointer) + "/" + std::to_string(index);
    if (route == routes.end()) {
      errors.Add(location, "names the unknown route \"" + names[index] + "\"",
                 "add the route or correct the name");
      continue;
    }
    if (route->request_class != RequestClass::kNormal) {
      errors.Add(location, "puts \"" + names[index] + "\" into two classes",
                 "name the route in one list only");
    }
    route->request_class = request_class;
  }
}

/// Sets the share of each data centre in proportion to the slots of its
/// servers.
void AssignShares(const std::vector<ServiceAnswer>& services,
                  std::vector<DataCentre>& data_centres,
                  ValidationErrorList& errors) {
  std::map<std::string, double> slots;
  double total = 0;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const ServiceAnswer& answer = services[index];
    for (const auto& [data_centre, count] : answer.servers) {
      const double added = static_cast<double>(count) * answer.service.slots;
      slots[data_centre] += added;
      total += added;
      const bool known =
          std::any_of(data_centres.begin(), data_centres.end(),
                      [name = data_centre](const DataCentre& candidate) {
                        return candidate.name == name;
                      });
      if (!known) {
        errors.Add("/services/" + std::to_string(index) + "/servers",
                   "names the unknown data centre \"" + data_centre + "\"",
                   "add the data centre or correct the name");
      }
    }
  }
  for (DataCentre& data_centre : data_centres) {
    data_centre.share = total > 0 ? slots[data_centre.name] / total : 0;
  }
}

}  // namespace

std::optional<Configuration> GenerateConfiguration(
    const boost::json::value& answers,
    ValidationErrorList& errors) {
  Configuration configuration;
  ObjectReader reader(answers, "", errors);
  configuration.deployment = reader.String("deployment");
  configuration.version = reader.Integer("version", kVersionRange);
  configuration.retry_ratio = kRetryRatio;
  configuration.tree_retries = kTreeRetries;
  configuration.repeat_window = FromSeconds(reader.Number(
      "repeat_window_seconds", kSecondsRange, kDefaultRepeatWindowSeconds));
  for (ObjectReader& item : reader.Objects("data_centres")) {
    DataCentre data_centre;
    data_centre.name = item.String("name");
    data_centre.region = item.String("region");
    data_centre.in_service = !item.Boolean("taken_out", false);
    item.ReportUnknownFields();
    configuration.data_centres.push_back(data_centre);
  }
  std::vector<ServiceAnswer> services;
  for (ObjectReader& item : reader.Objects("services")) {
    services.push_back(ReadServiceAnswer(item));
    configuration.services.push_back(services.back().service);
  }
  for (ObjectReader& item : reader.Objects("customers")) {
    configuration.customers.push_back(ReadCustomerAnswer(item));
  }
  for (ObjectReader& item : reader.Objects("routes")) {
    configuration.routes.push_back(ReadRouteAnswer(item));
  }
  AssignClass(reader.Strings("most_important"), RequestClass::kImportant,
              "/most_important", configuration.routes, errors);
  AssignClass(reader.Strings("least_important"), RequestClass::kBackground,
              "/least_important", configuration.routes, errors);
  AssignShares(services, configuration.data_centres, errors);
  reader.ReportUnknownFields();
  if (!errors.empty()) {
    return std::nullopt;
  }
  // Validates the result by the rules that nodes apply to a configuration, so
  // that nodes accept every generated configuration.
  return ReadConfiguration(WriteConfiguration(configuration), errors);
}

}  // namespace daisywinch
