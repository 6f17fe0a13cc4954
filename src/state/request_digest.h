#ifndef DAISYWINCH_STATE_REQUEST_DIGEST_H
#define DAISYWINCH_STATE_REQUEST_DIGEST_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace daisywinch {

/// Identifies the content of a request; equal for requests that a target can't
/// tell apart but by their attempt id. 0 means that there is none.
using RequestDigest = std::uint64_t;

/// The first 64 bits of the SHA-256 digest of the parts and their lengths.
RequestDigest DigestOf(std::initializer_list<std::string_view> parts);

/// The digest as 16 hexadecimal digits, for logs.
std::string ToText(RequestDigest digest);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_REQUEST_DIGEST_H
