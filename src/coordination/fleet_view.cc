#include "coordination/fleet_view.h"

#include <utility>

#include "state/object_reader.h"

namespace daisywinch {

namespace {

template <typename Document>
using Reader = std::optional<Document> (*)(const boost::json::value&,
                                           ValidationErrorList&);

/// Parses and validates a JSON document. Returns nullopt if it is not valid.
/// Sets `error` to the validation errors, or to "" if there are none.
template <typename Document>
std::optional<Document> ParseDocument(std::string_view name,
                                      std::string_view text,
                                      Reader<Document> read,
                                      std::string& error) {
  ValidationErrorList errors(name);
  const std::optional<boost::json::value> json = ParseJson(text, errors);
  std::optional<Document> document;
  if (json) {
    document = read(*json, errors);
  }
  error = errors.ToString();
  return document;
}

}  // namespace

FleetView::FleetView(SnapshotHolder& snapshots) : snapshots(snapshots) {}

OfferResult FleetView::OfferConfiguration(std::string_view text) {
  std::optional<Configuration> offered = ParseDocument<Configuration>(
      "configuration", text, ReadConfiguration, this->last_validation_error);
  if (!offered) {
    return OfferResult::kInvalid;
  }
  if (this->configuration && offered->version <= this->configuration->version) {
    return offered->version == this->configuration->version
               ? OfferResult::kSameVersion
               : OfferResult::kOlderVersion;
  }
  this->configuration = std::move(offered);
  this->configuration_text = text;
  this->Publish();
  return OfferResult::kApplied;
}

OfferResult FleetView::OfferVmList(std::string_view text) {
  std::optional<VmList> offered = ParseDocument<VmList>(
      "vms", text, ReadVmList, this->last_validation_error);
  if (!offered) {
    return OfferResult::kInvalid;
  }
  if (!this->vm_list_text.empty() &&
      offered->version <= this->vm_list.version) {
    return offered->version == this->vm_list.version
               ? OfferResult::kSameVersion
               : OfferResult::kOlderVersion;
  }
  this->vm_list = std::move(*offered);
  this->vm_list_text = text;
  this->Publish();
  return OfferResult::kApplied;
}

void FleetView::SetSuspectedVms(const std::set<std::string>& vms) {
  if (vms != this->suspected_vms) {
    this->suspected_vms = vms;
    this->Publish();
  }
}

std::uint64_t FleetView::ConfigurationVersion() const {
  return this->configuration ? this->configuration->version : 0;
}

std::uint64_t FleetView::VmListVersion() const {
  return this->vm_list.version;
}

void FleetView::StartPublishing() {
  this->is_publishing = true;
  this->Publish();
}

void FleetView::Publish() {
  if (!this->configuration || this->vm_list_text.empty()) {
    return;
  }
  this->newest_snapshot = std::make_shared<const Snapshot>(
      *this->configuration, this->vm_list, this->suspected_vms);
  if (this->is_publishing) {
    this->snapshots.Publish(this->newest_snapshot);
  }
}

}  // namespace daisywinch
