#ifndef DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H
#define DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H

#include <vector>

#include "support/http_caller.h"

namespace daisywinch::test {

/// A call and the entry that it goes to.
struct AddressedCall {
  Address address;
  Call call;
};

/// Sends all calls at once, each over a connection of its own, and returns
/// their answers in the same order.
std::vector<HttpResponse> SendAll(const std::vector<AddressedCall>& calls,
                                  Duration timeout = std::chrono::seconds(10));

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_PARALLEL_CALLS_H
