#ifndef DAISYWINCH_TRANSPORT_DOCUMENT_FILE_H
#define DAISYWINCH_TRANSPORT_DOCUMENT_FILE_H

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "state/object_reader.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// Reads a whole file. Adds an error and returns nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& name,
                                    ValidationErrorList& errors);

/// Makes a document of its JSON. Adds all errors and returns nothing if there
/// is one.
template <typename Document>
using DocumentReader = std::optional<Document> (*)(const boost::json::value&,
                                                   ValidationErrorList&);

/// Parses and validates the text of a document. Adds all errors and returns
/// nothing if there is one.
template <typename Document>
std::optional<Document> ParseDocument(std::string_view text,
                                      DocumentReader<Document> read,
                                      ValidationErrorList& errors) {
  const std::optional<boost::json::value> json = ParseJson(text, errors);
  return json ? read(*json, errors) : std::nullopt;
}

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_DOCUMENT_FILE_H
