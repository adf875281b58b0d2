#pragma once
// The bundle: one numbered word of the operators, checked whole before anything acts on it
// (docs/design.md 5.1).
#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pith/error.hpp"
#include "pith/time.hpp"

namespace creed {

constexpr std::size_t kMaxBundle = 8 * 1024 * 1024;

/// How many bytes one parsed text may take, from now on, in this process: a text of small values takes many
/// times its own size.
void parse_limit(std::size_t bytes);
/// Fails with not_enough_memory beyond that.
boost::json::value parse_text(std::string_view text, boost::system::error_code& ec);

struct Service {
    std::string name;
    std::string health;                // path of its health answer; empty: none is asked for
    std::size_t most_connections = 0;  // that a server accepts from all callers together; 0: not said
};

struct Split {
    std::string service;
    std::uint64_t weight = 1;
};

struct Route {
    std::string name, path, service;  // service: of the first split
    std::string host, prefix;         // either these, or path and methods
    std::vector<std::string> methods;
    std::vector<std::string> parts;  // "*" for one segment, "**" for the rest
    std::vector<Split> splits;       // at least one, the weights' sum above 0
    bool write = false;
    bool open = false;          // needs no key
    pith::Micros timeout = 0;   // longest time that a request is held
    pith::Micros aim = 0;       // an answer within it has its full worth; 0: not said
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t tries = 3;    // servers that one try may be sent to, at most
};

struct Customer {
    std::string name;
    double allowance = 0;  // requests a second, over the whole fleet; 0: no limit
    double burst = 0;      // requests above it that may come at once
    std::uint32_t priority = 0;
    std::vector<std::string> routes;  // none: all
};

// What a client may send, and how long it may take (docs/api.md).
struct Limits {
    std::uint64_t header_bytes = 16 * 1024, body_bytes = 1024 * 1024;
    pith::Micros header_time = 10 * pith::kSecond, idle_time = 30 * pith::kSecond;
};

struct Bundle {
    std::uint64_t number = 0;
    std::string note;
    std::string text;  // as signed
    std::string hash;  // of text
    std::vector<Service> services;
    std::vector<Route> routes;
    std::map<std::string, Customer> customers;
    std::map<std::string, std::string> keys;  // digest of the key -> customer
    Limits limits;
};

// What the data plane asks of the newest bundle.
class Policy {
  public:
    explicit Policy(Bundle b);
    std::uint64_t number() const { return b_.number; }
    const Bundle& bundle() const { return b_; }
    const Customer* customer_of(const std::string& key) const;
    const Customer* customer(const std::string& name) const;
    // Null where no route takes the path; `method_ok` false where the path is known but not the method. Routes with
    // this host and the longest prefix come first, then those with a path.
    const Route* match(const std::string& method, const std::string& path, bool* method_ok,
                       const std::string& host = {}) const;
    // Of the route's services the one for this try: by weight, and always the same (docs/design.md 7.1).
    static const std::string& service_for(const Route& r, const std::string& try_id);
    bool keyless() const { return b_.customers.empty(); }
    std::string methods(const std::string& path) const;  // for Allow: "GET, HEAD"
    static bool allowed(const Customer& c, const Route& r);

  private:
    Bundle b_;
    std::unordered_map<std::string, std::map<std::string, std::size_t>> places_;  // host -> prefix -> route
    std::vector<std::size_t> patterns_;                                         // routes with a path
};
using PolicyPtr = std::shared_ptr<const Policy>;

std::string key_digest(const std::string& key);

// Reads and checks the inner bundle's text. `open`: fields that are not known are passed over and names may hold more
// than our own signs, as where a platform sends bundles unsigned (docs/api.md).
pith::Result<Bundle> read_bundle(const std::string& text, bool open = false);

// Among the signers: bundles count without a signature, and are kept and told on byte for byte as they were sent.
constexpr const char* kUnsigned = "unsigned";

// The signed form: {"bundle": {...}, "signer": hex, "signature": hex}.
struct Signed {
    Bundle bundle;
    std::string signer, signature;
    std::string text;  // the whole, as kept and told on
};
pith::Result<Signed> read_signed(const std::string& text, const std::vector<std::string>& signers);
// As told by a keeper, which checked the signature: the content is checked again, not who signed.
pith::Result<Bundle> read_told(const std::string& text);
pith::Result<std::string> sign(const std::string& bundle_text, const std::string& secret_hex);
void keygen(std::string* public_hex, std::string* secret_hex);

}  // namespace creed
