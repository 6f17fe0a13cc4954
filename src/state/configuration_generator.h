#ifndef DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H
#define DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H

#include <optional>

#include <boost/json.hpp>

#include "state/configuration.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// Generates a configuration from a team's answers to the questionnaire.
///
/// `answers` is a JSON object with the field names of the questionnaire
/// (`servers`, `open_to_all`, `most_important`, `taken_out` ...). Limits,
/// request classes and shares that the questionnaire does not ask for are
/// derived from the answers or set to defaults. All errors are added to
/// `errors`; returns nothing if there is one.
std::optional<Configuration> GenerateConfiguration(
    const boost::json::value& answers,
    ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H
