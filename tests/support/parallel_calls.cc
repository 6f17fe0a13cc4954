#include "support/parallel_calls.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace daisywinch::test {

std::vector<HttpResponse> SendAll(const std::vector<AddressedCall>& calls,
                                  Duration timeout) {
  asio::io_context context(1);
  std::vector<HttpResponse> responses(calls.size());
  std::vector<ErrorCode> errors(calls.size());
  FetchLimits limits;
  limits.timeout = timeout;
  for (std::size_t index = 0; index < calls.size(); ++index) {
    responses[index].result(0);
    asio::co_spawn(context,
                   Fetch(context, calls[index].address,
                         MakeRequest(calls[index].call), limits, errors[index]),
                   [&responses, index](std::exception_ptr,
                                       std::optional<HttpResponse> response) {
                     if (response) {
                       responses[index] = std::move(*response);
                     }
                   });
  }
  context.run();
  return responses;
}

}  // namespace daisywinch::test
