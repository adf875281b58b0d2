// The simulator's command line: hundreds of seeds, any scenario, any tuning (docs/proof.md).
#include <gflags/gflags.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "loom/capacity.hpp"
#include "loom/control_scenario.hpp"
#include "loom/figures.hpp"
#include "loom/scenario.hpp"
#include "pith/flags.hpp"

DEFINE_string(scenario, "all", "a scenario, several by commas, or all");
DEFINE_string(deployment, "both", "firm, foundation or both");
DEFINE_string(seeds, "1-5", "seeds, A-B");
DEFINE_bool(quiet, false, "only the sums and what is broken");
DEFINE_string(
    break_rule, "",
    "break a rule on purpose: writes, disk, partners, back, leaving, lie, retries, stale, address, well, "
    "swap, silent, deaf, hasty, founding, disk_for_life, deaf_control, never_replace, hasty_leave, "
    "skip_prepare, "
    "ignore_accepted, local_read, no_joint, ignore_disk_identity, numbers_only");
DEFINE_string(control, "", "only the control side's worst days: one of them, several by commas, or all");
DEFINE_string(tune, "", "name=value,… of the network: k4 k1 k3 k5 kf k6 head over least_pool wait_ms");
DEFINE_int32(counts_ms, 100, "how often partners tell their counts");
DEFINE_double(much, span::CoreTuning{}.much,
              "untold releases that are told at once, of a second's allowance");
DEFINE_string(
    figures, "",
    "only requests at the servers of one service: name=value,… of nodes servers load cadence_ms even slow "
    "grey cold run_s, and of the pool: peer_weight peer_ms zone sticky subset jitter extra slack");
DEFINE_string(
    capacity, "",
    "only what nodes cost: name=value,… of nodes keepers tenants routes servers services rate patterns "
    "events run_s; one name may have several values, as nodes=15:50:100, and is fitted over them");
DEFINE_int32(threads, 8, "runs at a time");

