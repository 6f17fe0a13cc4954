#include "state/settings_update.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "state/object_reader.h"

namespace daisywinch::test {

namespace {

constexpr char kMeshText[] = R"({
    "interface": "mesh", "vm": "a", "data_centre": "b", "service": "c",
    "caller_address": "10.0.0.1:1", "peer_address": "10.0.0.1:2",
    "peer_port": 3, "ready_address": "10.0.0.1:4",
    "news_address": "10.0.0.1:5", "operator_address": "10.0.0.1:6",
    "target_address": "10.0.0.1:7", "platform_address": "10.0.0.1:8",
    "first_start": true,
    "bounds": {"drain": "2s", "grace": "6s", "retry_ratio": 0.2,
               "retry_slack": 47, "retry_window": "10s",
               "quota_window": "5s", "quota_over": 0.25, "quota_slack": 20,
               "cold_over": 1.5}})";

constexpr char kHandleText[] = R"({
    "vm": "a", "data_centre": "b", "service": "c",
    "caller_address": "10.0.0.1:1", "peer_address": "10.0.0.1:2",
    "control_address": "10.0.0.1:3", "operator_address": "10.0.0.1:4",
    "target_address": "10.0.0.1:5", "platform_address": "10.0.0.1:6",
    "fleet_secret": "00112233445566778899aabbccddeeff",
    "shutdown_seconds": 30, "body_limit_bytes": 4096})";

boost::json::object Parse(const char* text) {
  return boost::json::parse(text).as_object();
}

template <typename SettingsType>
SettingsType Read(const boost::json::object& json,
                  std::optional<SettingsType> (*read)(const boost::json::value&,
                                                      ValidationErrorList&)) {
  ValidationErrorList errors("settings");
  const std::optional<SettingsType> settings = read(json, errors);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), errors.ToString());
  return *settings;
}

/// Another valid value of a field.
boost::json::value ChangeValue(const boost::json::value& value) {
  if (value.is_bool()) {
    return !value.as_bool();
  }
  if (value.is_double()) {
    return value.as_double() + 0.5;
  }
  if (value.is_int64()) {
    return value.as_int64() + 1;
  }
  const std::string text(value.as_string());
  if (text.find(':') != std::string::npos) {
    return boost::json::string("10.0.0.2:99");
  }
  // Durations keep their unit, and a secret its digits.
  return boost::json::string("1" + text);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_update)

BOOST_AUTO_TEST_CASE(equal_settings_change_nothing) {
  const MeshSettings mesh = Read(Parse(kMeshText), ReadMeshSettings);
  BOOST_TEST(UpdateSettings(mesh, mesh).applied_fields.empty());
  BOOST_TEST(UpdateSettings(mesh, mesh).restart_fields.empty());
  const Settings handle = Read(Parse(kHandleText), ReadSettings);
  BOOST_TEST(UpdateSettings(handle, handle).applied_fields.empty());
  BOOST_TEST(UpdateSettings(handle, handle).restart_fields.empty());
}

// Guards against a field whose change is neither applied nor reported.
BOOST_AUTO_TEST_CASE(every_changed_field_is_applied_or_needs_a_restart) {
  const boost::json::object mesh = Parse(kMeshText);
  const MeshSettings mesh_settings = Read(mesh, ReadMeshSettings);
  for (const auto& [name, value] : mesh) {
    if (name == "interface" || name == "first_start" || name == "bounds") {
      continue;
    }
    boost::json::object changed = mesh;
    changed[name] = ChangeValue(value);
    const SettingsUpdate<MeshSettings> update =
        UpdateSettings(mesh_settings, Read(changed, ReadMeshSettings));
    const std::vector<std::string> expected = {std::string(name)};
    const bool is_applied = name == "platform_address";
    BOOST_TEST((is_applied ? update.applied_fields : update.restart_fields) ==
                   expected,
               name);
    BOOST_TEST(
        (is_applied ? update.restart_fields : update.applied_fields).empty(),
        name);
  }
  for (const auto& [name, value] : mesh.at("bounds").as_object()) {
    boost::json::object changed = mesh;
    changed["bounds"].as_object()[name] = ChangeValue(value);
    const SettingsUpdate<MeshSettings> update =
        UpdateSettings(mesh_settings, Read(changed, ReadMeshSettings));
    const std::vector<std::string> expected = {"bounds." + std::string(name)};
    BOOST_TEST(update.applied_fields == expected, name);
    BOOST_TEST(update.restart_fields.empty(), name);
    // The field is in force now.
    BOOST_TEST(UpdateSettings(update.settings, Read(changed, ReadMeshSettings))
                   .applied_fields.empty(),
               name);
  }
  const boost::json::object handle = Parse(kHandleText);
  const Settings handle_settings = Read(handle, ReadSettings);
  for (const auto& [name, value] : handle) {
    boost::json::object changed = handle;
    changed[name] = ChangeValue(value);
    const SettingsUpdate<Settings> update =
        UpdateSettings(handle_settings, Read(changed, ReadSettings));
    const std::vector<std::string> expected = {std::string(name)};
    const bool is_applied =
        name == "platform_address" || name == "shutdown_seconds";
    BOOST_TEST((is_applied ? update.applied_fields : update.restart_fields) ==
                   expected,
               name);
    BOOST_TEST(
        (is_applied ? update.restart_fields : update.applied_fields).empty(),
        name);
  }
}

BOOST_AUTO_TEST_CASE(fields_that_need_a_restart_keep_their_value) {
  const MeshSettings in_force = Read(Parse(kMeshText), ReadMeshSettings);
  MeshSettings next = in_force;
  next.service = "other";
  next.first_start = false;
  next.bounds.grace = std::chrono::seconds(9);
  const SettingsUpdate<MeshSettings> update = UpdateSettings(in_force, next);
  BOOST_TEST(update.settings.service == "c");
  BOOST_TEST((update.settings.bounds.grace == std::chrono::seconds(9)));
  BOOST_TEST(update.applied_fields == std::vector<std::string>{"bounds.grace"});
  BOOST_TEST(update.restart_fields == std::vector<std::string>{"service"});
  // It is reported for as long as the file differs.
  BOOST_TEST(UpdateSettings(update.settings, next).restart_fields ==
             std::vector<std::string>{"service"});
  BOOST_TEST(UpdateSettings(update.settings, in_force).restart_fields.empty());
}

// Guards against log lines that a settings file can forge or blow up.
BOOST_AUTO_TEST_CASE(errors_fit_in_one_bounded_log_line) {
  ValidationErrorList errors("node.json");
  errors.Add("/a\n\"b\"", "is not known", "remove it");
  errors.Add("/" + std::string(5000, 'x'), "is not known", "remove it");
  std::string line = errors.ToLine();
  BOOST_TEST(line.find("node.json: /a  b : is not known; remove it | ") == 0U);
  BOOST_TEST(line.find_first_of("\n\"") == std::string::npos);
  BOOST_TEST(line.size() < 300U);
  for (int count = 0; count < 100; ++count) {
    errors.Add("/y", "is not known", "remove it");
  }
  line = errors.ToLine();
  BOOST_TEST(line.ends_with(" | and 82 more"));
  BOOST_TEST(line.size() < 20U * 210);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
