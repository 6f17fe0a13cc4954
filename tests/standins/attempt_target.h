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
    TimePoint at;
    bool cancelled = false;
  };

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);
  Awaitable<HttpResponse> Serve(HttpRequest request,
                                std::shared_ptr<Cancellation> cancellation);
  /// Calls the path in the request's X-Onward header through the own node.
  Awaitable<bool> CallOnward(const HttpRequest& request);
  HttpResponse Test(const HttpRequest& request);
  HttpResponse MakeAnswer(const HttpRequest& request, http::status status);

  asio::io_context& context;
  Address address;
  Address node_address;
  std::string id;
  HttpServer server;
  std::vector<std::shared_ptr<Run>> runs;
  Duration service_time = std::chrono::milliseconds(5);
  Duration cold_left = Duration::zero();
  /// Rejects every request before it runs.
  bool sheds = false;
  /// Answers with the name of another attempt.
  bool garbles = false;
  /// Answers success without a signature.
  bool is_unsigned = false;
  /// Runs requests and never answers them.
  bool hangs = false;
  bool fails = false;
  int onward_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_ATTEMPT_TARGET_H
