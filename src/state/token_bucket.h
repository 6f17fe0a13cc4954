#ifndef DAISYWINCH_STATE_TOKEN_BUCKET_H
#define DAISYWINCH_STATE_TOKEN_BUCKET_H

#include "state/clock.h"

namespace daisywinch {

/// Token bucket. In any window of w seconds, at most rate * w + burst tokens
/// are acquired.
class TokenBucket {
 public:
  /// `rate` is in tokens per second. The bucket starts with `initial` tokens,
  /// at most `burst`.
  TokenBucket(double rate, double burst, double initial, TimePoint now);

  /// Takes `tokens` tokens if that many are available; otherwise takes none and
  /// returns false.
  bool TryAcquire(double tokens, TimePoint now);

  double Available(TimePoint now);

  /// Changes rate and burst; tokens in excess of the new burst are discarded.
  void Configure(double rate, double burst, TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate;
  double burst;
  double tokens;
  TimePoint last_refill;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_BUCKET_H