namespace {

const std::vector<std::string> kFlags = {"scenario",   "deployment", "seeds",    "quiet",
                                         "break_rule", "control",    "tune",     "counts_ms",
                                         "much",       "figures",    "capacity", "threads"};

std::vector<std::string> split(const std::string& s) {
    std::vector<std::string> v;
    std::string w;
    for (char c : s + ",") {
        if (c != ',') {
            w += c;
        } else {
            if (!w.empty()) v.push_back(w);
            w.clear();
        }
    }
    return v;
}

bool tune(const std::string& s, tide::Tuning* t) {
    for (const auto& e : split(s)) {
        const auto i = e.find('=');
        if (i == std::string::npos) return false;
        const std::string k = e.substr(0, i);
        const double v = std::atof(e.substr(i + 1).c_str());
        if (k == "k4")
            t->k4 = v;
        else if (k == "k1")
            t->k1 = v;
        else if (k == "k3")
            t->k3 = v;
        else if (k == "k5")
            t->k5 = v;
        else if (k == "kf")
            t->kf = v;
        else if (k == "k6")
            t->k6 = v;
        else if (k == "head")
            t->head = v;
        else if (k == "over")  // below 0: the deployment's tolerance is not used
            t->over = v;
        else if (k == "least_pool")
            t->least_pool = v;
        else if (k == "wait_ms")
            t->wait = static_cast<pith::Micros>(v) * pith::kMilli;
        else
            return false;
    }
    return true;
}

bool yard(const std::string& s, loom::Yard* y, span::PoolTuning* t) {
    for (const auto& e : split(s)) {
        const auto i = e.find('=');
        if (i == std::string::npos) return false;
        const std::string k = e.substr(0, i);
        const double v = std::atof(e.substr(i + 1).c_str());
        const std::pair<const char*, double*> real[] = {
            {"load", &y->load},        {"even", &y->even},     {"peer_weight", &t->peer_weight},
            {"zone", &t->zone},        {"sticky", &t->sticky}, {"jitter", &t->jitter},
            {"slack", &t->fleet_slack}};
        const std::pair<const char*, int*> whole[] = {{"nodes", &y->nodes},
                                                      {"servers", &y->servers},
                                                      {"slow", &y->slow},
                                                      {"grey", &y->grey},
                                                      {"cold", &y->cold}};
        bool known = true;
        if (k == "cadence_ms")
            y->cadence = static_cast<pith::Micros>(v) * pith::kMilli;
        else if (k == "run_s")
            y->run = static_cast<pith::Micros>(v) * pith::kSecond;
        else if (k == "peer_ms")
            t->peer_keep = static_cast<pith::Micros>(v) * pith::kMilli;
        else if (k == "subset")
            t->subset = static_cast<std::size_t>(v);
        else if (k == "extra")
            t->extra = static_cast<std::size_t>(v);
        else
            known = false;
        for (const auto& r : real)
            if (k == r.first) *r.second = v, known = true;
        for (const auto& w : whole)
            if (k == w.first) *w.second = static_cast<int>(v), known = true;
        if (!known) return false;
    }
    return true;
}

// Runs one load, or one for each value of the name that has several; prints all costs, and fits.
bool capacities(const std::string& s, std::uint64_t from, std::uint64_t to) {
    std::string head, name;
    std::vector<std::string> values{""};
    for (const auto& e : split(s)) {
        const auto i = e.find('=');
        if (i == std::string::npos || e.find(':', i) == std::string::npos) {
            head += e + ",";
            continue;
        }
        if (!name.empty()) return false;  // one name only has several values
        name = e.substr(0, i);
        values.clear();
        for (std::size_t at = i + 1; at <= e.size();) {
            const auto end = std::min(e.find(':', at), e.size());
            values.push_back(e.substr(at, end - at));
            at = end + 1;
        }
    }
    std::map<std::string, std::multimap<double, double>> points;
    for (const auto& v : values) {
        loom::Load l;
        const std::string all = head + (name.empty() ? "" : name + "=" + v);
        if (!loom::load_from(all, &l)) return false;
        for (auto seed = from; seed <= to; ++seed) {
            const auto costs = loom::capacity(l, seed);
            for (const auto& c : costs) {
                std::cout << all << " seed=" << seed << " " << c.first << "=" << c.second << "\n";
                points[c.first].emplace(std::atof(v.c_str()), c.second);
            }
            std::cout.flush();
        }
    }
    for (const auto& p : points) {
        if (name.empty() || values.size() < 3) break;
        const auto f = loom::fit(p.second);
        std::cout << "fit " << name << " " << p.first << " a=" << f.a << " b=" << f.b
                  << " b_error=" << f.b_error << " residual=" << f.residual << " power=" << f.power
                  << " power_error=" << f.power_error << " points=" << f.n << "\n";
    }
    return true;
}

// The control side's scenarios: one line a run.
int control_days(const std::string& which, std::uint64_t from, std::uint64_t to, const loom::Breaks& breaks) {
    const auto names = which == "all" ? loom::control_scenarios() : split(which);
    std::vector<std::pair<std::string, std::uint64_t>> jobs;
    for (const auto& name : names)
        for (auto seed = from; seed <= to; ++seed) jobs.emplace_back(name, seed);
    std::vector<loom::ControlResult> results(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < std::max(1, std::min(FLAGS_threads, 64)); ++i)
        threads.emplace_back([&] {
            for (std::size_t k = next++; k < jobs.size(); k = next++)
                results[k] = loom::run_control(jobs[k].first, jobs[k].second, breaks);
        });
    for (auto& thread : threads) thread.join();
    std::size_t broken = 0;
    for (const auto& result : results) {
        if (!FLAGS_quiet || !result.faults.empty()) std::cout << result.line() << "\n";
        broken += result.faults.empty() ? 0 : 1;
    }
    std::cout << results.size() << " runs, " << broken << " broken\n";
    return broken == 0 ? 0 : 1;
}

struct Sum {
    double worst = 0, retry = 0, worst_ref = 0, worst_cut = 0;  // of one run
    std::uint64_t worst_seed = 0, frames = 0, sessions = 0, probes = 0, offered = 0, refused = 0, cut = 0,
                  n = 0, broken = 0, unknown = 0, unserved = 0, perfect = 0;
    pith::Micros p50 = 0, p99 = 0, wait = 0, ref = 0;

