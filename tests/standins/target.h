#ifndef DAISYWINCH_TESTS_STANDINS_TARGET_H
#define DAISYWINCH_TESTS_STANDINS_TARGET_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"
#include "transport/http_server.h"

namespace daisywinch::test {

/// Capacity and faults of a target.
struct TargetBehaviour {
  /// Concurrent requests that a warm target serves without slowing down.
  int slots = 100;
  Duration service_time = std::chrono::milliseconds(10);
  /// Concurrent requests that a cold target serves without slowing down.
  int cold_slots = 100;
  /// Time from the first request at a cold target until it is warm.
  Duration warm_up = std::chrono::milliseconds(1);
  /// Runs every request and responds with status 500.
  bool fails_requests = false;
  /// Rejects every request with the outcome "not-run".
  bool sheds_requests = false;
  /// Starts requests and never responds to them.
  bool never_responds = false;
  std::size_t response_bytes = 0;
};

/// Stand-in for a target, which can make nested calls through its local node.
///
/// Requests above its capacity slow down all others, as when threads or memory
/// run out. Paths that begin with /test/ are for tests: GET /test/log returns
/// every request that it started, /test/set changes its behaviour.
class Target {
 public:
  Target(asio::io_context& context,
         const Address& address,
         const Address& node_address,
         const TargetBehaviour& behaviour);

  bool Listen();

 private:
  /// A request that the target started.
  struct Run {
    std::string method;
    std::string path;
    boost::json::object headers;
    std::string body;
    bool is_finished = false;
    bool is_cancelled = false;
  };

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);
  Awaitable<HttpResponse> Serve(HttpRequest request,
                                std::shared_ptr<Cancellation> cancellation);
  /// Calls the first path of the request's X-Onward header through the local
  /// node, with the remaining paths in that header.
  Awaitable<HttpResponse> SendNestedCall(const HttpRequest& request);
  Awaitable<bool> Work(std::shared_ptr<Cancellation> cancellation);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  boost::json::object MakeLog() const;
  void SetBehaviour(const std::string& target);
  /// Concurrent requests that the target can serve at this moment.
  int CurrentCapacity() const;

  asio::io_context& context;
  Address address;
  Address node_address;
  TargetBehaviour behaviour;
  HttpServer server;
  std::string instance;
  std::vector<std::shared_ptr<Run>> runs;
  int in_flight = 0;
  int max_in_flight = 0;
  /// Largest excess of the requests in flight over the current capacity.
  int max_over_capacity = 0;
  /// Start of the first request since the target became cold.
  TimePoint warm_up_started_at;
  bool has_run_since_cold = false;
  std::uint64_t response_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_TARGET_H
