#include "support/outage_server.h"

#include <utility>

namespace daisywinch::test {

OutageServer::OutageServer(asio::io_context& context,
                           const Address& address,
                           Handler handler)
    : context(context),
      address(address),
      handler(std::move(handler)),
      server(context,
             HttpLimits(),
             [this](HttpRequest request, std::shared_ptr<Cancellation>) {
               return this->Answer(std::move(request));
             }) {}

Awaitable<HttpResponse> OutageServer::Answer(HttpRequest request) {
  bool is_lost = this->is_silent;
  HttpResponse response = co_await this->handler(std::string(request.target()));
  is_lost = is_lost || this->is_silent;
  if (is_lost) {
    co_await Sleep(this->context, std::chrono::hours(1));
  }
  co_return response;
}

Awaitable<> Sleep(asio::io_context& context, Duration time) {
  Timer timer(context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

}  // namespace daisywinch::test
