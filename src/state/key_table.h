#ifndef DAISYWINCH_STATE_KEY_TABLE_H
#define DAISYWINCH_STATE_KEY_TABLE_H

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/configuration.h"

namespace daisywinch {

/// Looks up the customer that an API key belongs to, by the key's digest.
class KeyTable {
 public:
  KeyTable() = default;
  explicit KeyTable(const Configuration& configuration);

  /// Name of the customer that the key belongs to; null if the key is not
  /// valid.
  const std::string* FindCustomer(std::string_view key) const;

 private:
  std::unordered_map<std::string, std::string> customers_by_digest;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_KEY_TABLE_H
