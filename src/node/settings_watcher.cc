#include "node/settings_watcher.h"

#include <csignal>
#include <filesystem>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/event_log.h"
#include "state/settings_update.h"

namespace daisywinch {

namespace {

/// Interval between checks for a change without a signal.
constexpr std::chrono::seconds kCheckInterval{1};
constexpr std::uintmax_t kMaxFileBytes = std::uintmax_t{1024} * 1024;

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

}  // namespace

template <typename SettingsType>
SettingsWatcher<SettingsType>::SettingsWatcher(
    asio::io_context& context,
    const SettingsFile& file,
    const SettingsType& settings,
    DocumentReader<SettingsType> read,
    ApplyFunction apply)
    : context(context),
      file_name(file.name),
      last_text(file.text),
      settings(settings),
      read(read),
      apply(std::move(apply)),
      hangup_signals(context, SIGHUP) {}

template <typename SettingsType>
void SettingsWatcher<SettingsType>::Start() {
  asio::co_spawn(this->context, this->ReloadOnSignal(), asio::detached);
  asio::co_spawn(this->context, this->ReloadOnChange(), asio::detached);
}

template <typename SettingsType>
Awaitable<> SettingsWatcher<SettingsType>::ReloadOnSignal() {
  while (true) {
    ErrorCode error;
    co_await this->hangup_signals.async_wait(Await(error));
    if (error) {
      co_return;
    }
    this->Reload(true);
  }
}

template <typename SettingsType>
Awaitable<> SettingsWatcher<SettingsType>::ReloadOnChange() {
  while (true) {
    Timer timer(this->context, kCheckInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    this->Reload(false);
  }
}

template <typename SettingsType>
std::optional<std::string> SettingsWatcher<SettingsType>::ReadText(
    ValidationErrorList& errors) const {
  // A pipe or a device could block the control thread.
  std::error_code error;
  const std::filesystem::file_status status =
      std::filesystem::status(this->file_name, error);
  if (std::filesystem::exists(status) &&
      !std::filesystem::is_regular_file(status)) {
    errors.Add("", "is not a regular file",
               "a running node reads its settings again only from a file");
    return std::nullopt;
  }
  const std::uintmax_t size =
      std::filesystem::file_size(this->file_name, error);
  if (!error && size > kMaxFileBytes) {
    errors.Add("", "is larger than 1 MB", "put the settings there");
    return std::nullopt;
  }
  return ReadFile(this->file_name, errors);
}

template <typename SettingsType>
void SettingsWatcher<SettingsType>::Reload(bool is_requested) {
  ValidationErrorList errors(this->file_name);
  std::optional<std::string> text = this->ReadText(errors);
  if (!is_requested && text == this->last_text) {
    return;
  }
  const std::string_view cause = is_requested ? "SIGHUP" : "change";
  std::optional<SettingsType> next;
  if (text) {
    next = ParseDocument(*text, this->read, errors);
  }
  this->last_text = std::move(text);
  if (!next) {
    LogEvent(EventId::kSettingsRefused,
             {{"cause", cause}, {"errors", errors.ToLine()}});
    return;
  }
  const SettingsUpdate<SettingsType> update =
      UpdateSettings(this->settings, *next);
  if (!update.applied_fields.empty()) {
    this->settings = update.settings;
    this->apply(this->settings);
  }
  LogEvent(EventId::kSettingsReloaded,
           {{"cause", cause}, {"applied", JoinNames(update.applied_fields)}});
  if (!update.restart_fields.empty()) {
    LogEvent(EventId::kSettingsNeedRestart,
             {{"cause", cause}, {"fields", JoinNames(update.restart_fields)}});
  }
}

template class SettingsWatcher<Settings>;
template class SettingsWatcher<MeshSettings>;

}  // namespace daisywinch
