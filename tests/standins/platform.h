#ifndef DAISYWINCH_TESTS_STANDINS_PLATFORM_H
#define DAISYWINCH_TESTS_STANDINS_PLATFORM_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"
#include "transport/http_server.h"

namespace daisywinch::test {

/// Stand-in for the platform: versioned values that can be read and watched.
///
/// It listens on several addresses, one for each data centre, so that each
/// can be cut off by itself. Paths that begin with /test/ belong to the test.
class Platform {
 public:
  Platform(asio::io_context& context, const std::vector<Address>& addresses);

  /// Listens on all addresses; false if one cannot be used.
  bool Listen();

 private:
  struct Value {
    std::uint64_t revision = 0;
    std::string text;
  };
  using Values = std::map<std::string, Value>;

  /// How the platform misbehaves on one address.
  struct Mode {
    bool down = false;
    bool stale = false;
    Duration delay = Duration::zero();
    Values frozen;
  };

  struct Port {
    Address address;
    Mode mode;
    std::uint64_t reads = 0;
    std::unique_ptr<HttpServer> server;
  };

  Awaitable<HttpResponse> Handle(Port& port, HttpRequest request);
  Awaitable<HttpResponse> Read(Port& port, std::string target);
  HttpResponse Test(const HttpRequest& request);
  HttpResponse SetMode(const std::string& target);
  HttpResponse SetValue(const std::string& name, const std::string& text);
  Awaitable<> Sleep(Duration time);
  const Value* Find(const Port& port, const std::string& name) const;

  asio::io_context& context;
  std::list<Port> ports;
  Values values;
  std::list<std::weak_ptr<Timer>> watches;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_PLATFORM_H
