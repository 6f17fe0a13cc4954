#ifndef DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H
#define DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H

#include <string>
#include <string_view>
#include <vector>

namespace daisywinch {

/// An error in a document: where it is, what is wrong and how to correct it.
struct ValidationError {
  std::string file;
  /// JSON pointer (RFC 6901) to the value, or "line L, column C" if the text
  /// is not valid JSON.
  std::string location;
  std::string problem;
  std::string suggestion;

  /// `FILE: LOCATION: PROBLEM; SUGGESTION`, without a line break.
  std::string ToString() const;
};

/// Collects all errors of a document, so that they are reported together.
class ValidationErrorList {
 public:
  /// `file` names the document in the error messages.
  explicit ValidationErrorList(std::string_view file);

  void Add(std::string_view location,
           std::string_view problem,
           std::string_view suggestion);

  const std::vector<ValidationError>& Errors() const { return this->errors; }
  bool empty() const { return this->errors.empty(); }

  /// All errors, one per line.
  std::string ToString() const;
  /// The errors in one line for the log: without quotes and control characters,
  /// each cut off at 200 characters, at most 20 of them and the number of the
  /// others.
  std::string ToLine() const;

 private:
  std::string file;
  std::vector<ValidationError> errors;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_VALIDATION_ERROR_LIST_H
