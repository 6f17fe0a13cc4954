#ifndef DAISYWINCH_STATE_KEY_DIGEST_H
#define DAISYWINCH_STATE_KEY_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace daisywinch {

/// SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Whether a text has the form of a key digest: 64 lower-case hexadecimal
/// digits.
bool IsKeyDigest(std::string_view text);

/// `byte_count` bytes from OpenSSL's cryptographically secure random generator,
/// in hexadecimal. Aborts the process if the generator fails.
std::string RandomHex(int byte_count);

/// A random number from the same generator.
std::uint64_t RandomNumber();

/// Compares two texts in time that does not depend on their contents. Texts of
/// different length are unequal at once.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_KEY_DIGEST_H
