#include "state/key_digest.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace daisywinch {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string ToHex(const unsigned char* bytes, std::size_t count) {
  std::string text;
  text.reserve(2 * count);
  for (std::size_t index = 0; index < count; ++index) {
    text += kHexDigits[bytes[index] >> 4];
    text += kHexDigits[bytes[index] & 0xf];
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest = {};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

bool IsKeyDigest(std::string_view text) {
  return text.size() == 2 * SHA256_DIGEST_LENGTH &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return kHexDigits.find(character) != std::string_view::npos;
         });
}

std::string RandomHex(int byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  if (RAND_bytes(bytes.data(), byte_count) != 1) {
    std::abort();
  }
  return ToHex(bytes.data(), bytes.size());
}

std::uint64_t RandomNumber() {
  constexpr int kHexadecimal = 16;
  return std::stoull(RandomHex(sizeof(std::uint64_t)), nullptr, kHexadecimal);
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace daisywinch
