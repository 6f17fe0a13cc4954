#include <fstream>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "state/event_log.h"
#include "state/refusal.h"

namespace daisywinch::test {

namespace {

std::string SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInformation:
      return "information";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "";
}

std::string ReadCatalogue() {
  std::ostringstream text;
  text << std::ifstream(DAISYWINCH_SOURCE_FOLDER "/docs/EVENTS.md").rdbuf();
  return text.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_catalogue)

BOOST_AUTO_TEST_CASE(page_lists_every_event) {
  const std::string page = ReadCatalogue();
  for (const EventDescription& event : AllEvents()) {
    const std::string row =
        "| " + std::to_string(static_cast<std::uint32_t>(event.id)) + " | " +
        SeverityName(event.severity) + " | " + std::string(event.name) + " | " +
        std::string(event.meaning) + " |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

BOOST_AUTO_TEST_CASE(page_lists_every_refusal) {
  const std::string page = ReadCatalogue();
  for (const Refusal& refusal : AllRefusals()) {
    const std::string row =
        "| " + std::to_string(static_cast<std::uint32_t>(refusal.reason)) +
        " | " + std::to_string(refusal.status) + " | " +
        std::string(ToString(refusal.execution)) + " | " +
        std::string(refusal.title) + " |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

BOOST_AUTO_TEST_CASE(numbers_are_used_once) {
  std::set<std::uint32_t> numbers;
  for (const EventDescription& event : AllEvents()) {
    BOOST_TEST(numbers.insert(static_cast<std::uint32_t>(event.id)).second);
  }
  for (const Refusal& refusal : AllRefusals()) {
    BOOST_TEST(
        numbers.insert(static_cast<std::uint32_t>(refusal.reason)).second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
