#ifndef DAISYWINCH_STATE_SETTINGS_H
#define DAISYWINCH_STATE_SETTINGS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include <boost/json.hpp>

#include "state/clock.h"
#include "state/object_reader.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// An IP address and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const;
  friend bool operator==(const Address&, const Address&) = default;
  friend bool operator<(const Address& left, const Address& right) {
    return std::tie(left.ip, left.port) < std::tie(right.ip, right.port);
  }
};

/// Parses "IP:PORT", with IPv6 addresses in square brackets. Host names and
/// port 0 are rejected.
std::optional<Address> ParseAddress(std::string_view text);

/// Reads a required field with an address.
Address ReadAddress(ObjectReader& reader, std::string_view name);

/// Local settings of one node with the handle interface; those for the mesh
/// interface are MeshSettings.
struct Settings {
  /// Name of the VM as the platform lists it.
  std::string vm;
  std::string data_centre;
  std::string service;
  /// Where callers and the local target send requests.
  Address caller_address;
  /// Where peers send calls.
  Address peer_address;
  /// Where peers send control messages.
  Address control_address;
  /// Where operators read status, explanations and metrics.
  Address operator_address;
  Address target_address;
  Address platform_address;
  /// Secret shared by all nodes of the fleet, in hexadecimal.
  std::string fleet_secret;
  /// Maximum time that a graceful shutdown waits for requests in progress.
  Duration shutdown_timeout = Duration::zero();
  /// Maximum size of a request or response body in bytes.
  std::uint64_t body_limit = 0;
};

/// Reads and validates settings.
///
/// All errors are added to `errors`; returns nothing if there is one.
std::optional<Settings> ReadSettings(const boost::json::value& json,
                                     ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SETTINGS_H
