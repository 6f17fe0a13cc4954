#ifndef DAISYWINCH_STATE_SETTINGS_UPDATE_H
#define DAISYWINCH_STATE_SETTINGS_UPDATE_H

#include <string>
#include <vector>

#include "state/mesh_settings.h"
#include "state/settings.h"

namespace daisywinch {

/// What a changed settings file means for a running process.
///
/// Fields are named by their place in the file, such as "bounds.grace".
template <typename SettingsType>
struct SettingsUpdate {
  /// The settings in force after the change: fields that need a restart keep
  /// their value.
  SettingsType settings;
  /// Changed fields that take effect in the running process.
  std::vector<std::string> applied_fields;
  /// Fields that differ from those in force, and take effect after a restart.
  std::vector<std::string> restart_fields;
};

/// Compares the settings in force with those that were read from the file.
SettingsUpdate<Settings> UpdateSettings(const Settings& in_force,
                                        const Settings& next);
/// Ignores first_start, which has a meaning only when a process starts.
SettingsUpdate<MeshSettings> UpdateSettings(const MeshSettings& in_force,
                                            const MeshSettings& next);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SETTINGS_UPDATE_H
