#include "loom/checks.hpp"

#include <algorithm>

namespace loom {

using pith::kSecond;

namespace {
constexpr Micros kRollOut = 2100 * pith::kMilli;  // "within about 2 s of being acknowledged"
// "a small slack": a try each for most of the fleet's machines, whatever the service's share of the traffic.
constexpr double kRetrySlack = 10;
}  // namespace

void Checks::fail(const std::string& rule, const std::string& what) {
    auto& v = faults_[rule];
    if (v.size() < 5) v.push_back(what);
}

void Checks::handed(Micros t, const std::string& node, const std::string& hash, const std::string& customer,
                    const std::string& service, bool retry) {
    const auto w = words_.find(hash);
    if (w == words_.end())
        fail("unallowed", node + " acts on a bundle that no operator wrote");
    else if (w->second.keys.count(customer) == 0)
        fail("unallowed", customer + " was let through by " + node + " under bundle " +
                              std::to_string(w->second.number) + ", where it has no key");
    handed_[customer].push_back(t);
    service_[service].emplace_back(t, retry);
    ++s_.handed;
}

void Checks::ran(const std::string& id, bool write, bool gave) {
    const int n = ++ran_[id];
    if (gave) gave_.insert(id);
    if (write && n > 1) fail("twice", id + " ran " + std::to_string(n) + " times");
    if (not_run_.count(id) != 0) fail("not_run_lie", id + " ran after it was said not to have run");
}

void Checks::told(const std::string& id, bool success, bool not_run, const std::string& of) {
    if (!of.empty() && of != id) fail("other_answer", id + " was given the answer of " + of);
    if (success) {
        ++s_.well;
        if (gave_.count(id) == 0) fail("false_success", id + " was told well, but no server said so");
    } else if (not_run) {
        not_run_.insert(id);
        if (ran_.count(id) != 0) fail("not_run_lie", id + " was said not to have run, but had");
    } else if (!of.empty()) {
        ++s_.failed;  // the server's own failure, passed on
    } else {
        ++s_.unknown;
    }
}

void Checks::offered(Micros t, const std::string& customer, bool proper) {
    if (!proper) loud_.insert(customer);
    offered_[customer].push_back(t);
    late_offered += t > quiet_from ? 1 : 0;
}

void Checks::unserved(Micros t, bool proper) {
    ++s_.unserved;
    if (proper && t > quiet_from) ++late_refused;
}

void Checks::refused(Micros t, const std::string& customer, const std::string& why, const std::string& where,
                     bool proper) {
    ++refusals[why];
    if (!proper) return;
    // Proper is what came while its customer kept to its allowance: chance alone exceeds it now and then.
    const auto& o = offered_[customer];
    std::size_t n = 0;
    for (auto i = o.rbegin(); i != o.rend() && *i > t - 5 * kSecond; ++i) ++n;
    const auto a = in_force(spans(), t, customer);
    if (static_cast<double>(n) > (a.empty() ? 0 : *std::min_element(a.begin(), a.end())) * 5) {
        ++s_.over_by_chance;
        return;
    }

    ++wrongful[why + "/" + where];
    if (t > quiet_from) ++late_refused;
    if (where != "whole" && where != "frozen" && t < quiet_from)
        ++s_.cut_refused;
    else
        ++s_.proper_refused;
}

void Checks::acted(Micros t, const std::string& node, std::uint64_t life, std::uint64_t number,
                   const std::string& hash) {
    first_acted_.emplace(hash, t);
    auto h = hashes_.emplace(number, hash);
    if (h.first->second != hash)
        fail("two_contents", "number " + std::to_string(number) + " stands with two contents");
    auto a = acts.find(node);
    if (a != acts.end() && life_[node] == life && number < a->second)
        fail("slipped_back", node + " went from " + std::to_string(a->second) + " to " +
                                 std::to_string(number) + " at " + std::to_string(t / 1000) + " ms");
    life_[node] = life;
    acts[node] = number;
}

void Checks::acked(Micros t, std::uint64_t number, const std::string& hash) {
    auto h = hashes_.emplace(number, hash);
    if (h.first->second != hash)
        fail("two_contents", "number " + std::to_string(number) + " acknowledged with two contents");
    highest_acked = std::max(highest_acked, number);
    acked_at_.emplace(number, t);
}

namespace {
std::string state_text(const weft::ControlState& state) {
    std::string text = std::to_string(state.number) + " " + state.hash.substr(0, 8) + " epoch " +
                       std::to_string(state.epoch) + " voters";
    for (const auto& voter : state.voters) text += " " + voter.name + "/" + voter.disk;
    if (!state.joining.empty()) text += " joining";
    for (const auto& voter : state.joining) text += " " + voter.name + "/" + voter.disk;
    return text;
}
}  // namespace

void Checks::decided(Micros t, const std::string& node, std::uint64_t life, const weft::ControlState& state) {
    const std::string text = state_text(state);
    const auto known = state_of_.emplace(state.revision, text);
    if (known.first->second != text)
        fail("two_states", "revision " + std::to_string(state.revision) + " is " + text + " at " + node +
                               " by " + std::to_string(t / 1000) + " ms, and was " + known.first->second);
    auto& last = revision_of_[node];
    if (last.first == life && state.revision < last.second)
        fail("slipped_back", node + " went from revision " + std::to_string(last.second) + " to " +
                                 std::to_string(state.revision) + " at " + std::to_string(t / 1000) + " ms");
    last = {life, state.revision};
}

void Checks::elected(Micros t, const std::string& keeper, const std::set<std::string>& members) {
    auto text = [](const std::set<std::string>& v) {
        std::string s;
        for (const auto& n : v) s += (s.empty() ? "" : ",") + n;
        return s;
    };
    if (electorate_.empty()) electorate_ = members;
    if (electorate_ != members)
        fail("two_electorates", keeper + " holds " + text(members) + " at " + std::to_string(t / 1000) +
                                    " ms, " + text(electorate_) + " was founded before");
}

void Checks::to_leaving(Micros t, Micros known_since, const std::string& node) {
    if (t - known_since > 2 * kSecond)
        fail("sent_to_leaving", std::to_string((t - known_since) / 1000) + " ms after it was known to leave" +
                                    (node.empty() ? "" : ", by " + node + " at " + std::to_string(t / 1000) + " ms"));
}

// A word is in force from the first node that acts on it until 2.1 s after a higher one was acknowledged;
// both are meanwhile, since the fleet may act on either.
std::vector<Checks::Span> Checks::spans() const {
    std::vector<Span> v;
    for (const auto& f : first_acted_) {
        const auto w = words_.find(f.first);
        if (w == words_.end()) continue;
        Micros to = pith::kNever;
        for (const auto& a : acked_at_)
            if (a.first > w->second.number) to = std::min(to, a.second + kRollOut);
        v.push_back({f.second, to, f.first});
    }
    return v;
}

// What the words in force then give a customer.
std::vector<double> Checks::in_force(const std::vector<Span>& sp, Micros t,
                                     const std::string& customer) const {
    std::vector<double> v;
    for (const auto& s : sp) {
        if (t < s.from || t >= s.to) continue;
        const auto& w = words_.at(s.hash);
        const auto a = w.allowance.find(customer);
        v.push_back(a == w.allowance.end() ? 0 : a->second);
    }
    return v;
}

double Checks::most_in_force(const std::vector<Span>& sp, Micros t, const std::string& customer) const {
    const auto v = in_force(sp, t, customer);
    return v.empty() ? 0 : *std::max_element(v.begin(), v.end());
}

void Checks::reference(Micros most) {
    std::vector<Micros> w;
    const auto sp = spans();
    for (auto& p : offered_) {
        if (loud_.count(p.first) != 0) continue;
        auto v = p.second;
        std::sort(v.begin(), v.end());
        double due = 0;  // when the pool is full again, were nobody to come
        Micros looked = -pith::kNever;
        double rate = 0;
        for (Micros t : v) {
            if (t - looked > 100 * pith::kMilli) {
                looked = t;
                rate = most_in_force(sp, t, p.first);
            }
            if (rate <= 0) continue;
            const double now = static_cast<double>(t), pool = std::max(2.0, rate / 8) * 1e6 / rate;
            const double wait = std::max(0.0, std::max(due, now) + 1e6 / rate - now - pool);
            if (wait > static_cast<double>(most)) {
                ++s_.ref_refused;
                s_.ref_late += t > quiet_from ? 1 : 0;
                continue;
            }
            due = std::max(due, now) + 1e6 / rate;
            w.push_back(static_cast<Micros>(wait));
        }
    }
    std::sort(w.begin(), w.end());
    if (!w.empty()) s_.ref99 = w[w.size() * 99 / 100];
}

void Checks::allowance_windows() {
    const auto sp = spans();
    std::set<Micros> cuts;
    for (const auto& s : sp) cuts.insert({s.from, s.to});
    for (auto& p : handed_) {
        auto& v = p.second;
        std::sort(v.begin(), v.end());
        // What was in force, piece by piece, as a sum over time.
        struct Piece {
            Micros from;
            double rate, before;
        };
        std::vector<Piece> pc{{-60 * kSecond, 0, 0}};
        for (Micros c : cuts) {
            if (c >= pith::kNever) continue;
            const double sum =
                pc.back().before + pc.back().rate * static_cast<double>(c - pc.back().from) / 1e6;
            pc.push_back({c, most_in_force(sp, c, p.first), sum});
        }
        auto due = [&pc](Micros t) {
            std::size_t i = pc.size() - 1;
            while (i > 0 && pc[i].from > t) --i;
            return pc[i].before + pc[i].rate * static_cast<double>(t - pc[i].from) / 1e6;
        };
        std::size_t b = 0;
        double& worst = worst_by[p.first];
        double burst = 0;
        for (const auto& w : words_) {
            const auto f = w.second.burst.find(p.first);
            if (f != w.second.burst.end()) burst = std::max(burst, f->second);
        }
        for (std::size_t i = 0; i < v.size(); ++i) {
            while (v[i] - v[b] > 5 * kSecond) ++b;
            const auto n = static_cast<double>(i - b + 1);
            const double most = due(v[i]) - due(v[i] - 5 * kSecond) + burst;
            if (most >= 1) worst = std::max(worst, n / most);
            // A tenth, and one visit for the rounding of the window's end.
            s_.least_room = std::min(s_.least_room, most * 1.1 + window_slack - n);
            if (n > most * 1.1 + window_slack)
                fail("allowance", p.first + " had " + std::to_string(i - b + 1) + " of " +
                                      std::to_string(most) + " over the 5 s to " +
                                      std::to_string(v[i] / 1000) + " ms");
        }
        if (worst > s_.worst5) {
            s_.worst5 = worst;
            s_.worst5_of = p.first;
        }
    }
}

void Checks::retry_windows() {
    for (auto& p : service_) {
        auto& v = p.second;
        std::sort(v.begin(), v.end());
        std::size_t b = 0;
        double first = 0, again = 0, worst = 0;
        for (const auto& e : v) {
            (e.second ? again : first) += 1;
            while (e.first - v[b].first > 10 * kSecond) {
                (v[b].second ? again : first) -= 1;
                ++b;
            }
            worst = std::max(worst, again - 0.2 * (first + again));
        }
        s_.retry10 = std::max(s_.retry10, worst);
        if (worst > kRetrySlack)
            fail("retries", std::to_string(worst) + " retries over a fifth within 10 s to " + p.first);
    }
}

void Checks::windows(const Bound& b) {
    // Service is back where fewer than one proper visit in a thousand is turned away, beyond those that an
    // exact limiter had to.
    if (late_refused * 1000 > late_offered + s_.ref_late * 1000)
        fail("service_back", std::to_string(late_refused) + " of " + std::to_string(late_offered) +
                                 " turned away after 15 s of quiet");
    double offered = 1;
    for (const auto& p : offered_) offered += static_cast<double>(p.second.size());
    const auto of = [offered](std::uint64_t n) { return 1e4 * static_cast<double>(n) / offered; };
    const auto ours = s_.proper_refused - std::min(s_.proper_refused, s_.ref_refused);
    if (of(ours) > b.seen)
        fail("wrongful", std::to_string(of(s_.proper_refused)) + " of 10000 turned away, bound " +
                             std::to_string(b.seen));
    if (of(s_.cut_refused) > b.cut)
        fail("wrongful", std::to_string(of(s_.cut_refused)) +
                             " of 10000 turned away on nodes cut off, bound " + std::to_string(b.cut));
    allowance_windows();
    retry_windows();
}

Checks::Sums Checks::sums() const {
    Sums s = s_;
    for (const auto& p : offered_) s.offered += p.second.size();
    auto t = took_;
    std::sort(t.begin(), t.end());
    if (!t.empty()) {
        s.p50 = t[t.size() / 2];
        s.p99 = t[t.size() * 99 / 100];
    }
    auto w = waits_;
    std::sort(w.begin(), w.end());
    if (!w.empty()) s.wait99 = w[w.size() * 99 / 100];
    return s;
}

}  // namespace loom
