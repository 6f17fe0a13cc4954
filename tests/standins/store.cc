#include "standins/store.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

#include "standins/query.h"

namespace daisywinch::test {

namespace {

/// Small, so that tests with few keys cover paging.
constexpr std::size_t kPageSize = 3;

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4, '\0');
  // EVP_EncodeBlock() appends a terminating zero byte.
  text.push_back('\0');
  const int count =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(count);
  return text;
}

HttpResponse MakeEmptyResponse(http::status status) {
  HttpResponse response(status, 11);
  response.prepare_payload();
  return response;
}

HttpResponse AddEra(HttpResponse response, std::uint64_t era) {
  response.set("Store-Era", std::to_string(era));
  return response;
}

}  // namespace

Store::Store(asio::io_context& context, const Address& address)
    : context(context),
      address(address),
      server(context,
             HttpLimits(),
             [this](HttpRequest request, std::shared_ptr<Cancellation>) {
               return this->Handle(std::move(request));
             }) {}

bool Store::Listen() {
  return !this->server.Listen(this->address);
}

Awaitable<HttpResponse> Store::Handle(HttpRequest request) {
  const std::string target(request.target());
  if (target.starts_with("/test/")) {
    co_return this->HandleTestRequest(request);
  }
  ++this->read_count;
  HttpResponse response = MakeEmptyResponse(http::status::not_found);
  if (this->is_down) {
    response = MakeEmptyResponse(http::status::service_unavailable);
  } else if (target.starts_with("/kv-range")) {
    response = this->List(target);
  } else if (target.starts_with("/kv-watch")) {
    response = co_await this->Watch(target);
  }
  co_return AddEra(std::move(response), this->era);
}

HttpResponse Store::List(const std::string& target) const {
  const std::string prefix = QueryText(target, "Prefix").value_or("");
  const std::string after = QueryText(target, "after").value_or("");
  boost::json::array page;
  bool has_more = false;
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (page.size() == kPageSize) {
      has_more = true;
      break;
    }
    page.push_back(ToJson(item));
  }
  return this->MakeResponse({{"items", page}, {"HasMore", has_more}});
}

Awaitable<HttpResponse> Store::Watch(std::string target) {
  const std::string prefix = QueryText(target, "Prefix").value_or("");
  const std::uint64_t after = QueryNumber(target, "after", 0);
  const TimePoint deadline =
      BootTime::now() +
      std::chrono::milliseconds(QueryNumber(target, "WaitMs", 0));
  const std::uint64_t started_in_era = this->era;
  while (true) {
    if (this->is_down || this->era != started_in_era) {
      co_return MakeEmptyResponse(http::status::service_unavailable);
    }
    if (after < this->compacted_revision || after > this->revision) {
      co_return MakeEmptyResponse(http::status::gone);
    }
    boost::json::array events;
    for (const Change& change : this->history) {
      if (change.revision > after && change.key.starts_with(prefix)) {
        events.push_back(ToJson(change));
      }
    }
    if (!events.empty() || BootTime::now() >= deadline) {
      co_return this->MakeResponse({{"events", events}});
    }
    const std::shared_ptr<Timer> watch_timer =
        std::make_shared<Timer>(this->context, deadline);
    this->watch_timers.push_back(watch_timer);
    ErrorCode ignored;
    co_await watch_timer->async_wait(Await(ignored));
  }
}

HttpResponse Store::HandleTestRequest(const HttpRequest& request) {
  const std::string target(request.target());
  if (target.starts_with("/test/key")) {
    const std::string key = QueryText(target, "Key").value_or("");
    const bool is_removed = request.method() == http::verb::delete_;
    this->Apply({key, request.body(), 0, is_removed});
  } else if (target.starts_with("/test/mode")) {
    this->is_down = QueryNumber(target, "down", 0) != 0;
    if (QueryNumber(target, "gone", 0) != 0) {
      this->compacted_revision = this->revision;
    }
  } else if (target.starts_with("/test/restore")) {
    this->Restore(QueryNumber(target, "revision",
                              static_cast<std::int64_t>(this->revision)));
  }
  for (const std::weak_ptr<Timer>& weak_timer :
       std::exchange(this->watch_timers, {})) {
    if (const std::shared_ptr<Timer> watch_timer = weak_timer.lock()) {
      watch_timer->cancel();
    }
  }
  return this->MakeResponse({{"reads", this->read_count}});
}

void Store::Apply(Change change) {
  change.revision = ++this->revision;
  this->ApplyToItems(change);
  this->history.push_back(std::move(change));
}

void Store::ApplyToItems(const Change& change) {
  if (change.is_removed) {
    this->items.erase(change.key);
  } else {
    this->items[change.key] = change;
  }
}

void Store::Restore(std::uint64_t target_revision) {
  std::erase_if(this->history, [target_revision](const Change& change) {
    return change.revision > target_revision;
  });
  this->items.clear();
  for (const Change& change : this->history) {
    this->ApplyToItems(change);
  }
  this->revision = target_revision;
  this->compacted_revision = std::min(this->compacted_revision, this->revision);
  ++this->era;
}

boost::json::object Store::ToJson(const Change& change) {
  if (change.is_removed) {
    return {{"Key", change.key}, {"Rev", change.revision}, {"Removed", true}};
  }
  return {{"Key", change.key},
          {"Value", EncodeBase64(change.value)},
          {"Rev", change.revision},
          {"CreateRevision", change.revision},
          {"Lease", 0}};
}

HttpResponse Store::MakeResponse(boost::json::object body) const {
  body["StoreRevision"] = this->revision;
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = boost::json::serialize(body);
  response.prepare_payload();
  return response;
}

}  // namespace daisywinch::test
