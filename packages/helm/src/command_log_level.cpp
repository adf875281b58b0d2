// log-level: of all nodes.
#include "commands.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

int run_log_level(const Arguments& arguments) {
    if (arguments.empty())
        return print_error({pith::Kind::settings_wrong, "log-level needs debug, info, warn or error"});
    auto session = Session::open();
    if (!session) return print_error(session.error());
    boost::json::array partial;
    const auto answers = session->ask(session->nodes(), "POST", "/v1/log-level?level=" + arguments[0]);
    return print_missing(answers, &partial);
}

}  // namespace helm
