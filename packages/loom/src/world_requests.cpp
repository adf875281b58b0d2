// Callers' visits in the simulated fleet, from arrival through the proxy's errand to the answer.
#include <algorithm>
#include <cmath>

#include "world_types.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;

namespace {
constexpr Micros kPulse = 3 * kMilli;
constexpr Micros kIdle = 20 * kSecond;

Micros gap(pith::Rng& r, double rate) {
    return std::max<Micros>(1, static_cast<Micros>(-std::log(1 - r.unit()) / rate * 1e6));
}
}  // namespace

void World::arrivals(std::size_t i, std::uint64_t gen) {
    const CustomerPlan& c = d_.customers[i];
    const bool flood = c.flood_rate > 0 && now_ >= c.flood_at && now_ < c.flood_end;
    const double rate = flood ? c.flood_rate : c.rate;
    Micros next = rate > 0 ? gap(rng_, rate) : 100 * kMilli;
    if (c.flood_rate > 0 && now_ < c.flood_at) next = std::min(next, c.flood_at - now_);  // sharp onset
    later(next, [this, i, gen] { arrivals(i, gen); });
    if (rate <= 0) return;
    auto v = std::make_shared<Visit>();
    v->customer = c.name;
    v->key = "key-" + c.name;
    v->write = rng_.unit() < c.writes;
    v->service = d_.services[rng_.below(d_.services.size())];
    if (d_.small_service > 0)
        v->service = rng_.unit() < d_.small_service ? d_.services.back()
                                                    : d_.services[rng_.below(d_.services.size() - 1)];
    v->method = v->write ? "POST" : "GET";
    v->target = "/" + v->service + (v->write ? "" : "/1");
    v->n = ++try_n_;
    v->try_id = "t" + std::to_string(v->n);
    v->retries = c.retries;
    v->proper = c.rate <= c.allowance && c.flood_rate == 0 && changed_.count(c.name) == 0;
    v->born = now_;
    v->deadline = now_ + d_.deadline_ms * kMilli;
    if (c.one_proxy) {
        for (const auto& p : names("proxy"))
            if (ready_.count(p) != 0) {
                v->at = p;
                break;
            }
    }
    if (c.at_core) v->at = names("proxy")[rng_.below(static_cast<std::uint64_t>(d_.keepers))];
    visit(v);
}

void World::visit(VisitPtr v) {
    checks.offered(now_, v->customer, v->proper);
    if (v->at.empty() || ready_.count(v->at) == 0) {
        if (ready_.empty()) {  // no machine takes callers
            checks.unserved(now_, v->proper);
            return;
        }
        auto i = ready_.begin();
        std::advance(i, static_cast<long>(rng_.below(ready_.size())));
        v->at = *i;
    }
    if (!up(v->at)) {  // the session breaks: the caller knows nothing
        checks.unserved(now_, v->proper);
        return;
    }
    const auto life = n_[v->at]->life;
    v->life = life;
    await(v, life);
    later(trip() / 2 + bytes_in(v->at, d_.request_bytes), [this, v, life] {
        on_node(v->at, life, [this, v](Node& n) {
            auto& h = v->entry.head;
            h.method = v->method;
            h.target = v->target;
            h.key = v->key;
            h.try_id = v->try_id;
            h.deadline_ms = std::to_string(std::max<Micros>(1, (v->deadline - v->born) / kMilli));
            if (v->attempt > 1) h.attempt = std::to_string(v->attempt);
            v->id = n.next++;
            n.active.insert(v);
            n.lobby->enter(now_, v->id, n.farewell.doors_closed(), &v->entry);
            if (!n.basin->tolerant() && n.next_tick - now_ > n.core->soon()) {
                n.next_tick = now_ + n.core->soon();
                at(n.next_tick, [this, name = n.name, l = n.life, t = n.next_tick] { tick_if(name, l, t); });
            }
            if (v->entry.released) {
                go(n, v);
                return;
            }
            if (!v->entry.queued) {
                n.lobby->end(v->entry, false);
                reply(n, v, false, v->entry.refusal);
                return;
            }
            n.waiting[v->id] = v;
            pulse(n);
            if (n.next_tick - now_ > n.core->soon()) {
                n.next_tick = now_ + n.core->soon();
                at(n.next_tick, [this, name = n.name, l = n.life, t = n.next_tick] { tick_if(name, l, t); });
            }
        });
    });
}

