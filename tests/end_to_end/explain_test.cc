// Tests that "daisywinch explain" finds the cause of a failure in the logs of
// the nodes by the id of the request. The first three cases are the examples of
// docs/OPERATIONS.md: over the customer's rate, timed out at the target, and
// lost with its gate.
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

struct ExplainFixture {
  ExplainFixture()
      : ingress(fleet.AddVm("east", "front")),
        gate(fleet.AddVm("east", "back")) {
    this->fleet.Start();
  }

  /// Returns the output of "daisywinch explain" for a request and the logs of
  /// both nodes.
  std::string Explain(const std::string& request) {
    const std::string output = this->fleet.Folder() + "/explain.txt";
    std::filesystem::remove(output);
    Process explain(
        std::string(std::getenv("DAISYWINCH_BINARIES")) + "/daisywinch",
        {"explain", "--request=" + request,
         "--logs=" + this->fleet.Folder() + "/" + ingress.name + ".log," +
             this->fleet.Folder() + "/" + gate.name + ".log"},
        output);
    explain.WaitForExit(std::chrono::seconds(5));
    std::ifstream file(output);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  /// Waits until the explanation contains a text, as log lines are written with
  /// a delay. Returns false after 3 seconds.
  bool ExplanationContains(const std::string& request,
                           const std::string& text) {
    return WaitUntil(
        [&] { return this->Explain(request).find(text) != std::string::npos; },
        std::chrono::seconds(3));
  }

  Call MakeStockCall() const {
    Call call;
    call.path = "/stock/1";
    return call;
  }

  MeshFleet fleet;
  MeshVm& ingress;
  MeshVm& gate;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(explain, ExplainFixture)

BOOST_AUTO_TEST_CASE(refusal_over_the_customer_rate_shows_reason_and_account) {
  Call call;
  call.path = "/look/1";
  call.key = "key-of-clinic";
  std::string refused;
  for (int count = 0; count < 60 && refused.empty(); ++count) {
    const std::string id = "rate-" + std::to_string(count);
    if (this->fleet.SendAttempt(this->ingress, call, id).result_int() == 429) {
      refused = id;
    }
  }
  BOOST_REQUIRE(!refused.empty());
  BOOST_TEST(this->ExplanationContains(refused, "reason=\"106\""));
  BOOST_TEST(this->ExplanationContains(refused, "customer-over-rate"));
  BOOST_TEST(this->ExplanationContains(refused, "account=\"tokens"));
}

BOOST_AUTO_TEST_CASE(timeout_at_a_target_shows_reason_outcome_and_target) {
  this->fleet.SetTargetBehaviour(this->gate, "hangs=1");
  BOOST_TEST(
      this->fleet.SendAttempt(this->ingress, this->MakeStockCall(), "slow-1")
          .result_int() == 504);
  BOOST_TEST(this->ExplanationContains("slow-1", "reason=\"302\""));
  BOOST_TEST(this->ExplanationContains("slow-1", "outcome=\"unknown\""));
  BOOST_TEST(this->ExplanationContains("slow-1", "targets=\"i-2\""));
}

BOOST_AUTO_TEST_CASE(loss_with_a_killed_gate_shows_the_reason) {
  this->fleet.SetTargetBehaviour(this->gate, "hangs=1");
  unsigned status = 0;
  std::thread caller([&] {
    status =
        this->fleet.SendAttempt(this->ingress, this->MakeStockCall(), "lost-1")
            .result_int();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->gate.node_process->Kill();
  caller.join();
  BOOST_TEST(status == 502);
  BOOST_TEST(this->ExplanationContains("lost-1", "reason=\"301\""));
}

BOOST_AUTO_TEST_CASE(request_without_log_lines_gets_a_suggestion) {
  const std::string explanation = this->Explain("nobody");
  BOOST_TEST(explanation.find("no line tells of request nobody") !=
             std::string::npos);
  BOOST_TEST(explanation.find("--logs") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
