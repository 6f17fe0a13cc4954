#include "standins/attempt_target.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "standins/query.h"

namespace daisywinch::test {

namespace {

constexpr char kAttemptId[] = "X-Daisywinch-Attempt-Id";
constexpr char kExpectInstance[] = "X-Daisywinch-Expect-Instance";
constexpr char kInstanceId[] = "X-Daisywinch-Instance-Id";
constexpr char kNotExecuted[] = "X-Daisywinch-Not-Executed";
constexpr char kSignature[] = "X-Daisywinch-Response-Signature";
constexpr char kColdStart[] = "X-Daisywinch-Cold-Start-Ms";
constexpr char kTimeoutBudget[] = "X-Daisywinch-Timeout-Budget-Ms";
constexpr char kServerLimit[] = "Server-Limit";
constexpr char kServerLeaving[] = "Server-Leaving";
constexpr char kNestedCallHeader[] = "X-Onward";
constexpr char kNestedHostHeader[] = "X-Onward-Host";
constexpr char kFatalPath[] = "/fatal";
constexpr std::uint64_t kNestedBodyLimit = std::uint64_t{16} * 1024 * 1024;
constexpr std::chrono::seconds kNestedCallTimeout{5};

}  // namespace

AttemptTarget::AttemptTarget(asio::io_context& context,
                             const Address& address,
                             const Address& node_address,
                             std::string id)
    : context(context),
      address(address),
      node_address(node_address),
      id(std::move(id)),
      nested_client(context, node_address, kNestedBodyLimit),
      server(context,
             HttpLimits(),
             [this](HttpRequest request,
                    std::shared_ptr<Cancellation> cancellation) {
               return this->Handle(std::move(request), std::move(cancellation));
             }) {}

bool AttemptTarget::Listen() {
  return !this->server.Listen(this->address);
}

Awaitable<HttpResponse> AttemptTarget::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  const std::string target(request.target());
  if (target.starts_with("/test/")) {
    co_return this->HandleTestRequest(request);
  }
  if (target == "/health") {
    HttpResponse response(http::status::ok, 11);
    response.set(kInstanceId, this->id);
    if (!this->omits_notice_in_health) {
      this->AddNotice(response);
    }
    if (this->remaining_cold_time > Duration::zero()) {
      response.set(
          kColdStart,
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->remaining_cold_time)
                             .count()));
    }
    response.prepare_payload();
    co_return response;
  }
  const std::string_view expected = request[kExpectInstance];
  if (!expected.empty() && expected != this->id) {
    co_return this->MakeResponse(request, http::status::misdirected_request);
  }
  if (this->sheds_requests) {
    HttpResponse response =
        this->MakeResponse(request, http::status::service_unavailable);
    response.set(kNotExecuted, "1");
    co_return response;
  }
  co_return co_await this->Serve(std::move(request), std::move(cancellation));
}

Awaitable<HttpResponse> AttemptTarget::Serve(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  const std::shared_ptr<Run> run = std::make_shared<Run>();
  run->path = std::string(request.target());
  run->body = request.body();
  run->started_at = BootTime::now();
  for (const http::fields::value_type& field : request) {
    run->headers[field.name_string()] = field.value();
  }
  this->runs.push_back(run);
  const std::shared_ptr<Timer> work_timer = std::make_shared<Timer>(
      this->context,
      this->never_responds ? std::chrono::seconds(60) : this->service_time);
  co_await WaitUnlessCancelled(*work_timer, cancellation);
  run->is_cancelled = cancellation->IsCancelled();
  if (run->path.find(kFatalPath) != std::string::npos) {
    std::_Exit(EXIT_FAILURE);
  }
  bool has_nested_call_succeeded = true;
  if (!run->is_cancelled &&
      !std::string_view(request[kNestedCallHeader]).empty()) {
    has_nested_call_succeeded =
        co_await this->SendNestedCall(request, cancellation);
    run->is_cancelled = cancellation->IsCancelled();
  }
  run->ended_at = BootTime::now();
  const bool has_failed = this->fails_requests || !has_nested_call_succeeded;
  HttpResponse response = this->MakeResponse(
      request,
      has_failed ? http::status::internal_server_error : http::status::ok);
  if (!this->omits_signature) {
    response.set(kSignature, "signed-by-" + this->id);
  }
  if (this->returns_wrong_attempt_id) {
    response.set(kAttemptId, "of-another-request");
  }
  response.body() = "ran " + std::string(request.target());
  response.prepare_payload();
  co_return response;
}