// An answer of some kind comes by the deadline, and a little for the way, from any machine that is there and
// was awake. A caller of one that froze goes away then; the machine sees it as it wakes.
void World::await(const VisitPtr& v, std::uint64_t life) {
    at(v->deadline + 300 * kMilli, [this, v, life] {
        if (v->replied || !up(v->at) || n_[v->at]->life != life) return;
        if (n_[v->at]->froze_at < v->born && n_[v->at]->frozen_until < v->born) {
            checks.fail("unanswered", v->try_id + " had no answer from " + v->at + " by its deadline");
            return;
        }
        checks.unserved(now_, v->proper);
        v->gone = true;
        on_node(v->at, life, [this, v](Node& n) {
            if (n.waiting.erase(v->id) == 0) return;
            n.basin->leave(now_, v->customer, v->id);
            n.lobby->end(v->entry, v->errand && v->errand->sent());
            n.active.erase(v);
        });
    });
}

void World::pulse(Node& n) {
    if (n.pulsing) return;
    n.pulsing = true;
    const std::string name = n.name;
    const auto life = n.life;
    later(kPulse, [this, name, life] {
        on_node(name, life, [this](Node& m) {
            m.pulsing = false;
            tide::Left l;
            const bool busy = m.basin->advance(now_, &l);
            left(m, l);
            if (busy) pulse(m);
        });
    });
}

void World::left(Node& n, const tide::Left& l) {
    for (auto id : l.expired) {
        auto i = n.waiting.find(id);
        if (i == n.waiting.end()) continue;
        auto v = i->second;
        n.waiting.erase(i);
        n.lobby->not_released(&v->entry);
        if (v->errand) {
            drive(n, v, v->errand->no_pass(v->entry.refusal));
            continue;
        }
        n.lobby->end(v->entry, false);
        reply(n, v, false, v->entry.refusal);
    }
    for (auto id : l.released) {
        auto i = n.waiting.find(id);
        if (i == n.waiting.end()) continue;
        auto v = i->second;
        n.waiting.erase(i);
        if (v->errand) {
            const bool still = n.lobby->released(now_, &v->entry);
            drive(n, v, still ? v->errand->passed(now_) : v->errand->no_pass(v->entry.refusal));
            continue;
        }
        go(n, v);
    }
}

void World::go(Node& n, const VisitPtr& v) {
    if (!n.lobby->released(now_, &v->entry)) {
        n.lobby->end(v->entry, false);
        reply(n, v, false, v->entry.refusal);
        return;
    }
    tide::Basin* basin = n.basin.get();
    v->errand = std::make_unique<span::Errand>(
        v->entry.plan, *n.pool, [this, basin, c = v->customer] { return basin->draw(now_, c); });
    v->began = now_;
    span::Lobby* lobby = n.lobby.get();
    v->errand->allowed = [this, lobby, w = v.get()](span::Refusal* r) {
        return lobby->allowed(now_, &w->entry, r);
    };
    Node* np = &n;
    const auto life = n.life;
    const std::string name = n.name;
    v->errand->slot_free = [this, np, name, life](const std::string& service) {
        if (!up(name) || n_[name]->life != life) return;
        auto& q = np->line[service];
        if (q.empty()) return;
        auto w = q.front();
        q.pop_front();
        later(0, [this, name, life, w] {
            on_node(name, life, [this, w](Node& m) { drive(m, w, w->errand->again(now_)); });
        });
    };
    drive(n, v, v->errand->start(now_));
}

