#ifndef DAISYWINCH_STATE_RENDEZVOUS_H
#define DAISYWINCH_STATE_RENDEZVOUS_H

#include <string>
#include <string_view>
#include <vector>

namespace daisywinch {

/// The name that rendezvous hashing assigns to a key; null if there are no
/// names.
///
/// When names are added or removed, only the keys assigned to those names move
/// (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates",
/// 1998).
const std::string* ChooseByRendezvous(const std::vector<std::string>& names,
                                      std::string_view key);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RENDEZVOUS_H
