// Long runs of the control model by hand: `control_model [--depth N] [--scenario NAME] [--states N] [--seeds
// N]
// [--first SEED] [--mutation NAME] [--verbose]`. `--depth`: schedules with so many deviations are searched;
// `--seeds`: so many random walks; `--verbose`: each event of a schedule that fails, or of the default one
// with `--depth 0`.
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "../test/model/catalogue.hpp"

using namespace consensus::model;

namespace {

struct Options {
    std::optional<unsigned> depth;  // none: no search
    std::uint64_t seeds = 0, first = 1, most_states = UINT64_MAX;
    std::string scenario, mutation;
    bool verbose = false;
};

Options read_options(int count, char** words) {
    Options options;
    for (int i = 1; i < count; ++i) {
        const std::string name = words[i];
        if (name == "--verbose") options.verbose = true;
        if (i + 1 >= count || name == "--verbose") continue;
        const std::string value = words[++i];
        if (name == "--depth") options.depth = static_cast<unsigned>(std::stoul(value));
        if (name == "--seeds") options.seeds = std::stoull(value);
        if (name == "--first") options.first = std::stoull(value);
        if (name == "--states") options.most_states = std::stoull(value);
        if (name == "--scenario") options.scenario = value;
        if (name == "--mutation") options.mutation = value;
    }
    return options;
}

void print(const Violation& violation) {
    std::cout << "VIOLATED " << name_of(violation.invariant) << ": " << violation.text << "\n";
}

bool search_all(const Options& options, const Fault& fault) {
    bool well = true;
    for (Scenario scenario : scenarios()) {
        if (!options.scenario.empty() && scenario.name != options.scenario) continue;
        fault.apply(&scenario.config);
        SearchBounds bounds;
        bounds.deviations = *options.depth;
        bounds.most_states = options.most_states;
        Search search(scenario, bounds);
        const auto finding = search.run();
        const auto& s = search.statistics();
        std::cout << scenario.name << ": states " << s.states << ", depth " << s.depth << ", paths "
                  << s.paths << ", deviations " << *options.depth
                  << (s.complete ? "" : " (ended by the limit of states)") << "\n";
        if (!finding && options.verbose && *options.depth == 0)
            Search::replay(scenario, Finding{}, bounds.quiet_checks, &std::cout);
        if (!finding) continue;
        well = false;
        print(finding->violation);
        for (const auto& d : finding->path)
            std::cout << "  step " << d.step << ": " << name_of(d.kind) << "\n";
        if (options.verbose) Search::replay(scenario, *finding, bounds.quiet_checks, &std::cout);
    }
    return well;
}

bool walk_all(const Options& options, const Fault& fault) {
    std::uint64_t violated = 0;
    for (std::uint64_t seed = options.first; seed < options.first + options.seeds; ++seed) {
        WalkConfig config = walk_config(seed);
        fault.apply(&config.world);
        const auto violation = Walk(config, seed).run();
        if (!violation) continue;
        ++violated;
        std::cout << "seed " << seed << ": ";
        print(*violation);
        if (options.verbose) Walk(config, seed).run(&std::cout);
        if (violated >= 10) break;
    }
    std::cout << "walks " << options.seeds << ", violated " << violated << "\n";
    return violated == 0;
}

}  // namespace

int main(int count, char** words) {
    const Options options = read_options(count, words);
    Fault fault;
    for (const auto& known : faults())
        if (known.name == options.mutation) fault = known;
    const bool searched = !options.depth || search_all(options, fault);
    const bool walked = options.seeds == 0 || walk_all(options, fault);
    return searched && walked ? EXIT_SUCCESS : EXIT_FAILURE;
}
