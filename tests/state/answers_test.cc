#include "state/answers.h"

#include <boost/test/unit_test.hpp>

#include "state/configuration_difference.h"
#include "state/object_reader.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// The faults of answers, a line each.
std::string FaultsOf(const std::string& answers) {
  FaultList faults("answers.json");
  const std::optional<boost::json::value> json = ParseJson(answers, faults);
  if (json) {
    GenerateConfiguration(*json, faults);
  }
  return faults.ToString();
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t position = text.find(from);
  BOOST_REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(valid_answers_give_a_valid_configuration) {
  const Configuration configuration = MakeConfiguration(StandardAnswers(3));
  BOOST_TEST(configuration.version == 3);
  BOOST_TEST(configuration.data_centres.size() == 2);
  BOOST_TEST(configuration.data_centres[0].share == 0.5);
  BOOST_TEST(
      (configuration.routes[2].request_class == RequestClass::kImportant));
  FaultList faults("again");
  const std::optional<Configuration> again =
      ReadConfiguration(WriteConfiguration(configuration), faults);
  BOOST_TEST_REQUIRE(again.has_value());
  BOOST_TEST(DescribeDifference(configuration, *again).empty());
}

BOOST_AUTO_TEST_CASE(every_fault_of_a_file_is_told_with_its_place) {
  std::string text = StandardAnswers(1);
  text = Replace(text, "\"burst_calls\": 2000", "\"burst_calls\": -1");
  text = Replace(text, "\"service\": \"back\"", "\"service\": \"bakc\"");
  text = Replace(text, "\"retired\": true", "\"retird\": true");
  text = Replace(text, "\"path\": \"/map\"", "\"path\": 7");
  const std::string faults = FaultsOf(text);
  BOOST_TEST(Contains(faults, "/customers/0/burst_calls: is out of range"));
  BOOST_TEST(Contains(faults, "/routes/4/retird: is not a known field"));
  BOOST_TEST(Contains(faults, "/routes/1/path: is not a string"));
}

BOOST_AUTO_TEST_CASE(dangling_and_repeated_names_are_told) {
  std::string text = StandardAnswers(1);
  text = Replace(text, "\"service\": \"back\"", "\"service\": \"bakc\"");
  text = Replace(text, "\"name\": \"book\"", "\"name\": \"reserve\"");
  text = Replace(text, "[\"book\", \"reserve\"]", "[\"reserve\"]");
  const std::string faults = FaultsOf(text);
  BOOST_TEST(Contains(faults, "names the unknown service \"bakc\""));
  BOOST_TEST(Contains(faults, "/routes/6: repeats the name \"reserve\""));
}

BOOST_AUTO_TEST_CASE(text_that_is_cut_off_is_told_by_line_and_column) {
  BOOST_TEST(Contains(FaultsOf("{\n  \"deployment\": "), "line 2, column 17"));
  BOOST_TEST(Contains(FaultsOf("{} {}"), "line 1, column 4"));
}

BOOST_AUTO_TEST_CASE(difference_names_what_was_added_changed_and_removed) {
  const Configuration before = MakeConfiguration(StandardAnswers(1));
  const Configuration after = MakeConfiguration(
      Replace(Replace(StandardAnswers(2), "\"name\": \"stock\"",
                      "\"name\": \"stocks\""),
              "\"burst_calls\": 2000", "\"burst_calls\": 1000"));
  const std::string difference = DescribeDifference(before, after);
  BOOST_TEST(Contains(difference, "added routes \"stocks\""));
  BOOST_TEST(Contains(difference, "removed routes \"stock\""));
  BOOST_TEST(Contains(difference, "changed customers \"school\""));
  BOOST_TEST(!Contains(difference, "clinic\":"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
