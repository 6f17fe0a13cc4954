#ifndef DAISYWINCH_STATE_RETURN_SCHEDULE_H
#define DAISYWINCH_STATE_RETURN_SCHEDULE_H

#include <map>
#include <random>

#include "state/clock.h"
#include "state/root_admission.h"

namespace daisywinch {

/// Decides when the callers of refused root requests should return; answers
/// bursts that last for seconds.
///
/// A caller that returns while the burst lasts is refused again. So callers are
/// told to return late, but early enough that the answer still meets the
/// latency objective, by the time that requests of their class take. Times are
/// random, so that callers who were refused together don't return together.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(std::uint64_t seed) : random(seed) {}

  /// Records the time that a served request took.
  void RecordServed(const RootClass& root_class, Duration time);

  /// Returns the time after which to send the request again, for a request that
  /// `elapsed` after its arrival is refused.
  Duration DelayFor(const RootClass& root_class,
                    Duration objective,
                    Duration elapsed);

  /// Returns the time after which to send a request again that was refused as
  /// its customer is over its rate. Earlier, as the next token comes soon,
  /// however long the customer stays near its rate.
  Duration DelayOverRate(Duration objective);

 private:
  /// A random time between two.
  Duration Between(Duration low, Duration high);

  std::mt19937_64 random;
  /// Moving average of the time that requests of a class take.
  std::map<RootClass, Duration> mean_times;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RETURN_SCHEDULE_H
