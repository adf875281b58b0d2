#include "pith/flags.hpp"

#include <gflags/gflags.h>

#include <algorithm>

namespace pith {

Result<std::vector<std::string>> take_flags(const std::vector<std::string>& args,
                                            const std::vector<std::string>& known) {
    std::vector<std::string> rest;
    for (std::size_t i = 0; i < args.size(); ++i) {
        const std::string& a = args[i];
        if (a.size() < 3 || a.compare(0, 2, "--") != 0) {
            rest.push_back(a);
            continue;
        }
        auto e = a.find('=');
        std::string n = a.substr(2, e == std::string::npos ? e : e - 2);
        std::replace(n.begin(), n.end(), '-', '_');
        gflags::CommandLineFlagInfo in;
        if (std::find(known.begin(), known.end(), n) == known.end() ||
            !gflags::GetCommandLineFlagInfo(n.c_str(), &in))
            return fail(Kind::settings_wrong, "flag --" + n + " is not known here: see --help");
        std::string v;
        if (e != std::string::npos)
            v = a.substr(e + 1);
        else if (in.type == "bool")
            v = "true";
        else if (i + 1 < args.size())
            v = args[++i];
        else
            return fail(Kind::settings_wrong, "flag --" + n + " needs a value: write --" + n + "=VALUE");
        if (gflags::SetCommandLineOption(n.c_str(), v.c_str()).empty())
            return fail(Kind::settings_wrong, "flag --" + n + " can't be \"" + v + "\": it takes " + in.type);
    }
    return rest;
}

std::string flag_help(const std::vector<std::string>& known) {
    std::string o;
    for (const auto& n : known) {
        gflags::CommandLineFlagInfo in;
        if (!gflags::GetCommandLineFlagInfo(n.c_str(), &in)) continue;
        o += "  --" + n + " (" + in.type + ")  " + in.description + "\n";
    }
    return o;
}

}  // namespace pith
