#include "state/request_digest.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

#include <openssl/evp.h>
#include <openssl/sha.h>

namespace daisywinch {

RequestDigest DigestOf(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest = {};
  bool is_valid = context != nullptr &&
                  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  for (const std::string_view part : parts) {
    // The lengths keep the same bytes in other parts from being equal.
    const std::uint64_t size = part.size();
    is_valid = is_valid &&
               EVP_DigestUpdate(context.get(), &size, sizeof(size)) == 1 &&
               EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  }
  if (!is_valid ||
      EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
    std::abort();
  }
  RequestDigest first = 0;
  std::memcpy(&first, digest.data(), sizeof(first));
  return first == 0 ? 1 : first;
}

std::string ToText(RequestDigest digest) {
  constexpr int kDigits = 16;
  std::array<char, kDigits + 1> text = {};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(digest));
  return text.data();
}

}  // namespace daisywinch
