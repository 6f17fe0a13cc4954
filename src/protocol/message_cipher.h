#ifndef DAISYWINCH_PROTOCOL_MESSAGE_CIPHER_H
#define DAISYWINCH_PROTOCOL_MESSAGE_CIPHER_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisywinch {

/// Encrypts and authenticates control messages with the fleet's secret.
///
/// The cipher is AES-256-GCM (NIST SP 800-38D). Each process encrypts with its
/// own key, which is derived from the secret and its incarnation, so that the
/// probability of a repeated random nonce does not grow with the fleet. A
/// sealed message consists of the incarnation, the nonce, the ciphertext and
/// the tag.
class MessageCipher {
 public:
  MessageCipher(std::string_view fleet_secret, std::uint64_t incarnation);

  /// Encrypts a message; aborts the process if OpenSSL fails.
  std::string Seal(std::string_view message) const;
  /// Decrypts a message. Returns nothing if it was sealed with another secret,
  /// or was modified or truncated.
  std::optional<std::string> Open(std::string_view sealed) const;

 private:
  using Key = std::array<unsigned char, 32>;

  Key DeriveKey(std::string_view incarnation) const;

  std::string secret;
  std::string local_incarnation;
  Key local_key = {};
};

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_MESSAGE_CIPHER_H
