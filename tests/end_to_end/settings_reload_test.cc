// Tests, with real processes, what signals and a changed settings file do to a
// running node.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// Time between two signals, so that they are not merged into one.
constexpr milliseconds kSignalInterval{30};
constexpr char kReloaded[] = " 1009 settings-reloaded ";
constexpr char kRefused[] = " 1010 settings-refused ";
constexpr char kNeedRestart[] = " 1011 settings-need-restart ";

std::size_t Count(const std::string& text, const std::string& fragment) {
  std::size_t count = 0;
  for (std::size_t place = text.find(fragment); place != std::string::npos;
       place = text.find(fragment, place + 1)) {
    ++count;
  }
  return count;
}

void SendSignals(const Process& process, const std::vector<int>& signals) {
  for (const int signal : signals) {
    process.Signal(signal);
    std::this_thread::sleep_for(kSignalInterval);
  }
}

bool IsRunning(Process& process) {
  return !process.WaitForExit(milliseconds(100)).has_value();
}

struct MeshReloadFixture {
  MeshReloadFixture() : vm(fleet.AddVm("east", "front")) {
    this->fleet.Start();
  }

  unsigned LookUp() {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return this->fleet.SendAttempt(this->vm, call).result_int();
  }

  std::size_t CountInLog(const std::string& fragment) {
    return Count(this->fleet.ReadNodeLog(this->vm), fragment);
  }

  bool WaitForLog(const std::string& fragment, std::size_t count = 1) {
    return WaitUntil([&] { return this->CountInLog(fragment) >= count; });
  }

