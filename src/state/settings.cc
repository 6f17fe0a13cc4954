#include "state/settings.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace daisywinch {

namespace {

constexpr std::size_t kMinSecretDigits = 32;
constexpr NumberRange kShutdownSecondsRange = {0, 3600};
constexpr std::int64_t kDefaultShutdownSeconds = 30;
constexpr NumberRange kBodyLimitRange = {1024, 64.0 * 1024 * 1024};
constexpr std::int64_t kDefaultBodyLimit = 4 * 1024 * 1024;

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isxdigit(character) != 0;
  });
}

}  // namespace

std::string Address::ToString() const {
  const bool is_v6 = this->ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + this->ip + "]" : this->ip) + ":" +
         std::to_string(this->port);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  Address address;
  const auto [end, port_error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), address.port);
  if (port_error != std::errc() || end != port_text.data() + port_text.size() ||
      address.port == 0) {
    return std::nullopt;
  }
  address.ip = std::string(ip);
  boost::system::error_code ip_error;
  boost::asio::ip::make_address(address.ip, ip_error);
  if (ip_error) {
    return std::nullopt;
  }
  return address;
}

Address ReadAddress(ObjectReader& reader, std::string_view name) {
  const std::string text = reader.String(name);
  const std::optional<Address> address = ParseAddress(text);
  if (!address && !text.empty()) {
    reader.AddError(name, "is not an address",
                    "write an IP address and a port, such as 10.0.0.7:8080");
  }
  return address.value_or(Address());
}

std::optional<Settings> ReadSettings(const boost::json::value& json,
                                     ValidationErrorList& errors) {
  Settings settings;
  ObjectReader reader(json, "", errors);
  settings.vm = reader.String("vm");
  settings.data_centre = reader.String("data_centre");
  settings.service = reader.String("service");
  settings.caller_address = ReadAddress(reader, "caller_address");
  settings.peer_address = ReadAddress(reader, "peer_address");
  settings.control_address = ReadAddress(reader, "control_address");
  settings.operator_address = ReadAddress(reader, "operator_address");
  settings.target_address = ReadAddress(reader, "target_address");
  settings.platform_address = ReadAddress(reader, "platform_address");
  settings.fleet_secret = reader.String("fleet_secret");
  if (settings.fleet_secret.size() < kMinSecretDigits ||
      !IsHexadecimal(settings.fleet_secret)) {
    reader.AddError("fleet_secret", "is not a secret of 16 bytes or more",
                    "write at least 32 hexadecimal digits, the same on every "
                    "node");
  }
  settings.shutdown_timeout = std::chrono::seconds(reader.Integer(
      "shutdown_seconds", kShutdownSecondsRange, kDefaultShutdownSeconds));
  settings.body_limit =
      reader.Integer("body_limit_bytes", kBodyLimitRange, kDefaultBodyLimit);
  reader.ReportUnknownFields();
  if (!errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace daisywinch
