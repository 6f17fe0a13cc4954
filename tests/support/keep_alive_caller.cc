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
  Attempt attempt;
  attempt.id = id;
  attempt.is_booking = is_booking;
  bool is_done = false;
  asio::co_spawn(
      this->context, this->Exchange(id, attempt),
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

Awaitable<> KeepAliveCaller::Exchange(const std::string& id, Attempt& attempt) {
  ErrorCode error;
  if (!this->socket.is_open()) {
    this->buffer.clear();
    co_await this->socket.async_connect(ToEndpoint(this->address),
                                        Await(error));
  }
  Call call;
  call.method = attempt.is_booking ? "POST" : "GET";
  call.path = (attempt.is_booking ? "/book/" : "/look/") + id;
  call.key = MeshFleet::kSchoolKey;
  const HttpRequest request =
      MakeRequest(AddAttemptHeaders(call, id, kAttemptTimeout));
  if (!error) {
    co_await http::async_write(this->socket, request, Await(error));
    attempt.was_sent = !error;
  }
  const TimePoint sent_at = BootTime::now();
  HttpResponse response;
  if (!error) {
    co_await http::async_read(this->socket, this->buffer, response,
                              Await(error));
    attempt.waited = BootTime::now() - sent_at;
  }
  if (!error) {
    attempt.status = response.result_int();
  }
  if (attempt.status == 200) {
    attempt.has_own_response = response.body() == "ran " + call.path &&
                               response["X-Daisywinch-Attempt-Id"] == id;
  }
  if (error || !response.keep_alive()) {
    this->socket.close(error);
  }
}

}  // namespace daisywinch::test
