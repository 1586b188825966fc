// Hashes and compares tokens with OpenSSL's libcrypto.
#include "settings/Access.h"

#include "settings/SettingsPath.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace magnoliamill::settings {
namespace {

constexpr std::size_t HashDigits = SHA256_DIGEST_LENGTH * 2;

bool isEqualHash(std::string_view one, std::string_view other) {
  return one.size() == HashDigits && other.size() == HashDigits &&
         CRYPTO_memcmp(one.data(), other.data(), HashDigits) == 0;
}

} // namespace

std::string Principal::who() const { return Admin ? "admin" : "team/" + Team; }

std::string hashToken(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest.data());
  std::string digits;
  for (auto byte : digest)
    digits += fmt::format("{:02x}", byte);
  return digits;
}

bool isTokenHash(std::string_view text) {
  return text.size() == HashDigits && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::optional<Principal> authenticate(std::string_view token,
                                      std::string_view adminhash,
                                      const View &view) {
  if (token.empty())
    return std::nullopt;
  auto hash = hashToken(token);
  std::optional<Principal> found;
  // Compares all hashes, so that the time taken does not reveal which one
  // matched.
  for (const auto &[name, team] : view.Teams)
    if (isEqualHash(hash, team.TokenSha256))
      found = Principal{false, name};
  if (isEqualHash(hash, adminhash))
    found = Principal{true, ""};
  return found;
}

bool mayAccess(const Principal &principal, std::string_view path) {
  if (principal.Admin)
    return true;
  return !principal.Team.empty() &&
         isAtOrBelow(path, "/teams/" + principal.Team);
}

} // namespace magnoliamill::settings
