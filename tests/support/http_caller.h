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

/// A request as a test writes it.
struct Call {
  std::string method = "GET";
  std::string path = "/";
  std::string key;
  std::string idempotency_key;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

HttpRequest MakeRequest(const Call& call);

/// Sends a request and waits for the whole answer; an empty answer with
/// status 0 stands for none.
HttpResponse Send(const Address& address,
                  const Call& call,
                  Duration timeout = std::chrono::seconds(10));

/// Sends raw bytes and returns all that comes back until the other side
/// closes or the timeout passes.
std::string SendRaw(const Address& address,
                    const std::string& bytes,
                    Duration timeout);

/// Reads the JSON document at a path.
boost::json::value GetJson(const Address& address, const std::string& path);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_HTTP_CALLER_H
