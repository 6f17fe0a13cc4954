#include "state/object_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::size_t kMaxDepth = 16;

std::string FormatNumber(double number) {
  if (number == std::floor(number) && std::abs(number) < 1e15) {
    return std::to_string(static_cast<std::int64_t>(number));
  }
  return std::to_string(number);
}

std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const std::ptrdiff_t line =
      1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n');
  const std::size_t column =
      line_start == std::string_view::npos ? offset + 1 : offset - line_start;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

std::string EscapePointerToken(std::string_view name) {
  std::string token;
  for (const char character : name) {
    if (character == '~') {
      token += "~0";
    } else if (character == '/') {
      token += "~1";
    } else {
      token += character;
    }
  }
  return token;
}

}  // namespace

std::optional<boost::json::value> ParseJson(std::string_view text,
                                            ValidationErrorList& errors) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = kMaxDepth;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t consumed =
      parser.write_some(text.data(), text.size(), error);
  if (!error && consumed < text.size()) {
    error = boost::json::error::extra_data;
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    errors.Add(LineAndColumn(text, std::min(consumed, text.size())),
               "is not JSON: " + error.message(),
               "correct the syntax; comments and trailing commas are allowed");
    return std::nullopt;
  }
  return parser.release();
}

ObjectReader::ObjectReader(const boost::json::value& value,
                           std::string pointer,
                           ValidationErrorList& errors)
    : object(value.if_object()), pointer(std::move(pointer)), errors(&errors) {
  if (this->object == nullptr) {
    this->errors->Add(this->pointer, "is not an object",
                      "write an object in braces here");
  }
}

std::string ObjectReader::PointerTo(std::string_view name) const {
  return this->pointer + "/" + EscapePointerToken(name);
}

const boost::json::value* ObjectReader::Find(std::string_view name,
                                             bool required) {
  this->known_fields.emplace(name);
  if (this->object == nullptr) {
    return nullptr;
  }
  const boost::json::value* value =
      this->object->if_contains({name.data(), name.size()});
  if (value == nullptr && required) {
    this->AddError(name, "is missing", "add this field");
  }
  return value;
}

void ObjectReader::AddError(std::string_view name,
                            std::string_view problem,
                            std::string_view suggestion) {
  this->errors->Add(this->PointerTo(name), problem, suggestion);
}

std::string ObjectReader::String(std::string_view name) {
  const boost::json::value* value = this->Find(name, true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    this->AddError(name, "is not a string", "write it in double quotes");
    return {};
  }
  if (value->get_string().empty()) {
    this->AddError(name, "is empty", "give it a value");
  }
  return std::string(value->get_string());
}

std::string ObjectReader::String(std::string_view name,
                                 std::string_view fallback) {
  if (this->Find(name, false) == nullptr) {
    return std::string(fallback);
  }
  return this->String(name);
}

double ObjectReader::Number(std::string_view name, const NumberRange& range) {
  const boost::json::value* value = this->Find(name, true);
  if (value == nullptr) {
    return range.min;
  }
  if (!value->is_number()) {
    this->AddError(name, "is not a number", "write a number without quotes");
    return range.min;
  }
  return this->CheckRange(name, range, value->to_number<double>());
}

double ObjectReader::CheckRange(std::string_view name,
                                const NumberRange& range,
                                double number) {
  if (!(number >= range.min && number <= range.max)) {
    this->AddError(name, "is out of range",
                   "use a number from " + FormatNumber(range.min) + " to " +
                       FormatNumber(range.max));
    return range.min;
  }
  return number;
}

double ObjectReader::Number(std::string_view name,
                            const NumberRange& range,
                            double fallback) {
  if (this->Find(name, false) == nullptr) {
    return fallback;
  }
  return this->Number(name, range);
}

double ObjectReader::NumberOrText(std::string_view name,
                                  const NumberRange& range,
                                  double fallback) {
  const boost::json::value* value = this->Find(name, false);
  if (value == nullptr || !value->is_string()) {
    return this->Number(name, range, fallback);
  }
  const boost::json::string& text = value->get_string();
  if (text.empty()) {
    return fallback;
  }
  double number = 0;
  const std::from_chars_result result =
      std::from_chars(text.begin(), text.end(), number);
  if (result.ec != std::errc() || result.ptr != text.end()) {
    this->AddError(name, "is not a number", "write a number such as 0.25");
    return range.min;
  }
  return this->CheckRange(name, range, number);
}

