#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "common.hpp"
#include "pith/hash.hpp"
#include "span/proxy.hpp"
#include "vault/disk.hpp"
#include "vault/keeper.hpp"

namespace span {

namespace asio = boost::asio;
namespace json = boost::json;
using pith::Kind;
using pith::Level;
using pith::log_event;
using pith::Micros;

namespace {

constexpr Micros kTick = 50 * pith::kMilli;

// The disk has a thread of its own: a slow sync holds up no heartbeat (docs/design.md 5.5).
class Clerk {
  public:
    Clerk(vault::Disk& d, asio::io_context& io) : disk_(d), io_(io) {}
    void start(std::function<void(std::uint64_t, bool)> done) {
        done_ = std::move(done);
        t_ = std::thread([this] { run(); });
    }
    void add(const vault::Job& j) {
        std::lock_guard<std::mutex> l(m_);
        q_.push_back(j);
        c_.notify_one();
    }
    void stop() {
        {
            std::lock_guard<std::mutex> l(m_);
            end_ = true;
            c_.notify_one();
        }
        if (t_.joinable()) t_.join();
    }

  private:
    void run() {
        for (;;) {
            vault::Job j;
            {
                std::unique_lock<std::mutex> l(m_);
                c_.wait(l, [this] { return end_ || !q_.empty(); });
                if (q_.empty()) return;
                j = q_.front();
                q_.pop_front();
            }
            const Micros t0 = pith::mono_now();
            auto r = disk_.carry_out(j);
            const Micros took = pith::mono_now() - t0;
            if (!r) log_event(Level::error, "disk_failed", {{"why", r.error().message}});
            if (took > pith::kSecond) log_event(Level::warn, "disk_slow", {{"took_us", took}});
            asio::post(io_, [this, t = j.token, ok = r.has_value()] { done_(t, ok); });
        }
    }
    vault::Disk& disk_;
    asio::io_context& io_;
    std::mutex m_;
    std::condition_variable c_;
    std::deque<vault::Job> q_;
    bool end_ = false;
    std::function<void(std::uint64_t, bool)> done_;
    std::thread t_;
};

class Keeper : public Daemon {
  public:
    Keeper(pith::Kernel& k, const pith::Settings& s) : kernel_(k), set_(s), disk_(s.data) {}

    pith::Result<bool> open() override {
        ctl_ = kernel_.find<Control>("control");
        auto h = disk_.open();
        if (!h) return tl::unexpected<pith::Error>(h.error());
        if (!disk_.set_aside().empty())
            log_event(Level::error, "file_set_aside",
                      {{"file", disk_.set_aside()}, {"remedy", "it is mended from the other keepers"}});
        if (!h->founded)
            log_event(Level::warn, "disk_empty", {{"remedy", "no vote until all other keepers were heard"}});
        const auto inc = disk_.next_incarnation();
        if (inc == 0)
            return pith::fail(
                Kind::disk_failed,
                set_.data +
                    " can't be written: check the disk and its free space, then start the keeper again");
        vault::VaultConfig v;
        v.name = set_.name;
        v.keepers = keeper_list(set_);
        v.signers = set_.signers;
        v.first_start = set_.first_start;
        v.acknowledge_old = set_.old_numbers == "acknowledge";
        const auto nonce =
            pith::hash64(set_.name + std::to_string(pith::wall_now()) + std::to_string(inc)) | 1;
        core_ = std::make_unique<vault::KeeperCore>(knell_config(set_, "keeper", inc), v, *h, nonce);
        clerk_ = std::make_unique<Clerk>(disk_, ctl_->io);
        clerk_->start([this](std::uint64_t t, bool ok) {
            vault::Acts a;
            core_->wrote(pith::mono_now(), t, ok, &a);
            carry_out(a);
        });
        ctl_->common_desk();
        desk();
        auto a = ctl_->link.open(set_.weft, [this](weft::Envelope& e) {
            vault::Acts x;
            core_->hear(pith::mono_now(), e, &x);
            carry_out(x);
        });
        if (!a) return tl::unexpected<pith::Error>(a.error());
        auto b = ctl_->desk.open(set_.operator_address);
        if (!b) return tl::unexpected<pith::Error>(b.error());
        log_event(Level::info, "started",
                  {{"role", "keeper"},
                   {"name", set_.name},
                   {"locality", set_.locality},
                   {"weft", *a},
                   {"operator", *b},
                   {"bundle", core_->vault().commit()},
                   {"incarnation", inc}});
        ctl_->watch([this] {
            vault::Acts x;
            core_->say(knell::kLeft, pith::mono_now(), &x);
            ctl_->send(x.out);
            auto t = std::make_shared<asio::steady_timer>(ctl_->io, std::chrono::milliseconds(50));
            t->async_wait([this, t](boost::system::error_code) {
                log_event(Level::info, "stopped", {});
                ctl_->io.stop();
            });
        });
        tick_ = std::make_unique<asio::steady_timer>(ctl_->io);
        tick();
        return true;
    }
    void stop() override {
        if (clerk_) clerk_->stop();
        if (ctl_) {
            ctl_->link.close();
            ctl_->desk.close();
        }
    }

