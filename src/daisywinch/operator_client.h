#ifndef DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H
#define DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H

#include <optional>
#include <string>

#include "state/settings.h"

namespace daisywinch {

/// Sends requests to the operator port of a running node; blocks.
class OperatorClient {
 public:
  explicit OperatorClient(const Address& address);

  /// Returns the body of the response, or nothing if the request fails or the
  /// status is not 200; see LastError().
  std::optional<std::string> Get(const std::string& target);

  const std::string& LastError() const { return this->last_error; }

 private:
  Address address;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_DAISYWINCH_OPERATOR_CLIENT_H
