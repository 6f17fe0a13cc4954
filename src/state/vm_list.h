#ifndef DAISYWINCH_STATE_VM_LIST_H
#define DAISYWINCH_STATE_VM_LIST_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "state/settings.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// A VM as listed by the platform.
struct Vm {
  std::string name;
  std::string data_centre;
  std::string service;
  Address caller_address;
  Address peer_address;
  Address control_address;
  /// The VM is about to be removed from the list and gets no new requests.
  bool leaving = false;

  friend bool operator==(const Vm&, const Vm&) = default;
};

/// The platform's list of VMs, which may lag behind the actual state.
struct VmList {
  std::uint64_t version = 0;
  std::vector<Vm> vms;

  /// The VM with a name; null if it is not listed.
  const Vm* Find(std::string_view name) const;
};

/// Reads and validates a VM list.
///
/// All errors are added to `errors`; returns nothing if there is one.
std::optional<VmList> ReadVmList(const boost::json::value& json,
                                 ValidationErrorList& errors);

/// Converts a VM list to the JSON that ReadVmList() reads.
boost::json::object WriteVmList(const VmList& list);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_VM_LIST_H
