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

/// One VM as the platform lists it.
struct Vm {
  std::string name;
  std::string data_centre;
  std::string service;
  Address caller_address;
  Address peer_address;
  Address control_address;
  /// Still listed but about to go: it takes no new work.
  bool leaving = false;

  friend bool operator==(const Vm&, const Vm&) = default;
};

/// The platform's list of VMs, which lags behind the truth.
struct VmList {
  std::uint64_t version = 0;
  std::vector<Vm> vms;

  const Vm* Find(std::string_view name) const;
};

std::optional<VmList> ReadVmList(const boost::json::value& json,
                                 ValidationErrorList& errors);

boost::json::object WriteVmList(const VmList& list);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_VM_LIST_H
