#ifndef DAISYWINCH_TESTS_SUPPORT_KEEP_ALIVE_CALLER_H
#define DAISYWINCH_TESTS_SUPPORT_KEEP_ALIVE_CALLER_H

#include <string>

#include <boost/beast/core/flat_buffer.hpp>

#include "support/http_caller.h"
#include "transport/asio.h"

namespace daisywinch::test {

/// A caller's attempt and its result.
struct Attempt {
  std::string id;
  bool is_booking = false;
  /// 0 if there was no response.
  unsigned status = 0;
  bool has_own_response = true;
  /// Whether the whole request was written.
  bool was_sent = false;
  /// Time at which the request was written.
  TimePoint sent_at;
  /// Time from the end of the request to the response or to the end of the
  /// connection.
  Duration waited = Duration::zero();
};

/// A caller that reuses one connection for its requests until it fails or the
/// node closes it. The requests are to the routes of MeshFleet.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(const Address& address,
                           Duration timeout = std::chrono::seconds(3))
      : address(address), timeout(timeout) {}

  Attempt Send(const std::string& id, bool is_booking);
  /// Sends a call of any other kind.
  Attempt Send(const std::string& id, const Call& call);

 private:
  Awaitable<> Exchange(Call call, Attempt& attempt);

  Address address;
  Duration timeout;
  asio::io_context context{1};
  Tcp::socket socket{this->context};
  boost::beast::flat_buffer buffer;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_KEEP_ALIVE_CALLER_H
