#ifndef DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H
#define DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H

#include <string>

#include "state/configuration.h"

namespace daisywinch {

/// Tells how one configuration differs from the one before it, a line a
/// change; empty when nothing differs but the version.
std::string DescribeDifference(const Configuration& previous,
                               const Configuration& next);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONFIGURATION_DIFFERENCE_H
