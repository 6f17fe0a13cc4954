#ifndef DAISYWINCH_NODE_SETTINGS_WATCHER_H
#define DAISYWINCH_NODE_SETTINGS_WATCHER_H

#include <functional>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "state/mesh_settings.h"
#include "state/settings.h"
#include "transport/asio.h"
#include "transport/document_file.h"

namespace daisywinch {

/// A settings file and the text that a process read from it at its start.
struct SettingsFile {
  std::string name;
  std::string text;
};

/// Watches the settings file of a running process: reads it on SIGHUP, and
/// notices within about a second when it has changed without a signal.
///
/// Valid changes are passed on as far as they can take effect; a file that is
/// not valid leaves the settings in force as they are. Runs on the control
/// thread.
template <typename SettingsType>
class SettingsWatcher {
 public:
  using ApplyFunction = std::function<void(const SettingsType& settings)>;

  /// Handles SIGHUP from here on; a signal that arrives before Start() is
  /// served then. `apply` is called with the settings in force whenever some
  /// have changed.
  SettingsWatcher(asio::io_context& context,
                  const SettingsFile& file,
                  const SettingsType& settings,
                  DocumentReader<SettingsType> read,
                  ApplyFunction apply);

  void Start();

 private:
  Awaitable<> ReloadOnSignal();
  Awaitable<> ReloadOnChange();
  /// Reads the file; nothing, with an error, if that isn't possible.
  std::optional<std::string> ReadText(ValidationErrorList& errors) const;
  /// Reads the file again if it has changed or `is_requested`, applies what can
  /// take effect, and logs the result.
  void Reload(bool is_requested);

  asio::io_context& context;
  std::string file_name;
  /// Content when the file was read last; nothing if it could not be read.
  std::optional<std::string> last_text;
  SettingsType settings;
  DocumentReader<SettingsType> read;
  ApplyFunction apply;
  asio::signal_set hangup_signals;
};

extern template class SettingsWatcher<Settings>;
extern template class SettingsWatcher<MeshSettings>;

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_SETTINGS_WATCHER_H
