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

HttpResponse MakeAnswer(http::status status, std::string text) {
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
    Port& port = this->ports.emplace_back();
    port.address = address;
    port.server = std::make_unique<HttpServer>(
        context, HttpLimits(),
        [this, &port](HttpRequest request, std::shared_ptr<Cancellation>) {
          return this->Handle(port, std::move(request));
        });
  }
}

bool Platform::Listen() {
  return std::all_of(this->ports.begin(), this->ports.end(), [](Port& port) {
    return !port.server->Listen(port.address);
  });
}

Awaitable<HttpResponse> Platform::Handle(Port& port, HttpRequest request) {
  const std::string target(request.target());
  if (target.starts_with(kTestPrefix)) {
    co_return this->Test(request);
  }
  ++port.reads;
  if (port.mode.delay > Duration::zero()) {
    co_await this->Sleep(port.mode.delay);
  }
  if (port.mode.down) {
    co_return MakeAnswer(http::status::service_unavailable, "down");
  }
  if (!target.starts_with(kValuesPrefix)) {
    co_return MakeAnswer(http::status::not_found, "no such path");
  }
  co_return co_await this->Read(port, target);
}

Awaitable<HttpResponse> Platform::Read(Port& port, std::string target) {
  const std::string name = PathOf(target).substr(kValuesPrefix.size());
  const std::uint64_t after = QueryNumber(target, "after", 0);
  const TimePoint latest =
      BootTime::now() +
      std::chrono::milliseconds(QueryNumber(target, "wait_ms", 0));
  while (true) {
    if (port.mode.down) {
      co_return MakeAnswer(http::status::service_unavailable, "down");
    }
    const Value* value = this->Find(port, name);
    if (value != nullptr && value->revision > after) {
      HttpResponse response = MakeAnswer(http::status::ok, value->text);
      response.set(http::field::etag,
                   "\"" + std::to_string(value->revision) + "\"");
      co_return response;
    }
    if (BootTime::now() >= latest) {
      co_return MakeAnswer(value == nullptr ? http::status::not_found
                                            : http::status::not_modified,
                           "");
    }
    const std::shared_ptr<Timer> watch =
        std::make_shared<Timer>(this->context, latest);
    this->watches.push_back(watch);
    ErrorCode ignored;
    co_await watch->async_wait(Await(ignored));
  }
}

const Platform::Value* Platform::Find(const Port& port,
                                      const std::string& name) const {
  const Values& source = port.mode.stale ? port.mode.frozen : this->values;
  const auto found = source.find(name);
  return found == source.end() ? nullptr : &found->second;
}

Awaitable<> Platform::Sleep(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

HttpResponse Platform::Test(const HttpRequest& request) {
  const std::string target(request.target());
  if (target.starts_with(kTestValuesPrefix)) {
    return this->SetValue(target.substr(kTestValuesPrefix.size()),
                          request.body());
  }
  if (target.starts_with("/test/mode")) {
    return this->SetMode(target);
  }
  std::uint64_t reads = 0;
  for (const Port& port : this->ports) {
    reads += port.reads;
  }
  return MakeAnswer(
      http::status::ok,
      boost::json::serialize(boost::json::object{{"reads", reads}}));
}

HttpResponse Platform::SetValue(const std::string& name,
                                const std::string& text) {
  Value& value = this->values[name];
  ++value.revision;
  value.text = text;
  for (const std::weak_ptr<Timer>& weak : std::exchange(this->watches, {})) {
    if (const std::shared_ptr<Timer> watch = weak.lock()) {
      watch->cancel();
    }
  }
  return MakeAnswer(http::status::ok, "");
}

HttpResponse Platform::SetMode(const std::string& target) {
  const std::int64_t chosen = QueryNumber(target, "port", -1);
  std::int64_t index = 0;
  for (Port& port : this->ports) {
    if (chosen < 0 || chosen == index) {
      const bool stale = QueryNumber(target, "stale", 0) != 0;
      if (stale && !port.mode.stale) {
        port.mode.frozen = this->values;
      }
      port.mode.stale = stale;
      port.mode.down = QueryNumber(target, "down", 0) != 0;
      port.mode.delay =
          std::chrono::milliseconds(QueryNumber(target, "delay_ms", 0));
    }
    ++index;
  }
  for (const std::weak_ptr<Timer>& weak : std::exchange(this->watches, {})) {
    if (const std::shared_ptr<Timer> watch = weak.lock()) {
      watch->cancel();
    }
  }
  return MakeAnswer(http::status::ok, "");
}

}  // namespace daisywinch::test
