#include "state/validation_error_list.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr std::size_t kMaxErrorsInLine = 20;
constexpr std::size_t kMaxCharactersOfError = 200;

}  // namespace

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

std::string ValidationErrorList::ToLine() const {
  const std::size_t count = std::min(this->errors.size(), kMaxErrorsInLine);
  std::string line;
  for (std::size_t index = 0; index < count; ++index) {
    line += (index == 0 ? "" : " | ") +
            this->errors[index].ToString().substr(0, kMaxCharactersOfError);
  }
  if (count < this->errors.size()) {
    line += " | and " + std::to_string(this->errors.size() - count) + " more";
  }
  std::replace_if(
      line.begin(), line.end(),
      [](unsigned char character) {
        return character < ' ' || character == '"' || character == 0x7f;
      },
      ' ');
  return line;
}

}  // namespace daisywinch
