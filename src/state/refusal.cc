#include "state/refusal.h"

#include <algorithm>
#include <array>

namespace daisywinch {

namespace {

constexpr Execution kNotRun = Execution::kNotRun;
constexpr Execution kUnknown = Execution::kUnknown;

constexpr std::array kRefusals = {
    Refusal{RefusalReason::kMalformedRequest, 400, kNotRun, false,
            "The request is not valid HTTP"},
    Refusal{RefusalReason::kUnknownKey, 401, kNotRun, false,
            "No key, or one that is not in force"},
    Refusal{RefusalReason::kRouteNotAllowed, 403, kNotRun, false,
            "The route is not open to this customer"},
    Refusal{RefusalReason::kUnknownRoute, 404, kNotRun, false,
            "No route has this method and path"},
    Refusal{RefusalReason::kRouteRetired, 410, kNotRun, false,
            "The route is retired"},
    Refusal{RefusalReason::kOverRate, 429, kNotRun, true,
            "The customer is over its rate and burst"},
    Refusal{RefusalReason::kBodyTooLarge, 413, kNotRun, false,
            "The body is over the limit"},
    Refusal{RefusalReason::kHeaderTooLarge, 431, kNotRun, false,
            "The header is over the limit"},
    Refusal{RefusalReason::kFatalRequest, 400, kNotRun, false,
            "The request ended the targets that ran it"},
    Refusal{RefusalReason::kNoTarget, 503, kNotRun, true,
            "No target of the service takes work"},
    Refusal{RefusalReason::kShedByGate, 503, kNotRun, true,
            "The target is overloaded"},
    Refusal{RefusalReason::kDeadlineTooShort, 504, kNotRun, false,
            "The deadline left no time to start"},
    Refusal{RefusalReason::kDraining, 503, kNotRun, true,
            "The target is leaving"},
    Refusal{RefusalReason::kShedByTarget, 503, kNotRun, true,
            "The target shed the request"},
    Refusal{RefusalReason::kShedByIngress, 503, kNotRun, true,
            "The service is overloaded"},
    Refusal{RefusalReason::kTargetUnreachable, 503, kNotRun, true,
            "The target could not be reached"},
    Refusal{RefusalReason::kCancelledUnsent, 503, kNotRun, true,
            "The request was cancelled before it was sent to the target"},
    Refusal{RefusalReason::kNoMemory, 503, kNotRun, true,
            "The node has no memory for the request"},
    Refusal{RefusalReason::kResponseLost, 502, kUnknown, false,
            "The answer was lost"},
    Refusal{RefusalReason::kDeadlinePassed, 504, kUnknown, false,
            "The deadline passed before the answer came"},
    Refusal{RefusalReason::kDuplicateOutcomeUnknown, 409, kUnknown, true,
            "Whether an earlier request with this idempotency key ran is not "
            "known"},
    Refusal{RefusalReason::kResponseTooLarge, 502, kUnknown, false,
            "The answer is over the limit"},
    Refusal{RefusalReason::kDuplicateInProgress, 409, kUnknown, true,
            "A request with this idempotency key is in progress"},
    Refusal{RefusalReason::kCancelled, 504, kUnknown, false,
            "The request was cancelled before the answer came"},
    Refusal{RefusalReason::kHandleEnded, 403, kNotRun, false,
            "The request that this call belongs to has ended"},
    Refusal{RefusalReason::kHandleForeign, 403, kNotRun, false,
            "The handle was not given by this node"},
    Refusal{RefusalReason::kNotReady, 503, kNotRun, true,
            "The node has no configuration yet"},
};

}  // namespace

std::string_view ToString(Execution execution) {
  return execution == Execution::kNotRun ? "not-run" : "unknown";
}

const Refusal& Describe(RefusalReason reason) {
  return Describe(static_cast<std::uint32_t>(reason));
}

const Refusal& Describe(std::uint32_t reason_number) {
  const auto found = std::find_if(
      kRefusals.begin(), kRefusals.end(), [&](const Refusal& refusal) {
        return static_cast<std::uint32_t>(refusal.reason) == reason_number;
      });
  return found == kRefusals.end() ? Describe(RefusalReason::kResponseLost)
                                  : *found;
}

std::span<const Refusal> AllRefusals() {
  return kRefusals;
}

}  // namespace daisywinch