void World::drive(Node& n, VisitPtr v, span::Do d) {
    if (d == span::Do::answer || d == span::Do::refuse) {
        n.lobby->end(v->entry, v->errand->sent());
        reply(n, v, d == span::Do::answer, v->errand->refusal());
        return;
    }
    if (d == span::Do::wait) {
        auto& q = n.line[v->service];
        q.push_back(v);
        const std::string name = n.name;
        const auto life = n.life;
        at(v->errand->wait_until(now_), [this, name, life, v] {
            on_node(name, life, [this, v](Node& m) {
                auto& l = m.line[v->service];
                auto i = std::find(l.begin(), l.end(), v);
                if (i == l.end()) return;
                l.erase(i);
                drive(m, v, v->errand->again(now_));
            });
        });
        return;
    }
    if (d == span::Do::pass) {
        v->id = n.next++;
        if (!n.basin->again(now_, v->customer, v->id, v->errand->pass_until())) {
            n.lobby->not_released(&v->entry);
            drive(n, v, v->errand->no_pass(v->entry.refusal));
            return;
        }
        n.waiting[v->id] = v;
        pulse(n);
        return;
    }
    open_session(n, v);
}

void World::open_session(Node& n, VisitPtr v) {
    const span::Slot s = v->errand->slot();
    std::size_t at = s_.size();
    for (std::size_t i = 0; i < s_.size(); ++i)
        if (s_[i]->address == s.address) at = i;
    // A kept session is good while the server's life is the same.
    const std::string key = s.address + s.instance + s.service + "/" +
                            (at < s_.size() && s_[at]->up ? std::to_string(s_[at]->life) : "x");
    auto& q = n.idle[key];
    while (!q.empty() && now_ - q.front() > kIdle) q.pop_front();
    const bool kept = !q.empty();
    if (kept) q.pop_back();
    auto go = [this, v, at](Node& m, bool had, std::uint8_t verdict) {
        span::Do other = span::Do::refuse;
        if (v->errand->opened(now_, had, verdict, &other)) {
            exchange(m, v);
            return;
        }
        drive(m, v, other);
    };
    if (kept) {
        go(n, true, 0);
        return;
    }
    ++sessions;
    const std::string name = n.name;
    const auto life = n.life;
    const std::uint64_t slife = at < s_.size() ? s_[at]->life : 0;
    later(4 * trip(), [this, name, life, at, slife, s, go] {
        on_node(name, life, [this, at, slife, s, go](Node& m) {
            std::uint8_t verdict = 1;
            const bool same =
                at < s_.size() &&
                (breaks_.trust_address || (s_[at]->service == s.service && s_[at]->instance == s.instance));
            if (same && s_[at]->up && s_[at]->life == slife)
                verdict = says_leaving(*s_[at]) ? 2 : 0;
            if (verdict == 2) {
                m.pool->leaving(s.address, s.instance);
                if (s_[at]->known_at == 0) s_[at]->known_at = now_;
            }
            go(m, verdict == 0, verdict);
        });
    });
}

