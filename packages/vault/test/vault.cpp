#define BOOST_TEST_MODULE vault_vault
#include "vault/vault.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include "pith/hash.hpp"
#include "vault/disk.hpp"
#include "vault/electorate.hpp"
#include "vault/feed.hpp"

using namespace vault;
using pith::kMilli;
using pith::kSecond;

namespace {

std::string pk, sk;

std::string bundle(int n, const std::string& note) {
    if (pk.empty()) creed::keygen(&pk, &sk);
    const std::string t =
        R"({"number":)" + std::to_string(n) + R"(,"note":")" + note +
        R"(","services":[{"name":"s"}],"routes":[{"name":"r","path":"/r","methods":["GET"],"service":"s","kind":"read","timeout_ms":500}],"customers":[{"name":"c","allowance_per_s":5,"routes":["r"]}],"keys":[]})";
    return creed::sign(t, sk).value();
}

// Three keepers with instant disks and links; both can be broken.
struct Three {
    std::map<std::string, std::unique_ptr<Vault>> v;
    std::map<std::string, Held> disk;
    std::set<std::string> away, bad_disk, lost_said;
    std::map<std::uint64_t, std::string> answers;
    std::uint64_t nonce = 0;
    pith::Micros now = 0;
    bool acknowledge_old = false;
    std::map<std::string, int> texts;  // commits that carried the text, by whom they went to
    std::size_t state_texts = 0;       // states that did

    VaultConfig config(const std::string& n) {
        bundle(1, "");
        VaultConfig c;
        c.name = n;
        c.keepers = {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}};
        c.signers = {pk};
        c.acknowledge_old = acknowledge_old;
        return c;
    }
    void start(const std::string& n) {
        v[n] = std::make_unique<Vault>(config(n), disk[n], ++nonce);
        away.erase(n);
    }
    explicit Three(bool ack = false) : acknowledge_old(ack) {
        for (auto n : {"k1", "k2", "k3"}) start(n);
        run(kSecond);
    }
    void apply(const std::string& n, const Job& j) {
        Held& d = disk[n];
        if (j.what == Job::promise) d.promises[j.number] = j.hash;
        if (j.what == Job::commit && j.number > d.commit) {
            d.commit = j.number;
            d.hash = j.hash;
            d.text = j.text;
        }
        if (j.what == Job::found) {
            for (auto& p : j.promises) d.promises[p.number] = p.hash;
            d.founded = true;
        }
    }
    void act(const std::string& n, Acts a) {
        for (auto& x : a.answers)
            answers[x.op] =
                x.result ? "ok " + std::to_string(*x.result) : pith::kind_text(x.result.error().kind);
        for (auto& j : a.jobs) {
            const bool ok = bad_disk.count(n) == 0;
            if (ok) apply(n, j);
            Acts b;
            v[n]->wrote(now, j.token, ok, &b);
            act(n, std::move(b));
        }
        for (auto& s : a.out) {
            if (away.count(s.address) || away.count(n)) continue;
            if (std::holds_alternative<weft::StageSaid>(s.msg) && lost_said.count(n)) continue;
            if (const auto* c = std::get_if<weft::CommitAsk>(&s.msg))
                texts[s.address] += c->text.empty() ? 0 : 1;
            if (const auto* c = std::get_if<weft::StateSaid>(&s.msg)) state_texts += c->text.empty() ? 0 : 1;
            Acts b;
            v[s.address]->hear(now, weft::Envelope{n, 1, 0, s.msg}, &b);
            act(s.address, std::move(b));
        }
    }
    void push(const std::string& n, std::uint64_t op, const std::string& t) {
        Acts a;
        v[n]->push(now, op, t, &a);
        act(n, std::move(a));
    }
    void run(pith::Micros d) {
        for (const auto end = now + d; now < end; now += 100 * kMilli)
            for (auto& p : v) {
                if (away.count(p.first)) continue;
                Acts a;
                p.second->tick(now, &a);
                act(p.first, std::move(a));
            }
    }
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_push_is_acknowledged_and_every_keeper_commits) {
    Three t;
    t.push("k1", 1, bundle(1, "a"));
    BOOST_TEST(t.answers[1] == "ok 1");
    for (auto& p : t.disk) BOOST_TEST(p.second.commit == 1u);
    t.push("k2", 2, bundle(1, "a"));
    BOOST_TEST(t.answers[2] == "ok 1");
    t.push("k2", 3, bundle(1, "b"));
    BOOST_TEST(t.answers[3] == "bundle_old");
    t.push("k3", 4, bundle(7, "c"));
    BOOST_TEST(t.answers[4] == "ok 7");
    t.push("k3", 5, bundle(6, "c"));
    BOOST_TEST(t.answers[5] == "bundle_old");
}

