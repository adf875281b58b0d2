#include "common.hpp"

#include <cstdio>
#include <mutex>

namespace span {

using pith::Level;
using pith::log_event;
namespace json = boost::json;

void Control::wait() {
    signals_.async_wait([this](boost::system::error_code ec, int n) {
        if (ec) return;
        if (n == SIGHUP && hup) {
            hup();
        } else if (n == SIGHUP) {
            debug_ = !debug_;
            pith::log_level(debug_ ? "debug" : set.log_level);
            log_event(Level::warn, "log_level",
                      {{"level", debug_ ? "debug" : set.log_level}, {"by", "signal"}});
        } else if (draining_) {
            log_event(Level::warn, "stopped", {{"why", "second signal"}});
            exit_code = 1;
            io.stop();
            return;
        } else {
            draining_ = true;
            log_event(Level::info, "stopping", {{"signal", n}});
            drain_();
        }
        wait();
    });
}

void Control::watch_traffic(pith::Micros now) {
    constexpr pith::Micros kEvery = 5 * pith::kSecond;
    constexpr std::uint64_t kMuch = 30000;  // bytes a second
    if (now - traffic_at_ < kEvery) return;
    const auto& t = link.tally();
    const std::uint64_t rate =
        (t.sent_bytes - traffic_was_) * 1000000 / static_cast<std::uint64_t>(now - traffic_at_);
    if (traffic_at_ != 0 && rate > kMuch) {
        std::string most;
        std::uint64_t bytes = 0, frames = 0;
        for (const auto& k : t.kinds) {
            const auto was = kinds_were_[k.first];
            if (k.second.second - was.second <= bytes) continue;
            bytes = k.second.second - was.second;
            frames = k.second.first - was.first;
            most = k.first;
        }
        log_event(Level::warn, "traffic",
                  {{"bytes_per_s", rate}, {"most", most}, {"frames", frames}, {"bytes", bytes}});
    }
    traffic_at_ = now;
    traffic_was_ = t.sent_bytes;
    kinds_were_ = t.kinds;
}

bool may_change(const pith::Settings& s, const weft::Ask& q, const weft::Desk::Reply& r) {
    if (s.operator_token.empty() || q["Marble-Operator"] == s.operator_token) return true;
    r(weft::error_answer(
        {pith::Kind::forbidden, "this needs the operators' word: give helm --operator_token"}));
    return false;
}

void Control::common_desk() {
    desk.on("GET", "/live",
            [](const weft::Ask&, weft::Desk::Reply r) { r(weft::json_answer(200, "{\"live\":true}\n")); });
    desk.on("POST", "/v1/log-level", [this](const weft::Ask& q, weft::Desk::Reply r) {
        if (!may_change(set, q, r)) return;
        const std::string l = query(q, "level");
        if (!pith::log_level(l)) {
            r(weft::error_answer({pith::Kind::bad_visit, "level must be debug, info, warn or error"}));
            return;
        }
        log_event(Level::warn, "log_level", {{"level", l}, {"by", "operator"}});
        r(weft::json_answer(200, "{\"level\":\"" + l + "\"}\n"));
    });
}

knell::Config knell_config(const pith::Settings& s, const std::string& role, std::uint64_t inc) {
    knell::Config c;
    c.name = s.name;
    c.address = s.weft;
    c.locality = s.locality;
    c.role = role;
    c.operator_address = s.operator_address;
    c.seeds = s.seeds;
    c.inc = inc;
    return c;
}

json::object members_json(const knell::Knell& k) {
    static const char* names[] = {"live", "draining", "left", "down"};
    json::array a;
    for (const auto& p : k.members()) {
        const auto& r = p.second.rec;
        a.push_back(json::object{{"name", r.name},
                                 {"role", r.role},
                                 {"locality", r.locality},
                                 {"address", r.address},
                                 {"operator_address", r.operator_address},
                                 {"incarnation", r.inc},
                                 {"state", names[r.state & 3]},
                                 {"bundle", p.second.freight.commit}});
    }
    json::array d;
    for (const auto& p : k.epochs())
        d.push_back(json::object{{"duty", p.first}, {"epoch", p.second.epoch}, {"holder", p.second.holder}});
    return json::object{{"members", a}, {"duties", d}};
}

std::string query(const weft::Ask& q, const std::string& name) {
    const std::string t(q.target());
    auto i = t.find('?');
    while (i != std::string::npos) {
        const auto e = t.find('&', i + 1);
        const std::string part = t.substr(i + 1, e == std::string::npos ? e : e - i - 1);
        if (part.compare(0, name.size() + 1, name + "=") == 0) return part.substr(name.size() + 1);
        i = e;
    }
    return {};
}

int run_daemon(pith::Kernel& k, const std::shared_ptr<Control>& ctl, const char* role,
               const std::shared_ptr<Daemon>& d) {
    k.add("control", ctl);
    k.add(role, d);
    k.start();
    auto ok = d->open();
    if (!ok) {
        log_event(Level::error, "not_started", {{"why", ok.error().message}});
        k.stop();
        return 2;
    }
    ctl->io.run();
    k.stop();
    // Coroutines that still wait are left as they are, not unwound: the process is about to go.
    static std::mutex m;
    static auto& kept = *new std::vector<std::shared_ptr<pith::Service>>;
    std::lock_guard<std::mutex> l(m);
    kept.insert(kept.end(), {ctl, d});
    return ctl->exit_code;
}

void MetricsText::add(const char* name, const char* type, const char* help, const std::string& labels,
                      double v) {
    if (last_ != name) {
        o_ += std::string("# HELP marblesaddle_") + name + " " + help + "\n# TYPE marblesaddle_" + name +
              " " + type + "\n";
        last_ = name;
    }
    char b[64];
    std::snprintf(b, sizeof b, "%.10g", v);
    o_ += std::string("marblesaddle_") + name + (labels.empty() ? "" : "{" + labels + "}") + " " + b + "\n";
}

weft::Answer text_answer(std::string body) {
    auto a = weft::json_answer(200, std::move(body));
    a.set(weft::http::field::content_type, "text/plain; version=0.0.4");
    return a;
}

}  // namespace span
