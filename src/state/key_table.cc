#include "state/key_table.h"

#include "state/key_digest.h"

namespace daisywinch {

KeyTable::KeyTable(const Configuration& configuration) {
  for (const Customer& customer : configuration.customers) {
    for (const std::string& digest : customer.key_digests) {
      this->customers_by_digest[digest] = customer.name;
    }
  }
}

const std::string* KeyTable::FindCustomer(std::string_view key) const {
  // Looking up the digest instead of the key keeps the timing of the look-up
  // from revealing how much of a guessed key is right.
  const std::string digest = Sha256Hex(key);
  const auto found = this->customers_by_digest.find(digest);
  if (found == this->customers_by_digest.end() ||
      !EqualInConstantTime(found->first, digest)) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace daisywinch
