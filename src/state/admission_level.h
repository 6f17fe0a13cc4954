#ifndef DAISYWINCH_STATE_ADMISSION_LEVEL_H
#define DAISYWINCH_STATE_ADMISSION_LEVEL_H

#include "state/clock.h"
#include "state/configuration.h"

namespace daisywinch {

/// How much of the offered work a gate wants to be sent.
///
/// A level between 0 and the number of classes: a class is wanted with the
/// probability clamp(level - class, 0, 1), so one number says which classes
/// are wanted whole, which one in part and which not at all. Gates send it
/// with each answer and entries refuse by it ("Overload Control for Scaling
/// WeChat Microservices", Zhou et al. 2018).
class AdmissionLevel {
 public:
  static constexpr double kHighest = kRequestClassCount;

  void TakeOffered(TimePoint now);
  void TakeShed(TimePoint now);
  /// The gate had a free slot and nothing queued.
  void TakeIdle(TimePoint now);

  double Level() const { return this->level; }

 private:
  void CloseInterval(TimePoint now);

  double level = kHighest;
  int offered = 0;
  int shed = 0;
  bool was_idle = false;
  TimePoint interval_started;
};

/// Probability with which a class is wanted at a level.
double WantedPart(double level, RequestClass request_class);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ADMISSION_LEVEL_H
