#include "transport/psk_context.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

#include <openssl/sha.h>
#include <openssl/ssl.h>

namespace daisywinch {

namespace {

constexpr char kIdentity[] = "daisywinch";
constexpr std::string_view kDerivationLabel = "daisywinch call link 1:";

using PreSharedKey = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

void FreeKey(void* /*parent*/,
             void* key,
             CRYPTO_EX_DATA* /*data*/,
             int /*index*/,
             long /*argument*/,
             void* /*pointer*/) {
  delete static_cast<PreSharedKey*>(key);
}

int KeyIndex() {
  static const int index =
      SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, FreeKey);
  return index;
}

unsigned int CopyKey(SSL* ssl, unsigned char* output, unsigned int capacity) {
  const PreSharedKey* key = static_cast<const PreSharedKey*>(
      SSL_CTX_get_ex_data(SSL_get_SSL_CTX(ssl), KeyIndex()));
  if (key == nullptr || key->size() > capacity) {
    return 0;
  }
  std::copy(key->begin(), key->end(), output);
  return static_cast<unsigned int>(key->size());
}

unsigned int ClientKey(SSL* ssl,
                       const char* /*hint*/,
                       char* identity,
                       unsigned int identity_capacity,
                       unsigned char* key,
                       unsigned int key_capacity) {
  if (sizeof(kIdentity) > identity_capacity) {
    return 0;
  }
  std::memcpy(identity, kIdentity, sizeof(kIdentity));
  return CopyKey(ssl, key, key_capacity);
}

unsigned int ServerKey(SSL* ssl,
                       const char* identity,
                       unsigned char* key,
                       unsigned int key_capacity) {
  if (identity == nullptr || std::strcmp(identity, kIdentity) != 0) {
    return 0;
  }
  return CopyKey(ssl, key, key_capacity);
}

}  // namespace

boost::asio::ssl::context MakePskContext(std::string_view fleet_secret) {
  boost::asio::ssl::context context(boost::asio::ssl::context::tls);
  SSL_CTX* native = context.native_handle();
  SSL_CTX_set_min_proto_version(native, TLS1_3_VERSION);
  // The SSL_CTX_set_psk_*_callback() functions support only cipher suites with
  // SHA-256.
  SSL_CTX_set_ciphersuites(native, "TLS_AES_128_GCM_SHA256");
  SSL_CTX_set_options(native, SSL_OP_NO_TICKET);
  SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
  const std::string material =
      std::string(kDerivationLabel) + std::string(fleet_secret);
  PreSharedKey* key = new PreSharedKey();
  SHA256(reinterpret_cast<const unsigned char*>(material.data()),
         material.size(), key->data());
  SSL_CTX_set_ex_data(native, KeyIndex(), key);
  SSL_CTX_set_psk_client_callback(native, ClientKey);
  SSL_CTX_set_psk_server_callback(native, ServerKey);
  return context;
}

}  // namespace daisywinch
