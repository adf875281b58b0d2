#include "span/proxy.hpp"

#include <thread>

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "common.hpp"
#include "pith/hash.hpp"
#include "span/core.hpp"
#include "span/farewell.hpp"
#include "span/front.hpp"
#include "span/platform_listing.hpp"

namespace span {

namespace asio = boost::asio;
namespace json = boost::json;
using pith::Kind;
using pith::Level;
using pith::log_event;
using pith::Micros;

namespace {

constexpr Micros kSlowQuestion = 500 * pith::kMilli;  // to the platform, for operators' logs
constexpr Micros kPulse = 3 * pith::kMilli;  // how often queues are looked at, while anything waits

// Where the operators' bound gives an allowance an error in requests, it is used (docs/design.md 6.5).
tide::Tuning tide_tuning(const pith::Bounds& b) {
    tide::Tuning t;
    if (b.quota_slack <= 0) return t;
    t.over = b.quota_over;
    t.slack = b.quota_slack;
    t.window = static_cast<Micros>(b.quota_window_s * 1e6);
    return t;
}

PoolTuning pool_tuning(const pith::Bounds& b) {
    PoolTuning t;
    t.budget = b.retry_ratio;
    t.fleet_slack = b.retry_slack;
    return t;
}

CoreTuning core_tuning(const pith::Bounds& bounds) {
    CoreTuning tuning;
    tuning.listing = ListingDuty::Tuning::within(bounds.drain_us);
    return tuning;
}

class Proxy : public Daemon {
  public:
    Proxy(pith::Kernel& k, const pith::Settings& s, const std::shared_ptr<budget::ProcessLimits>& limits,
          const Dialect& d = own_dialect())
        : kernel_(k),
          set_(s),
          hall_(s.name, s.locality, d, tide_tuning(s.bounds), pool_tuning(s.bounds), limits),
          farewell_(s.bounds.grace_us) {
        hall_.threads = static_cast<std::size_t>(std::max(1, s.threads));
    }

    void start() override {
        ctl_ = kernel_.find<Control>("control");
        tick_ = std::make_unique<asio::steady_timer>(ctl_->io);
        pulse_ = std::make_unique<asio::steady_timer>(ctl_->io);
        const CoreTuning tuning = core_tuning(set_.bounds);
        listing_ = std::make_unique<PlatformListing>(ctl_->io, set_.platform, hall_.dialect, tuning.listing.stale,
                                                     &hall_.tolls.listings);
        core_ = std::make_unique<ProxyCore>(knell_config(set_, "proxy", static_cast<std::uint64_t>(pith::wall_now())),
                                            tuning, &hall_.basin, &hall_.pool);
        for (int i = 0; i < set_.threads; ++i) workers_.push_back(std::make_unique<Worker>(hall_));
        front_ = std::make_unique<Front>(ctl_->io, hall_, workers_);
        hall_.arm = [this] { arm(); };
        ctl_->common_desk();
        desk();
        for (auto& w : workers_) w->start();
        pulse();  // parked until something waits
        tick();
    }
    pith::Result<bool> open() override {
        auto a = ctl_->link.open(set_.weft, [this](weft::Envelope& e) {
            Todo d;
            core_->hear(pith::mono_now(), e, &d);
            carry_out(d);
        });
        if (!a) return tl::unexpected<pith::Error>(a.error());
        auto b = ctl_->desk.open(set_.operator_address);
        if (!b) return tl::unexpected<pith::Error>(b.error());
        if (!set_.ready_address.empty()) {
            ready_desk_ = std::make_unique<weft::Desk>(ctl_->io, ctl_->limits, Control::kControlDeskParts);
            ready_on(*ready_desk_);
            auto r = ready_desk_->open(set_.ready_address);
            if (!r) return tl::unexpected<pith::Error>(r.error());
        }
        auto c = front_->open(set_.visits);
        if (!c) return tl::unexpected<pith::Error>(c.error());
        log_event(Level::info, "started",
                  {{"role", "proxy"},
                   {"name", set_.name},
                   {"locality", set_.locality},
                   {"weft", *a},
                   {"operator", *b},
                   {"visits", *c}});
        ctl_->watch([this] { drain(); });
        return true;
    }
    void stop() override {
        for (auto& w : workers_) w->stop();
        ctl_->link.close();
        ctl_->desk.close();
        if (ready_desk_) ready_desk_->close();
    }

