#include "standins/platform.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "standins/query.h"

namespace daisywinch::test {

namespace {

constexpr std::string_view kValuesPrefix = "/v1/values/";
constexpr std::string_view kTestPrefix = "/test/";
constexpr std::string_view kTestValuesPrefix = "/test/values/";

HttpResponse MakeResponse(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.body() = std::move(text);
  response.prepare_payload();
  return response;
}

std::string PathOf(std::string_view target) {
  return std::string(target.substr(0, target.find('?')));
}

}  // namespace

Platform::Platform(asio::io_context& context,
                   const std::vector<Address>& addresses)
    : context(context) {
  for (const Address& address : addresses) {
    Endpoint& endpoint = this->endpoints.emplace_back();
    endpoint.address = address;
    endpoint.server = std::make_unique<HttpServer>(
        context, HttpLimits(),
        [this, &endpoint](HttpRequest request, std::shared_ptr<Cancellation>) {
          return this->Handle(endpoint, std::move(request));
        });
  }
}

bool Platform::Listen() {
  return std::all_of(this->endpoints.begin(), this->endpoints.end(),
                     [](Endpoint& endpoint) {
                       return !endpoint.server->Listen(endpoint.address);
                     });
}

Awaitable<HttpResponse> Platform::Handle(Endpoint& endpoint,
                                         HttpRequest request) {
  const std::string target(request.target());
  if (target.starts_with(kTestPrefix)) {
    co_return this->HandleTestRequest(request);
  }
  ++endpoint.read_count;
  if (endpoint.behaviour.delay > Duration::zero()) {
    co_await this->Wait(endpoint.behaviour.delay);
  }
  if (endpoint.behaviour.is_down) {
    co_return MakeResponse(http::status::service_unavailable, "down");
  }
  if (!target.starts_with(kValuesPrefix)) {
    co_return MakeResponse(http::status::not_found, "no such path");
  }
  co_return co_await this->Read(endpoint, target);
}

Awaitable<HttpResponse> Platform::Read(Endpoint& endpoint, std::string target) {
  const std::string name = PathOf(target).substr(kValuesPrefix.size());
  const std::uint64_t after = QueryNumber(target, "after", 0);
  const TimePoint deadline =
      BootTime::now() +
      std::chrono::milliseconds(QueryNumber(target, "wait_ms", 0));
  while (true) {
    if (endpoint.behaviour.is_down) {
      co_return MakeResponse(http::status::service_unavailable, "down");
    }
    const Value* value = this->FindValue(endpoint, name);
    if (value != nullptr && value->revision > after) {
      HttpResponse response = MakeResponse(http::status::ok, value->text);
      response.set(http::field::etag,
                   "\"" + std::to_string(value->revision) + "\"");
      co_return response;
    }
    if (BootTime::now() >= deadline) {
      co_return MakeResponse(value == nullptr ? http::status::not_found
                                              : http::status::not_modified,
                             "");
    }
    const std::shared_ptr<Timer> watch_timer =
        std::make_shared<Timer>(this->context, deadline);
    this->watch_timers.push_back(watch_timer);
    ErrorCode ignored;
    co_await watch_timer->async_wait(Await(ignored));
  }
}

const Platform::Value* Platform::FindValue(const Endpoint& endpoint,
                                           const std::string& name) const {
  const Values& source = endpoint.behaviour.is_stale
                             ? endpoint.behaviour.stale_values
                             : this->values;
  const auto found = source.find(name);
  return found == source.end() ? nullptr : &found->second;
}

Awaitable<> Platform::Wait(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

HttpResponse Platform::HandleTestRequest(const HttpRequest& request) {
  const std::string target(request.target());
  if (target.starts_with(kTestValuesPrefix)) {
    return this->SetValue(target.substr(kTestValuesPrefix.size()),
                          request.body());
  }
  if (target.starts_with("/test/mode")) {
    return this->SetBehaviour(target);
  }
  std::uint64_t read_count = 0;
  for (const Endpoint& endpoint : this->endpoints) {
    read_count += endpoint.read_count;
  }
  return MakeResponse(
      http::status::ok,
      boost::json::serialize(boost::json::object{{"reads", read_count}}));
}

HttpResponse Platform::SetValue(const std::string& name,
                                const std::string& text) {
  Value& value = this->values[name];
  ++value.revision;
  value.text = text;
  for (const std::weak_ptr<Timer>& weak_timer :
       std::exchange(this->watch_timers, {})) {
    if (const std::shared_ptr<Timer> watch_timer = weak_timer.lock()) {
      watch_timer->cancel();
    }
  }
  return MakeResponse(http::status::ok, "");
}

HttpResponse Platform::SetBehaviour(const std::string& target) {
  const std::int64_t chosen_index = QueryNumber(target, "port", -1);
  std::int64_t index = 0;
  for (Endpoint& endpoint : this->endpoints) {
    if (chosen_index < 0 || chosen_index == index) {
      const bool is_stale = QueryNumber(target, "stale", 0) != 0;
      if (is_stale && !endpoint.behaviour.is_stale) {
        endpoint.behaviour.stale_values = this->values;
      }
      endpoint.behaviour.is_stale = is_stale;
      endpoint.behaviour.is_down = QueryNumber(target, "down", 0) != 0;
      endpoint.behaviour.delay =
          std::chrono::milliseconds(QueryNumber(target, "delay_ms", 0));
    }
    ++index;
  }
  for (const std::weak_ptr<Timer>& weak_timer :
       std::exchange(this->watch_timers, {})) {
    if (const std::shared_ptr<Timer> watch_timer = weak_timer.lock()) {
      watch_timer->cancel();
    }
  }
  return MakeResponse(http::status::ok, "");
}

}  // namespace daisywinch::test
