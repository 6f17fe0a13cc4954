#include "transport/document_file.h"

#include <fstream>
#include <sstream>

namespace daisywinch {

std::optional<std::string> ReadFile(const std::string& name,
                                    ValidationErrorList& errors) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    errors.Add("", "cannot be read", "check the name and its rights");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace daisywinch
