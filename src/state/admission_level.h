#ifndef DAISYWINCH_STATE_ADMISSION_LEVEL_H
#define DAISYWINCH_STATE_ADMISSION_LEVEL_H

#include <array>
#include <cstddef>

#include "state/clock.h"
#include "state/configuration.h"

namespace daisywinch {

/// Adaptive admission level of one gate, the admission control in front of a
/// target, from 0 to the number of request classes.
///
/// A request of a class is admitted with the probability clamp(level - class,
/// 0, 1), where the most important class has the number 0. A single number thus
/// tells which classes are admitted in full, which one class, the marginal
/// class, is admitted with a probability below 1, and which are refused. Gates
/// attach the level to each response, and ingresses refuse requests according
/// to it.
///
/// The level is updated at the end of each interval. If the marginal class or a
/// more important one was shed, it decreases to the fraction of that class that
/// could be started, plus a margin that keeps the queue supplied. If only less
/// important classes were shed, or nothing was shed and the gate was idle, it
/// increases by a fixed step. Based on "Overload Control for Scaling WeChat
/// Microservices", Zhou et al. 2018.
class AdmissionLevel {
 public:
  static constexpr double kMaxLevel = kRequestClassCount;

  void RecordOffered(RequestClass request_class, TimePoint now);
  void RecordShed(RequestClass request_class, TimePoint now);
  /// The gate had a free slot and an empty queue.
  void RecordIdle(TimePoint now);

  double Level() const { return this->level; }

 private:
  void CloseInterval(TimePoint now);
  /// The least important class that is not refused in full.
  std::size_t MarginalClass() const;
  /// Whether the marginal class or a more important one was shed in the current
  /// interval.
  bool WasOverloaded() const;
  /// Whether any class was shed in the current interval.
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

/// Probability with which a request of a class is admitted at `level`.
double AdmissionProbability(double level, RequestClass request_class);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ADMISSION_LEVEL_H
