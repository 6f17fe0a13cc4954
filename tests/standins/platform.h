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
/// It listens on one address per data centre, so that tests can disable each
/// data centre's access separately. Paths that begin with /test/ are for tests:
/// /test/values/NAME writes a value, /test/mode changes the behaviour of one or
/// all addresses, /test/counters returns the number of reads.
class Platform {
 public:
  Platform(asio::io_context& context, const std::vector<Address>& addresses);

  /// Listens on all addresses. Returns false if one of them is unavailable.
  bool Listen();

 private:
  struct Value {
    std::uint64_t revision = 0;
    std::string text;
  };
  using Values = std::map<std::string, Value>;

  /// Faults of the platform on one address.
  struct Behaviour {
    bool is_down = false;
    /// Reads get `stale_values`, the values at the time when this was set.
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
