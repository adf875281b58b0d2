#include "span/plan.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace span {

using pith::fail;
using pith::Kind;
using pith::Micros;

namespace {

bool word(const std::string& s, std::size_t most) {
    if (s.empty() || s.size() > most) return false;
    return std::all_of(s.begin(), s.end(), [](unsigned char c) { return c > ' ' && c < 127; });
}

bool digits(const std::string& s, std::size_t most) {
    return !s.empty() && s.size() <= most && s.find_first_not_of("0123456789") == std::string::npos;
}

// Dot segments and escapes could reach past a route's pattern at the server: refused, never mended.
bool clean(const std::string& p) {
    if (p.empty() || p[0] != '/' || p.size() > 2048) return false;
    for (unsigned char c : p)
        if (c <= ' ' || c >= 127 || c == '\\' || c == '#') return false;
    if (p.find('%') != std::string::npos) return false;
    return (p + "/").find("/./") == std::string::npos && (p + "/").find("/../") == std::string::npos;
}

}  // namespace

const Dialect& own_dialect() {
    static const Dialect d;
    return d;
}

namespace {

// The time left as the client says it: whole milliseconds, 1 to 60000. Where the dialect isn't strict, what is missing
// or beyond that is taken as the longest.
pith::Result<Micros> time_left(const std::string& w, const Dialect& d) {
    if (d.strict && !digits(w, 6))
        return fail(Kind::bad_visit, d.deadline + " must be the whole milliseconds left, 1 to 60000");
    const std::string whole = w.substr(0, w.find('.'));
    if (!digits(whole, 9)) return kMaxDeadline;
    const Micros left = std::stoll(whole) * pith::kMilli;
    if (!d.strict) return std::min(left, kMaxDeadline);
    if (left < pith::kMilli || left > kMaxDeadline)
        return fail(Kind::bad_visit, d.deadline + " must be the whole milliseconds left, 1 to 60000");
    return left;
}

// Who pays: nobody on open routes and where the bundle has no customers.
pith::Result<const creed::Customer*> customer_of(const Head& h, const creed::Policy& p, bool open,
                                                 const Dialect& d) {
    if (open || (!d.strict && p.keyless())) return nullptr;
    if (!word(h.key, 256))
        return fail(Kind::key_unknown, d.key + " is missing or not a key: send the customer's key");
    const creed::Customer* c = p.customer_of(h.key);
    if (c == nullptr)
        return fail(Kind::key_unknown,
                    "the key is not known or was revoked: ask the operators for a new one");
    return c;
}

pith::Result<const creed::Route*> route_of(const Head& h, const creed::Policy& p, const Dialect& d) {
    const std::string path = h.target.substr(0, h.target.find('?'));
    if (d.strict ? !clean(path) || h.target.size() > 4096 : path.empty() || path[0] != '/')
        return fail(Kind::bad_visit,
                    "the path must begin with / and hold no escapes, dot segments or control characters");
    bool method_ok = true;
    const creed::Route* r = p.match(h.method, path, &method_ok, h.host);
    if (r == nullptr && !method_ok)
        return fail(Kind::method_wrong,
                    "the path is known but not with this method: see the operators' list of routes");
    if (r == nullptr) return fail(Kind::no_route, "no route takes this path: see the operators' list of routes");
    return r;
}

}  // namespace

pith::Result<Plan> plan(const Head& h, const creed::Policy* p, Micros now, const Dialect& d) {
    if (p == nullptr) return fail(Kind::not_ready, "this machine has no bundle yet: come back shortly");
    if (!word(h.try_id, 128))
        return fail(Kind::bad_visit,
                    d.try_id + " must be 1 to 128 visible ASCII characters: give each try its own id");
    const auto left = time_left(h.deadline_ms, d);
    if (!left) return tl::unexpected<pith::Error>(left.error());
    if (!h.attempt.empty() && (!digits(h.attempt, 4) || h.attempt == "0"))
        return fail(Kind::bad_visit, d.attempt + " must be 1 for a first try, 2 and up for retries");
    // With a key for every route who asks is settled first; where a route may be open, the route is.
    pith::Result<const creed::Customer*> c = nullptr;
    if (d.strict && !(c = customer_of(h, *p, false, d))) return tl::unexpected<pith::Error>(c.error());
    const auto r = route_of(h, *p, d);
    if (!r) return tl::unexpected<pith::Error>(r.error());
    if (!d.strict && !(c = customer_of(h, *p, (*r)->open, d))) return tl::unexpected<pith::Error>(c.error());
    if (*c != nullptr && !creed::Policy::allowed(**c, **r))
        return fail(Kind::not_allowed, "this customer may not use this route: ask the operators for it");
    Plan a;
    a.try_id = h.try_id;
    if (*c != nullptr) a.customer = (*c)->name;
    a.service = creed::Policy::service_for(**r, h.try_id);
    a.route = (*r)->name;
    a.write = (*r)->write;
    a.head_only = h.method == "HEAD";
    a.retry = !h.attempt.empty() && h.attempt != "1";
    a.deadline = now + *left;
    a.timeout = (*r)->timeout;
    if (!d.strict) a.deadline = std::min(a.deadline, now + a.timeout);  // the operators' longest
    a.aim = (*r)->aim;
    a.offer_by = a.aim > 0 ? std::min(a.deadline, now + a.aim / 4) : a.deadline;
    a.priority = (*c != nullptr ? (*c)->priority * 1000 : 0) + (*r)->priority;
    a.tries = static_cast<int>((*r)->tries);
    a.bundle = p->number();
    return a;
}

pith::Result<Plan> plan_again(const Head& h, const creed::Policy* p, const Plan& old, Micros now,
                              const Dialect& d) {
    if (now >= old.deadline)
        return fail(Kind::late, "the deadline passed while it waited: come back with a longer one");
    if (p != nullptr && p->number() == old.bundle) return old;
    auto a = plan(h, p, now, d);
    if (!a) return a;
    if (a->customer != old.customer)
        return fail(Kind::key_unknown, "the key changed hands while the visit waited: send it again");
    a->deadline = std::min(old.deadline, a->deadline);
    a->offer_by = std::min(old.offer_by, a->offer_by);
    return a;
}

std::string refusal_json(const Refusal& r) {
    boost::json::object o;
    o["kind"] = pith::kind_text(r.error.kind);
    o["ran"] = r.ran_unknown ? "unknown" : "no";
    o["message"] = r.error.message;
    if (!r.try_id.empty()) o["try"] = r.try_id;
    if (r.retry_after > 0) o["retry_after_ms"] = (r.retry_after + 999) / 1000;
    return boost::json::serialize(o) + "\n";
}

}  // namespace span
