#include "daisywinch/operator_client.h"

#include "transport/http_fetch.h"

namespace daisywinch {

OperatorClient::OperatorClient(const Address& address) : address(address) {}

std::optional<std::string> OperatorClient::Get(const std::string& target) {
  ErrorCode error;
  const std::optional<HttpResponse> response =
      FetchBlocking(this->address, HttpRequest(http::verb::get, target, 11),
                    FetchLimits(), error);
  if (!response) {
    this->last_error = "no response: " + error.message();
    return std::nullopt;
  }
  if (response->result() != http::status::ok) {
    this->last_error =
        "responded with status " + std::to_string(response->result_int());
    return std::nullopt;
  }
  return response->body();
}

}  // namespace daisywinch
