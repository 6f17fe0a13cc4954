#ifndef DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H
#define DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H

#include <string>
#include <string_view>
#include <vector>

namespace daisywinch {

/// One thing wrong with a document: where, what, and how to put it right.
struct ValidationError {
  std::string file;
  /// JSON pointer (RFC 6901) of the value, or "line L, column C" where the
  /// text is not JSON.
  std::string location;
  std::string problem;
  std::string suggestion;

  /// The fault as one line for a person.
  std::string ToString() const;
};

/// Collects every fault of a document instead of stopping at the first.
class ValidationErrorList {
 public:
  explicit ValidationErrorList(std::string_view file);

  void Add(std::string_view location,
           std::string_view problem,
           std::string_view suggestion);

  const std::vector<ValidationError>& Errors() const { return this->errors; }
  bool empty() const { return this->errors.empty(); }

  /// All errors, a line each.
  std::string ToString() const;

 private:
  std::string file;
  std::vector<ValidationError> errors;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H