Awaitable<bool> AttemptTarget::SendNestedCall(
    const HttpRequest& request,
    std::shared_ptr<Cancellation> cancellation) {
  const std::string path(request[kNestedCallHeader]);
  HttpRequest nested_request(http::verb::get, path, 11);
  const std::string host(request[kNestedHostHeader]);
  nested_request.set(http::field::host,
                     host.empty() ? this->node_address.ToString() : host);
  nested_request.set(kAttemptId, this->id + "-onward-" +
                                     std::to_string(this->nested_call_count++));
  nested_request.set(kTimeoutBudget, std::string(request[kTimeoutBudget]));
  nested_request.keep_alive(false);
  nested_request.prepare_payload();
  const TargetExchange exchange = co_await this->nested_client.Send(
      std::move(nested_request), BootTime::now() + kNestedCallTimeout,
      std::move(cancellation));
  co_return exchange.end ==
      TargetExchange::End::kAnswered&& exchange.response.result() ==
      http::status::ok;
}

HttpResponse AttemptTarget::MakeResponse(const HttpRequest& request,
                                         http::status status) {
  HttpResponse response(status, 11);
  if (!this->omits_attempt_id) {
    response.set(kAttemptId, std::string(request[kAttemptId]));
  }
  response.set(kInstanceId, this->id);
  this->AddNotice(response);
  response.prepare_payload();
  return response;
}

void AttemptTarget::AddNotice(HttpResponse& response) const {
  if (!this->max_rate.empty()) {
    response.set(kServerLimit, this->max_rate);
  }
  if (this->is_leaving) {
    response.set(kServerLeaving, "1");
  }
}

HttpResponse AttemptTarget::HandleTestRequest(const HttpRequest& request) {
  const std::string target(request.target());
  HttpResponse response(http::status::ok, 11);
  if (target.starts_with("/test/behaviour")) {
    this->service_time =
        std::chrono::milliseconds(QueryNumber(target, "service_ms", 5));
    this->remaining_cold_time =
        std::chrono::milliseconds(QueryNumber(target, "cold_ms", 0));
    this->sheds_requests = QueryNumber(target, "sheds", 0) != 0;
    this->returns_wrong_attempt_id = QueryNumber(target, "garbles", 0) != 0;
    this->omits_attempt_id = QueryNumber(target, "unechoed", 0) != 0;
    this->omits_signature = QueryNumber(target, "unsigned", 0) != 0;
    this->never_responds = QueryNumber(target, "hangs", 0) != 0;
    this->fails_requests = QueryNumber(target, "fails", 0) != 0;
    this->max_rate = QueryText(target, "max_rate").value_or("");
    this->is_leaving = QueryNumber(target, "leaving", 0) != 0;
    this->omits_notice_in_health = QueryNumber(target, "health_omits", 0) != 0;
  } else {
    boost::json::array log;
    for (const std::shared_ptr<Run>& run : this->runs) {
      log.push_back({{"path", run->path},
                     {"headers", run->headers},
                     {"body", run->body},
                     {"at_ns", run->started_at.time_since_epoch().count()},
                     {"ended_ns", run->ended_at.time_since_epoch().count()},
                     {"cancelled", run->is_cancelled}});
    }
    response.body() = boost::json::serialize(log);
  }
  response.prepare_payload();
  return response;
}

}  // namespace daisywinch::test
