#include "protocol/message_cipher.h"

#include <cstdlib>
#include <memory>

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <boost/endian/conversion.hpp>

namespace daisywinch {

namespace {

constexpr std::string_view kDerivationLabel = "daisywinch control 1:";
constexpr std::size_t kIncarnationSize = 8;
constexpr std::size_t kNonceSize = 12;
constexpr std::size_t kHeaderSize = kIncarnationSize + kNonceSize;
constexpr std::size_t kTagSize = 16;

struct ContextDeleter {
  void operator()(EVP_CIPHER_CTX* context) const {
    EVP_CIPHER_CTX_free(context);
  }
};
using CipherContext = std::unique_ptr<EVP_CIPHER_CTX, ContextDeleter>;

unsigned char* Bytes(char* text) {
  return reinterpret_cast<unsigned char*>(text);
}

const unsigned char* Bytes(const char* text) {
  return reinterpret_cast<const unsigned char*>(text);
}

}  // namespace

MessageCipher::MessageCipher(std::string_view fleet_secret,
                             std::uint64_t incarnation)
    : secret(fleet_secret), local_incarnation(kIncarnationSize, '\0') {
  boost::endian::store_big_u64(Bytes(this->local_incarnation.data()),
                               incarnation);
  this->local_key = this->DeriveKey(this->local_incarnation);
}

MessageCipher::Key MessageCipher::DeriveKey(
    std::string_view incarnation) const {
  const std::string key_material = std::string(kDerivationLabel) +
                                   this->secret + ":" +
                                   std::string(incarnation);
  Key key = {};
  SHA256(Bytes(key_material.data()), key_material.size(), key.data());
  return key;
}

std::string MessageCipher::Seal(std::string_view message) const {
  std::string sealed = this->local_incarnation;
  sealed.resize(kHeaderSize + message.size() + kTagSize);
  unsigned char* nonce = Bytes(sealed.data()) + kIncarnationSize;
  unsigned char* text = nonce + kNonceSize;
  unsigned char* tag = text + message.size();
  const CipherContext context(EVP_CIPHER_CTX_new());
  int written = 0;
  const Key& key = this->local_key;
  const bool succeeded =
      RAND_bytes(nonce, kNonceSize) == 1 &&
      EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, key.data(),
                         nonce) == 1 &&
      EVP_EncryptUpdate(context.get(), text, &written, Bytes(message.data()),
                        static_cast<int>(message.size())) == 1 &&
      EVP_EncryptFinal_ex(context.get(), text + written, &written) == 1 &&
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, kTagSize, tag) ==
          1;
  if (!succeeded) {
    std::abort();
  }
  return sealed;
}

std::optional<std::string> MessageCipher::Open(std::string_view sealed) const {
  if (sealed.size() < kHeaderSize + kTagSize) {
    return std::nullopt;
  }
  const std::size_t size = sealed.size() - kHeaderSize - kTagSize;
  const unsigned char* nonce = Bytes(sealed.data()) + kIncarnationSize;
  const unsigned char* text = nonce + kNonceSize;
  const Key key = this->DeriveKey(sealed.substr(0, kIncarnationSize));
  std::string tag(sealed.substr(kHeaderSize + size));
  std::string message(size, '\0');
  const CipherContext context(EVP_CIPHER_CTX_new());
  int written = 0;
  const bool is_authentic =
      EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, key.data(),
                         nonce) == 1 &&
      EVP_DecryptUpdate(context.get(), Bytes(message.data()), &written, text,
                        static_cast<int>(size)) == 1 &&
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, kTagSize,
                          tag.data()) == 1 &&
      EVP_DecryptFinal_ex(context.get(), Bytes(message.data()) + written,
                          &written) == 1;
  if (!is_authentic) {
    return std::nullopt;
  }
  return message;
}

}  // namespace daisywinch
