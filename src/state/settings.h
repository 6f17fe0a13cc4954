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

/// An IP number and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const;
  friend bool operator==(const Address&, const Address&) = default;
  friend bool operator<(const Address& left, const Address& right) {
    return std::tie(left.ip, left.port) < std::tie(right.ip, right.port);
  }
};

/// Parses "IP:PORT", with an IPv6 number in square brackets.
std::optional<Address> ParseAddress(std::string_view text);

/// Reads a field that holds an address.
Address ReadAddress(ObjectReader& reader, std::string_view name);

/// What one node is told by the VM it runs on.
struct Settings {
  /// Name of the VM as the platform lists it.
  std::string vm;
  std::string data_centre;
  std::string service;
  /// Where callers and the target beside the node send requests.
  Address caller_address;
  /// Where other nodes send calls.
  Address peer_address;
  /// Where other nodes send control messages.
  Address control_address;
  /// Where operators read status, explanations and metrics.
  Address operator_address;
  Address target_address;
  Address platform_address;
  /// Secret shared by all nodes of the fleet, in hexadecimal.
  std::string fleet_secret;
  /// Longest time that a graceful shutdown waits for requests in progress.
  Duration shutdown_timeout = Duration::zero();
  /// Largest request or answer body in bytes.
  std::uint64_t body_limit = 0;
};

/// Reads and validates settings; records every fault.
std::optional<Settings> ReadSettings(const boost::json::value& json,
                                     ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SETTINGS_H
