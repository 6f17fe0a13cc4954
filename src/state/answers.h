#ifndef DAISYWINCH_STATE_ANSWERS_H
#define DAISYWINCH_STATE_ANSWERS_H

#include <optional>

#include <boost/json.hpp>

#include "state/configuration.h"
#include "state/fault_list.h"

namespace daisywinch {

/// Generates the configuration from a team's answers to the questionnaire.
///
/// The answers use the words of the questionnaire (`servers`,
/// `open_to_all`, `most_important`, `taken_out` ...); limits, classes and
/// shares that a team is not asked about are worked out here. Every fault is
/// recorded; nothing is returned when there is one.
std::optional<Configuration> GenerateConfiguration(
    const boost::json::value& answers,
    FaultList& faults);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ANSWERS_H
