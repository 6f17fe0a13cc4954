#ifndef DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H
#define DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H

#include <optional>
#include <string>

#include "state/settings.h"

namespace daisywinch {

/// Asks the operator port of a running node.
class OperatorClient {
 public:
  explicit OperatorClient(const Address& address);

  /// The body of the answer; nothing if there is none, see LastError().
  std::optional<std::string> Get(const std::string& target);

  const std::string& LastError() const { return this->last_error; }

 private:
  Address address;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H
