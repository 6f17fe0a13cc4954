#include "state/rendezvous.h"

#include "state/key_digest.h"

namespace daisywinch {

const std::string* ChooseByRendezvous(const std::vector<std::string>& names,
                                      std::string_view key) {
  const std::string* best = nullptr;
  std::string best_weight;
  for (const std::string& name : names) {
    std::string weight = Sha256Hex(name + "\n" + std::string(key));
    if (best == nullptr || weight > best_weight) {
      best = &name;
      best_weight = std::move(weight);
    }
  }
  return best;
}

}  // namespace daisywinch
