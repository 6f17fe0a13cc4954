#ifndef DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H
#define DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/asio.h"

namespace daisywinch {

/// A value of the platform's configuration service with its revision.
struct PlatformValue {
  std::uint64_t revision = 0;
  std::string text;
};

/// Reads and watches values of the platform; never writes.
class PlatformClient {
 public:
  PlatformClient(asio::io_context& context, const Address& address);

  /// Reads a value.
  ///
  /// With a `wait` of more than zero the platform holds the answer back until
  /// the value's revision is above `after` or the wait is over (a watch).
  /// Nothing is returned when the value is not newer than `after`, is not
  /// there, or the platform does not answer; LastError() tells which.
  Awaitable<std::optional<PlatformValue>> Read(std::string name,
                                               std::uint64_t after,
                                               Duration wait);

  /// Why the last read returned nothing; empty if nothing was newer.
  const std::string& LastError() const { return this->last_error; }

  /// Reads sent so far, a watch counting as one.
  std::uint64_t ReadCount() const { return this->read_count; }

 private:
  asio::io_context& context;
  Address address;
  std::string last_error;
  std::uint64_t read_count = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_PLATFORM_CLIENT_H