std::int64_t ObjectReader::Integer(std::string_view name,
                                   const NumberRange& range) {
  const double number = this->Number(name, range);
  if (number != std::floor(number)) {
    this->AddError(name, "is not a whole number",
                   "write it without a fraction");
    return static_cast<std::int64_t>(range.min);
  }
  return static_cast<std::int64_t>(number);
}

std::int64_t ObjectReader::Integer(std::string_view name,
                                   const NumberRange& range,
                                   std::int64_t fallback) {
  if (this->Find(name, false) == nullptr) {
    return fallback;
  }
  return this->Integer(name, range);
}

bool ObjectReader::Boolean(std::string_view name, bool fallback) {
  const boost::json::value* value = this->Find(name, false);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    this->AddError(name, "is not true or false", "write true or false");
    return fallback;
  }
  return value->get_bool();
}

std::vector<std::string> ObjectReader::Strings(std::string_view name) {
  std::vector<std::string> strings;
  const boost::json::value* value = this->Find(name, false);
  if (value == nullptr) {
    return strings;
  }
  if (!value->is_array()) {
    this->AddError(name, "is not a list", "write a list in square brackets");
    return strings;
  }
  for (const boost::json::value& item : value->get_array()) {
    if (item.is_string()) {
      strings.emplace_back(item.get_string());
      continue;
    }
    this->errors->Add(
        this->PointerTo(name) + "/" + std::to_string(strings.size()),
        "is not a string", "write it in double quotes");
    strings.emplace_back();
  }
  return strings;
}

ObjectReader ObjectReader::Object(std::string_view name) {
  static const boost::json::value empty = boost::json::object();
  const boost::json::value* value = this->Find(name, true);
  return {value == nullptr ? empty : *value, this->PointerTo(name),
          *this->errors};
}

std::vector<std::pair<std::string, ObjectReader>> ObjectReader::ObjectMap(
    std::string_view name) {
  std::vector<std::pair<std::string, ObjectReader>> readers;
  const boost::json::value* value = this->Find(name, false);
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_object()) {
    this->AddError(name, "is not an object",
                   "write an object with a field for each name");
    return readers;
  }
  for (const boost::json::key_value_pair& field : value->get_object()) {
    const std::string key(field.key());
    readers.emplace_back(
        key, ObjectReader(field.value(),
                          this->PointerTo(name) + "/" + EscapePointerToken(key),
                          *this->errors));
  }
  return readers;
}

bool ObjectReader::HasText(std::string_view name) {
  const boost::json::value* value = this->Find(name, false);
  return value != nullptr &&
         !(value->is_string() && value->get_string().empty());
}

bool ObjectReader::Has(std::string_view name) const {
  return this->object != nullptr &&
         this->object->if_contains({name.data(), name.size()}) != nullptr;
}

const boost::json::array& ObjectReader::Array(std::string_view name) {
  static const boost::json::array none;
  const boost::json::value* value = this->Find(name, true);
  if (value == nullptr) {
    return none;
  }
  if (!value->is_array()) {
    this->AddError(name, "is not a list", "write a list in square brackets");
    return none;
  }
  return value->get_array();
}

std::vector<ObjectReader> ObjectReader::Objects(std::string_view name) {
  std::vector<ObjectReader> readers;
  for (const boost::json::value& item : this->Array(name)) {
    readers.emplace_back(
        item, this->PointerTo(name) + "/" + std::to_string(readers.size()),
        *this->errors);
  }
  return readers;
}

void ObjectReader::ReportUnknownFields() {
  if (this->object == nullptr) {
    return;
  }
  for (const boost::json::key_value_pair& field : *this->object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (this->known_fields.find(name) == this->known_fields.end()) {
      this->AddError(name, "is not a known field",
                     "remove it or correct its spelling");
    }
  }
}

void ReportDuplicates(const std::vector<std::string>& names,
                      std::string_view pointer,
                      ValidationErrorList& errors) {
  std::set<std::string> seen;
  for (std::size_t index = 0; index < names.size(); ++index) {
    if (!seen.insert(names[index]).second) {
      errors.Add(std::string(pointer) + "/" + std::to_string(index),
                 "repeats the name \"" + names[index] + "\"",
                 "give each its own name");
    }
  }
}

}  // namespace daisywinch
