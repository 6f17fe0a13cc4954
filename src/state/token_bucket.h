#ifndef DAISYWINCH_STATE_TOKEN_BUCKET_H
#define DAISYWINCH_STATE_TOKEN_BUCKET_H

#include "state/clock.h"

namespace daisywinch {

/// Token bucket: over any window w, at most rate * w + burst tokens are taken.
class TokenBucket {
 public:
  /// `rate` is in tokens per second; the bucket starts with `initial` tokens.
  TokenBucket(double rate, double burst, double initial, TimePoint now);

  /// Takes tokens if there are enough.
  bool TryAcquire(double tokens, TimePoint now);

  double Available(TimePoint now);

  /// Changes rate and burst; tokens over the new burst are lost.
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
