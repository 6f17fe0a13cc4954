#include "state/validation_error_list.h"

namespace daisywinch {

std::string ValidationError::ToString() const {
  return this->file + ": " + (this->location.empty() ? "/" : this->location) +
         ": " + this->problem + "; " + this->suggestion;
}

ValidationErrorList::ValidationErrorList(std::string_view file) : file(file) {}

void ValidationErrorList::Add(std::string_view location,
                              std::string_view problem,
                              std::string_view suggestion) {
  this->errors.push_back({this->file, std::string(location),
                          std::string(problem), std::string(suggestion)});
}

std::string ValidationErrorList::ToString() const {
  std::string text;
  for (const ValidationError& error : this->errors) {
    text += error.ToString();
    text += '\n';
  }
  return text;
}

}  // namespace daisywinch
