#include <algorithm>
#include <string>

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "state/configuration.h"
#include "state/configuration_generator.h"
#include "state/object_reader.h"
#include "state/settings.h"
#include "state/vm_list.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// The text with 1 to 5 random mutations: a character is overwritten, or up to
/// 11 characters are removed or duplicated.
std::string Mutate(std::string text) {
  const int mutation_count = *rc::gen::inRange(1, 6);
  for (int mutation = 0; mutation < mutation_count && text.size() > 8;
       ++mutation) {
    const std::size_t place =
        *rc::gen::inRange<std::size_t>(0, text.size() - 1);
    const std::size_t length = *rc::gen::inRange<std::size_t>(
        1, std::min<std::size_t>(12, text.size() - place));
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[place] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(place, length);
        break;
      default:
        text.insert(place, text.substr(place, length));
        break;
    }
  }
  return text;
}

/// Whether a document is either accepted or rejected with at least one error.
template <typename Document>
bool IsAcceptedOrReportsErrors(
    const std::string& text,
    std::optional<Document> (*read)(const boost::json::value&,
                                    ValidationErrorList&)) {
  ValidationErrorList errors("document");
  const std::optional<boost::json::value> json = ParseJson(text, errors);
  if (!json) {
    return !errors.empty();
  }
  return read(*json, errors).has_value() == errors.empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(malformed_documents)

BOOST_AUTO_TEST_CASE(damaged_answers_and_configurations) {
  const std::string answers = StandardAnswers(1);
  const std::string configuration =
      boost::json::serialize(WriteConfiguration(MakeConfiguration(answers)));
  const bool passed = rc::check([&] {
    RC_ASSERT(
        IsAcceptedOrReportsErrors(Mutate(answers), GenerateConfiguration));
    RC_ASSERT(
        IsAcceptedOrReportsErrors(Mutate(configuration), ReadConfiguration));
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(damaged_settings_and_vm_lists) {
  const std::string settings = R"({"vm": "a", "data_centre": "b",
      "service": "c", "caller_address": "10.0.0.1:1",
      "peer_address": "[::1]:2", "control_address": "10.0.0.1:3",
      "operator_address": "10.0.0.1:4", "target_address": "10.0.0.1:5",
      "platform_address": "10.0.0.1:6",
      "fleet_secret": "00112233445566778899aabbccddeeff"})";
  const std::string list = R"({"version": 3, "vms": [{"name": "a",
      "data_centre": "b", "service": "c", "caller_address": "10.0.0.1:1",
      "peer_address": "10.0.0.1:2", "control_address": "10.0.0.1:3"}]})";
  BOOST_TEST(IsAcceptedOrReportsErrors(settings, ReadSettings));
  const bool passed = rc::check([&] {
    RC_ASSERT(IsAcceptedOrReportsErrors(Mutate(settings), ReadSettings));
    RC_ASSERT(IsAcceptedOrReportsErrors(Mutate(list), ReadVmList));
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(addresses_are_ip_numbers_with_ports) {
  for (const std::string text :
       {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536",
        "localhost:80", "1.2.3:80", "1.2.3.4:8x", "[::1:80"}) {
    BOOST_TEST(!ParseAddress(text).has_value(), text);
  }
  BOOST_TEST(ParseAddress("[::1]:80")->ToString() == "[::1]:80");
  BOOST_TEST(ParseAddress("127.0.0.1:80")->port == 80);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
