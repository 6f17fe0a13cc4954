#ifndef DAISYWINCH_STATE_RENDEZVOUS_H
#define DAISYWINCH_STATE_RENDEZVOUS_H

#include <string>
#include <string_view>
#include <vector>

namespace daisywinch {

/// The name that a key is mapped to by rendezvous hashing; null if there are
/// none.
///
/// When names come or go, only the keys of those names move ("Using Name-Based
/// Mappings to Increase Hit Rates", Thaler, Ravishankar 1998).
const std::string* ChooseByRendezvous(const std::vector<std::string>& names,
                                      std::string_view key);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RENDEZVOUS_H
