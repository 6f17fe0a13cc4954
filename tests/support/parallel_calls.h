#ifndef DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H
#define DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H

#include <vector>

#include "support/http_caller.h"

namespace daisywinch::test {

/// A call and the address that it is sent to.
struct AddressedCall {
  Address address;
  Call call;
};

/// Sends all calls concurrently, each over its own connection, and returns the
/// responses in the same order; status 0 means that there was no response.
std::vector<HttpResponse> SendAll(const std::vector<AddressedCall>& calls,
                                  Duration timeout = std::chrono::seconds(10));

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H
