#include "state/mesh_configuration.h"

#include <algorithm>
#include <utility>

#include "state/key_digest.h"

namespace daisywinch {

MeshConfiguration::MeshConfiguration(std::uint64_t version,
                                     std::vector<MeshRoute> routes,
                                     std::vector<MeshService> services,
                                     std::vector<MeshCustomer> customers,
                                     CallerLimits limits)
    : version(version),
      routes(std::move(routes)),
      services(std::move(services)),
      customers(std::move(customers)),
      limits(limits) {
  for (std::size_t index = 0; index < this->routes.size(); ++index) {
    const MeshRoute& route = this->routes[index];
    HostRoutes& host = this->routes_by_host[route.host];
    host.by_prefix.try_emplace(route.prefix, index);
    host.longest_prefix = std::max(host.longest_prefix, route.prefix.size());
    this->routes_by_name[this->routes[index].name] = index;
  }
  for (std::size_t index = 0; index < this->services.size(); ++index) {
    this->services_by_name[this->services[index].name] = index;
  }
  for (std::size_t index = 0; index < this->customers.size(); ++index) {
    for (const std::string& digest : this->customers[index].key_digests) {
      this->customers_by_digest[digest] = index;
    }
  }
}

const MeshRoute* MeshConfiguration::FindRoute(std::string_view host,
                                              std::string_view target) const {
  const auto found = this->routes_by_host.find(std::string(host));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  const HostRoutes& host_routes = found->second;
  const std::string_view path =
      target.substr(0, std::min(target.find('?'), host_routes.longest_prefix));
  // Prefixes end with a slash.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto route =
        host_routes.by_prefix.find(std::string(path.substr(0, end + 1)));
    if (route != host_routes.by_prefix.end()) {
      return &this->routes[route->second];
    }
    if (end == 0) {
      break;
    }
  }
  return nullptr;
}

const MeshRoute* MeshConfiguration::FindRouteByName(
    std::string_view name) const {
  const auto found = this->routes_by_name.find(std::string(name));
  return found == this->routes_by_name.end() ? nullptr
                                             : &this->routes[found->second];
}

const MeshService* MeshConfiguration::FindService(std::string_view name) const {
  const auto found = this->services_by_name.find(std::string(name));
  return found == this->services_by_name.end() ? nullptr
                                               : &this->services[found->second];
}

const MeshCustomer* MeshConfiguration::FindCustomer(
    std::string_view key) const {
  const auto found = this->customers_by_digest.find(Sha256Hex(key));
  return found == this->customers_by_digest.end()
             ? nullptr
             : &this->customers[found->second];
}

}  // namespace daisywinch
