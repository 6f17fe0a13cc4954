#include "node/operator_service.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "state/refusal.h"

namespace daisywinch {

namespace {

constexpr std::string_view kCustomerParameter = "customer=";

/// Runs a function on the thread of `context` and returns its result.
template <typename Result, typename Function>
Awaitable<Result> RunInContext(asio::io_context& context, Function function) {
  const auto run = [](Function task) -> Awaitable<Result> { co_return task(); };
  co_return co_await asio::co_spawn(context, run(std::move(function)),
                                    asio::use_awaitable);
}

HttpResponse MakeTextResponse(http::status status,
                              std::string_view content_type,
                              std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, std::string(content_type));
  response.body() = std::move(text);
  response.prepare_payload();
  return response;
}

boost::json::array DescribeRefusals(const RefusalHistory& history,
                                    const std::string& customer) {
  boost::json::array items;
  for (const RefusalRecord& record : history.Records()) {
    if (!customer.empty() && record.customer != customer) {
      continue;
    }
    const Refusal& refusal = Describe(record.reason);
    const std::chrono::duration<double> age = BootTime::now() - record.time;
    items.push_back({{"seconds_ago", age.count()},
                     {"customer", record.customer},
                     {"route", record.route},
                     {"reason", static_cast<std::uint32_t>(record.reason)},
                     {"title", refusal.title},
                     {"outcome", ToString(refusal.execution)},
                     {"root_id", record.root_id}});
  }
  return items;
}

}  // namespace

OperatorService::OperatorService(const Settings& settings,
                                 std::uint64_t incarnation,
                                 const FleetView& fleet_view,
                                 const ControlService& control,
                                 asio::io_context& ingress_context,
                                 const Ingress& ingress,
                                 asio::io_context& gate_context,
                                 const Gate& gate)
    : settings(settings),
      incarnation(incarnation),
      fleet_view(fleet_view),
      control(control),
      ingress_context(ingress_context),
      ingress(ingress),
      gate_context(gate_context),
      gate(gate) {}

Awaitable<HttpResponse> OperatorService::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> /*cancellation*/) {
  const std::string target(request.target());
  const std::size_t question_mark = target.find('?');
  const std::string path = target.substr(0, question_mark);
  if (path == "/status") {
    co_return MakeTextResponse(http::status::ok, "application/json",
                               co_await this->Status());
  }
  if (path == "/explain") {
    const std::size_t start = target.find(kCustomerParameter);
    const std::string customer =
        start == std::string::npos
            ? std::string()
            : target.substr(start + kCustomerParameter.size());
    co_return MakeTextResponse(http::status::ok, "application/json",
                               co_await this->Explain(customer));
  }
  if (path == "/metrics") {
    co_return MakeTextResponse(http::status::ok, "text/plain; version=0.0.4",
                               co_await this->Metrics());
  }
  co_return MakeTextResponse(http::status::not_found, "text/plain",
                             "known paths: /status /explain /metrics\n");
}

Awaitable<std::string> OperatorService::Status() {
  const boost::json::object gate_status =
      co_await RunInContext<boost::json::object>(
          this->gate_context, [this] { return this->gate.Status(); });
  const boost::json::object status = {
      {"vm", this->settings.vm},
      {"incarnation", this->incarnation},
      {"data_centre", this->settings.data_centre},
      {"service", this->settings.service},
      {"ready", this->fleet_view.IsReady()},
      {"configuration_version", this->fleet_view.ConfigurationVersion()},
      {"vm_list_version", this->fleet_view.VmListVersion()},
      {"fleet", this->control.Status()},
      {"gate", gate_status}};
  co_return boost::json::serialize(status);
}

Awaitable<std::string> OperatorService::Explain(std::string customer) {
  const boost::json::array refusals = co_await RunInContext<boost::json::array>(
      this->ingress_context, [this, customer] {
        return DescribeRefusals(this->ingress.RecentRefusals(), customer);
      });
  co_return boost::json::serialize(refusals);
}

Awaitable<std::string> OperatorService::Metrics() {
  co_return co_await RunInContext<std::string>(this->ingress_context, [this] {
    return this->ingress.Metrics().ToPrometheusText();
  });
}

}  // namespace daisywinch