  /// Starts the node anew with a pipe as its settings file and returns the end
  /// to write to, once the node waits for the settings.
  int StartNodeOnPipe() {
    this->vm.node_process->Kill();
    const std::string file = this->fleet.SettingsFile(this->vm);
    std::remove(file.c_str());
    BOOST_REQUIRE(::mkfifo(file.c_str(), S_IRUSR | S_IWUSR) == 0);
    this->fleet.RunNode(this->vm);
    int pipe = -1;
    BOOST_REQUIRE(WaitUntil([&] {
      pipe = ::open(file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return pipe >= 0;
    }));
    return pipe;
  }

  /// Writes the usual settings to the pipe, and puts a file with `settings` in
  /// its place before the node can read them.
  void ReplacePipe(int pipe, const boost::json::object& settings) {
    const std::string file = this->fleet.SettingsFile(this->vm);
    std::remove(file.c_str());
    this->Write(settings);
    const std::string text =
        boost::json::serialize(this->fleet.MakeSettings(this->vm));
    BOOST_TEST(::write(pipe, text.data(), text.size()) ==
               static_cast<ssize_t>(text.size()));
    ::close(pipe);
  }

  void Write(const boost::json::object& settings) {
    this->fleet.WriteSettings(this->vm, boost::json::serialize(settings));
  }

  MeshFleet fleet;
  MeshVm& vm;
};

struct HandleReloadFixture {
  HandleReloadFixture() : vm(fleet.AddVm("east", "front")) {
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  unsigned LookUp() {
    Call call;
    call.path = "/points/7";
    call.key = ApiKeyForCustomer("school");
    return Send(this->vm.caller_address, call).result_int();
  }

  std::size_t CountInLog(const std::string& fragment) {
    return Count(this->fleet.ReadNodeLog(this->vm), fragment);
  }

  bool WaitForLog(const std::string& fragment, std::size_t count = 1) {
    return WaitUntil([&] { return this->CountInLog(fragment) >= count; });
  }

  TestFleet fleet;
  TestVm& vm;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_reload)

BOOST_FIXTURE_TEST_CASE(hangup_signal_ends_no_request, MeshReloadFixture) {
  this->fleet.SetTargetBehaviour(this->vm, "service_ms=800");
  unsigned status = 0;
  std::thread caller([&] { status = this->LookUp(); });
  std::this_thread::sleep_for(milliseconds(200));
  SendSignals(*this->vm.node_process,
              {SIGHUP, SIGHUP, SIGUSR1, SIGUSR2, SIGPIPE, SIGHUP});
  caller.join();
  BOOST_TEST(status == 200);
  BOOST_TEST(IsRunning(*this->vm.node_process));
  BOOST_TEST(this->WaitForLog(std::string(kReloaded) + "cause=\"SIGHUP\"", 3));
  BOOST_TEST(this->CountInLog(kNeedRestart) == 0);
  BOOST_TEST(this->LookUp() == 200);
}

BOOST_FIXTURE_TEST_CASE(hangup_signal_ends_no_request_on_the_handle_interface,
                        HandleReloadFixture) {
  this->fleet.SetTargetBehaviour(this->vm, "service_ms=800");
  unsigned status = 0;
  std::thread caller([&] { status = this->LookUp(); });
  std::this_thread::sleep_for(milliseconds(200));
  SendSignals(*this->vm.node_process,
              {SIGHUP, SIGHUP, SIGUSR1, SIGUSR2, SIGPIPE, SIGHUP});
  caller.join();
  BOOST_TEST(status == 200);
  BOOST_TEST(IsRunning(*this->vm.node_process));
  BOOST_TEST(this->WaitForLog(std::string(kReloaded) + "cause=\"SIGHUP\"", 3));
  BOOST_TEST(this->CountInLog(kNeedRestart) == 0);
}

BOOST_FIXTURE_TEST_CASE(signals_end_no_drain, MeshReloadFixture) {
  this->fleet.SetTargetBehaviour(this->vm, "service_ms=1500");
  unsigned status = 0;
  std::thread caller([&] { status = this->LookUp(); });
  std::this_thread::sleep_for(milliseconds(200));
  SendSignals(*this->vm.node_process,
              {SIGTERM, SIGHUP, SIGTERM, SIGUSR1, SIGHUP, SIGTERM, SIGINT});
  caller.join();
  BOOST_TEST(status == 200);
  BOOST_TEST(IsRunning(*this->vm.node_process));
  SendSignals(*this->vm.node_process, {SIGHUP, SIGTERM});
  const std::optional<int> exit_status =
      this->vm.node_process->WaitForExit(std::chrono::seconds(7));
  BOOST_TEST((exit_status == 0));
  BOOST_TEST(this->CountInLog(" 1003 shutdown-started") == 1);
  BOOST_TEST(this->CountInLog(kReloaded) == 3);
}

BOOST_FIXTURE_TEST_CASE(signals_during_the_start_end_no_node,
                        MeshReloadFixture) {
  const int pipe = this->StartNodeOnPipe();
  SendSignals(*this->vm.node_process, {SIGHUP, SIGUSR1, SIGHUP});
  BOOST_REQUIRE(IsRunning(*this->vm.node_process));
  this->ReplacePipe(pipe, this->fleet.MakeSettings(this->vm));
  while (!this->fleet.IsReady(this->vm)) {
    BOOST_REQUIRE(IsRunning(*this->vm.node_process));
    this->vm.node_process->Signal(SIGHUP);
  }
  BOOST_TEST(this->LookUp() == 200);
}

BOOST_FIXTURE_TEST_CASE(file_changed_during_the_start_is_noticed,
                        MeshReloadFixture) {
  const int pipe = this->StartNodeOnPipe();
  boost::json::object settings = this->fleet.MakeSettings(this->vm);
  settings["bounds"].as_object()["grace"] = "5s";
  this->ReplacePipe(pipe, settings);
  BOOST_TEST(this->WaitForLog("cause=\"change\" applied=\"bounds.grace\""));
}

BOOST_FIXTURE_TEST_CASE(changed_bounds_take_effect, MeshReloadFixture) {
  boost::json::object settings = this->fleet.MakeSettings(this->vm);
  settings["bounds"].as_object()["grace"] = "2s";
  settings["first_start"] = true;
  this->Write(settings);
  this->vm.node_process->Signal(SIGHUP);
  BOOST_TEST(this->WaitForLog("applied=\"bounds.grace\""));
  const TimePoint stopped_at = BootTime::now();
  this->vm.node_process->Signal(SIGTERM);
  const std::optional<int> exit_status =
      this->vm.node_process->WaitForExit(std::chrono::seconds(7));
  BOOST_TEST((exit_status == 0));
  // With the grace period at the start, an idle node drains for 3 s.
  BOOST_TEST((BootTime::now() - stopped_at < milliseconds(2500)));
}

BOOST_FIXTURE_TEST_CASE(changed_shutdown_timeout_takes_effect,
                        HandleReloadFixture) {
  boost::json::object settings = this->fleet.MakeSettings(this->vm);
  settings["shutdown_seconds"] = 1;
  this->fleet.WriteSettings(this->vm, boost::json::serialize(settings));
  BOOST_TEST(this->WaitForLog("cause=\"change\" applied=\"shutdown_seconds\""));
  this->fleet.SetTargetBehaviour(this->vm, "service_ms=4000");
  std::thread caller([&] { this->LookUp(); });
  std::this_thread::sleep_for(milliseconds(300));
  const TimePoint stopped_at = BootTime::now();
  this->vm.node_process->Signal(SIGTERM);
  BOOST_TEST(
      this->vm.node_process->WaitForExit(std::chrono::seconds(7)).has_value());
  BOOST_TEST((BootTime::now() - stopped_at < milliseconds(2500)));
  BOOST_TEST(this->CountInLog(" 1005 shutdown-timed-out") == 1);
  caller.join();
}

BOOST_FIXTURE_TEST_CASE(changed_file_is_noticed_without_a_signal,
                        MeshReloadFixture) {
  LinkFault stall;
  stall.stalls_to_server = true;
  stall.stalls_to_client = true;
  this->vm.store_proxy->SetFault(stall);
  boost::json::object settings = this->fleet.MakeSettings(this->vm);
  settings["platform_address"] = this->fleet.StoreAddress().ToString();
  this->Write(settings);
  BOOST_TEST(this->WaitForLog("cause=\"change\" applied=\"platform_address\""));
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(WaitUntil([&] { return this->LookUp() == 401; }));
}

BOOST_FIXTURE_TEST_CASE(cut_off_file_leaves_the_settings_in_force,
                        MeshReloadFixture) {
  const boost::json::object settings = this->fleet.MakeSettings(this->vm);
  const std::string text = boost::json::serialize(settings);
  this->fleet.WriteSettings(this->vm, text.substr(0, text.size() / 2));
  BOOST_TEST(this->WaitForLog(kRefused));
  // Several checks pass.
  std::this_thread::sleep_for(milliseconds(2500));
  BOOST_TEST(this->CountInLog(kRefused) == 1);
  this->vm.node_process->Signal(SIGHUP);
  BOOST_TEST(this->WaitForLog(std::string(kRefused) + "cause=\"SIGHUP\""));
  BOOST_TEST(this->LookUp() == 200);

  boost::json::object faulty = settings;
  faulty["peer_address"] = "nowhere";
  faulty["bounds"].as_object()["grace"] = "soon";
  this->Write(faulty);
  BOOST_TEST(this->WaitForLog("/peer_address: is not an address"));
  BOOST_TEST(this->WaitForLog("/bounds/grace: is not a duration"));

  std::remove(this->fleet.SettingsFile(this->vm).c_str());
  BOOST_TEST(this->WaitForLog("cannot be read"));
  BOOST_TEST(this->LookUp() == 200);

  boost::json::object moved = settings;
  moved["service"] = "back";
  moved["bounds"].as_object()["retry_ratio"] = 0.3;
  this->Write(moved);
  BOOST_TEST(this->WaitForLog("applied=\"bounds.retry_ratio\""));
  BOOST_TEST(this->WaitForLog(std::string(kNeedRestart) +
                              "cause=\"change\" fields=\"service\""));
  BOOST_TEST(this->LookUp() == 200);
  const boost::json::value status =
      GetJson(this->vm.operator_address, "/status");
  BOOST_TEST(status.at("service").as_string() == "front");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
