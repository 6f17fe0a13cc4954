// Reads a scripted store, whose responses belong to different eras.
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "coordination/mesh_directory.h"
#include "node/store_watcher.h"
#include "state/clock.h"
#include "transport/http_server.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 1;

/// A response with the given items or events, which are JSON.
HttpResponse MakePage(std::uint64_t era,
                      std::uint64_t revision,
                      const std::string& content) {
  HttpResponse response(http::status::ok, 11);
  response.set("Store-Era", std::to_string(era));
  response.body() =
      "{\"StoreRevision\":" + std::to_string(revision) + "," + content + "}";
  response.prepare_payload();
  return response;
}

HttpResponse MakeGone(std::uint64_t era) {
  HttpResponse response(http::status::gone, 11);
  response.set("Store-Era", std::to_string(era));
  response.prepare_payload();
  return response;
}

/// An item for an evacuated data centre, which has no value.
std::string EvacuationOf(const std::string& data_centre, int revision) {
  return R"({"Key":"op/evacuate/)" + data_centre + R"(","Rev":)" +
         std::to_string(revision) + "}";
}

struct ScriptFixture {
  using Script = std::function<Awaitable<HttpResponse>(std::string)>;

  ScriptFixture()
      : address{"127.0.1." + std::to_string(::getpid() % 200 + 1), 7900},
        server(
            context,
            HttpLimits(),
            [this](HttpRequest request,
                   std::shared_ptr<Cancellation>) -> Awaitable<HttpResponse> {
              co_return co_await this->script(std::string(request.target()));
            }),
        watcher(context, clock, address, kSeed, directory, [] {}) {
    BOOST_REQUIRE(!this->server.Listen(this->address));
  }

  Awaitable<> Wait(Duration time) {
    Timer timer(this->context, time);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }

  void Run(Duration time) {
    this->watcher.Start();
    this->context.run_for(time);
  }

  asio::io_context context{1};
  SystemClock clock;
  Address address;
  Script script;
  HttpServer server;
  MeshDirectory directory;
  StoreWatcher watcher;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_watcher, ScriptFixture)

BOOST_AUTO_TEST_CASE(pages_of_different_eras_are_not_mixed) {
  int lists = 0;
  this->script = [&](std::string target) -> Awaitable<HttpResponse> {
    if (target.starts_with("/kv-watch")) {
      co_await this->Wait(milliseconds(200));
      co_return MakePage(2, 30, R"("events":[])");
    }
    if (target.find("servers") != std::string::npos) {
      co_await this->Wait(milliseconds(200));
      co_return MakePage(2, 30, R"("items":[])");
    }
    if (++lists == 1) {
      co_return MakePage(
          1, 50, R"("HasMore":true,"items":[)" + EvacuationOf("east", 9) + "]");
    }
    co_return MakePage(2, 30, R"("items":[)" + EvacuationOf("west", 30) + "]");
  };
  this->Run(milliseconds(600));
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
  BOOST_TEST(!this->directory.IsEvacuated("east"));
  BOOST_TEST(this->directory.IsEvacuated("west"));
}

BOOST_AUTO_TEST_CASE(late_response_of_an_earlier_era_is_discarded) {
  bool is_late = true;
  this->script = [&](std::string target) -> Awaitable<HttpResponse> {
    if (target.starts_with("/kv-watch")) {
      co_await this->Wait(milliseconds(200));
      co_return MakePage(2, 30, R"("events":[])");
    }
    if (target.find("servers") != std::string::npos) {
      co_return MakePage(2, 30, R"("items":[])");
    }
    if (std::exchange(is_late, false)) {
      co_await this->Wait(milliseconds(200));
      co_return MakePage(1, 50, R"("items":[)" + EvacuationOf("east", 9) + "]");
    }
    co_return MakePage(2, 30, R"("items":[])");
  };
  this->Run(milliseconds(900));
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
  BOOST_TEST(!this->directory.IsEvacuated("east"));
}

// The long poll hangs while the store is restored.
BOOST_AUTO_TEST_CASE(both_prefixes_are_read_when_a_poll_misses_a_new_era) {
  std::uint64_t era = 1;
  int target_lists = 0;
  int operator_lists = 0;
  int watches_in_new_era = 0;
  this->script = [&](std::string target) -> Awaitable<HttpResponse> {
    const bool is_target = target.find("servers") != std::string::npos;
    if (target.starts_with("/kv-range")) {
      ++(is_target ? target_lists : operator_lists);
      co_return MakePage(era, era == 1 ? 50 : 30, R"("items":[])");
    }
    if (era == 1) {
      co_await this->Wait(std::chrono::seconds(7));
    }
    ++watches_in_new_era;
    co_await this->Wait(milliseconds(100));
    co_return MakePage(era, era == 1 ? 50 : 30, R"("events":[])");
  };
  this->Run(milliseconds(1000));
  BOOST_TEST(target_lists == 1);
  BOOST_TEST(operator_lists == 1);
  era = 2;
  this->context.run_for(milliseconds(2500));
  BOOST_TEST(target_lists == 2);
  BOOST_TEST(operator_lists == 2);
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
  BOOST_TEST(watches_in_new_era > 0);
}

