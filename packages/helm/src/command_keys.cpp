// keygen, secret, key: secrets and their public halves, without any fleet.
#include <sodium.h>

#include <array>
#include <iostream>

#include "commands.hpp"
#include "creed/bundle.hpp"
#include "flags.hpp"
#include "helm/helm.hpp"
#include "output.hpp"
#include "pith/hash.hpp"

namespace helm {

namespace json = boost::json;

namespace {

constexpr std::size_t kSecretBytes = 32, kKeyBytes = 24;

template <std::size_t bytes>
std::string random_hex() {
    std::array<char, bytes> drawn;
    randombytes_buf(drawn.data(), drawn.size());
    return pith::to_hex(std::string(drawn.data(), drawn.size()));
}

}  // namespace

int run_keygen(const Arguments&) {
    std::string public_key, secret_key;
    creed::keygen(&public_key, &secret_key);
    if (FLAGS_out.empty())
        return print_error({pith::Kind::settings_wrong, "keygen needs --out FILE for the secret key"});
    const int code = write_output(secret_key, true);
    if (code == kSuccess) std::cout << public_key << "\n";
    return code;
}

int run_secret(const Arguments&) { return write_output(random_hex<kSecretBytes>(), true); }

int run_key(const Arguments& arguments) {
    const std::string key = arguments.empty() ? random_hex<kKeyBytes>() : arguments[0];
    std::cout << json::serialize(json::object{{"key", key}, {"digest", creed::key_digest(key)}}) << "\n";
    return kSuccess;
}

}  // namespace helm