    void add(const loom::Result& r) {
        if (r.sums.worst5 > worst) {
            worst = r.sums.worst5;
            worst_seed = r.seed;
        }
        retry = std::max(retry, r.sums.retry10);
        const double all = 1e-4 * std::max(1.0, static_cast<double>(r.sums.offered));
        worst_ref = std::max(worst_ref, static_cast<double>(r.sums.proper_refused) / all);
        worst_cut = std::max(worst_cut, static_cast<double>(r.sums.cut_refused) / all);
        frames += r.frames;
        sessions += r.sessions;
        probes += r.probes;
        offered += r.sums.offered;
        refused += r.sums.proper_refused;
        perfect += r.sums.ref_refused;
        cut += r.sums.cut_refused;
        unserved += r.sums.unserved;
        unknown += r.sums.unknown;
        p50 = std::max(p50, r.sums.p50);
        p99 = std::max(p99, r.sums.p99);
        wait = std::max(wait, r.sums.wait99);
        ref = std::max(ref, r.sums.ref99);
        ++n;
        broken += r.faults.empty() ? 0 : 1;
    }
    void print(const std::string& name) const {
        const auto of = [this](std::uint64_t x) {
            return 1e4 * static_cast<double>(x) / std::max(1.0, static_cast<double>(offered));
        };
        const auto ms = [](pith::Micros t) { return static_cast<long long>(t / 1000); };
        const auto each = [this](std::uint64_t x) { return static_cast<unsigned long long>(x / n); };
        char l[320];
        std::snprintf(
            l, sizeof l,
            "%-24s %4llu %3llu   %.3f (%llu) %9.2f %8.2f %8.2f %8.2f %8.2f  %5.1f %5lld %5lld %5lld "
            "%5lld %8llu %6llu %6llu  %.1f %.1f\n",
            name.c_str(), static_cast<unsigned long long>(n), static_cast<unsigned long long>(broken), worst,
            static_cast<unsigned long long>(worst_seed), of(refused), of(perfect), of(cut), of(unserved),
            of(unknown), retry, ms(p50), ms(p99), ms(wait), ms(ref), each(frames), each(sessions),
            each(probes), worst_ref, worst_cut);
        std::cout << l;
    }
};

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> args(argv + 1, argv + argc);
    if (!args.empty() && args[0] == "--help") {
        std::cout << "usage: loom [FLAGS]\n\n" << pith::flag_help(kFlags) << "\nscenarios:";
        for (const auto& s : loom::scenarios()) std::cout << " " << s;
        std::cout << "\ncontrol scenarios:";
        for (const auto& s : loom::control_scenarios()) std::cout << " " << s;
        std::cout << "\n";
        return 0;
    }
    auto rest = pith::take_flags(args, kFlags);
    tide::Tuning t;
    if (!rest || !rest->empty() || !tune(FLAGS_tune, &t)) {
        std::cerr << "loom: " << (rest ? "wrong arguments: see --help" : rest.error().message) << "\n";
        return 2;
    }
    loom::Breaks b;
    span::CoreTuning ct;
    ct.counts_every = std::max(1, FLAGS_counts_ms) * pith::kMilli;
    ct.much = FLAGS_much;
    const std::pair<const char*, bool*> br[] = {{"writes", &b.send_writes_twice},
                                                {"disk", &b.lying_disk},
                                                {"partners", &b.ignore_partners},
                                                {"back", &b.slip_back},
                                                {"leaving", &b.ignore_leaving},
                                                {"lie", &b.lie_not_run},
                                                {"retries", &b.unlimited_retries},
                                                {"stale", &b.stale_policy},
                                                {"address", &b.trust_address},
                                                {"well", &b.say_well},
                                                {"swap", &b.swap_answers},
                                                {"silent", &b.stay_silent},
                                                {"deaf", &b.deaf_feed},
                                                {"hasty", &b.hasty_stop},
                                                {"founding", &b.forget_founding},
                                                {"disk_for_life", &b.disk_failed_for_life},
                                                {"deaf_control", &b.deaf_control},
                                                {"never_replace", &b.never_replace},
                                                {"hasty_leave", &b.hasty_leave},
                                                {"skip_prepare", &b.control.skip_prepare},
                                                {"ignore_accepted", &b.control.ignore_accepted},
                                                {"local_read", &b.control.local_read},
                                                {"no_joint", &b.control.no_joint},
                                                {"ignore_disk_identity", &b.control.ignore_disk_identity},
                                                {"numbers_only", &b.control.numbers_only}};
    for (const auto& e : br)
        if (FLAGS_break_rule == e.first) *e.second = true;
    const auto dash = FLAGS_seeds.find('-');
    const auto from = std::strtoull(FLAGS_seeds.c_str(), nullptr, 10);
    const auto to =
        dash == std::string::npos ? from : std::strtoull(FLAGS_seeds.c_str() + dash + 1, nullptr, 10);
    if (!FLAGS_control.empty()) return control_days(FLAGS_control, from, to, b);
    if (!FLAGS_capacity.empty()) {
        if (capacities(FLAGS_capacity, from, to)) return 0;
        std::cerr << "loom: --capacity takes name=value,…: see --help\n";
        return 2;
    }
    if (!FLAGS_figures.empty()) {
        loom::Yard y;
        span::PoolTuning pt;
        if (!yard(FLAGS_figures, &y, &pt)) {
            std::cerr << "loom: --figures takes name=value,…: see --help\n";
            return 2;
        }
        for (auto i = from; i <= to; ++i)
            std::cout << "seed=" << i << " " << loom::figures(y, pt, i).line() << "\n";
        return 0;
    }
    struct Job {
        std::string s, d;
        std::uint64_t seed;
    };
    std::vector<Job> jobs;
    for (const auto& s : FLAGS_scenario == "all" ? loom::scenarios() : split(FLAGS_scenario))
        for (const auto& d : FLAGS_deployment == "both" ? std::vector<std::string>{"firm", "foundation"}
                                                        : split(FLAGS_deployment))
            for (auto i = from; i <= to; ++i) jobs.push_back({s, d, i});
    std::vector<std::string> out(jobs.size());
    std::vector<loom::Result> res(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> v;
    for (int i = 0; i < std::max(1, std::min(FLAGS_threads, 64)); ++i)
        v.emplace_back([&] {
            for (std::size_t k = next++; k < jobs.size(); k = next++)
                res[k] = loom::run(jobs[k].s, jobs[k].d, jobs[k].seed, t, ct, b);
        });
    for (auto& x : v) x.join();
    std::size_t broken = 0;
    std::map<std::string, Sum> sums;
    for (const auto& r : res) {
        if (!FLAGS_quiet || !r.faults.empty()) std::cout << r.line() << "\n";
        broken += r.faults.empty() ? 0 : 1;
        sums[r.scenario + " " + r.deployment].add(r);
    }
    std::cout
        << "of 10000 offered: refused (by a perfect gate), on nodes cut off, not served, unknown; waits p99\n"
        << "scenario deployment      runs broken worst5 (seed)  refused perfect  cut_off unserved unknown "
           "retry10 p50_ms p99_ms wait99 perfect99 frames sessions probes worst_run_refused "
           "worst_run_cut_off\n";
    for (const auto& p : sums) p.second.print(p.first);
    std::cout << res.size() << " runs, " << broken << " broken\n";
    return broken == 0 ? 0 : 1;
}
