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

/// What a target bears and how it misbehaves.
struct TargetBehaviour {
  int slots = 100;
  Duration service_time = std::chrono::milliseconds(10);
  int cold_slots = 100;
  /// Time under load from cold to warm.
  Duration warm_up = std::chrono::milliseconds(1);
  /// Answers 500 to every request after running it.
  bool fails_requests = false;
  /// Answers "not run" to every request.
  bool sheds_requests = false;
  /// Never answers.
  bool never_responds = false;
  std::size_t response_bytes = 0;
};

/// Stand-in for a back end of the call graph.
///
/// Requests over what it bears slow all others down, as threads and memory
/// run out; the log tells every request that it began to run.
class Target {
 public:
  Target(asio::io_context& context,
         const Address& address,
         const Address& node_address,
         const TargetBehaviour& behaviour);

  bool Listen();

 private:
  /// One request that the target began to run.
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
  /// Calls the next path of the request's chain through the own node.
  Awaitable<HttpResponse> SendNestedCall(const HttpRequest& request);
  Awaitable<bool> Work(std::shared_ptr<Cancellation> cancellation);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  boost::json::object MakeLog() const;
  void SetBehaviour(const std::string& target);
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
  /// Most requests in flight over what was borne at that moment.
  int max_over_capacity = 0;
  /// Time spent under load since the target turned cold.
  TimePoint warm_up_started_at;
  bool has_run_since_cold = false;
  std::uint64_t response_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_TARGET_H
