// The daemon of a control node: sockets, disk and operators' calls around consensus::ControlNode.
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "common.hpp"
#include "consensus/control_node.hpp"
#include "consensus/storage.hpp"
#include "disk_writer.hpp"
#include "pith/hash.hpp"
#include "span/proxy.hpp"

namespace span {

namespace asio = boost::asio;
namespace json = boost::json;
using pith::Kind;
using pith::Level;
using pith::log_event;
using pith::Micros;

namespace {

constexpr Micros kTick = 25 * pith::kMilli;
constexpr Micros kOpenAgain = 250 * pith::kMilli;  // where the folder can't be used yet: a full disk, say
// A planned stop: a voter hands over first where another node stands ready (docs/control.md, "Leaving").
constexpr Micros kLeaveLeast = 300 * pith::kMilli;
constexpr Micros kLeaveMost = 2500 * pith::kMilli;

std::string voter_list(const std::vector<weft::Voter>& voters) {
    std::string list;
    for (const auto& voter : voters) list += (list.empty() ? "" : ",") + voter.name;
    return list;
}

class ControlDaemon : public Daemon {
  public:
    ControlDaemon(pith::Kernel& kernel, const pith::Settings& settings, bool wait_for_disk)
        : kernel_(kernel), settings_(settings), wait_for_disk_(wait_for_disk), storage_(settings.data) {}

    pith::Result<bool> open() override {
        control_ = kernel_.find<Control>("control");
        tick_ = std::make_unique<asio::steady_timer>(control_->io);
        control_->watch([this] { leave(); });
        auto held = storage_.open();
        if (held) return begin(std::move(*held));
        if (!wait_for_disk_) return tl::unexpected<pith::Error>(held.error());
        log_event(Level::error, "disk_failed", {{"why", held.error().message}});
        open_later();
        return true;
    }

    void stop() override {
        if (writer_) writer_->stop();
        if (control_) {
            control_->link.close();
            control_->desk.close();
        }
    }

  private:
    // The disk takes no writes now: the folder is tried again until it does.
    void open_later() {
        tick_->expires_after(std::chrono::microseconds(kOpenAgain));
        tick_->async_wait([this](boost::system::error_code ec) {
            if (ec) return;
            auto held = storage_.open();
            const auto begun = held ? begin(std::move(*held)) : pith::Result<bool>(false);
            if (held && begun) return;
            open_later();
        });
    }

    pith::Result<bool> begin(consensus::DurableState held) {
        if (!storage_.set_aside().empty())
            log_event(Level::error, "file_set_aside",
                      {{"file", storage_.set_aside()},
                       {"remedy", "the state is learnt from the other control nodes"}});
        if (held.accepted.round == 0)
            log_event(Level::warn, "disk_empty",
                      {{"remedy", "the state is learnt from the other control nodes"}});
        auto incarnation = storage_.next_incarnation();
        // Only a hint: a lower one than before is told so, and takes a later one (docs/design.md 4.3).
        if (incarnation == 0) incarnation = static_cast<std::uint64_t>(pith::wall_now());
        consensus::ControlConfig config;
        config.name = settings_.name;
        config.address = settings_.weft;
        config.signers = settings_.signers;
        config.life = pith::random64() >> 1;
        config.refuse_old = settings_.old_numbers != "acknowledge";
        consensus::FoundingConfig founding;
        founding.name = settings_.name;
        founding.address = settings_.weft;
        founding.seeds = settings_.seeds;
        for (const auto& k : settings_.keepers) founding.listed[k.name] = k.address;
        founding.first_start = settings_.first_start || !founding.listed.empty();
        node_ =
            std::make_unique<consensus::ControlNode>(knell_config(settings_, "keeper", incarnation), config,
                                                     founding, std::move(held), storage_.epochs());
        if (!writer_) {
            writer_ = std::make_unique<DiskWriter>(storage_, control_->io);
            writer_->start([this](std::uint64_t token, bool ok) {
                consensus::Actions actions;
                node_->saved(pith::mono_now(), token, ok, &actions);
                carry_out(actions);
            });
        }
        control_->common_desk();
        desk();
        auto link = control_->link.open(settings_.weft, [this](weft::Envelope& e) {
            consensus::Actions actions;
            node_->hear(pith::mono_now(), e, &actions);
            carry_out(actions);
        });
        if (!link) return tl::unexpected<pith::Error>(link.error());
        auto desk = control_->desk.open(settings_.operator_address);
        if (!desk) return tl::unexpected<pith::Error>(desk.error());
        log_event(Level::info, "started",
                  {{"role", "keeper"},
                   {"name", settings_.name},
                   {"locality", settings_.locality},
                   {"weft", *link},
                   {"operator", *desk},
                   {"bundle", node_->control().acceptor().durable().state.number},
                   {"disk", node_->control().acceptor().durable().disk},
                   {"incarnation", incarnation}});
        tick();
        return true;
    }

