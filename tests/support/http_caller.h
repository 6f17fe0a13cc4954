#ifndef DAISYWINCH_TESTS_SUPPORT_HTTP_CALLER_H
#define DAISYWINCH_TESTS_SUPPORT_HTTP_CALLER_H

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/settings.h"
#include "transport/http.h"
#include "transport/http_fetch.h"

namespace daisywinch::test {

/// A request of a test.
struct Call {
  std::string method = "GET";
  std::string path = "/";
  std::string key;
  std::string idempotency_key;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

HttpRequest MakeRequest(const Call& call);

/// Sends a request and waits for the complete response. Returns an empty
/// response with status 0 if there is none.
HttpResponse Send(const Address& address,
                  const Call& call,
                  Duration timeout = std::chrono::seconds(10));

/// Sends raw bytes and returns everything received until the peer closes the
/// connection or the timeout passes.
std::string SendRaw(const Address& address,
                    const std::string& bytes,
                    Duration timeout);

/// Requests a path and parses the JSON response. Returns null if there is none
/// or it is not valid JSON.
boost::json::value GetJson(const Address& address, const std::string& path);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_HTTP_CALLER_H