BOOST_AUTO_TEST_CASE(a_lost_keeper_does_not_stop_or_lose_a_bundle) {
    Three t;
    t.away = {"k3"};
    t.push("k1", 1, bundle(1, "a"));
    BOOST_TEST(t.answers[1] == "ok 1");
    t.disk["k1"] = Held{};  // lost just after it said yes
    t.away = {"k1"};
    t.start("k3");
    t.run(6 * kSecond);
    BOOST_TEST(t.disk["k3"].commit == 1u);
}

BOOST_AUTO_TEST_CASE(without_a_majority_nothing_is_acknowledged) {
    Three t;
    t.away = {"k2", "k3"};
    t.push("k1", 1, bundle(1, "a"));
    t.run(4 * kSecond);
    BOOST_TEST(t.answers[1] == "outcome_unknown");
    t.away.clear();
    t.push("k1", 2, bundle(1, "a"));
    BOOST_TEST(t.answers[2] == "ok 1");
}

// k2 promised number 1 to one content, lost its disk, and must not promise it to another.
BOOST_AUTO_TEST_CASE(an_emptied_keeper_keeps_its_word) {
    Three t;
    t.lost_said = {"k2"};
    t.away = {"k3"};
    t.push("k1", 1, bundle(1, "a"));
    t.disk["k2"] = Held{};
    t.lost_said.clear();
    t.away = {"k1"};
    t.start("k2");
    t.start("k3");
    t.push("k3", 2, bundle(1, "b"));
    t.run(4 * kSecond);
    BOOST_TEST(t.answers[2] == "outcome_unknown");
    BOOST_TEST(!t.v["k2"]->voting());
    t.away.clear();
    t.run(2 * kSecond);
    BOOST_TEST(t.v["k2"]->voting());
    t.push("k3", 3, bundle(1, "b"));
    t.run(4 * kSecond);
    BOOST_TEST(t.answers[3] != "ok 1");
}

BOOST_AUTO_TEST_CASE(a_failed_sync_is_not_a_yes) {
    Three t;
    t.bad_disk = {"k1", "k2"};
    t.push("k3", 1, bundle(1, "a"));
    t.run(4 * kSecond);
    BOOST_TEST(t.answers[1] != "ok 1");
    BOOST_TEST(!t.v["k1"]->disk_ok());
    BOOST_TEST(t.disk["k1"].commit == 0u);
}

