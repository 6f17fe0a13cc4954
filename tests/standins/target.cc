#include "standins/target.h"

#include <algorithm>
#include <utility>

#include "standins/query.h"
#include "state/key_digest.h"
#include "transport/http_fetch.h"

namespace daisywinch::test {

namespace {

constexpr char kNestedCallsHeader[] = "X-Onward";
constexpr char kInstanceHeader[] = "Server-Instance";
constexpr int kInstanceBytes = 4;

std::string FirstPath(const std::string& paths) {
  return paths.substr(0, paths.find(','));
}

std::string RemainingPaths(const std::string& paths) {
  const std::size_t comma = paths.find(',');
  return comma == std::string::npos ? "" : paths.substr(comma + 1);
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
    co_return this->HandleTestRequest(request);
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
  if (this->behaviour.sheds_requests) {
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
  this->max_in_flight = std::max(this->max_in_flight, this->in_flight);
  this->max_over_capacity = std::max(this->max_over_capacity,
                                     this->in_flight - this->CurrentCapacity());
  const bool is_completed = co_await this->Work(cancellation);
  HttpResponse response(this->behaviour.fails_requests
                            ? http::status::internal_server_error
                            : http::status::ok,
                        11);
  if (is_completed && !std::string(request[kNestedCallsHeader]).empty()) {
    response = co_await this->SendNestedCall(request);
  }
  --this->in_flight;
  run->is_finished = is_completed && !cancellation->IsCancelled();
  run->is_cancelled = cancellation->IsCancelled();
  ++this->response_count;
  if (response.body().empty()) {
    response.body() = "ran " + run->method + " " + run->path + "\n" +
                      run->body +
                      std::string(this->behaviour.response_bytes, 'x');
  }
  co_return response;
}

Awaitable<HttpResponse> Target::SendNestedCall(const HttpRequest& request) {
  const std::string paths(request[kNestedCallsHeader]);
  HttpRequest nested_request(http::verb::get, FirstPath(paths), 11);
  nested_request.set(kHandleHeader, request[kHandleHeader]);
  if (!RemainingPaths(paths).empty()) {
    nested_request.set(kNestedCallsHeader, RemainingPaths(paths));
  }
  ErrorCode error;
  std::optional<HttpResponse> nested_response =
      co_await Fetch(this->context, this->node_address,
                     std::move(nested_request), FetchLimits(), error);
  if (!nested_response) {
    co_return HttpResponse(http::status::bad_gateway, 11);
  }
  HttpResponse response(nested_response->result(), 11);
  response.body() = std::move(nested_response->body());
  co_return response;
}

Awaitable<bool> Target::Work(std::shared_ptr<Cancellation> cancellation) {
  if (!this->has_run_since_cold) {
    this->has_run_since_cold = true;
    this->warm_up_started_at = BootTime::now();
  }
  // Above the capacity, the service time grows with the square of the overload.
  const double overload = std::max(
      1.0, static_cast<double>(this->in_flight) / this->CurrentCapacity());
  const Duration time = std::chrono::duration_cast<Duration>(
      this->behaviour.service_time * overload * overload);
  Timer timer(this->context);
  if (this->behaviour.never_responds) {
    timer.expires_at(TimePoint::max());
  } else {
    timer.expires_after(time);
  }
  co_await WaitUnlessCancelled(timer, cancellation);
  co_return !cancellation->IsCancelled();
}

int Target::CurrentCapacity() const {
  const TargetBehaviour& target_behaviour = this->behaviour;
  if (!this->has_run_since_cold) {
    return target_behaviour.cold_slots;
  }
  const double warm_up_progress =
      std::chrono::duration<double>(BootTime::now() -
                                    this->warm_up_started_at) /
      std::chrono::duration<double>(target_behaviour.warm_up);
  const double warm_fraction = std::min(1.0, warm_up_progress);
  return target_behaviour.cold_slots +
         static_cast<int>(warm_fraction * (target_behaviour.slots -
                                           target_behaviour.cold_slots));
}

HttpResponse Target::HandleTestRequest(const HttpRequest& request) {
  HttpResponse response(http::status::ok, 11);
  const std::string target(request.target());
  if (target.starts_with("/test/set")) {
    this->SetBehaviour(target);
  } else {
    response.body() = boost::json::serialize(this->MakeLog());
  }
  response.prepare_payload();
  return response;
}

void Target::SetBehaviour(const std::string& target) {
  TargetBehaviour& target_behaviour = this->behaviour;
  target_behaviour.fails_requests = QueryNumber(target, "fail", 0) != 0;
  target_behaviour.sheds_requests = QueryNumber(target, "shed", 0) != 0;
  target_behaviour.never_responds = QueryNumber(target, "hang", 0) != 0;
  target_behaviour.response_bytes = QueryNumber(target, "answer_bytes", 0);
  target_behaviour.service_time = std::chrono::milliseconds(
      QueryNumber(target, "service_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      target_behaviour.service_time)
                      .count()));
  if (QueryNumber(target, "cold", 0) != 0) {
    this->has_run_since_cold = false;
  }
  if (QueryNumber(target, "forget", 0) != 0) {
    this->runs.clear();
    this->max_over_capacity = 0;
    this->max_in_flight = 0;
  }
}

boost::json::object Target::MakeLog() const {
  boost::json::array items;
  for (const std::shared_ptr<Run>& run : this->runs) {
    items.push_back({{"method", run->method},
                     {"path", run->path},
                     {"headers", run->headers},
                     {"body", run->body},
                     {"finished", run->is_finished},
                     {"cancelled", run->is_cancelled}});
  }
  return {{"runs", std::move(items)},
          {"in_flight", this->in_flight},
          {"most_in_flight", this->max_in_flight},
          {"worst_excess", this->max_over_capacity},
          {"instance", this->instance}};
}

}  // namespace daisywinch::test
