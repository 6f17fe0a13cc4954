#include "state/vm_list.h"

#include <algorithm>

#include "state/object_reader.h"

namespace daisywinch {

namespace {

constexpr NumberRange kVersionRange = {0, 9e15};

Vm ReadVm(ObjectReader& reader) {
  Vm vm;
  vm.name = reader.String("name");
  vm.data_centre = reader.String("data_centre");
  vm.service = reader.String("service");
  vm.caller_address = ReadAddress(reader, "caller_address");
  vm.peer_address = ReadAddress(reader, "peer_address");
  vm.control_address = ReadAddress(reader, "control_address");
  vm.leaving = reader.Boolean("leaving", false);
  reader.ReportUnknownFields();
  return vm;
}

}  // namespace

const Vm* VmList::Find(std::string_view name) const {
  const auto found =
      std::find_if(this->vms.begin(), this->vms.end(),
                   [name](const Vm& vm) { return vm.name == name; });
  return found == this->vms.end() ? nullptr : &*found;
}

std::optional<VmList> ReadVmList(const boost::json::value& json,
                                 ValidationErrorList& errors) {
  VmList list;
  ObjectReader reader(json, "", errors);
  list.version = reader.Integer("version", kVersionRange);
  std::vector<std::string> names;
  for (ObjectReader& item : reader.Objects("vms")) {
    list.vms.push_back(ReadVm(item));
    names.push_back(list.vms.back().name);
  }
  reader.ReportUnknownFields();
  ReportDuplicates(names, "/vms", errors);
  if (!errors.empty()) {
    return std::nullopt;
  }
  return list;
}

boost::json::object WriteVmList(const VmList& list) {
  boost::json::array vms;
  for (const Vm& vm : list.vms) {
    vms.push_back({{"name", vm.name},
                   {"data_centre", vm.data_centre},
                   {"service", vm.service},
                   {"caller_address", vm.caller_address.ToString()},
                   {"peer_address", vm.peer_address.ToString()},
                   {"control_address", vm.control_address.ToString()},
                   {"leaving", vm.leaving}});
  }
  return {{"version", list.version}, {"vms", std::move(vms)}};
}

}  // namespace daisywinch
