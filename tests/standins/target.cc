#include "standins/target.h"

#include <algorithm>
#include <utility>

#include "standins/query.h"
#include "state/key_digest.h"
#include "transport/http_fetch.h"

namespace daisywinch::test {

namespace {

constexpr char kOnwardHeader[] = "X-Onward";
constexpr char kInstanceHeader[] = "Server-Instance";
constexpr int kInstanceBytes = 4;

std::string FirstOf(const std::string& list) {
  return list.substr(0, list.find(','));
}

std::string RestOf(const std::string& list) {
  const std::size_t comma = list.find(',');
  return comma == std::string::npos ? "" : list.substr(comma + 1);
}

}  // namespace

Target::Target(asio::io_context& context,
               const Address& address,
               const Address& node_address,
               const TargetBehaviour& behaviour)
    : context(context),
      address(address),
      node_address(node_address),
      behaviour(behaviour),
      server(context,
             HttpLimits(),
             [this](HttpRequest request,
                    std::shared_ptr<Cancellation> cancellation) {
               return this->Handle(std::move(request), std::move(cancellation));
             }),
      instance(RandomHex(kInstanceBytes)) {}

bool Target::Listen() {
  return !this->server.Listen(this->address);
}

Awaitable<HttpResponse> Target::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  if (request.target().starts_with("/test/")) {
    co_return this->Test(request);
  }
  HttpResponse response =
      co_await this->Serve(std::move(request), std::move(cancellation));
  response.set(kInstanceHeader, this->instance);
  response.prepare_payload();
  co_return response;
}

Awaitable<HttpResponse> Target::Serve(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  if (this->behaviour.shed) {
    HttpResponse response(http::status::service_unavailable, 11);
    response.set(kOutcomeHeader, "not-run");
    co_return response;
  }
  const std::shared_ptr<Run> run = std::make_shared<Run>();
  run->method = std::string(request.method_string());
  run->path = std::string(request.target());
  for (const http::fields::value_type& field : request) {
    run->headers[field.name_string()] = field.value();
  }
  run->body = request.body();
  this->runs.push_back(run);
  ++this->in_flight;
  this->most_in_flight = std::max(this->most_in_flight, this->in_flight);
  this->worst_excess =
      std::max(this->worst_excess, this->in_flight - this->Bears());
  const bool worked = co_await this->Work(cancellation);
  HttpResponse response(this->behaviour.fail
                            ? http::status::internal_server_error
                            : http::status::ok,
                        11);
  if (worked && !std::string(request[kOnwardHeader]).empty()) {
    response = co_await this->CallOnward(request);
  }
  --this->in_flight;
  run->finished = worked && !cancellation->IsCancelled();
  run->cancelled = cancellation->IsCancelled();
  ++this->answered;
  if (response.body().empty()) {
    response.body() = "ran " + run->method + " " + run->path + "\n" +
                      run->body +
                      std::string(this->behaviour.answer_bytes, 'x');
  }
  co_return response;
}

Awaitable<HttpResponse> Target::CallOnward(const HttpRequest& request) {
  const std::string chain(request[kOnwardHeader]);
  HttpRequest onward(http::verb::get, FirstOf(chain), 11);
  onward.set(kHandleHeader, request[kHandleHeader]);
  if (!RestOf(chain).empty()) {
    onward.set(kOnwardHeader, RestOf(chain));
  }
  ErrorCode error;
  std::optional<HttpResponse> answer =
      co_await Fetch(this->context, this->node_address, std::move(onward),
                     FetchLimits(), error);
  if (!answer) {
    co_return HttpResponse(http::status::bad_gateway, 11);
  }
  HttpResponse response(answer->result(), 11);
  response.body() = std::move(answer->body());
  co_return response;
}

Awaitable<bool> Target::Work(std::shared_ptr<Cancellation> cancellation) {
  if (!this->loaded_since_cold) {
    this->loaded_since_cold = true;
    this->cold_since = BootTime::now();
  }
  // Each request over what is borne slows the work down further.
  const double overload =
      std::max(1.0, static_cast<double>(this->in_flight) / this->Bears());
  const Duration time = std::chrono::duration_cast<Duration>(
      this->behaviour.service_time * overload * overload);
  Timer timer(this->context);
  if (this->behaviour.hang) {
    timer.expires_at(TimePoint::max());
  } else {
    timer.expires_after(time);
  }
  cancellation->SetAction([&timer] { timer.cancel(); });
  ErrorCode error;
  co_await timer.async_wait(Await(error));
  cancellation->ClearAction();
  co_return !cancellation->IsCancelled();
}

int Target::Bears() const {
  const TargetBehaviour& limits = this->behaviour;
  if (!this->loaded_since_cold) {
    return limits.cold_slots;
  }
  const double progress =
      std::chrono::duration<double>(BootTime::now() - this->cold_since) /
      std::chrono::duration<double>(limits.warm_up);
  const double warm = std::min(1.0, progress);
  return limits.cold_slots +
         static_cast<int>(warm * (limits.slots - limits.cold_slots));
}

HttpResponse Target::Test(const HttpRequest& request) {
  HttpResponse response(http::status::ok, 11);
  const std::string target(request.target());
  if (target.starts_with("/test/set")) {
    this->SetBehaviour(target);
  } else {
    response.body() = boost::json::serialize(this->Log());
  }
  response.prepare_payload();
  return response;
}

void Target::SetBehaviour(const std::string& target) {
  TargetBehaviour& limits = this->behaviour;
  limits.fail = QueryNumber(target, "fail", 0) != 0;
  limits.shed = QueryNumber(target, "shed", 0) != 0;
  limits.hang = QueryNumber(target, "hang", 0) != 0;
  limits.answer_bytes = QueryNumber(target, "answer_bytes", 0);
  limits.service_time = std::chrono::milliseconds(QueryNumber(
      target, "service_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(limits.service_time)
          .count()));
  if (QueryNumber(target, "cold", 0) != 0) {
    this->loaded_since_cold = false;
  }
  if (QueryNumber(target, "forget", 0) != 0) {
    this->runs.clear();
    this->worst_excess = 0;
    this->most_in_flight = 0;
  }
}

boost::json::object Target::Log() const {
  boost::json::array items;
  for (const std::shared_ptr<Run>& run : this->runs) {
    items.push_back({{"method", run->method},
                     {"path", run->path},
                     {"headers", run->headers},
                     {"body", run->body},
                     {"finished", run->finished},
                     {"cancelled", run->cancelled}});
  }
  return {{"runs", std::move(items)},
          {"in_flight", this->in_flight},
          {"most_in_flight", this->most_in_flight},
          {"worst_excess", this->worst_excess},
          {"instance", this->instance}};
}

}  // namespace daisywinch::test
