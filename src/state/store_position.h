#ifndef DAISYWINCH_STATE_STORE_POSITION_H
#define DAISYWINCH_STATE_STORE_POSITION_H

#include <cstdint>
#include <tuple>

namespace daisywinch {

/// A point in the history of the platform's store.
///
/// When the store is restored from an older copy, a new era begins and
/// revisions are given out again. Revisions of different eras are therefore not
/// comparable; positions are ordered by era first.
struct StorePosition {
  /// Number of restorations; 0 if the store doesn't state it.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  friend bool operator<(const StorePosition& left, const StorePosition& right) {
    return std::tie(left.era, left.revision) <
           std::tie(right.era, right.revision);
  }
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_STORE_POSITION_H
