#ifndef DAISYWINCH_STATE_KEY_DIGEST_H
#define DAISYWINCH_STATE_KEY_DIGEST_H

#include <string>
#include <string_view>

namespace daisywinch {

/// SHA-256 of a text in lower-case hexadecimal, 64 characters.
std::string Sha256Hex(std::string_view text);

/// Whether a text has the form of a key digest.
bool IsKeyDigest(std::string_view text);

/// Bytes from the operating system's secure generator, in hexadecimal.
std::string RandomHex(int byte_count);

/// Compares two texts of one length in time that does not depend on where
/// they differ.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_KEY_DIGEST_H
