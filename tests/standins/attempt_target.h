#ifndef DAISYWINCH_TESTS_STANDINS_ATTEMPT_TARGET_H
#define DAISYWINCH_TESTS_STANDINS_ATTEMPT_TARGET_H

#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"
#include "transport/http_server.h"

namespace daisywinch::test {

/// Stand-in for a target of the users' platform, which names each request by
/// the caller's attempt.
///
/// PUT /test/behaviour?NAME=VALUE changes it, GET /test/log tells what it ran.
class AttemptTarget {
 public:
  AttemptTarget(asio::io_context& context,
                const Address& address,
                const Address& node_address,
                std::string id);

  bool Listen();

 private:
  /// One request that the target began to run.
  struct Run {
    std::string path;
    boost::json::object headers;
    std::string body;
    TimePoint started_at;
    bool is_cancelled = false;
  };

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);
  Awaitable<HttpResponse> Serve(HttpRequest request,
                                std::shared_ptr<Cancellation> cancellation);
  /// Calls the path in the request's X-Onward header through the own node.
  Awaitable<bool> SendNestedCall(const HttpRequest& request);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  HttpResponse MakeResponse(const HttpRequest& request, http::status status);

  asio::io_context& context;
  Address address;
  Address node_address;
  std::string id;
  HttpServer server;
  std::vector<std::shared_ptr<Run>> runs;
  Duration service_time = std::chrono::milliseconds(5);
  Duration remaining_cold_time = Duration::zero();
  /// Rejects every request before it runs.
  bool sheds_requests = false;
  /// Answers with the name of another attempt.
  bool returns_wrong_attempt_id = false;
  /// Answers success without a signature.
  bool omits_signature = false;
  /// Runs requests and never answers them.
  bool never_responds = false;
  bool fails_requests = false;
  int nested_call_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_ATTEMPT_TARGET_H
