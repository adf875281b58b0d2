#include <sodium.h>

#include <algorithm>
#include <boost/json.hpp>

#include "creed/bundle.hpp"
#include "pith/hash.hpp"

namespace creed {

namespace json = boost::json;
using pith::fail;
using pith::Kind;

namespace {
const unsigned char* raw(const std::string& s) { return reinterpret_cast<const unsigned char*>(s.data()); }
}  // namespace

void keygen(std::string* public_hex, std::string* secret_hex) {
    pith::crypto_start();
    unsigned char pk[crypto_sign_PUBLICKEYBYTES], sk[crypto_sign_SECRETKEYBYTES];
    crypto_sign_keypair(pk, sk);
    *public_hex = pith::to_hex(std::string(reinterpret_cast<char*>(pk), sizeof pk));
    *secret_hex = pith::to_hex(std::string(reinterpret_cast<char*>(sk), sizeof sk));
    sodium_memzero(sk, sizeof sk);
}

pith::Result<std::string> sign(const std::string& bundle_text, const std::string& secret_hex) {
    pith::crypto_start();
    auto b = read_bundle(bundle_text);
    if (!b) return tl::unexpected<pith::Error>(b.error());
    std::string sk;
    if (!pith::from_hex(secret_hex, &sk) || sk.size() != crypto_sign_SECRETKEYBYTES)
        return fail(Kind::bundle_unsigned,
                    "the signing key is not 128 hex digits: make one with `helm keygen`");
    unsigned char sig[crypto_sign_BYTES];
    crypto_sign_detached(sig, nullptr, raw(b->text), b->text.size(), raw(sk));
    json::object o;
    o["bundle"] = json::parse(b->text);
    o["signer"] = pith::to_hex(sk.substr(32));
    o["signature"] = pith::to_hex(std::string(reinterpret_cast<char*>(sig), sizeof sig));
    return json::serialize(o);
}

pith::Result<Bundle> read_told(const std::string& text) {
    boost::system::error_code ec;
    json::value v = parse_text(text, ec);
    const json::object* o = ec ? nullptr : v.if_object();
    const json::value* b = o == nullptr ? nullptr : o->if_contains("bundle");
    if (b == nullptr && o != nullptr && o->if_contains("number") != nullptr) return read_bundle(text, true);
    if (b == nullptr)
        return fail(Kind::bundle_broken, "no bundle in what was told: compare versions of the nodes");
    return read_bundle(json::serialize(*b));
}

pith::Result<Signed> read_signed(const std::string& text, const std::vector<std::string>& signers) {
    if (text.size() > kMaxBundle)
        return fail(Kind::bundle_broken, "the bundle is over 8 MiB: split customers or drop unused routes");
    if (std::find(signers.begin(), signers.end(), kUnsigned) != signers.end()) {
        auto b = read_bundle(text, true);
        if (!b) return tl::unexpected<pith::Error>(b.error());
        return Signed{std::move(*b), {}, {}, text};
    }
    boost::system::error_code ec;
    json::value v = parse_text(text, ec);
    const json::object* o = ec ? nullptr : v.if_object();
    if (o == nullptr)
        return fail(Kind::bundle_broken, "not one JSON object: send the file made by `helm sign`");
    for (const auto& e : *o)
        if (e.key() != "bundle" && e.key() != "signer" && e.key() != "signature")
            return fail(Kind::bundle_broken,
                        "/" + std::string(e.key()) + ": unknown field: send the file made by `helm sign`");
    const json::value* b = o->if_contains("bundle");
    const json::value* s = o->if_contains("signer");
    const json::value* g = o->if_contains("signature");
    if (b == nullptr || s == nullptr || g == nullptr || !s->is_string() || !g->is_string())
        return fail(Kind::bundle_unsigned, "no signature: sign the bundle with `helm sign` first");
    Signed r;
    r.signer = s->get_string().c_str();
    r.signature = g->get_string().c_str();
    if (std::find(signers.begin(), signers.end(), r.signer) == signers.end())
        return fail(Kind::bundle_unsigned,
                    "signer " + r.signer.substr(0, 8) +
                        "… is not trusted here: add it to \"signers\" in the keepers' settings");
    const std::string inner = json::serialize(*b);
    std::string pk, sig;
    if (!pith::from_hex(r.signer, &pk) || pk.size() != crypto_sign_PUBLICKEYBYTES ||
        !pith::from_hex(r.signature, &sig) || sig.size() != crypto_sign_BYTES ||
        crypto_sign_verify_detached(raw(sig), raw(inner), inner.size(), raw(pk)) != 0)
        return fail(Kind::bundle_unsigned,
                    "the signature does not fit the content: sign the bundle again with `helm sign`");
    auto bb = read_bundle(inner);
    if (!bb) return tl::unexpected<pith::Error>(bb.error());
    r.bundle = std::move(*bb);
    r.text = json::serialize(*o);
    return r;
}

}  // namespace creed
