#ifndef DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H
#define DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H

#include <optional>

#include <boost/json.hpp>

#include "state/configuration.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// Generates the configuration from a team's answers to the questionnaire.
///
/// The answers use the words of the questionnaire (`servers`,
/// `open_to_all`, `most_important`, `taken_out` ...); limits, classes and
/// shares that a team is not asked about are worked out here. Every fault is
/// recorded; nothing is returned when there is one.
std::optional<Configuration> GenerateConfiguration(
    const boost::json::value& answers,
    ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_GENERATOR_H