// The store has already given out again the revision that this node knows.
BOOST_AUTO_TEST_CASE(events_of_a_new_era_do_not_replace_a_list) {
  std::uint64_t era = 1;
  this->script = [&](std::string target) -> Awaitable<HttpResponse> {
    const bool is_target = target.find("servers") != std::string::npos;
    if (target.starts_with("/kv-range")) {
      const bool has_record = !is_target && era == 2;
      co_return MakePage(
          era, era == 1 ? 50 : 60,
          R"("items":[)" + (has_record ? EvacuationOf("east", 45) : "") + "]");
    }
    co_await this->Wait(milliseconds(100));
    co_return MakePage(era, era == 1 ? 50 : 60, R"("events":[])");
  };
  this->Run(milliseconds(500));
  era = 2;
  this->context.run_for(milliseconds(1000));
  BOOST_TEST(this->directory.IsEvacuated("east"));
}

BOOST_AUTO_TEST_CASE(lost_history_in_a_new_era_makes_the_node_list_again) {
  std::uint64_t era = 1;
  this->script = [&](std::string target) -> Awaitable<HttpResponse> {
    if (target.starts_with("/kv-range")) {
      co_return MakePage(era, era == 1 ? 50 : 30, R"("items":[])");
    }
    co_await this->Wait(milliseconds(100));
    if (target.find("after=50") != std::string::npos && era == 2) {
      co_return MakeGone(era);
    }
    co_return MakePage(era, era == 1 ? 50 : 30, R"("events":[])");
  };
  this->Run(milliseconds(500));
  era = 2;
  this->context.run_for(milliseconds(1000));
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
}

protocol::StoreNews MakeForwarded(std::uint64_t era, std::uint64_t after) {
  protocol::StoreNews update;
  update.set_relay("127.0.0.9");
  update.set_is_reachable(true);
  protocol::PrefixNews* prefix = update.add_prefixes();
  prefix->set_prefix("op/");
  prefix->set_era(era);
  prefix->set_after(after);
  prefix->set_last_change(after + 1);
  prefix->set_up_to(after + 1);
  protocol::StoreChange* change = prefix->add_changes();
  change->set_key("op/evacuate/east");
  change->set_revision(after + 1);
  return update;
}

struct FedFixture : ScriptFixture {
  FedFixture() {
    this->script = [this](std::string target) -> Awaitable<HttpResponse> {
      if (this->is_down) {
        co_await this->Wait(std::chrono::seconds(20));
      }
      if (target.starts_with("/kv-watch")) {
        co_await this->Wait(milliseconds(100));
        co_return MakePage(2, 30, R"("events":[])");
      }
      co_return MakePage(2, 30, R"("items":[])");
    };
    this->Run(milliseconds(400));
    this->is_down = true;
  }

  bool is_down = false;
};

BOOST_FIXTURE_TEST_CASE(changes_of_a_relay_in_an_earlier_era_are_ignored,
                        FedFixture) {
  this->watcher.ApplyStoreUpdate(MakeForwarded(1, 80));
  BOOST_TEST(!this->directory.IsEvacuated("east"));
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
}

BOOST_FIXTURE_TEST_CASE(changes_of_a_relay_in_the_same_era_are_applied,
                        FedFixture) {
  this->watcher.ApplyStoreUpdate(MakeForwarded(2, 30));
  BOOST_TEST(this->directory.IsEvacuated("east"));
}

// The node can't reach the store and so can't list the new era.
BOOST_FIXTURE_TEST_CASE(changes_of_a_relay_in_a_later_era_leave_the_position,
                        FedFixture) {
  this->watcher.ApplyStoreUpdate(MakeForwarded(3, 20));
  BOOST_TEST(this->directory.IsEvacuated("east"));
  BOOST_TEST(
      (this->directory.ExpiryGraceLeft(this->clock.Now()) > Duration::zero()));
  const StorePosition expected = {2, 30};
  BOOST_TEST((this->watcher.Position() == expected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
