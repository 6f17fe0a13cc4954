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

/// Parses JSON that may hold comments and trailing commas.
///
/// Returns nothing and records the line and column when the text is not JSON.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            ValidationErrorList& errors);

/// Inclusive bounds of a number.
struct NumberRange {
  double min = 0;
  double max = 0;
};

/// Reads the typed fields of one JSON object and records what is wrong.
///
/// A field read with a fallback is optional; any other must be present. Each
/// field that was never asked for is reported by ReportUnknownFields().
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
  std::int64_t Integer(std::string_view name, const NumberRange& range);
  std::int64_t Integer(std::string_view name,
                       const NumberRange& range,
                       std::int64_t fallback);
  bool Boolean(std::string_view name, bool fallback);
  std::vector<std::string> Strings(std::string_view name);
  /// Reader of an object in a field that must be present.
  ObjectReader Object(std::string_view name);
  /// Readers of the objects that stand under names of their own in the object
  /// of a field; without the field there are none.
  std::vector<std::pair<std::string, ObjectReader>> ObjectMap(
      std::string_view name);
  /// Readers of the objects in an array; the field must be present.
  std::vector<ObjectReader> Objects(std::string_view name);

  /// Records a fault at a field of this object.
  void AddError(std::string_view name,
                std::string_view problem,
                std::string_view suggestion);
  void ReportUnknownFields();
  bool Has(std::string_view name) const;

  const std::string& Pointer() const { return this->pointer; }

 private:
  const boost::json::value* Find(std::string_view name, bool required);
  std::string PointerTo(std::string_view name) const;

  const boost::json::object* object = nullptr;
  std::string pointer;
  ValidationErrorList* errors;
  std::set<std::string, std::less<>> known_fields;
};

/// Records a fault for each name that stands more than once.
void ReportDuplicates(const std::vector<std::string>& names,
                      std::string_view pointer,
                      ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_OBJECT_READER_H