BOOST_AUTO_TEST_CASE(files_come_back_and_torn_ones_are_set_aside) {
    char f[] = "/tmp/ms-vault-XXXXXX";
    BOOST_REQUIRE(mkdtemp(f) != nullptr);
    const std::string dir = f;
    const std::string one = bundle(1, "a"), two = bundle(2, "b");
    const auto h1 = creed::read_signed(one, {pk})->bundle.hash,
               h2 = creed::read_signed(two, {pk})->bundle.hash;
    {
        Disk d(dir);
        auto h = d.open();
        BOOST_REQUIRE(h.has_value());
        BOOST_TEST(!h->founded);
        BOOST_TEST(d.next_incarnation() == 1u);
        Job j{Job::found, 1, 0, {}, {}, {}};
        BOOST_REQUIRE(d.carry_out(j).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::promise, 2, 1, h1, one, {}}).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::floor, 0, 9, "listing", "p4", {}}).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::commit, 3, 1, h1, one, {}}).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::commit, 4, 2, h2, two, {}}).has_value());
        // Another content was promised to an odd keeper's union; an electorate, learnt, and its vote.
        BOOST_REQUIRE(
            d.carry_out(Job{Job::propose, 5, 77, "k1", "adopted", {}, {{"k1", "a:1"}}}).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::withdraw, 6, 77, "k1", {}, {}, {}}).has_value());
        BOOST_REQUIRE(
            d.carry_out(Job{Job::elect, 7, 78, "k2", {}, {}, {{"k2", "a:2"}, {"k3", "a:3"}}}).has_value());
    }
    {
        std::ofstream o(dir + "/promises", std::ios::binary | std::ios::app);
        o << "p 9 torn";  // the power went as it was written
    }
    {
        std::ofstream o(dir + "/commit-00000000000000000002.json", std::ios::binary | std::ios::in);
        o.seekp(90);
        o << "torn";
    }
    Disk d(dir);
    auto h = d.open();
    BOOST_REQUIRE(h.has_value());
    BOOST_TEST(h->founded);
    BOOST_TEST(h->commit == 1u);
    BOOST_TEST(h->text == one);
    BOOST_TEST(h->promises.at(1) == h1);
    BOOST_TEST(h->promises.size() == 1u);
    BOOST_TEST(h->elected);
    BOOST_TEST(h->proposal.id == 78u);
    BOOST_TEST(h->proposal.founder == "k2");
    BOOST_TEST(h->proposal.members.at(1).name == "k3");
    BOOST_TEST(h->proposal.members.at(1).address == "a:3");
    BOOST_TEST(h->withdrawn.count(77) == 1u);
    BOOST_TEST(h->floors.at("listing").first == 9u);
    BOOST_TEST(h->floors.at("listing").second == "p4");
    BOOST_TEST(d.set_aside() == "commit-00000000000000000002.json.bad");
    BOOST_TEST(d.next_incarnation() == 2u);
    Disk e(dir);  // LMDB must not be opened twice: a second user is refused (own lock, other process)
    (void)e;
    BOOST_TEST(std::system(("rm -r " + dir).c_str()) == 0);
}

BOOST_AUTO_TEST_CASE(a_follower_starts_from_a_digest_and_follows) {
    Feed f(5);
    Follower w({{"k1", "k1"}}, kSecond);
    weft::Out o;
    w.tick(0, 0, &o);
    auto carry = [&](pith::Micros now) {
        weft::Out b;
        std::vector<weft::ChangeRec> v;
        for (auto& s : o)
            if (auto* q = std::get_if<weft::FeedAsk>(&s.msg)) {
                auto r = w.hear(now, weft::Envelope{"k1", 1, 0, f.answer(*q)}, &b);
                v.insert(v.end(), r.begin(), r.end());
            }
        o = b;
        return v;
    };
    f.add({0, kBundle, 3, "h", "t"});
    BOOST_TEST(carry(0).size() == 1u);
    BOOST_TEST(w.ready());
    f.add({0, kBundle, 4, "h", "t"});
    BOOST_TEST(w.hear(1, weft::Envelope{"k1", 1, 0, f.news()}, &o).size() == 1u);
    f.add({0, kBundle, 5, "h", "t"});
    f.add({0, kBundle, 6, "h", "t"});
    BOOST_TEST(w.hear(2, weft::Envelope{"k1", 1, 0, f.news()}, &o).empty());  // a gap is noticed
    BOOST_TEST(carry(3).size() == 2u);
}

