#ifndef DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H
#define DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H

#include <string>

#include "state/configuration.h"

namespace daisywinch {

/// Describes the changes from one configuration to the next, one line for each
/// added, changed or removed item. Empty if at most the versions differ.
std::string DescribeDifference(const Configuration& previous,
                               const Configuration& next);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H
