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
#include "transport/target_client.h"

namespace daisywinch::test {

/// Stand-in for a target of the users' platform, which identifies each request
/// by the caller's attempt id.
///
/// Its process ends when it runs a request whose path contains "/fatal".
///
/// PUT /test/behaviour?NAME=VALUE changes its behaviour; parameters that are
/// not named are reset to their defaults. GET /test/log returns the requests
/// that it started.
class AttemptTarget {
 public:
  AttemptTarget(asio::io_context& context,
                const Address& address,
                const Address& node_address,
                std::string id);

  bool Listen();

 private:
  /// A request that the target started.
  struct Run {
    std::string path;
    boost::json::object headers;
    std::string body;
    TimePoint started_at;
    /// The start of the clock until the target has ended its work.
    TimePoint ended_at;
    bool is_cancelled = false;
  };

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);
  Awaitable<HttpResponse> Serve(HttpRequest request,
                                std::shared_ptr<Cancellation> cancellation);
  /// Calls the path in the request's X-Onward header through the local node,
  /// with the host in its X-Onward-Host header, until the request is cancelled.
  /// Returns whether the response was 200.
  Awaitable<bool> SendNestedCall(const HttpRequest& request,
                                 std::shared_ptr<Cancellation> cancellation);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  HttpResponse MakeResponse(const HttpRequest& request, http::status status);
  /// Adds what the target states about itself in all its responses.
  void AddNotice(HttpResponse& response) const;

  asio::io_context& context;
  Address address;
  Address node_address;
  std::string id;
  TargetClient nested_client;
  HttpServer server;
  std::vector<std::shared_ptr<Run>> runs;
  Duration service_time = std::chrono::milliseconds(5);
  Duration remaining_cold_time = Duration::zero();
  /// Rejects every request with 503 without running it.
  bool sheds_requests = false;
  /// Responds with an attempt id other than that of the request.
  bool returns_wrong_attempt_id = false;
  /// Responds without an attempt id.
  bool omits_attempt_id = false;
  /// Responds without a signature.
  bool omits_signature = false;
  /// Starts requests and does not respond to them for 60 seconds.
  bool never_responds = false;
  bool fails_requests = false;
  /// Value of Server-Limit in all responses; empty for none.
  std::string max_rate;
  /// States in all responses that it leaves.
  bool is_leaving = false;
  /// Leaves what it states out of its responses to health checks.
  bool omits_notice_in_health = false;
  int nested_call_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_ATTEMPT_TARGET_H
