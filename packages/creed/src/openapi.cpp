#include "creed/openapi.hpp"

#include <boost/json.hpp>
#include <cctype>
#include <map>
#include <set>

#include "creed/bundle.hpp"

namespace creed {

namespace json = boost::json;
using pith::fail;
using pith::Kind;

namespace {

auto broken(const std::string& m) { return fail(Kind::bundle_broken, m); }

std::string plain(const std::string& s) {
    std::string o;
    for (unsigned char c : s) {
        if (std::isalnum(c) != 0)
            o += static_cast<char>(std::tolower(c));
        else if (!o.empty() && o.back() != '-')
            o += '-';
    }
    while (!o.empty() && o.back() == '-') o.pop_back();
    return o.substr(0, 56);
}

// "/bids/{id}" -> "/bids/*"; false where a segment is a template in part only.
bool pattern(const std::string& path, std::string* out) {
    out->clear();
    std::size_t i = 0;
    while (i < path.size()) {
        const auto e = std::min(path.find('/', i + 1), path.size());
        const std::string seg = path.substr(i + 1, e - i - 1);
        const bool whole = seg.size() > 2 && seg.front() == '{' && seg.find('}') == seg.size() - 1;
        if (!whole && seg.find_first_of("{}*") != std::string::npos) return false;
        if (!seg.empty() || path.size() == 1) *out += "/" + (whole ? std::string("*") : seg);
        i = e;
    }
    return !out->empty();
}

// The path of the first server's URL goes before all paths.
std::string base_of(const json::object& o) {
    const auto* s = o.if_contains("servers");
    const auto* a = s == nullptr ? nullptr : s->if_array();
    const auto* f = a == nullptr || a->empty() ? nullptr : (*a)[0].if_object();
    const auto* u = f == nullptr ? nullptr : f->if_contains("url");
    if (u == nullptr || !u->is_string()) return {};
    std::string url = u->get_string().c_str();
    const auto h = url.find("://");
    if (h != std::string::npos) {
        const auto p = url.find('/', h + 3);
        url = p == std::string::npos ? "" : url.substr(p);
    }
    while (!url.empty() && url.back() == '/') url.pop_back();
    return !url.empty() && url[0] == '/' ? url : std::string();
}

}  // namespace

pith::Result<std::string> routes_from_openapi(const std::string& text, const std::string& service,
                                              int timeout_ms) {
    if (text.size() > kMaxBundle) return broken("the document is over 8 MiB: split it");
    boost::system::error_code ec;
    const json::value v = parse_text(text, ec);
    const json::object* o = ec ? nullptr : v.if_object();
    if (o == nullptr) return broken("not a JSON object: YAML documents must be turned into JSON first");
    const auto* ver = o->if_contains("openapi");
    if (ver == nullptr || !ver->is_string() || ver->get_string().find("3.") != 0)
        return broken("/openapi: must be 3.x: bring the document up to OpenAPI 3");
    const auto* paths = o->if_contains("paths");
    if (paths == nullptr || !paths->is_object()) return broken("/paths: missing: add it");
    const std::string base = base_of(*o);
    static const std::pair<const char*, const char*> methods[] = {{"get", "GET"},     {"head", "HEAD"},
                                                                  {"post", "POST"},   {"put", "PUT"},
                                                                  {"patch", "PATCH"}, {"delete", "DELETE"}};
    json::array routes;
    std::set<std::string> names;
    std::map<std::string, std::string> shapes;
    for (const auto& p : paths->get_object()) {
        const std::string path(p.key());
        if (path.empty() || path[0] != '/') continue;  // extensions
        std::string pat;
        if (!pattern(base + path, &pat))
            return broken("/paths/" + path +
                          ": a segment must be plain or one whole {parameter}: change the path");
        const json::object* item = p.value().if_object();
        if (item == nullptr) return broken("/paths/" + path + ": must be an object");
        for (const auto& m : methods) {
            const auto* op = item->if_contains(m.first);
            if (op == nullptr) continue;
            if (!op->is_object()) return broken("/paths/" + path + "/" + m.first + ": must be an object");
            const std::string shape = std::string(m.second) + " " + pat;
            auto s = shapes.emplace(shape, path);
            if (!s.second)
                return broken("/paths/" + path + ": is the same route as " + s.first->second + " for " +
                              m.second + ": remove one");
            const auto* id = op->get_object().if_contains("operationId");
            std::string name = plain(id != nullptr && id->is_string() ? std::string(id->get_string().c_str())
                                                                      : std::string(m.first) + path);
            if (name.empty()) name = m.first;
            std::string once = name;
            for (int k = 2; !names.insert(once).second; ++k) once = name + "-" + std::to_string(k);
            const bool read = std::string(m.second) == "GET" || std::string(m.second) == "HEAD";
            routes.push_back(json::object{{"name", once},
                                          {"path", pat},
                                          {"methods", json::array{m.second}},
                                          {"service", service},
                                          {"kind", read ? "read" : "write"},
                                          {"timeout_ms", timeout_ms}});
        }
    }
    if (routes.empty()) return broken("/paths: holds no operation: nothing to import");
    return json::serialize(routes);
}

}  // namespace creed
