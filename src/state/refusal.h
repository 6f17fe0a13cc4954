#ifndef DAISYWINCH_STATE_REFUSAL_H
#define DAISYWINCH_STATE_REFUSAL_H

#include <cstdint>
#include <span>
#include <string_view>

namespace daisywinch {

/// Why a request was refused. The numbers are part of the public interface and
/// must not change.
enum class RefusalReason : std::uint32_t {
  kNone = 0,
  kMalformedRequest = 100,
  kUnknownKey = 101,
  kRouteNotAllowed = 103,
  kUnknownRoute = 104,
  kRouteRetired = 105,
  kOverRate = 106,
  kBodyTooLarge = 107,
  kHeaderTooLarge = 108,
  kFatalRequest = 109,
  kNoTarget = 201,
  kShedByGate = 202,
  kDeadlineTooShort = 203,
  kDraining = 204,
  kShedByTarget = 205,
  kShedByIngress = 206,
  kTargetUnreachable = 207,
  kCancelledUnsent = 208,
  kNoMemory = 209,
  kResponseLost = 301,
  kDeadlinePassed = 302,
  kDuplicateOutcomeUnknown = 303,
  kResponseTooLarge = 304,
  kDuplicateInProgress = 305,
  kCancelled = 306,
  kHandleEnded = 401,
  kHandleForeign = 402,
  kNotReady = 501,
};

/// Whether a refused request may have run at the target.
enum class Execution { kNotRun, kUnknown };

std::string_view ToString(Execution execution);

/// A refusal reason and the response that a caller gets for it.
struct Refusal {
  RefusalReason reason = RefusalReason::kNone;
  /// HTTP status of the response.
  int status = 0;
  Execution execution = Execution::kNotRun;
  /// The same request may succeed if it is sent again after a short time.
  bool retryable = false;
  std::string_view title;
};

/// The description of a reason; that of kResponseLost for an unknown number.
const Refusal& Describe(RefusalReason reason);
const Refusal& Describe(std::uint32_t reason_number);

/// All reasons in the order of their numbers.
std::span<const Refusal> AllRefusals();

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_REFUSAL_H