// A damaged line that is not the last one is no torn write: what was promised is not known any more.
BOOST_AUTO_TEST_CASE(a_damaged_journal_is_refused_and_an_old_promise_let_go) {
    char f[] = "/tmp/ms-vault-XXXXXX";
    BOOST_REQUIRE(mkdtemp(f) != nullptr);
    const std::string dir = f;
    const auto h1 = std::string(64, 'a');
    {
        Disk d(dir);
        BOOST_REQUIRE(d.open().has_value());
        for (std::uint64_t n = 1; n <= 60; ++n)
            BOOST_REQUIRE(d.carry_out(Job{Job::promise, n, n, h1, {}, {}}).has_value());
        BOOST_REQUIRE(d.carry_out(Job{Job::commit, 99, 50, h1, "t", {}}).has_value());
    }
    {
        Disk d(dir);
        auto h = d.open();
        BOOST_REQUIRE(h.has_value());
        BOOST_TEST(h->promises.size() == 27u);  // 16 below the commit, it, and those above
        BOOST_TEST(h->promises.count(60) == 1u);
        BOOST_TEST(h->below == 34u);
    }
    {
        std::fstream o(dir + "/promises", std::ios::binary | std::ios::in | std::ios::out);
        o.seekp(5);
        o << "X";
    }
    Disk d(dir);
    auto h = d.open();
    BOOST_REQUIRE(!h.has_value());
    BOOST_TEST(h.error().message.find("begins as an emptied one") != std::string::npos);
    BOOST_TEST(std::system(("rm -r " + dir).c_str()) == 0);
}

// Numbers let go are not promised again, also where the commit's own file was lost (docs/design.md 5.3).
BOOST_AUTO_TEST_CASE(a_number_let_go_is_never_promised_again) {
    Three t;
    for (int n = 1; n <= 40; ++n) t.push("k1", static_cast<std::uint64_t>(n), bundle(n, "a"));
    BOOST_TEST(t.answers[40] == "ok 40");
    for (auto& v : t.v) BOOST_TEST(v.second->promises().size() == 17u);
    Held h;
    h.founded = true;
    h.below = 24;
    Vault v(t.config("k1"), h, 9);
    Acts a;
    v.hear(0,
           weft::Envelope{"k2", 1, 0,
                          weft::StageAsk{1, 23, creed::read_signed(bundle(23, "b"), {pk})->bundle.hash,
                                         bundle(23, "b")}},
           &a);
    BOOST_TEST(a.jobs.empty());
    BOOST_REQUIRE(a.out.size() == 1u);
    BOOST_TEST(std::get<weft::StageSaid>(a.out[0].msg).ok == 0);
}

BOOST_AUTO_TEST_CASE(old_numbers_are_acknowledged_where_settings_say_so) {
    Three t(true);
    t.push("k1", 1, bundle(7, "a"));
    BOOST_TEST(t.answers[1] == "ok 7");
    t.push("k2", 2, bundle(6, "b"));
    BOOST_TEST(t.answers[2] == "ok 7");
    t.push("k3", 3, bundle(7, "another"));
    BOOST_TEST(t.answers[3] == "ok 7");
    for (auto& d : t.disk) BOOST_TEST(d.second.text == bundle(7, "a"));
    // Not before a majority is known to hold what stands.
    t.away = {"k2", "k3"};
    t.push("k1", 4, bundle(5, "c"));
    BOOST_TEST(t.answers.count(4) == 0u);
    t.run(4 * kSecond);
    BOOST_TEST(t.answers[4] == "outcome_unknown");
}

// k1 was away as 9 came to stand; what it is handed then is overtaken, and ends acknowledged with 9.
BOOST_AUTO_TEST_CASE(a_push_overtaken_under_way_is_acknowledged) {
    Three t(true);
    t.away = {"k1"};
    t.push("k2", 1, bundle(9, "high"));
    BOOST_TEST(t.answers[1] == "ok 9");
    t.away.clear();
    t.push("k1", 2, bundle(8, "low"));
    t.run(kSecond);
    BOOST_TEST(t.answers[2] == "ok 9");
    BOOST_TEST(t.disk["k1"].commit == 9u);
    Three u;  // refused, as ever, without that setting
    u.away = {"k1"};
    u.push("k2", 1, bundle(9, "high"));
    u.away.clear();
    u.push("k1", 2, bundle(8, "low"));
    u.run(kSecond);
    BOOST_TEST(u.answers[2] == "bundle_taken");
}

