#ifndef DAISYWINCH_STATE_OBJECT_READER_H
#define DAISYWINCH_STATE_OBJECT_READER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "state/validation_error_list.h"

namespace daisywinch {

/// Parses JSON in which comments and trailing commas are allowed.
///
/// If the text is not valid JSON, returns nothing and adds an error with the
/// line and column.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            ValidationErrorList& errors);

/// Inclusive limits of a number.
struct NumberRange {
  double min = 0;
  double max = 0;
};

/// Reads typed fields of a JSON object and collects the errors in them.
///
/// Fields read with a fallback, Strings() and ObjectMap() are optional; all
/// others are required. A faulty field yields the fallback, an empty value or
/// the minimum of the range, so that reading can go on and find further errors.
/// ReportUnknownFields() reports each field that was not read.
class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value,
               std::string pointer,
               ValidationErrorList& errors);

  std::string String(std::string_view name);
  std::string String(std::string_view name, std::string_view fallback);
  double Number(std::string_view name, const NumberRange& range);
  double Number(std::string_view name,
                const NumberRange& range,
                double fallback);
  /// A number, or a text that holds one, as templates write it. A missing field
  /// or an empty text yields the fallback.
  double NumberOrText(std::string_view name,
                      const NumberRange& range,
                      double fallback);
  std::int64_t Integer(std::string_view name, const NumberRange& range);
  std::int64_t Integer(std::string_view name,
                       const NumberRange& range,
                       std::int64_t fallback);
  bool Boolean(std::string_view name, bool fallback);
  std::vector<std::string> Strings(std::string_view name);
  /// Reader of the object in a required field.
  ObjectReader Object(std::string_view name);
  /// Names and readers of the objects in an object that maps names to objects;
  /// empty if the field is missing.
  std::vector<std::pair<std::string, ObjectReader>> ObjectMap(
      std::string_view name);
  /// The values in an array; the field is required.
  const boost::json::array& Array(std::string_view name);
  /// Readers of the objects in an array; the field is required.
  std::vector<ObjectReader> Objects(std::string_view name);

  /// Adds an error at a field of this object.
  void AddError(std::string_view name,
                std::string_view problem,
                std::string_view suggestion);
  /// Adds an error for each field that was not read.
  void ReportUnknownFields();
  bool Has(std::string_view name) const;
  /// Whether the field has a value other than an empty text. An empty field
  /// counts as known.
  bool HasText(std::string_view name);

  /// JSON pointer (RFC 6901) to the object.
  const std::string& Pointer() const { return this->pointer; }

 private:
  const boost::json::value* Find(std::string_view name, bool required);
  /// Returns the number if it is in the range; otherwise the minimum, and adds
  /// an error.
  double CheckRange(std::string_view name,
                    const NumberRange& range,
                    double number);
  std::string PointerTo(std::string_view name) const;

  const boost::json::object* object = nullptr;
  std::string pointer;
  ValidationErrorList* errors;
  std::set<std::string, std::less<>> known_fields;
};

/// Adds an error for each name that occurred earlier in the list.
void ReportDuplicates(const std::vector<std::string>& names,
                      std::string_view pointer,
                      ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_OBJECT_READER_H
