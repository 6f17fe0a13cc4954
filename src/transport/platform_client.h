#ifndef DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H
#define DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/asio.h"

namespace daisywinch {

/// A value of the platform's configuration service and its revision.
struct PlatformValue {
  std::uint64_t revision = 0;
  std::string text;
};

/// Reads and watches values of the platform's configuration service.
class PlatformClient {
 public:
  PlatformClient(asio::io_context& context, const Address& address);

  /// Sets where reads are sent from the next one on.
  void SetAddress(const Address& new_address) { this->address = new_address; }

  /// Reads a value.
  ///
  /// If `wait` is above zero, this is a long poll (a watch): the platform
  /// delays its response until the value's revision is above `after` or the
  /// wait is over. Returns nothing if the value is not newer than `after`, does
  /// not exist, or the platform does not respond; LastError() tells which.
  Awaitable<std::optional<PlatformValue>> Read(std::string name,
                                               std::uint64_t after,
                                               Duration wait);

  /// Why the last read failed; empty if it succeeded or the value was not newer
  /// than requested.
  const std::string& LastError() const { return this->last_error; }

  /// Number of requests sent so far; a watch counts as one.
  std::uint64_t ReadCount() const { return this->read_count; }

 private:
  asio::io_context& context;
  Address address;
  std::string last_error;
  std::uint64_t read_count = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H