// Two contents of a number: the loser waits for the winner; where none wins it is refused in the end.
BOOST_AUTO_TEST_CASE(the_loser_of_a_race_is_acknowledged_with_the_winner) {
    for (bool wins : {true, false}) {
        Three t(true);
        // k1 and k2 have promised 5 to "a", whose coordinator k1 did not hear k2.
        t.lost_said = {"k2", "k3"};
        t.away = {"k3"};
        t.push("k1", 1, bundle(5, "a"));
        t.away = wins ? std::set<std::string>{} : std::set<std::string>{"k1"};
        t.lost_said = {};
        t.push("k3", 2, bundle(5, "b"));
        BOOST_TEST(t.answers.count(2) == 0u);
        if (!wins) t.away = {"k1"};
        t.run(4 * kSecond);
        BOOST_TEST(t.answers[2] == (wins ? "ok 5" : "outcome_unknown"));
        if (wins) BOOST_TEST(t.answers[1] == "ok 5");
        if (wins)
            for (auto& d : t.disk) BOOST_TEST(d.second.text == bundle(5, "a"));
    }
    Three t(true);  // three contents over three keepers: none can win
    t.away = {"k1", "k2", "k3"};
    t.push("k1", 1, bundle(5, "a"));
    t.push("k2", 2, bundle(5, "b"));
    t.push("k3", 3, bundle(5, "c"));
    t.away.clear();
    t.run(4 * kSecond);
    for (std::uint64_t i = 1; i <= 3; ++i) BOOST_TEST(t.answers[i] == "bundle_taken");
}

// The text goes to each keeper once, as it is staged; a keeper that lost it since asks.
BOOST_AUTO_TEST_CASE(a_text_is_told_once) {
    Three t;
    t.push("k1", 1, bundle(1, "a"));
    t.run(10 * kSecond);
    BOOST_TEST(t.texts["k2"] == 0);
    BOOST_TEST(t.texts["k3"] == 1);  // here the commit comes to it before the stage: it asks
    BOOST_TEST(t.state_texts == 0u);
    t.away = {"k3"};
    t.push("k1", 2, bundle(2, "b"));
    t.run(kSecond);
    t.away.clear();
    t.run(10 * kSecond);
    BOOST_TEST(t.disk["k3"].commit == 2u);
    BOOST_TEST(t.state_texts == 1u);
    Held h = t.disk["k2"];
    h.promises[3] = "x";
    Vault v(t.config("k2"), h, 99);
    Acts a;
    v.hear(0, weft::Envelope{"k1", 1, 0, weft::CommitAsk{4, 3, "x", ""}}, &a);
    BOOST_REQUIRE(a.out.size() == 1u);
    BOOST_TEST(std::get<weft::CommitSaid>(a.out[0].msg).why == "text");
    BOOST_TEST(a.jobs.empty());
}

namespace {

// Keepers that find each other, and a proxy on the seed's machine, with instant disks and links.
struct Field {
    std::map<std::string, std::unique_ptr<knell::Knell>> k;
    std::map<std::string, std::unique_ptr<Electorate>> e;
    std::map<std::string, Held> disk;
    std::map<std::string, bool> first;
    std::set<std::string> away;
    std::set<std::set<std::string>> founded;
    std::uint64_t life = 0;
    pith::Micros now = 0;
    void start(const std::string& n, bool first_start) {
        knell::Config c;
        c.name = c.address = n;
        c.role = n[0] == 'k' ? "keeper" : "proxy";
        c.seeds = {"p1"};
        c.inc = ++life;
        k[n] = std::make_unique<knell::Knell>(c);
        if (n[0] == 'k')
            e[n] = std::make_unique<Electorate>(Electorate::Config{n, n, {"p1"}, first_start}, disk[n], life);
    }
    void act(const std::string& n, const Acts& a) {
        for (const auto& j : a.jobs) {
            vault::apply(j, &disk[n]);
            e[n]->wrote(j.token, true);
            std::set<std::string> v;
            for (const auto& m : j.electors) v.insert(m.name);
            if (j.what == Job::elect) founded.insert(v);
        }
        for (const auto& s : a.out) {
            if (away.count(n) || away.count(s.address) || !k.count(s.address)) continue;
            hear(s.address, weft::Envelope{n, k[n]->inc(), 0, s.msg});
        }
    }
    void hear(const std::string& n, const weft::Envelope& m) {
        Acts a;
        k[n]->hear(now, m, &a.out);
        if (const auto* q = std::get_if<weft::StateAsk>(&m.msg)) {
            weft::StateSaid r;
            r.nonce = q->nonce;
            if (e.count(n))
                e[n]->fill(now, *k[n], &r);
            else
                for (const auto& p : keepers_known(*k[n], now, kSecond * 30)) r.keepers.push_back(p.first);
            a.out.push_back({m.from, r});
        } else if (e.count(n)) {
            e[n]->hear(now, m, *k[n], &a);
        }
        act(n, a);
    }
    void run(pith::Micros d) {
        for (const auto end = now + d; now < end; now += 50 * kMilli)
            for (auto& p : k) {
                if (away.count(p.first)) continue;
                Acts a;
                p.second->tick(now, &a.out);
                if (e.count(p.first)) e[p.first]->tick(now, *p.second, &a);
                act(p.first, a);
            }
    }
};
}  // namespace

