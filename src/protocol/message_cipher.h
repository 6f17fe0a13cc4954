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
/// AES-256-GCM (NIST SP 800-38D). Each process seals under a key of its own,
/// derived from the secret and its incarnation, so that random nonces do not
/// come near repeating however large the fleet is. A sealed message is the
/// incarnation, the nonce, the cipher text and the tag.
class MessageCipher {
 public:
  MessageCipher(std::string_view fleet_secret, std::uint64_t incarnation);

  std::string Seal(std::string_view message) const;
  /// The message; nothing if it was not sealed with the same secret or has
  /// been changed or cut.
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
