// Settings of nodes in fleets that state only some of the bounds. A bound that
// was required ended every node of a fleet without it.
#include "state/mesh_settings.h"

#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "state/object_reader.h"

namespace daisywinch::test {

namespace {

constexpr char kText[] = R"({
    "interface": "mesh", "vm": "a", "data_centre": "b", "service": "c",
    "caller_address": "10.0.0.1:1", "peer_address": "10.0.0.1:2",
    "ready_address": "10.0.0.1:4", "news_address": "10.0.0.1:5",
    "operator_address": "10.0.0.1:6", "target_address": "10.0.0.1:7",
    "platform_address": "10.0.0.1:8",
    "bounds": {"drain": "3s", "grace": "7s", "retry_ratio": "0.2",
               "retry_slack": "47", "retry_window": "11s",
               "quota_window": "4s", "quota_over": "0.25",
               "quota_slack": "20", "cold_over": "1.5"}})";

MeshSettings Read(const boost::json::object& json) {
  ValidationErrorList errors("settings");
  const std::optional<MeshSettings> settings = ReadMeshSettings(json, errors);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), errors.ToString());
  return *settings;
}

/// The values of all bounds, to compare them.
std::vector<double> ToList(const MeshBounds& bounds) {
  const auto seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  return {seconds(bounds.drain),
          seconds(bounds.grace),
          bounds.retry_ratio,
          bounds.retry_slack,
          seconds(bounds.retry_window),
          seconds(bounds.quota_window),
          bounds.quota_over,
          bounds.quota_slack,
          bounds.cold_over};
}

boost::json::object Settings() {
  return boost::json::parse(kText).as_object();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(mesh_settings)

BOOST_AUTO_TEST_CASE(each_bound_may_be_missing_or_empty) {
  const boost::json::object settings = Settings();
  const std::vector<double> stated = ToList(Read(settings).bounds);
  const std::vector<double> defaults = ToList(MeshBounds());
  const std::vector<std::string> names = {
      "drain",       "grace",        "retry_ratio",
      "retry_slack", "retry_window", "quota_window",
      "quota_over",  "quota_slack",  "cold_over"};
  for (std::size_t index = 0; index < names.size(); ++index) {
    std::vector<double> expected = stated;
    expected[index] = defaults[index];
    boost::json::object missing = settings;
    missing["bounds"].as_object().erase(names[index]);
    BOOST_TEST(ToList(Read(missing).bounds) == expected, names[index]);
    boost::json::object empty = settings;
    empty["bounds"].as_object()[names[index]] = "";
    BOOST_TEST(ToList(Read(empty).bounds) == expected, names[index]);
  }
}

BOOST_AUTO_TEST_CASE(all_bounds_may_be_missing) {
  boost::json::object settings = Settings();
  settings["bounds"] = boost::json::object();
  BOOST_TEST(ToList(Read(settings).bounds) == ToList(MeshBounds()));
  settings.erase("bounds");
  BOOST_TEST(ToList(Read(settings).bounds) == ToList(MeshBounds()));
}

BOOST_AUTO_TEST_CASE(wrong_bounds_are_reported_with_their_place) {
  for (const char* const name : {"cold_over", "retry_slack", "drain"}) {
    for (const char* const value : {"\"much\"", "\"-1\"", "\"1.5x\"", "[]"}) {
      boost::json::object settings = Settings();
      settings["bounds"].as_object()[name] = boost::json::parse(value);
      ValidationErrorList errors("settings");
      BOOST_TEST(!ReadMeshSettings(settings, errors).has_value());
      BOOST_TEST(errors.ToString().find("/bounds/" + std::string(name)) !=
                     std::string::npos,
                 errors.ToString());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
