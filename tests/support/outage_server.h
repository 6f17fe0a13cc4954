#ifndef DAISYWINCH_TESTS_SUPPORT_OUTAGE_SERVER_H
#define DAISYWINCH_TESTS_SUPPORT_OUTAGE_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include "state/settings.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"
#include "transport/http_server.h"

namespace daisywinch::test {

/// HTTP server that gives no response during an outage, neither to requests
/// that arrive then nor to those that would be answered then.
class OutageServer {
 public:
  /// Produces the response to a request with the given target.
  using Handler = std::function<Awaitable<HttpResponse>(std::string target)>;

  OutageServer(asio::io_context& context,
               const Address& address,
               Handler handler);

  /// Returns false if the address is unavailable.
  bool Listen() { return !this->server.Listen(this->address); }
  void SetOutage(bool is_out) { this->is_silent = is_out; }

 private:
  Awaitable<HttpResponse> Answer(HttpRequest request);

  asio::io_context& context;
  Address address;
  Handler handler;
  HttpServer server;
  bool is_silent = false;
};

/// Lets a coroutine wait.
Awaitable<> Sleep(asio::io_context& context, Duration time);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_OUTAGE_SERVER_H
