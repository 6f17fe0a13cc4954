#include "state/fault_list.h"

namespace daisywinch {

std::string Fault::ToString() const {
  return this->file + ": " + (this->place.empty() ? "/" : this->place) + ": " +
         this->problem + "; " + this->remedy;
}

FaultList::FaultList(std::string_view file) : file(file) {}

void FaultList::Add(std::string_view place,
                    std::string_view problem,
                    std::string_view remedy) {
  this->faults.push_back({this->file, std::string(place), std::string(problem),
                          std::string(remedy)});
}

std::string FaultList::ToString() const {
  std::string text;
  for (const Fault& fault : this->faults) {
    text += fault.ToString();
    text += '\n';
  }
  return text;
}

}  // namespace daisywinch