BOOST_AUTO_TEST_CASE(keepers_found_one_electorate) {
    Field f;
    for (auto n : {"p1", "k1", "k2", "k3"}) f.start(n, true);
    f.run(1900 * kMilli);
    BOOST_TEST(f.founded.empty());
    f.run(kSecond);
    BOOST_TEST(f.founded.size() == 1u);
    BOOST_TEST(f.founded.begin()->size() == 3u);
    f.run(kSecond);
    for (auto& e : f.e) BOOST_TEST(e.second->founded());
    f.start("k4", true);  // later ones, and those emptied, learn it
    f.disk["k1"] = Held{};
    f.start("k1", true);
    f.run(6 * kSecond);
    for (auto& e : f.e) BOOST_TEST(e.second->founded());
    BOOST_TEST(f.founded.size() == 1u);
}

BOOST_AUTO_TEST_CASE(one_alone_founds_only_with_its_seeds_and_at_a_first_start) {
    Field f;
    f.start("k1", true);
    f.run(5 * kSecond);
    BOOST_TEST(f.founded.empty());
    f.start("p1", false);
    f.run(5 * kSecond);
    BOOST_TEST(f.founded.size() == 1u);
    Field g;
    g.start("k1", false);
    g.start("p1", false);
    g.run(20 * kSecond);
    BOOST_TEST(g.founded.empty());
}

// A proposal that was accepted stands until its founder withdrew it.
BOOST_AUTO_TEST_CASE(an_accepted_proposal_binds) {
    Field f;
    f.disk["k2"].proposal = Proposal{"k3", 5, {{"k2", "k2"}, {"k3", "k3"}, {"k9", "k9"}}, false};
    f.disk["k3"].proposal = f.disk["k2"].proposal;
    for (auto n : {"p1", "k1", "k2"}) f.start(n, true);
    f.run(60 * kSecond);  // k3 may have founded it
    BOOST_TEST(f.founded.empty());
    f.start("k3", true);  // it has not, and one that it named never came
    f.run(10 * kSecond);
    BOOST_TEST(f.founded.size() == 1u);
    BOOST_TEST(*f.founded.begin() == (std::set<std::string>{"k1", "k2", "k3"}));
    BOOST_TEST(f.disk["k3"].withdrawn.count(5) == 1u);
}

// A founder whose disk was emptied takes its own proposal over from those that hold it, and founds the same.
BOOST_AUTO_TEST_CASE(an_emptied_founder_takes_its_proposal_over) {
    Field f;
    const Proposal p{"k1", 5, {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}}, false};
    f.disk["k2"].proposal = f.disk["k3"].proposal = p;
    for (auto n : {"p1", "k1", "k2", "k3", "k4"}) f.start(n, true);
    f.run(10 * kSecond);
    BOOST_TEST(f.founded.size() == 1u);
    BOOST_TEST(*f.founded.begin() == (std::set<std::string>{"k1", "k2", "k3"}));
    for (auto& e : f.e) BOOST_TEST(e.second->held().id == 5u);
}

