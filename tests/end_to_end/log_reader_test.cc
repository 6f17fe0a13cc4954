// Tests, with a real process, that a node outlives the reader of its log.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// A node that writes its log to a pipe.
struct LogReaderFixture {
  LogReaderFixture() : vm(fleet.AddVm("east", "front")) {
    this->fleet.Start();
    this->vm.node_process->Kill();
    this->pipe_name = this->fleet.Folder() + "/" + this->vm.name + ".log";
    std::remove(this->pipe_name.c_str());
    BOOST_REQUIRE(::mkfifo(this->pipe_name.c_str(), S_IRUSR | S_IWUSR) == 0);
    this->OpenPipe();
    this->fleet.StartNode(this->vm);
    BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(this->vm); }));
  }
  ~LogReaderFixture() { ::close(this->pipe); }

  void OpenPipe() {
    this->pipe =
        ::open(this->pipe_name.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    BOOST_REQUIRE(this->pipe >= 0);
  }

  /// Sends a request that is refused and so gets a line in the log.
  unsigned SendRefusedRequest(const std::string& attempt_id) {
    Call call;
    call.path = "/nothing/1";
    return this->fleet.SendAttempt(this->vm, call, attempt_id).result_int();
  }

  /// Whether the log contains a text within the timeout of WaitUntil().
  bool WaitForLog(const std::string& fragment) {
    std::string log;
    return WaitUntil([&] {
      std::array<char, 4096> bytes = {};
      const ssize_t count = ::read(this->pipe, bytes.data(), bytes.size());
      if (count > 0) {
        log.append(bytes.data(), static_cast<std::size_t>(count));
      }
      return log.find(fragment) != std::string::npos;
    });
  }

  MeshFleet fleet;
  MeshVm& vm;
  std::string pipe_name;
  int pipe = -1;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(log_reader, LogReaderFixture)

BOOST_AUTO_TEST_CASE(reader_that_has_gone_ends_no_node_and_may_come_back) {
  BOOST_TEST(this->SendRefusedRequest("first") == 404);
  BOOST_TEST(this->WaitForLog("request=\"first\""));
  ::close(this->pipe);
  for (int count = 0; count < 5; ++count) {
    BOOST_TEST(this->SendRefusedRequest("unread") == 404);
  }
  BOOST_TEST(!this->vm.node_process->WaitForExit(std::chrono::milliseconds(500))
                  .has_value());
  this->OpenPipe();
  BOOST_TEST(this->SendRefusedRequest("second") == 404);
  BOOST_TEST(this->WaitForLog("request=\"second\""));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
