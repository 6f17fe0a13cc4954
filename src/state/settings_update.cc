#include "state/settings_update.h"

#include <string_view>

namespace daisywinch {

namespace {

/// Compares settings field by field and collects the differences.
template <typename SettingsType>
class FieldComparison {
 public:
  FieldComparison(const SettingsType& in_force, const SettingsType& next)
      : next(next), update{in_force, {}, {}} {}

  /// Compares a field that can change in a running process.
  template <typename Owner, typename Value>
  void Apply(std::string_view name,
             Owner SettingsType::*owner,
             Value Owner::*field) {
    this->ApplyValue(name, this->update.settings.*owner.*field,
                     this->next.*owner.*field);
  }
  template <typename Value>
  void Apply(std::string_view name, Value SettingsType::*field) {
    this->ApplyValue(name, this->update.settings.*field, this->next.*field);
  }
  /// Compares a field that changes only with a restart.
  template <typename Value>
  void KeepUntilRestart(std::string_view name, Value SettingsType::*field) {
    if (this->update.settings.*field != this->next.*field) {
      this->update.restart_fields.emplace_back(name);
    }
  }

  const SettingsUpdate<SettingsType>& Result() const { return this->update; }

 private:
  template <typename Value>
  void ApplyValue(std::string_view name, Value& value, const Value& changed) {
    if (value != changed) {
      value = changed;
      this->update.applied_fields.emplace_back(name);
    }
  }

  const SettingsType& next;
  SettingsUpdate<SettingsType> update;
};

/// Compares the fields that both interfaces have.
template <typename SettingsType>
void CompareCommonFields(FieldComparison<SettingsType>& fields) {
  fields.KeepUntilRestart("vm", &SettingsType::vm);
  fields.KeepUntilRestart("data_centre", &SettingsType::data_centre);
  fields.KeepUntilRestart("service", &SettingsType::service);
  fields.KeepUntilRestart("caller_address", &SettingsType::caller_address);
  fields.KeepUntilRestart("peer_address", &SettingsType::peer_address);
  fields.KeepUntilRestart("operator_address", &SettingsType::operator_address);
  fields.KeepUntilRestart("target_address", &SettingsType::target_address);
  fields.Apply("platform_address", &SettingsType::platform_address);
}

}  // namespace

SettingsUpdate<Settings> UpdateSettings(const Settings& in_force,
                                        const Settings& next) {
  FieldComparison<Settings> fields(in_force, next);
  CompareCommonFields(fields);
  fields.KeepUntilRestart("control_address", &Settings::control_address);
  fields.KeepUntilRestart("fleet_secret", &Settings::fleet_secret);
  fields.KeepUntilRestart("body_limit_bytes", &Settings::body_limit);
  fields.Apply("shutdown_seconds", &Settings::shutdown_timeout);
  return fields.Result();
}

SettingsUpdate<MeshSettings> UpdateSettings(const MeshSettings& in_force,
                                            const MeshSettings& next) {
  FieldComparison<MeshSettings> fields(in_force, next);
  CompareCommonFields(fields);
  fields.KeepUntilRestart("peer_port", &MeshSettings::peer_port);
  fields.KeepUntilRestart("ready_address", &MeshSettings::ready_address);
  fields.KeepUntilRestart("news_address", &MeshSettings::news_address);
  const auto apply_bound = [&fields](std::string_view name, auto field) {
    fields.Apply(name, &MeshSettings::bounds, field);
  };
  apply_bound("bounds.drain", &MeshBounds::drain);
  apply_bound("bounds.grace", &MeshBounds::grace);
  apply_bound("bounds.retry_ratio", &MeshBounds::retry_ratio);
  apply_bound("bounds.retry_slack", &MeshBounds::retry_slack);
  apply_bound("bounds.retry_window", &MeshBounds::retry_window);
  apply_bound("bounds.quota_window", &MeshBounds::quota_window);
  apply_bound("bounds.quota_over", &MeshBounds::quota_over);
  apply_bound("bounds.quota_slack", &MeshBounds::quota_slack);
  apply_bound("bounds.cold_over", &MeshBounds::cold_over);
  return fields.Result();
}

}  // namespace daisywinch
