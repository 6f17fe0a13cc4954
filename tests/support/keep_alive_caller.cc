#include "support/keep_alive_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "support/mesh_fleet.h"

namespace daisywinch::test {

namespace {

/// Timeout that the caller states in its requests.
constexpr std::chrono::milliseconds kAttemptTimeout{2500};

}  // namespace

Attempt KeepAliveCaller::Send(const std::string& id, bool is_booking) {
  Call call;
  call.method = is_booking ? "POST" : "GET";
  call.path = (is_booking ? "/book/" : "/look/") + id;
  call.key = MeshFleet::kSchoolKey;
  Attempt attempt = this->Send(id, call);
  attempt.is_booking = is_booking;
  return attempt;
}

Attempt KeepAliveCaller::Send(const std::string& id, const Call& call) {
  Attempt attempt;
  attempt.id = id;
  bool is_done = false;
  asio::co_spawn(
      this->context, this->Exchange(call, attempt),
      [&is_done](const std::exception_ptr& /*error*/) { is_done = true; });
  this->context.restart();
  this->context.run_for(this->timeout);
  if (!is_done) {
    ErrorCode ignored;
    this->socket.close(ignored);
    this->context.run();
  }
  return attempt;
}

Awaitable<> KeepAliveCaller::Exchange(Call call, Attempt& attempt) {
  ErrorCode error;
  if (!this->socket.is_open()) {
    this->buffer.clear();
    co_await this->socket.async_connect(ToEndpoint(this->address),
                                        Await(error));
  }
  const HttpRequest request =
      MakeRequest(AddAttemptHeaders(call, attempt.id, kAttemptTimeout));
  if (!error) {
    co_await http::async_write(this->socket, request, Await(error));
    attempt.was_sent = !error;
  }
  attempt.sent_at = BootTime::now();
  HttpResponse response;
  if (!error) {
    co_await http::async_read(this->socket, this->buffer, response,
                              Await(error));
    attempt.waited = BootTime::now() - attempt.sent_at;
  }
  if (!error) {
    attempt.status = response.result_int();
  }
  if (attempt.status == 200) {
    attempt.has_own_response =
        response.body() == "ran " + call.path &&
        response["X-Daisywinch-Attempt-Id"] == attempt.id;
  }
  if (error || !response.keep_alive()) {
    this->socket.close(error);
  }
}

}  // namespace daisywinch::test
