#include "state/configuration_generator.h"

#include <boost/test/unit_test.hpp>

#include "state/configuration_difference.h"
#include "state/object_reader.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// The errors in answers to the questionnaire, one per line.
std::string ErrorsOf(const std::string& answers) {
  ValidationErrorList errors("answers.json");
  const std::optional<boost::json::value> json = ParseJson(answers, errors);
  if (json) {
    GenerateConfiguration(*json, errors);
  }
  return errors.ToString();
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
  ValidationErrorList errors("again");
  const std::optional<Configuration> again =
      ReadConfiguration(WriteConfiguration(configuration), errors);
  BOOST_TEST_REQUIRE(again.has_value());
  BOOST_TEST(DescribeDifference(configuration, *again).empty());
}

BOOST_AUTO_TEST_CASE(every_error_of_a_file_is_reported_with_its_location) {
  std::string text = StandardAnswers(1);
  text = Replace(text, "\"burst_calls\": 2000", "\"burst_calls\": -1");
  text = Replace(text, "\"service\": \"back\"", "\"service\": \"bakc\"");
  text = Replace(text, "\"retired\": true", "\"retird\": true");
  text = Replace(text, "\"path\": \"/map\"", "\"path\": 7");
  const std::string errors = ErrorsOf(text);
  BOOST_TEST(Contains(errors, "/customers/0/burst_calls: is out of range"));
  BOOST_TEST(Contains(errors, "/routes/4/retird: is not a known field"));
  BOOST_TEST(Contains(errors, "/routes/1/path: is not a string"));
}

BOOST_AUTO_TEST_CASE(unknown_and_duplicate_names_are_reported) {
  std::string text = StandardAnswers(1);
  text = Replace(text, "\"service\": \"back\"", "\"service\": \"bakc\"");
  text = Replace(text, "\"name\": \"book\"", "\"name\": \"reserve\"");
  text = Replace(text, "[\"book\", \"reserve\"]", "[\"reserve\"]");
  const std::string errors = ErrorsOf(text);
  BOOST_TEST(Contains(errors, "names the unknown service \"bakc\""));
  BOOST_TEST(Contains(errors, "/routes/6: repeats the name \"reserve\""));
}

BOOST_AUTO_TEST_CASE(syntax_errors_are_reported_by_line_and_column) {
  BOOST_TEST(Contains(ErrorsOf("{\n  \"deployment\": "), "line 2, column 17"));
  BOOST_TEST(Contains(ErrorsOf("{} {}"), "line 1, column 4"));
}

BOOST_AUTO_TEST_CASE(difference_lists_added_changed_and_removed_items) {
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
