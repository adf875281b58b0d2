#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <deque>

#include "mime/stand_ins.hpp"
#include "pith/hash.hpp"

namespace mime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

class Callers {
  public:
    explicit Callers(const CallerPlan& p) : p_(p), rng_(p.seed) {}
    CallerTally run() {
        asio::spawn(
            io_, [this](asio::yield_context y) { arrive(y); }, asio::detached);
        io_.run();
        return std::move(t_);
    }

  private:
    struct Kept {
        explicit Kept(asio::io_context& io) : st(io) {}
        beast::tcp_stream st;
        beast::flat_buffer buf;
    };

    void arrive(asio::yield_context y) {
        asio::steady_timer t(io_);
        auto at = std::chrono::steady_clock::now();
        const auto end = at + std::chrono::microseconds(static_cast<std::int64_t>(p_.seconds * 1e6));
        for (std::uint64_t n = 0;; ++n) {
            at += std::chrono::microseconds(
                static_cast<std::int64_t>(-std::log(1 - rng_.unit()) / p_.rate * 1e6));
            if (at >= end) return;
            t.expires_at(at);
            boost::system::error_code ec;
            t.async_wait(y[ec]);
            const std::string id = p_.tag + "-" + std::to_string(p_.seed) + "-" + std::to_string(n);
            const std::size_t who = rng_.below(p_.proxies.size());
            asio::spawn(
                io_, [this, id, who](asio::yield_context z) { one(id, who, z); }, asio::detached);
        }
    }

    void one(const std::string& id, std::size_t who, asio::yield_context y) {
        if (!attempt(id, who, 1, y) && p_.retry) {
            ++t_.retries;
            attempt(id + "-r", (who + 1) % p_.proxies.size(), 2, y);
        }
    }

    // False where the answer says that it did not run and coming back can help.
    bool attempt(const std::string& id, std::size_t who, int n, asio::yield_context y) {
        ++t_.asked;
        const auto t0 = pith::mono_now();
        std::unique_ptr<Kept> k;
        boost::system::error_code ec;
        auto& idle = idle_[who];
        if (!idle.empty()) {
            k = std::move(idle.back());
            idle.pop_back();
        } else {
            k = std::make_unique<Kept>(io_);
            k->st.expires_after(std::chrono::milliseconds(p_.deadline_ms + 1000));
            k->st.async_connect(weft::endpoint(p_.proxies[who]), y[ec]);
            if (ec) {
                ++t_.lost;
                ++t_.kinds["connect"];
                return true;
            }
        }
        http::request<http::string_body> q;
        q.method_string(p_.method);
        q.target(p_.path);
        q.version(11);
        q.set(http::field::host, p_.proxies[who]);
        q.set("Marble-Key", p_.key);
        q.set("Marble-Try", id);
        q.set("Marble-Deadline-Ms", std::to_string(p_.deadline_ms));
        if (n > 1) q.set("Marble-Attempt", std::to_string(n));
        if (p_.method != "GET" && p_.method != "HEAD") q.body() = "{\"bid\":\"" + id + "\"}";
        q.prepare_payload();
        k->st.expires_after(std::chrono::milliseconds(p_.deadline_ms + 3000));
        http::async_write(k->st, q, y[ec]);
        http::response<http::string_body> a;
        if (!ec) http::async_read(k->st, k->buf, a, y[ec]);
        if (ec) {
            ++t_.lost;
            ++t_.kinds["lost"];
            return true;
        }
        const bool keep = a.keep_alive();
        const auto v = json::parse(a.body(), ec);
        const auto* o = ec ? nullptr : v.if_object();
        auto word = [o](const char* w) {
            const auto* e = o == nullptr ? nullptr : o->if_contains(w);
            return e != nullptr && e->is_string() ? std::string(e->get_string().c_str()) : std::string();
        };
        bool fine = true;
        const int st = a.result_int();
        if (st == 200) {
            if (word("try") == id) {
                ++t_.well;
                t_.stood.push_back(id);
                t_.took.push_back(pith::mono_now() - t0);
            } else {
                ++t_.wrong;  // another's answer
            }
        } else {
            ++t_.kinds[word("kind").empty() ? "status " + std::to_string(st) : word("kind")];
            if (word("ran") == "no") {
                ++t_.turned_away;
                t_.not_run.push_back(id);
                fine = word("kind").empty() || o->if_contains("retry_after_ms") == nullptr;
            } else {
                ++t_.unknown;
            }
        }
        if (keep) idle.push_back(std::move(k));
        return fine;
    }

    CallerPlan p_;
    pith::Rng rng_;
    asio::io_context io_;
    CallerTally t_;
    std::map<std::size_t, std::deque<std::unique_ptr<Kept>>> idle_;
};

}  // namespace

CallerTally call(const CallerPlan& p) { return Callers(p).run(); }

std::string tally_json(const CallerTally& t) {
    auto took = t.took;
    std::sort(took.begin(), took.end());
    auto at = [&took](double q) {
        return took.empty() ? 0 : took[static_cast<std::size_t>(q * static_cast<double>(took.size() - 1))];
    };
    json::object k;
    for (const auto& p : t.kinds) k[p.first] = p.second;
    return json::serialize(json::object{{"asked", t.asked},
                                        {"well", t.well},
                                        {"turned_away", t.turned_away},
                                        {"unknown", t.unknown},
                                        {"lost", t.lost},
                                        {"wrong", t.wrong},
                                        {"retries", t.retries},
                                        {"kinds", k},
                                        {"p50_us", at(.5)},
                                        {"p95_us", at(.95)},
                                        {"p99_us", at(.99)}});
}

}  // namespace mime
