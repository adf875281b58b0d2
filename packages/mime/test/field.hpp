#pragma once
// A fleet of real processes for the tests of this folder, in a folder and at an address of its own.
#include <signal.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mime/fleet.hpp"
#include "pith/hash.hpp"
#include "weft/desk.hpp"

struct Field {
    std::string folder;
    std::unique_ptr<mime::Fleet> f;
    explicit Field(int proxies, bool start = true) {
        char t[] = "/tmp/ms-fleet-XXXXXX";
        folder = mkdtemp(t);
        mime::FleetPlan p;
        p.program = MS_PROGRAM;
        p.mime = MS_MIME;
        p.folder = folder;
        // An address of our own in the loopback net, so that two runs don't meet.
        const auto h = pith::hash64(folder);
        p.ip = "127." + std::to_string(1 + h % 250) + "." + std::to_string(1 + (h >> 8) % 250) + "." +
               std::to_string(1 + (h >> 16) % 250);
        p.proxies = proxies;
        f = std::make_unique<mime::Fleet>(p);
        BOOST_REQUIRE(f->prepare().has_value());
        if (!start) return;
        f->start_all();
        for (const auto& k : f->names("keeper"))
            BOOST_REQUIRE_MESSAGE(f->wait_line(k, {"event=membership", "voting=yes"}), k);
    }
    ~Field() {
        f.reset();
        if (std::getenv("MS_KEEP") == nullptr && std::system(("rm -rf " + folder).c_str()) != 0) return;
    }
    // The first bundle stands, and every proxy takes callers.
    void serve() {
        int code = 0;
        const std::string said = push(f->sign(f->sample_bundle(1)), &code);
        BOOST_REQUIRE_MESSAGE(code == 0, said);
        for (const auto& p : f->names("proxy")) BOOST_REQUIRE_MESSAGE(f->wait_line(p, {"event=ready"}), p);
    }
    std::string helm(std::vector<std::string> a, int* code) {
        std::vector<std::string> v{"helm"};
        v.insert(v.end(), a.begin(), a.end());
        std::string n;
        for (const auto& k : f->names("keeper")) n += f->desk(k) + ",";
        v.push_back("--nodes=" + n);
        v.push_back("--timeout_ms=20000");
        return f->run(v, code);
    }
    std::string push(const std::string& signed_text, int* code) {
        std::ofstream(folder + "/b.json") << signed_text;
        // What helm says to do where the outcome is unknown: push the same file again.
        std::string said = helm({"push", folder + "/b.json"}, code);
        for (int i = 0; i < 5 && *code == 5; ++i) said = helm({"push", folder + "/b.json"}, code);
        return said;
    }
    std::vector<std::string> all() {
        std::vector<std::string> v;
        for (const auto& p : f->names("proxy")) v.push_back(f->visits(p));
        return v;
    }
    std::map<std::string, std::uint64_t> ledger() {
        std::map<std::string, std::uint64_t> m;
        for (const auto& s : f->names("server")) {
            weft::Ask q{weft::http::verb::post, "/control", 11};
            q.body() = "{}";
            auto a = weft::call_blocking(f->server_address(s), q, 20 * pith::kSecond);
            if (!a) continue;
            const auto v = boost::json::parse(a->body());
            for (const auto& e : v.at("ledger").as_object())
                m[std::string(e.key())] += e.value().to_number<std::uint64_t>();
        }
        return m;
    }
    void control(const std::string& s, const std::string& body) {
        weft::Ask q{weft::http::verb::post, "/control", 11};
        q.body() = body;
        BOOST_REQUIRE(weft::call_blocking(f->server_address(s), q, 20 * pith::kSecond).has_value());
    }
};