BOOST_AUTO_TEST_CASE(a_follower_learns_the_electorate_and_needs_its_majority) {
    Follower w({}, kSecond);
    weft::Out o;
    std::map<std::string, std::string> live{{"k1", "k1"}, {"k2", "k2"}, {"k4", "k4"}};
    w.roster(live);
    w.tick(0, 0, &o);
    BOOST_TEST(o.size() == 3u);
    BOOST_TEST(!w.ready());
    Feed f(5);
    auto say = [&](const std::string& n) {
        w.hear(0, weft::Envelope{n, 1, 0, f.answer(weft::FeedAsk{0, 0, 0})}, &o);
    };
    say("k4");
    BOOST_TEST(!w.ready());
    f.electors({{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}});
    say("k4");
    BOOST_TEST(w.electors().size() == 3u);
    say("k1");
    BOOST_TEST(!w.ready());  // a spare's digest does not count
    w.roster({{"k2", "elsewhere"}});
    say("k2");
    BOOST_TEST(w.ready());
    o.clear();
    // Of those called down electors are asked all the same: after a cut that word may be ours alone. The spare is not.
    w.tick(5 * kSecond, 0, &o);
    BOOST_REQUIRE(o.size() == 2u);
    BOOST_TEST(o[0].address == "k1");
    BOOST_TEST(o[1].address == "elsewhere");
}

// Holding one proposal, a keeper writes no other, and none that does not name it, or at no first start.
BOOST_AUTO_TEST_CASE(a_second_proposal_is_not_accepted) {
    knell::Knell k(knell::Config{});
    const std::vector<weft::ElectorRec> both{{"k1", "k1"}, {"k2", "k2"}};
    auto accepts = [&](const Held& h, bool first, const std::string& from, const std::string& me) {
        Electorate e(Electorate::Config{me, me, {"p1"}, first}, h, 1);
        Acts a;
        e.hear(0, weft::Envelope{from, 1, 0, weft::Propose{9, both}}, k, &a);
        return !a.jobs.empty();
    };
    Held other;
    other.proposal = Proposal{"k3", 5, {{"k2", "k2"}, {"k3", "k3"}}, false};
    Held founded = other;
    founded.elected = true;
    BOOST_TEST(accepts({}, true, "k1", "k2"));
    BOOST_TEST(!accepts(other, true, "k1", "k2"));
    BOOST_TEST(!accepts(founded, true, "k1", "k2"));
    BOOST_TEST(!accepts({}, false, "k1", "k2"));
    BOOST_TEST(!accepts({}, true, "k1", "k4"));
    BOOST_TEST(!accepts({}, true, "k4", "k2"));
}

// A seed is a witness: it must have us in its table, and name no keeper that we do not know.
BOOST_AUTO_TEST_CASE(a_founder_asks_its_seeds_who_else_is_there) {
    auto proposes = [](const std::vector<std::string>& named) {
        knell::Config c;
        c.name = c.address = "k1";
        c.role = "keeper";
        knell::Knell k(c);
        weft::Out o;
        weft::News n;
        n.members.push_back({"p1", "p1", "a", "proxy", 1, 0, 1, ""});
        k.hear(0, weft::Envelope{"p1", 1, 0, n}, &o);
        Electorate e(Electorate::Config{"k1", "k1", {"p1"}, true}, Held{}, 1);
        for (pith::Micros now = 0; now < 5 * kSecond; now += 100 * kMilli) {
            Acts a;
            weft::StateSaid r;
            r.nonce = 1;
            r.keepers = named;
            e.hear(now, weft::Envelope{"p1", 1, 0, r}, k, &a);
            e.tick(now, k, &a);
            if (!a.jobs.empty()) return true;
        }
        return false;
    };
    BOOST_TEST(proposes({"k1"}));
    BOOST_TEST(!proposes({"k1", "k2"}));
    BOOST_TEST(!proposes({}));
}
