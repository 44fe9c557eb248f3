#include "servers/relay/key_hasher.h"

#include <sodium.h>

namespace firefly {

tl::expected<KeyHasher, KeyHasherError>
KeyHasher::Create()
{
  static_assert(kHashKeyBytes == crypto_generichash_KEYBYTES);
  if (sodium_init() < 0) {
    return tl::make_unexpected(KeyHasherError{ "cannot initialize libsodium" });
  }
  KeyHasher hasher;
  crypto_generichash_keygen(hasher.mHashKey.data());
  return hasher;
}

policy::KeyDigest
KeyHasher::Hash(std::string_view aApiKey) const
{
  static_assert(policy::KeyDigest::kBytes >= crypto_generichash_BYTES_MIN &&
                policy::KeyDigest::kBytes <= crypto_generichash_BYTES_MAX);
  policy::KeyDigest::Bytes bytes{};
  crypto_generichash(bytes.data(),
                     bytes.size(),
                     reinterpret_cast<const unsigned char*>(aApiKey.data()),
                     aApiKey.size(),
                     mHashKey.data(),
                     mHashKey.size());
  return policy::KeyDigest(bytes);
}

} // namespace firefly
