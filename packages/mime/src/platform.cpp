#include <boost/json.hpp>

#include "mime/stand_ins.hpp"

namespace mime {

namespace json = boost::json;

Platform::Platform(boost::asio::io_context& io) : desk_(io) {
    v_.push_back({-pith::kNever, "{\"servers\":[]}"});
}

pith::Result<std::string> Platform::open(const std::string& address) {
    desk_.on("GET", "/v1/servers", [this](const weft::Ask&, weft::Desk::Reply r) {
        const auto now = pith::mono_now();
        ++asked_;
        credit_ = std::min(per_s_, credit_ + per_s_ * static_cast<double>(now - credit_at_) / 1e6);
        credit_at_ = now;
        if (credit_ < 1) {
            ++limited_;
            auto a = weft::json_answer(429, "{\"kind\":\"asked_too_often\"}");
            a.set(weft::http::field::retry_after, "1");
            r(a);
            return;
        }
        credit_ -= 1;
        if (fails_) {
            r(weft::json_answer(503, "{}"));
            return;
        }
        std::string body;
        for (const auto& v : v_)
            if (v.since + lag_ <= now) body = v.body;
        r(weft::json_answer(200, body));
    });
    // Ours: {"servers":[…]}, {"lag_ms":n}, {"per_s":n}, {"fails":bool}
    desk_.on("POST", "/control", [this](const weft::Ask& q, weft::Desk::Reply r) {
        boost::system::error_code ec;
        const auto v = json::parse(q.body(), ec);
        const auto* o = ec ? nullptr : v.if_object();
        if (o == nullptr) {
            r(weft::json_answer(400, "{}"));
            return;
        }
        if (const auto* x = o->if_contains("servers"))
            v_.push_back({pith::mono_now(), json::serialize(json::object{{"servers", *x}})});
        if (const auto* x = o->if_contains("lag_ms")) lag_ = x->to_number<std::int64_t>() * pith::kMilli;
        if (const auto* x = o->if_contains("per_s")) per_s_ = x->to_number<double>();
        if (const auto* x = o->if_contains("fails")) fails_ = x->as_bool();
        if (v_.size() > 64) v_.erase(v_.begin());
        r(weft::json_answer(200, json::serialize(json::object{{"asked", asked_}, {"limited", limited_}})));
    });
    return desk_.open(address);
}

}  // namespace mime
