#ifndef DAISYWINCH_TESTS_SUPPORT_RAW_RESPONSES_H
#define DAISYWINCH_TESTS_SUPPORT_RAW_RESPONSES_H

#include <ostream>
#include <string>
#include <vector>

namespace daisywinch::test {

/// The bytes of a response, in which "{id}" stands for the attempt id of the
/// request.
struct RawResponse {
  std::string name;
  std::string bytes;
  /// The response ends with its connection.
  bool closes = false;

  friend std::ostream& operator<<(std::ostream& stream,
                                  const RawResponse& response) {
    return stream << response.name;
  }
};

/// Responses with the attempt id and a signature that aren't valid HTTP. Their
/// connections are closed, as many have no other end.
std::vector<RawResponse> InvalidResponses();

/// Valid responses with the attempt id and a signature; a body has two bytes.
std::vector<RawResponse> ValidResponses();

/// A response with the status, the attempt id, a signature and a body of two
/// bytes. `fields` are further lines of its header.
std::string MakeRawResponse(const std::string& status,
                            const std::string& fields = "");

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_RAW_RESPONSES_H