  private:
    void tick() {
        ctl_->link.inc(core_->knell().inc());
        ctl_->watch_traffic(pith::mono_now());
        vault::Acts a;
        core_->tick(pith::mono_now(), &a);
        carry_out(a);
        if (core_->vault().voting() != voting_) {
            voting_ = core_->vault().voting();
            log_event(Level::info, "voting", {{"now", voting_ ? "yes" : "no"}});
        }
        const auto& el = core_->electorate();
        if (core_->discovered() && (el.held().id != told_ || el.founded() != founded_)) {
            told_ = el.held().id;
            founded_ = el.founded();
            log_event(Level::info, "electorate",
                      {{"members", members(el.held())},
                       {"founded", founded_ ? "yes" : "no"},
                       {"founder", el.held().founder}});
        }
        tick_->expires_after(std::chrono::microseconds(kTick));
        tick_->async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    static std::string members(const vault::Proposal& p) {
        std::string s;
        for (const auto& e : p.members) s += (s.empty() ? "" : ",") + e.name;
        return s;
    }

    void carry_out(vault::Acts& a) {
        ctl_->send(a.out);
        for (const auto& j : a.jobs) clerk_->add(j);
        if (a.committed)
            log_event(Level::info, "committed",
                      {{"number", core_->vault().commit()}, {"hash", core_->vault().hash().substr(0, 16)}});
        for (auto& x : a.answers) {
            auto i = asked_.find(x.op);
            if (i == asked_.end()) continue;
            const auto r = i->second;
            asked_.erase(i);
            if (x.result) {
                log_event(Level::info, "acknowledged", {{"number", *x.result}});
                r(weft::json_answer(200, json::serialize(json::object{{"acknowledged", *x.result},
                                                                      {"standing", core_->vault().commit()},
                                                                      {"hash", x.hash}}) +
                                             "\n"));
            } else {
                log_event(
                    Level::warn, "push_refused",
                    {{"kind", pith::kind_text(x.result.error().kind)}, {"why", x.result.error().message}});
                r(weft::error_answer(x.result.error()));
            }
        }
    }

    json::object status() {
        json::object o = members_json(core_->knell());
        const auto& v = core_->vault();
        o["name"] = set_.name;
        o["role"] = "keeper";
        o["locality"] = set_.locality;
        o["version"] = MS_VERSION;
        o["incarnation"] = core_->knell().inc();
        o["bundle"] = v.commit();
        o["hash"] = v.hash();
        o["ready"] = v.voting() && v.disk_ok();
        o["voting"] = v.voting();
        o["spare"] = core_->discovered() && core_->electorate().founded() && !v.elector();
        o["disk"] = v.disk_ok() ? "well" : "failed";
        o["pushes"] = v.pending();
        json::array el;
        if (core_->discovered())
            for (const auto& e : core_->electorate().held().members) el.emplace_back(e.name);
        else
            for (const auto& k : set_.keepers) el.emplace_back(k.name);
        o["electorate"] = json::object{{"members", el},
                                       {"listed", !core_->discovered()},
                                       {"founded", !core_->discovered() || core_->electorate().founded()}};
        o["feed_place"] = core_->feed().place();
        json::array p;
        for (const auto& e : v.promises()) p.push_back(json::object{{"number", e.first}, {"hash", e.second}});
        o["promises"] = p;
        json::array m;
        for (const auto& e : core_->marks())
            m.push_back(json::object{{"server", e.first}, {"mark", e.second.text}});
        o["marks"] = m;
        return o;
    }

    void desk() {
        auto& d = ctl_->desk;
        d.on("GET", "/ready", [this](const weft::Ask&, weft::Desk::Reply r) {
            const bool ok = core_->vault().voting() && core_->vault().disk_ok();
            r(weft::json_answer(ok ? 200 : 503, ok ? "{\"ready\":true}\n" : "{\"ready\":false}\n"));
        });
        d.on("GET", "/v1/status", [this](const weft::Ask&, weft::Desk::Reply r) {
            r(weft::json_answer(200, json::serialize(status()) + "\n"));
        });
        d.on("GET", "/v1/bundle", [this](const weft::Ask&, weft::Desk::Reply r) {
            if (core_->vault().commit() == 0)
                r(weft::error_answer({Kind::not_found, "no bundle stands yet: push one with `helm push`"}));
            else
                r(weft::json_answer(200, core_->vault().text() + "\n"));
        });
        d.on("POST", "/v1/bundle", [this](const weft::Ask& q, weft::Desk::Reply r) {
            const auto op = ++op_;
            asked_[op] = std::move(r);
            vault::Acts a;
            core_->push(pith::mono_now(), op, q.body(), &a);
            carry_out(a);
        });
        d.on("POST", "/v1/mark", [this](const weft::Ask& q, weft::Desk::Reply r) {
            if (!may_change(set_, q, r)) return;
            const std::string s = query(q, "server"), m = query(q, "mark");
            if (!pith::address_ok(s) || (m != "drain" && m != "serve")) {
                r(weft::error_answer({Kind::bad_visit, "give server=IP:PORT and mark=drain or mark=serve"}));
                return;
            }
            vault::Acts a;
            core_->mark(pith::mono_now(), s, m == "drain", &a);
            carry_out(a);
            log_event(Level::info, "server_marked", {{"server", s}, {"mark", m}});
            r(weft::json_answer(200, "{\"marked\":\"" + s + "\"}\n"));
        });
        d.on("GET", "/metrics", [this](const weft::Ask&, weft::Desk::Reply r) {
            MetricsText m;
            const auto& v = core_->vault();
            const auto& l = ctl_->link.tally();
            m.add("ready", "gauge", "1 while this keeper votes and its disk is well", "",
                  v.voting() && v.disk_ok() ? 1 : 0);
            m.add("bundle_number", "gauge", "bundle that stands", "", static_cast<double>(v.commit()));
            m.add("disk_ok", "gauge", "0 after a failed write", "", v.disk_ok() ? 1 : 0);
            m.add("pushes", "gauge", "pushes under way", "", static_cast<double>(v.pending()));
            m.add("frames_sent_total", "counter", "frames to partners", "", static_cast<double>(l.sent));
            m.add("frames_unsent_total", "counter", "frames that a partner could not take", "",
                  static_cast<double>(l.unsent));
            m.add("frames_heard_total", "counter", "frames from partners", "", static_cast<double>(l.heard));
            m.add("frames_dropped_total", "counter", "frames that did not check", "",
                  static_cast<double>(l.dropped));
            r(text_answer(m.text()));
        });
    }

    pith::Kernel& kernel_;
    pith::Settings set_;
    vault::Disk disk_;
    std::shared_ptr<Control> ctl_;
    std::unique_ptr<vault::KeeperCore> core_;
    std::unique_ptr<Clerk> clerk_;
    std::unique_ptr<asio::steady_timer> tick_;
    std::map<std::uint64_t, weft::Desk::Reply> asked_;
    std::uint64_t op_ = 0;
    std::uint64_t told_ = 0;  // the electorate, as logged last
    bool voting_ = false, founded_ = false;
};

}  // namespace

std::shared_ptr<Daemon> make_keeper(pith::Kernel& k, const pith::Settings& s) {
    return std::make_shared<Keeper>(k, s);
}

int run_keeper(const pith::Settings& s) {
    pith::Kernel k;
    return run_daemon(k, std::make_shared<Control>(s), "keeper", std::make_shared<Keeper>(k, s));
}

}  // namespace span