    void tick() {
        const Micros now = pith::mono_now();
        control_->link.inc(node_->knell().inc());
        control_->watch_traffic(now);
        consensus::Actions actions;
        node_->tick(now, &actions);
        carry_out(actions);
        log_changes();
        if (leaving_since_ != 0 && may_end(now)) {
            end();
            return;
        }
        tick_->expires_after(std::chrono::microseconds(kTick));
        tick_->async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void log_changes() {
        const auto& control = node_->control();
        const auto& decided = control.decided();
        if (decided.epoch != epoch_) {
            epoch_ = decided.epoch;
            log_event(Level::info, "membership",
                      {{"epoch", decided.epoch},
                       {"voters", voter_list(decided.voters)},
                       {"joining", voter_list(decided.joining)},
                       {"voting", control.voter() ? "yes" : "no"}});
        }
        if (decided.number != number_ && control.text() != nullptr) {
            number_ = decided.number;
            log_event(
                Level::info, "committed",
                {{"number", number_}, {"revision", decided.revision}, {"hash", decided.hash.substr(0, 16)}});
        }
    }

    void leave() {
        if (!node_) {
            control_->io.stop();
            return;
        }
        leaving_since_ = pith::mono_now();
        consensus::Actions actions;
        node_->leave(leaving_since_, &actions);
        carry_out(actions);
    }

    bool may_end(Micros now) const {
        const Micros since = now - leaving_since_;
        if (since < kLeaveLeast) return false;
        return node_->may_end() || since >= kLeaveMost;
    }

    void end() {
        consensus::Actions actions;
        node_->left(pith::mono_now(), &actions);
        carry_out(actions);
        auto timer = std::make_shared<asio::steady_timer>(control_->io, std::chrono::milliseconds(50));
        timer->async_wait([this, timer](boost::system::error_code) {
            log_event(Level::info, "stopped", {});
            control_->io.stop();
        });
    }

    void carry_out(consensus::Actions& actions) {
        control_->send(actions.out);
        for (auto& job : actions.saves) writer_->save(std::move(job));
        for (auto& epoch : actions.epochs) writer_->save_epoch(std::move(epoch));
        for (const auto& answer : actions.answers) reply(answer);
    }

    void reply(const consensus::Answer& answer) {
        const auto i = asked_.find(answer.op);
        if (i == asked_.end()) return;
        const auto reply = std::move(i->second);
        asked_.erase(i);
        if (!answer.result) {
            log_event(Level::warn, "push_refused",
                      {{"kind", pith::kind_text(answer.result.error().kind)},
                       {"why", answer.result.error().message}});
            reply(weft::error_answer(answer.result.error()));
            return;
        }
        if (answer.text) {
            reply(weft::json_answer(200, *answer.text + "\n"));
            return;
        }
        log_event(Level::info, "acknowledged", {{"number", *answer.result}});
        const json::object body{{"acknowledged", *answer.result},
                                {"standing", std::max(answer.standing, *answer.result)},
                                {"hash", answer.hash}};
        reply(weft::json_answer(200, json::serialize(body) + "\n"));
    }

    // What each control node holds, as the last survey found; only the node that proposes has one.
    json::array survey() const {
        const auto& control = node_->control();
        json::array nodes;
        for (const auto& s : control.surveyed()) {
            const bool votes = consensus::is_voter(control.decided().voters, s.first, s.second.disk);
            nodes.push_back(json::object{
                {"name", s.first},
                {"disk", s.second.disk},
                {"votes", votes},
                {"writable", s.second.writable != 0},
                {"revision", s.second.revision},
                {"behind",
                 control.decided().revision - std::min(control.decided().revision, s.second.revision)}});
        }
        return nodes;
    }

    json::object status() const {
        json::object o = members_json(node_->knell());
        const auto& control = node_->control();
        const auto& decided = control.decided();
        o["name"] = settings_.name;
        o["role"] = "keeper";
        o["locality"] = settings_.locality;
        o["version"] = MS_VERSION;
        o["incarnation"] = node_->knell().inc();
        o["bundle"] = decided.number;
        o["hash"] = decided.hash;
        o["revision"] = decided.revision;
        o["epoch"] = decided.epoch;
        o["ready"] = ready();
        o["voting"] = control.voter() && control.acceptor().writable();
        o["spare"] = control.known() && !control.voter();
        o["proposer"] = control.proposer();
        o["disk"] = control.acceptor().writable() ? "well" : "failed";
        o["disk_id"] = control.acceptor().durable().disk;
        o["pushes"] = control.pending();
        json::array voters, joining;
        for (const auto& v : decided.voters)
            voters.push_back(json::object{{"name", v.name}, {"disk", v.disk}});
        for (const auto& v : decided.joining)
            joining.push_back(json::object{{"name", v.name}, {"disk", v.disk}});
        json::array names;
        for (const auto& v : decided.voters) names.emplace_back(v.name);
        o["electorate"] = json::object{{"members", names},
                                       {"voters", voters},
                                       {"joining", joining},
                                       {"listed", !settings_.keepers.empty()},
                                       {"founded", control.known()}};
        json::array recent;
        for (const auto& r : decided.recent)
            recent.push_back(json::object{{"number", r.number}, {"fingerprint", r.fingerprint}});
        o["recent"] = recent;
        o["survey"] = survey();
        o["feed_place"] = node_->feed().place();
        json::array marks;
        for (const auto& mark : node_->marks())
            marks.push_back(json::object{{"server", mark.first}, {"mark", mark.second.text}});
        o["marks"] = marks;
        return o;
    }

    bool ready() const { return node_->control().known() && node_->control().acceptor().writable(); }

    void desk() {
        auto& d = control_->desk;
        d.on("GET", "/ready", [this](const weft::Ask&, weft::Desk::Reply r) {
            r(weft::json_answer(ready() ? 200 : 503, ready() ? "{\"ready\":true}\n" : "{\"ready\":false}\n"));
        });
        d.on("GET", "/v1/status", [this](const weft::Ask&, weft::Desk::Reply r) {
            r(weft::json_answer(200, json::serialize(status()) + "\n"));
        });
        d.on("GET", "/v1/bundle", [this](const weft::Ask&, weft::Desk::Reply r) {
            const auto op = ++op_;
            asked_[op] = std::move(r);
            consensus::Actions actions;
            node_->read(pith::mono_now(), op, &actions);
            carry_out(actions);
        });
        d.on("POST", "/v1/bundle", [this](const weft::Ask& q, weft::Desk::Reply r) {
            const auto op = ++op_;
            asked_[op] = std::move(r);
            consensus::Actions actions;
            node_->order(pith::mono_now(), op, q.body(), &actions);
            carry_out(actions);
        });
        d.on("POST", "/v1/mark", [this](const weft::Ask& q, weft::Desk::Reply r) {
            if (!may_change(settings_, q, r)) return;
            const std::string s = query(q, "server"), m = query(q, "mark");
            if (!pith::address_ok(s) || (m != "drain" && m != "serve")) {
                r(weft::error_answer({Kind::bad_visit, "give server=IP:PORT and mark=drain or mark=serve"}));
                return;
            }
            consensus::Actions actions;
            node_->mark(pith::mono_now(), s, m == "drain", &actions);
            carry_out(actions);
            log_event(Level::info, "server_marked", {{"server", s}, {"mark", m}});
            r(weft::json_answer(200, "{\"marked\":\"" + s + "\"}\n"));
        });
        d.on("GET", "/metrics", [this](const weft::Ask&, weft::Desk::Reply r) {
            MetricsText m;
            const auto& control = node_->control();
            const auto& decided = control.decided();
            const auto& l = control_->link.tally();
            m.add("ready", "gauge", "1 while the voters are known and this node's disk takes writes", "",
                  ready() ? 1 : 0);
            m.add("bundle_number", "gauge", "bundle that is decided", "",
                  static_cast<double>(decided.number));
            m.add("control_revision", "gauge", "decided revision of the control state", "",
                  static_cast<double>(decided.revision));
            m.add("control_epoch", "gauge", "epoch of the voters' membership", "",
                  static_cast<double>(decided.epoch));
            m.add("voting", "gauge", "1 while this node votes", "", control.voter() ? 1 : 0);
            m.add("disk_ok", "gauge", "0 while the disk takes no writes", "",
                  control.acceptor().writable() ? 1 : 0);
            m.add("pushes", "gauge", "orders and reads under way", "",
                  static_cast<double>(control.pending()));
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
    pith::Settings settings_;
    bool wait_for_disk_;
    consensus::Storage storage_;
    std::shared_ptr<Control> control_;
    std::unique_ptr<consensus::ControlNode> node_;
    std::unique_ptr<DiskWriter> writer_;
    std::unique_ptr<asio::steady_timer> tick_;
    std::map<std::uint64_t, weft::Desk::Reply> asked_;
    std::uint64_t op_ = 0;
    std::uint64_t epoch_ = 0, number_ = 0;  // as logged last
    Micros leaving_since_ = 0;              // 0: no stop was asked for
};

}  // namespace

std::shared_ptr<Daemon> make_keeper(pith::Kernel& k, const pith::Settings& s, bool wait_for_disk) {
    return std::make_shared<ControlDaemon>(k, s, wait_for_disk);
}

int run_keeper(const pith::Settings& s) {
    pith::Kernel k;
    return run_daemon(k, std::make_shared<Control>(s), "keeper",
                      std::make_shared<ControlDaemon>(k, s, false));
}

}  // namespace span
