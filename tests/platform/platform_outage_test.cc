// Tests that changes of the platform's values are read in time after an outage,
// whenever it begins and however short it is.
#include <algorithm>
#include <list>
#include <string>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "node/platform_watcher.h"
#include "state/clock.h"
#include "support/outage_server.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

/// Time in which a change must be known after the outage in which it is made.
constexpr milliseconds kMaxDelay{4000};

std::uint64_t NumberIn(const std::string& target, const std::string& name) {
  return std::stoull(target.substr(target.find(name + "=") + name.size() + 1));
}

/// A platform with an outage, and a watcher of its only value.
class WatchedPlatform {
 public:
  WatchedPlatform(asio::io_context& context, int number)
      : context(context),
        address{"127.0.5." + std::to_string(::getpid() % 200 + 1),
                static_cast<std::uint16_t>(22000 + number)},
        server(context,
               address,
               [this](std::string target) {
                 return this->Answer(std::move(target));
               }),
        watcher(
            context,
            address,
            "value",
            [this](const std::string& text) {
              this->known_revision = std::stoull(text);
            },
            [] { return true; }) {
    BOOST_REQUIRE(this->server.Listen());
    this->watcher.Start();
  }

  /// Changes the value during an outage, so that the response to a watch is
  /// lost. Afterwards `delay` is the time from the end of the outage until the
  /// watcher knows the change.
  Awaitable<> RunOutage(Duration start, Duration duration) {
    co_await test::Sleep(this->context, start);
    this->server.SetOutage(true);
    co_await test::Sleep(this->context, duration / 2);
    ++this->revision;
    co_await test::Sleep(this->context, duration - duration / 2);
    this->server.SetOutage(false);
    const TimePoint ended_at = this->clock.Now();
    while (this->known_revision < this->revision &&
           this->delay < 2 * kMaxDelay) {
      co_await test::Sleep(this->context, milliseconds(10));
      this->delay = this->clock.Now() - ended_at;
    }
    this->is_done = true;
  }

  Duration Delay() const { return this->delay; }
  bool IsDone() const { return this->is_done; }

 private:
  Awaitable<HttpResponse> Answer(std::string target) {
    const std::uint64_t after = NumberIn(target, "after");
    const TimePoint deadline =
        this->clock.Now() + milliseconds(NumberIn(target, "wait_ms"));
    while (this->revision <= after && this->clock.Now() < deadline) {
      co_await test::Sleep(this->context, milliseconds(10));
    }
    const bool is_new = this->revision > after;
    HttpResponse response(
        is_new ? http::status::ok : http::status::not_modified, 11);
    if (is_new) {
      response.set(http::field::etag,
                   "\"" + std::to_string(this->revision) + "\"");
      response.body() = std::to_string(this->revision);
    }
    response.prepare_payload();
    co_return response;
  }

  asio::io_context& context;
  SystemClock clock;
  Address address;
  test::OutageServer server;
  PlatformWatcher watcher;
  std::uint64_t revision = 1;
  std::uint64_t known_revision = 0;
  Duration delay = Duration::zero();
  bool is_done = false;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_outage)

// A poll whose response was lost in a short outage was awaited for 28 s.
BOOST_AUTO_TEST_CASE(changes_are_read_in_time_after_outages_at_any_moment) {
  asio::io_context context(1);
  std::list<WatchedPlatform> platforms;
  int number = 0;
  for (int start = 500; start < 2000; start += 150) {
    for (const int duration : {100, 300, 600, 1000, 3000}) {
      WatchedPlatform& platform = platforms.emplace_back(context, number++);
      asio::co_spawn(
          context,
          platform.RunOutage(milliseconds(start), milliseconds(duration)),
          asio::detached);
    }
  }
  const auto is_done = [](const WatchedPlatform& platform) {
    return platform.IsDone();
  };
  while (!std::all_of(platforms.begin(), platforms.end(), is_done)) {
    context.run_one();
  }
  Duration longest = Duration::zero();
  for (const WatchedPlatform& platform : platforms) {
    longest = std::max(longest, platform.Delay());
  }
  BOOST_TEST_MESSAGE("longest delay: " << longest.count());
  BOOST_TEST((longest <= kMaxDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
