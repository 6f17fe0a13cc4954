#ifndef DAISYWINCH_STATE_ADMISSION_LEVEL_H
#define DAISYWINCH_STATE_ADMISSION_LEVEL_H

#include <array>
#include <cstddef>

#include "state/clock.h"
#include "state/configuration.h"

namespace daisywinch {

/// How much of the offered work a gate wants to be sent.
///
/// A level between 0 and the number of classes: a class is wanted with the
/// probability clamp(level - class, 0, 1), so one number says which classes
/// are wanted whole, which one in fraction and which not at all. Gates send it
/// with each answer and entries refuse by it. An interval in which the marginal
/// class was shed lowers it to what the gate could start of that class, and a
/// little more to keep the queue supplied; an interval in which only lesser
/// classes were shed, or nothing and the gate was idle, raises it ("Overload
/// Control for Scaling WeChat Microservices", Zhou et al. 2018).
class AdmissionLevel {
 public:
  static constexpr double kMaxLevel = kRequestClassCount;

  void RecordOffered(RequestClass request_class, TimePoint now);
  void RecordShed(RequestClass request_class, TimePoint now);
  /// The gate had a free slot and nothing queued.
  void RecordIdle(TimePoint now);

  double Level() const { return this->level; }

 private:
  void CloseInterval(TimePoint now);
  /// The class that is wanted in fraction, or the least important one.
  std::size_t MarginalClass() const;
  /// Whether the marginal class or a more important one was shed.
  bool WasOverloaded() const;
  /// Whether anything was shed at all.
  bool WasAnyShed() const;
  void Decrease();

  /// Requests of one class in the current interval.
  struct ClassCount {
    int offered = 0;
    int shed = 0;
  };

  double level = kMaxLevel;
  std::array<ClassCount, kRequestClassCount> counts;
  bool was_idle = false;
  TimePoint interval_start;
};

/// Probability with which a class is wanted at a level.
double AdmissionProbability(double level, RequestClass request_class);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ADMISSION_LEVEL_H
