#ifndef DAISYWINCH_TESTS_STANDINS_STORE_H
#define DAISYWINCH_TESTS_STANDINS_STORE_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"
#include "transport/http_server.h"

namespace daisywinch::test {

/// Stand-in for the store of the users' platform: keys with revisions that can
/// be listed page by page and watched.
///
/// Paths that begin with /test/ are for tests. PUT /test/key?Key=NAME writes a
/// key and DELETE removes it. /test/mode?down=1 rejects all reads until down=0
/// is set; gone=1 drops the history of changes, as compaction does.
/// /test/restore?revision=N brings back the state of an earlier revision and
/// begins a new era; later revisions are given out again.
class Store {
 public:
  Store(asio::io_context& context, const Address& address);

  bool Listen();

 private:
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
  };

  Awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse List(const std::string& target) const;
  Awaitable<HttpResponse> Watch(std::string target);
  HttpResponse HandleTestRequest(const HttpRequest& request);
  void Apply(Change change);
  /// Writes or removes the key of a change that has a revision.
  void ApplyToItems(const Change& change);
  void Restore(std::uint64_t target_revision);
  HttpResponse MakeResponse(boost::json::object body) const;
  static boost::json::object ToJson(const Change& change);

  asio::io_context& context;
  Address address;
  HttpServer server;
  std::map<std::string, Change> items;
  /// All changes; those up to `compacted_revision` can't be watched.
  std::vector<Change> history;
  std::uint64_t revision = 1;
  /// Number of the copy that the store runs on.
  std::uint64_t era = 1;
  std::uint64_t compacted_revision = 0;
  bool is_down = false;
  std::uint64_t read_count = 0;
  std::list<std::weak_ptr<Timer>> watch_timers;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_STORE_H