  private:
    void ready_on(weft::Desk& d);
    void to_keeper(const weft::Ask& q, const weft::Desk::Reply& r);
    void arm() {
        if (armed_.exchange(true)) return;
        asio::post(ctl_->io, [this] {
            pulse();
            // A visit came to a proxy that was napping: its release is to be told soon.
            if (next_tick_ - pith::mono_now() <= core_->soon()) return;
            tick_in(core_->soon());
        });
    }
    void pulse() {
        tide::Left l;
        const bool busy = hall_.basin.advance(pith::mono_now(), &l);
        hall_.left(l);
        if (!busy) {
            armed_ = false;
            // One that arrived between the look and the flag is not forgotten.
            if (!hall_.basin.waiting() || armed_.exchange(true)) return;
        }
        pulse_->expires_after(std::chrono::microseconds(kPulse));
        pulse_->async_wait([this](boost::system::error_code ec) {
            if (!ec) pulse();
        });
    }

    void tick() {
        Todo d;
        const Micros now = pith::mono_now();
        tick_late_ = std::max<Micros>(0, now - next_tick_);
        ctl_->link.inc(core_->knell().inc());
        ctl_->watch_traffic(now);
        core_->tick(now, &d);
        carry_out(d);
        if (now >= next_sweep_) {
            next_sweep_ = now + 2 * pith::kSecond;
            for (auto& w : workers_) asio::post(w->io, [r = &w->relay, now] { r->sweep(now); });
        }
        const bool ready = core_->ready() && !draining_ && !held_;
        if (ready != hall_.ready) {
            hall_.ready = ready;
            log_event(Level::info, ready ? "ready" : "not_ready",
                      {{"bundle", core_->policy() ? core_->policy()->number() : 0}});
        }
        if (core_->standing() != standing_) {
            standing_ = core_->standing();
            log_event(Level::warn, "standing", {{"now", tide::standing_text(standing_)}});
        }
        if (core_->counts_way() != counts_way_) {
            counts_way_ = core_->counts_way();
            log_event(Level::info, "counts_way", {{"now", counts_way_}});
        }
        tick_in(core_->nap());
    }
    void tick_in(Micros d) {  // the one that was due before is dropped
        next_tick_ = pith::mono_now() + d;
        tick_->expires_after(std::chrono::microseconds(d));
        tick_->async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void log_leaving() {
        const auto heard = core_->leaving_news();
        if (heard.instances.empty()) return;
        constexpr std::size_t kMostNamed = 16;
        std::string named;
        for (std::size_t i = 0; i < heard.instances.size() && i < kMostNamed; ++i)
            named += (i == 0 ? "" : ",") + heard.instances[i];
        log_event(Level::info, "servers_leaving",
                  {{"count", heard.instances.size()},
                   {"instances", named},
                   {"told_by", heard.from},
                   {"asked_by", heard.label.holder},
                   {"epoch", heard.label.epoch},
                   {"version", heard.label.version},
                   {"known_before_ms", age_ms(heard.held_for)}});
    }

    void carry_out(Todo& d) {
        ctl_->send(d.out);
        log_leaving();
        hall_.left(d.left);
        if (d.policy) {
            hall_.policy(core_->policy());
            log_event(Level::info, "bundle",
                      {{"number", core_->policy()->number()},
                       {"hash", core_->policy()->bundle().hash.substr(0, 16)}});
        }
        hall_.servers_known_at = core_->servers_known_at();
        hall_.behind_until = core_->behind_until();  // after the policy: no refusal out of the older one slips through
        if (d.list != 0)
            asio::spawn(
                ctl_->io, [this, question = d.list](asio::yield_context y) { list(question, y); }, asio::detached);
        if (!d.probe.empty()) probe(std::move(d.probe));
    }

    void list(std::uint64_t question, asio::yield_context y) {
        const Micros begun = pith::mono_now();
        auto answer = listing_->ask([this](const std::vector<weft::ServerRec>& page) { page_read(page); }, y);
        const Micros now = pith::mono_now();
        log_slow_question(answer, now - begun);
        if (answer.whole) {
            Todo d;
            core_->listed(now, question, std::move(answer.servers), &d);
            carry_out(d);
            return;
        }
        core_->list_failed(now, question, answer.retry_after);
        std::uint64_t held = 0;
        if (list_seldom_.pass(now, &held))
            log_event(Level::warn, "listing_failed", {{"why", answer.why}, {"held", held}});
    }

    void page_read(const std::vector<weft::ServerRec>& page) {
        Todo todo;
        core_->page_read(pith::mono_now(), page, &todo);
        carry_out(todo);
    }

    // A slow question, and whether this node is to blame: then its own timers are late too.
    void log_slow_question(const PlatformAnswer& answer, Micros took) {
        question_took_ = took;
        if (took < kSlowQuestion) return;
        log_event(Level::warn, "listing_slow",
                  {{"took_ms", took / pith::kMilli},
                   {"pages", answer.pages},
                   {"slowest_page_ms", answer.slowest_page / pith::kMilli},
                   {"tick_late_ms", tick_late_ / pith::kMilli},
                   {"known_before_ms", listing_age_ms()}});
    }

    // On the first worker, so that proven sessions serve visits after.
    void probe(std::vector<weft::ServerRec> v) {
        if (probing_.exchange(true)) return;
        asio::spawn(
            workers_[0]->io,
            [this, v = std::move(v)](asio::yield_context y) {
                auto r = std::make_shared<std::vector<weft::ProbeRec>>();
                for (const auto& s : v) r->push_back({s.address, s.instance, workers_[0]->relay.probe(s, y)});
                asio::post(ctl_->io, [this, r] {
                    probing_ = false;
                    Todo d;
                    core_->probed(pith::mono_now(), *r, &d);
                    carry_out(d);
                });
            },
            asio::detached);
    }

    // A planned stop: Farewell says what is next (docs/design.md 8.1).
    void drain() {
        draining_ = true;
        hall_.ready = false;
        Todo d;
        core_->say(knell::kDraining, pith::mono_now(), &d);
        carry_out(d);
        farewell_.begin(pith::mono_now());
        bye_ = std::make_unique<asio::steady_timer>(ctl_->io);
        bye();
    }
    void bye() {
        switch (
            farewell_.tick(pith::mono_now(), static_cast<std::size_t>(std::max(0, hall_.in_flight.load())))) {
            case Farewell::close_doors:
                hall_.stopping = true;
                front_->close();
                break;
            case Farewell::give_up:
                for (auto& w : workers_) asio::post(w->io, [r = &w->relay] { r->give_up(); });
                break;
            case Farewell::leave: {
                Todo e;
                core_->say(knell::kLeft, pith::mono_now(), &e);
                ctl_->send(e.out);
                break;
            }
            case Farewell::end:
                log_event(Level::info, "stopped", {{"in_flight", hall_.in_flight.load()}});
                ctl_->io.stop();
                return;
            case Farewell::none:
                break;
        }
        bye_->expires_after(std::chrono::milliseconds(20));
        bye_->async_wait([this](boost::system::error_code ec) {
            if (!ec) bye();
        });
    }

    void desk();
    std::string metrics();
    // At most an hour: a listing that was never confirmed has no age.
    static std::int64_t age_ms(Micros age) { return std::min<Micros>(age, 3600 * pith::kSecond) / pith::kMilli; }
    std::int64_t listing_age_ms() const { return age_ms(core_->listing_age(pith::mono_now())); }
    json::object status();

    pith::Kernel& kernel_;
    pith::Settings set_;
    Hall hall_;
    std::shared_ptr<Control> ctl_;
    std::unique_ptr<ProxyCore> core_;
    std::unique_ptr<PlatformListing> listing_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::unique_ptr<Front> front_;
    std::unique_ptr<weft::Desk> ready_desk_;
    std::unique_ptr<asio::steady_timer> tick_, pulse_, bye_;
    Farewell farewell_;
    std::atomic<bool> armed_{true}, probing_{false};
    std::size_t turn_ = 0;
    bool draining_ = false, held_ = false;  // held: operators want no new callers here
    Micros next_sweep_ = 0, next_tick_ = pith::kNever;
    Micros tick_late_ = 0, question_took_ = 0;  // the last ones
    tide::Standing standing_ = tide::Standing::floor;
    std::string counts_way_ = "direct";
    pith::Seldom list_seldom_{10 * pith::kSecond};
};

json::object Proxy::status() {
    json::object o = members_json(core_->knell());
    o["name"] = set_.name;
    o["role"] = "proxy";
    o["locality"] = set_.locality;
    o["version"] = MS_VERSION;
    o["incarnation"] = core_->knell().inc();
    o["bundle"] = core_->policy() ? core_->policy()->number() : 0;
    o["hash"] = core_->policy() ? core_->policy()->bundle().hash : "";
    o["ready"] = hall_.ready.load();
    o["draining"] = draining_ || held_;
    o["standing"] = tide::standing_text(core_->standing());
    o["in_flight"] = hall_.in_flight.load();
    o["counts_way"] = core_->counts_way();
    o["listing_age_ms"] = listing_age_ms();
    o["listing_epoch"] = hall_.pool.epoch();
    o["listing_version"] = hall_.pool.version();
    return o;
}

std::string Proxy::metrics() {
    MetricsText m;
    auto& t = hall_.tolls;
    auto n = [](const std::atomic<std::uint64_t>& a) { return static_cast<double>(a.load()); };
    m.add("ready", "gauge", "1 while callers may come", "", hall_.ready ? 1 : 0);
    m.add("bundle_number", "gauge", "bundle acted on", "",
          core_->policy() ? static_cast<double>(core_->policy()->number()) : 0);
    m.add("visits_total", "counter", "visits that came", "", n(t.visits));
    m.add("answers_total", "counter", "visits answered by a server", "", n(t.answered));
    for (std::size_t i = 0; i < t.by_kind.size(); ++i)
        if (t.by_kind[i] > 0)
            m.add("turned_away_total", "counter", "visits the gateway answered itself, by kind",
                  std::string("kind=\"") + pith::kind_text(static_cast<Kind>(i)) + "\"", n(t.by_kind[i]));
    m.add("ran_unknown_total", "counter", "answers lost after a visit was sent", "", n(t.unknown));
    m.add("sends_total", "counter", "visits handed to a server's session", "", n(t.sends));
    m.add("own_retries_total", "counter", "reads sent again by this proxy", "", n(t.own_retries));
    m.add("caller_retries_total", "counter", "visits marked as retries", "", n(t.caller_retries));
    m.add("server_sessions_opened_total", "counter", "sessions opened to servers", "", n(t.opened));
    m.add("server_sessions_reused_total", "counter", "visits on a kept session", "", n(t.reused));
    m.add("proofs_total", "counter", "proofs of service and instance asked", "", n(t.proofs));
    m.add("proofs_failed_total", "counter", "proofs that failed", "", n(t.proof_failed));
    m.add("probes_total", "counter", "probes of servers", "", n(t.probes));
    m.add("listings_total", "counter", "times the platform was asked", "", n(t.listings));
    m.add("queue_seconds_total", "counter", "time that visits waited for a pass", "", n(t.wait_us) / 1e6);
    m.add("in_flight", "gauge", "visits under way", "", hall_.in_flight.load());
    m.add("callers", "gauge", "callers' sessions open", "", n(t.callers));
    m.add("callers_refused_total", "counter", "callers' sessions over the limit", "", n(t.callers_refused));
    std::size_t evicted = 0;
    for (const auto& w : workers_) evicted += w->holders.evicted();
    m.add("callers_evicted_total", "counter", "callers' sessions closed to make room for others", "",
          static_cast<double>(evicted));
    const auto& limits = *ctl_->limits;
    const std::pair<const char*, const budget::Share*> shares[] = {
        {"callers", &limits.callers}, {"operators", &limits.operators}, {"nodes", &limits.nodes}};
    for (const auto& share : shares)
        m.add("held_bytes", "gauge", "bytes of requests, answers and frames that are held, by share",
              std::string("share=\"") + share.first + "\"", static_cast<double>(share.second->bytes.held()));
    for (const auto& share : shares)
        m.add("held_bytes_peak", "gauge", "most of them at one time", std::string("share=\"") + share.first + "\"",
              static_cast<double>(share.second->bytes.peak()));
    for (const auto& share : shares)
        m.add("held_bytes_limit", "gauge", "as many may be", std::string("share=\"") + share.first + "\"",
              static_cast<double>(share.second->bytes.limit()));
    const auto& l = ctl_->link.tally();
    for (std::size_t i = 0; i < t.callers_left.size(); ++i)
        m.add("callers_left_total", "counter", "requests whose caller was found to have left, by step",
              std::string("step=\"") + kCallerSteps[i] + "\"", n(t.callers_left[i]));
    m.add("sends_on_old_listing_total", "counter", "requests sent while the listing was over 1.5 s old", "",
          n(t.sends_on_old_listing));
    m.add("frames_sent_total", "counter", "frames to partners", "", static_cast<double>(l.sent));
    m.add("frames_sent_bytes_total", "counter", "bytes to partners", "", static_cast<double>(l.sent_bytes));
    m.add("frames_unsent_total", "counter", "frames that a partner could not take", "",
          static_cast<double>(l.unsent));
    m.add("frames_heard_total", "counter", "frames from partners", "", static_cast<double>(l.heard));
    m.add("frames_dropped_total", "counter", "frames that did not check", "", static_cast<double>(l.dropped));
    m.add("relayed_counts_total", "counter", "counts of peers heard through others", "",
          static_cast<double>(core_->relayed_words()));
    m.add("partner_entries_read_total", "counter", "counts of single partners that were read for sums", "",
          static_cast<double>(core_->tally_entries_read()));
    m.add("listing_age_seconds", "gauge", "since the platform was last known to say what is held of its servers", "",
          static_cast<double>(listing_age_ms()) / 1000);
    m.add("listing_question_seconds", "gauge", "the time that the last question to the platform took here", "",
          static_cast<double>(question_took_) / 1e6);
    m.add("control_tick_late_seconds", "gauge", "how late the control thread's last tick was", "",
          static_cast<double>(tick_late_) / 1e6);
    const auto v = hall_.basin.view();
    auto lab = [](const std::string& c) { return "customer=\"" + c + "\""; };
    for (const auto& w : core_->worst())
        m.add("worst_5s", "gauge",
              "most that the fleet released in 5 s of the last ten minutes, as seen here", lab(w.first),
              w.second.most());
    for (const auto& g : v)
        m.add("released_total", "counter", "visits let out of the queue", lab(g.customer),
              static_cast<double>(g.released));
    for (const auto& g : v)
        m.add("over_allowance_total", "counter", "visits turned away on arrival", lab(g.customer),
              static_cast<double>(g.turned_away));
    for (const auto& g : v)
        m.add("queued", "gauge", "visits in S", lab(g.customer), static_cast<double>(g.queued));
    for (const auto& g : v) m.add("passes", "gauge", "free tokens, E", lab(g.customer), g.e);
    return m.text();
}

void Proxy::ready_on(weft::Desk& d) {
    d.on("GET", "/ready", [this](const weft::Ask&, weft::Desk::Reply r) {
        r(hall_.ready ? weft::json_answer(200, "{\"ready\":true}\n")
                      : weft::json_answer(503, "{\"ready\":false}\n"));
    });
}

// Bundles are the keepers': the operator is sent on to one that lives, of this zone first (docs/design.md 8.2).
void Proxy::to_keeper(const weft::Ask& q, const weft::Desk::Reply& r) {
    std::vector<const knell::Member*> near, far;
    for (const auto* m : core_->knell().live("keeper"))
        (m->rec.locality == set_.locality ? near : far).push_back(m);
    const auto& v = near.empty() ? far : near;
    if (v.empty()) {
        r(weft::error_answer({Kind::no_majority, "no keeper is known to live: come back in a second"}));
        return;
    }
    const auto* to = v[turn_++ % v.size()];
    weft::Answer a = weft::json_answer(307, "");
    a.set(weft::http::field::location, "http://" + to->rec.operator_address + std::string(q.target()));
    r(std::move(a));
}

void Proxy::desk() {
    auto& d = ctl_->desk;
    ready_on(d);
    for (const char* m : {"GET", "POST"})
        d.on(m, "/v1/bundle", [this](const weft::Ask& q, weft::Desk::Reply r) { to_keeper(q, r); });
    d.on("POST", "/v1/node", [this](const weft::Ask& q, weft::Desk::Reply r) {
        if (!may_change(set_, q, r)) return;
        const std::string m = query(q, "mark");
        if (m != "drain" && m != "serve") {
            r(weft::error_answer({Kind::bad_visit, "give mark=drain or mark=serve"}));
            return;
        }
        held_ = m == "drain";
        if (held_) hall_.ready = false;
        Todo t;
        if (!draining_) core_->say(held_ ? knell::kDraining : knell::kLive, pith::mono_now(), &t);
        carry_out(t);
        log_event(Level::warn, "node_marked", {{"mark", m}});
        r(weft::json_answer(200, "{\"marked\":\"" + m + "\"}\n"));
    });
    d.on("GET", "/metrics", [this](const weft::Ask&, weft::Desk::Reply r) { r(text_answer(metrics())); });
    d.on("GET", "/v1/status", [this](const weft::Ask&, weft::Desk::Reply r) {
        r(weft::json_answer(200, json::serialize(status()) + "\n"));
    });
    d.on("GET", "/v1/servers", [this](const weft::Ask&, weft::Desk::Reply r) {
        json::array a;
        for (const auto& s : hall_.pool.view(pith::mono_now()))
            a.push_back(json::object{{"address", s.address},
                                     {"service", s.service},
                                     {"instance", s.instance},
                                     {"locality", s.locality},
                                     {"state", s.state},
                                     {"in_flight", s.in_flight},
                                     {"preferred", s.preferred},
                                     {"ejected", s.ejected},
                                     {"visits", s.visits},
                                     {"failures", s.failures}});
        r(weft::json_answer(200, json::serialize(json::object{{"name", set_.name}, {"servers", a}}) + "\n"));
    });
    d.on("GET", "/v1/allowances", [this](const weft::Ask&, weft::Desk::Reply r) {
        json::array a;
        const auto& worst = core_->worst();
        for (const auto& g : hall_.basin.view()) {
            const auto w = worst.find(g.customer);
            a.push_back(json::object{{"worst_5s", w == worst.end() ? 0 : w->second.most()},
                                     {"last_5s", w == worst.end() ? 0 : w->second.last()},
                                     {"customer", g.customer},
                                     {"allowance_per_s", g.allowance},
                                     {"released", g.released},
                                     {"turned_away", g.turned_away},
                                     {"queued", g.queued},
                                     {"rate_per_s", g.rate},
                                     {"passes", g.e},
                                     {"pool", g.e0},
                                     {"sensed", g.t},
                                     {"partners_per_s", core_->tally().rate(g.customer)},
                                     {"assumed", core_->tally().assumed(g.customer)},
                                     {"standing", tide::standing_text(g.standing)}});
        }
        r(weft::json_answer(200,
                            json::serialize(json::object{{"name", set_.name}, {"customers", a}}) + "\n"));
    });
    d.on("GET", "/v1/explain", [this](const weft::Ask& q, weft::Desk::Reply r) {
        json::array a;
        for (const auto& t : hall_.traces.find(query(q, "try")))
            a.push_back(json::object{{"node", set_.name},
                                     {"wall_us", t.wall},
                                     {"try", t.try_id},
                                     {"customer", t.customer},
                                     {"route", t.route},
                                     {"service", t.service},
                                     {"bundle", t.bundle},
                                     {"end", t.end},
                                     {"status", t.status},
                                     {"ran", t.ran_unknown         ? "unknown"
                                             : t.end == "answered" ? "yes"
                                                                   : "no"},
                                     {"server", t.server},
                                     {"instance", t.instance},
                                     {"sends", t.sends},
                                     {"queued_us", t.queued},
                                     {"took_us", t.took}});
        r(weft::json_answer(200, json::serialize(json::object{{"name", set_.name}, {"found", a}}) + "\n"));
    });
}

}  // namespace

int run_proxy(const pith::Settings& s) {
    pith::Kernel k;
    auto control = std::make_shared<Control>(s);
    return run_daemon(k, control, "proxy", std::make_shared<Proxy>(k, s, control->limits));
}

int run_resident(const Resident& r) {
    pith::Kernel k, kk;
    auto ctl = std::make_shared<Control>(r.proxy);
    if (r.reload) ctl->hup = r.reload;
    std::shared_ptr<Control> kctl;
    std::shared_ptr<Daemon> keeper;
    std::thread t;
    if (r.keeper) {
        kctl = std::make_shared<Control>(*r.keeper, ctl->limits);
        kctl->hup = [] {};
        keeper = make_keeper(kk, *r.keeper, true);
        t = std::thread([&] {
            // A keeper that can't go on is no reason to end what serves: the proxy goes on without it.
            const int code = run_daemon(kk, kctl, "keeper", keeper);
            if (code != 0) log_event(Level::error, "keeper_ended", {{"code", code}});
        });
    }
    const int code = run_daemon(k, ctl, "proxy", std::make_shared<Proxy>(k, r.proxy, ctl->limits, *r.dialect));
    if (t.joinable()) {
        kctl->io.stop();
        t.join();
    }
    return code;
}

}  // namespace span
