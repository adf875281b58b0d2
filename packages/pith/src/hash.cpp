#include "pith/hash.hpp"

#include <sodium.h>

#include <cstdlib>
#include <cstring>

namespace pith {

void crypto_start() {
    static const int ok = sodium_init();
    if (ok < 0) std::abort();
}

std::string digest_hex(std::string_view s) {
    unsigned char h[32];
    crypto_generichash(h, sizeof h, reinterpret_cast<const unsigned char*>(s.data()), s.size(), nullptr, 0);
    return to_hex(std::string_view(reinterpret_cast<char*>(h), sizeof h));
}

std::uint64_t hash64(std::string_view s) {
    static const unsigned char key[crypto_shorthash_KEYBYTES] = {'m', 'a', 'r', 'b', 'l', 'e'};
    unsigned char h[crypto_shorthash_BYTES];
    crypto_shorthash(h, reinterpret_cast<const unsigned char*>(s.data()), s.size(), key);
    std::uint64_t v;
    std::memcpy(&v, h, sizeof v);
    return v;
}

std::uint64_t random64() {
    std::uint64_t v = 0;
    randombytes_buf(&v, sizeof v);
    return v;
}

std::string random_secret() {
    constexpr std::size_t kSecretBytes = 32;
    std::string secret(kSecretBytes, '\0');
    randombytes_buf(&secret[0], secret.size());
    return secret;
}

std::string to_hex(std::string_view s) {
    static const char* hex = "0123456789abcdef";
    std::string o;
    for (unsigned char c : s) {
        o += hex[c >> 4];
        o += hex[c & 15];
    }
    return o;
}

namespace {
int nib(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}
}  // namespace

bool from_hex(std::string_view s, std::string* out) {
    if (s.size() % 2) return false;
    out->clear();
    for (std::size_t i = 0; i < s.size(); i += 2) {
        int a = nib(s[i]), b = nib(s[i + 1]);
        if (a < 0 || b < 0) return false;
        out->push_back(static_cast<char>(a * 16 + b));
    }
    return true;
}

std::string keyed_tag(std::string_view key, std::string_view s) {
    unsigned char h[16];
    crypto_generichash(h, sizeof h, reinterpret_cast<const unsigned char*>(s.data()), s.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size());
    return std::string(reinterpret_cast<char*>(h), sizeof h);
}

bool same_tag(std::string_view a, std::string_view b) {
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace pith