void World::exchange(Node& n, VisitPtr v) {
    const span::Slot s = v->errand->slot();
    std::size_t at = 0;
    for (std::size_t i = 0; i < s_.size(); ++i)
        if (s_[i]->address == s.address) at = i;
    const std::string name = n.name;
    const auto life = n.life;
    const auto ex = ++v->exchange;
    n.tries->sent(v->entry.plan.customer, v->try_id);
    checks.handed(now_, n.name, n.core->policy()->bundle().hash, v->customer, v->service,
                  v->attempt > 1 || v->errand->sends() > 1);
    if (v->proper && v->attempt == 1 && v->errand->sends() == 1) checks.waited(now_ - v->born);
    const Micros sending = bytes_out(n.name, d_.request_bytes);
    if (sending == 0) judge_leaving(n.name, *s_[at]);
    auto back = [this, name, life, v, ex, at, s](span::Step st, int status, std::uint64_t slife) {
        on_node(name, life, [this, v, ex, at, s, st, status, slife](Node& m) {
            if (v->exchange != ex || v->replied) return;
            if (st == span::Step::answered && s_[at]->life == slife && says_leaving(*s_[at])) {
                m.pool->leaving(s.address, s.instance);
                if (s_[at]->known_at == 0) s_[at]->known_at = now_;
            }
            ++v->exchange;
            if (st == span::Step::answered) v->status = status;  // an earlier 5xx may be passed on
            if (st == span::Step::answered) v->of = v->try_id;
            if (breaks_.swap_answers && !v->of.empty() && v->id % 100 == 0) v->of = "t0";
            if (st == span::Step::answered && s_[at]->up && s_[at]->life == slife)
                m.idle[s.address + s.instance + s.service + "/" + std::to_string(slife)].push_back(now_);
            drive(m, v, v->errand->exchanged(now_, st, status));
        });
    };
    this->at(v->errand->until(), [back] { back(span::Step::late, 0, 0); });
    const std::uint64_t slife = s_[at]->life;
    if (!s_[at]->up) {
        later(2 * trip(), [back] { back(span::Step::lost, 0, 0); });
        return;
    }
    later(sending + trip(), [this, at, slife, v, back, sending, name] {
        // What lay in the sender's own link reached the server later than it was decided.
        if (sending > 0 && s_[at]->life == slife) judge_leaving(name, *s_[at]);
        server_take(at, slife, v, [this, back, slife, name](int code) {
            later(trip() + bytes_in(name, d_.answer_bytes), [back, code, slife] {
                if (code == 503)
                    back(span::Step::shed, 0, slife);
                else if (code == 421)
                    back(span::Step::misdirected, 0, slife);
                else if (code == 200 || code == 500)
                    back(span::Step::answered, code, slife);
                else
                    back(code == 1 ? span::Step::garbled : span::Step::lost, 0, slife);
            });
        });
    });
    if (breaks_.send_writes_twice && v->write && v->exchange % 50 == 1)
        later(trip(), [this, at, slife, v] { server_take(at, slife, v, [](int) {}); });
}

void World::reply(Node& n, VisitPtr v, bool well, const span::Refusal& r) {
    if (v->replied) return;
    if (breaks_.stay_silent && v->id % 100 == 0) return;
    v->replied = true;
    n.active.erase(v);
    bytes_out(n.name, d_.answer_bytes);
    if (v->gone) return;  // nobody hears it
    const bool not_run = !well && !r.ran_unknown;
    if (breaks_.lie_not_run && !well && r.ran_unknown) {
        checks.told(v->try_id, false, true, "");
        return;
    }
    if (breaks_.say_well && !well && r.ran_unknown) {
        checks.told(v->try_id, true, false, "");
        return;
    }
    checks.told(v->try_id, well && v->status < 500, not_run, well ? v->of : "");
    if (well) checks.answered(now_ - v->born);
    if (!well) {
        const bool froze = n.froze_at >= v->born;
        const auto st = n.core->standing();
        const char* where = froze ? "frozen" : tide::standing_text(st);
        checks.refused(now_, v->customer, std::string(pith::kind_text(r.error.kind)), where,
                       v->proper && v->attempt == 1);
    }
    if (!well && not_run && v->retries && v->attempt < 4) {
        auto w = std::make_shared<Visit>();
        w->customer = v->customer;
        w->key = v->key;
        w->write = v->write;
        w->service = v->service;
        w->method = v->method;
        w->target = v->target;
        w->retries = true;
        w->proper = v->proper;
        w->attempt = v->attempt + 1;
        w->n = ++try_n_;
        w->try_id = "t" + std::to_string(w->n);
        w->born = now_;
        w->deadline = now_ + d_.deadline_ms * kMilli;
        later(10 * kMilli, [this, w] { visit(w); });
    }
}

}  // namespace loom
