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
  struct Behaviour {
    bool is_down = false;
    bool is_stale = false;
    Duration delay = Duration::zero();
    Values stale_values;
  };

  struct Endpoint {
    Address address;
    Behaviour behaviour;
    std::uint64_t read_count = 0;
    std::unique_ptr<HttpServer> server;
  };

  Awaitable<HttpResponse> Handle(Endpoint& endpoint, HttpRequest request);
  Awaitable<HttpResponse> Read(Endpoint& endpoint, std::string target);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  HttpResponse SetBehaviour(const std::string& target);
  HttpResponse SetValue(const std::string& name, const std::string& text);
  Awaitable<> Wait(Duration time);
  const Value* FindValue(const Endpoint& endpoint,
                         const std::string& name) const;

  asio::io_context& context;
  std::list<Endpoint> endpoints;
  Values values;
  std::list<std::weak_ptr<Timer>> watch_timers;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_PLATFORM_H
