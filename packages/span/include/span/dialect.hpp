#pragma once
// How requests and answers are spelled on the wire: names of header fields, statuses, and how a server shows who it
// is (docs/design.md 7.7). The default is the product's own interface, docs/api.md; a platform brings another.
#include <map>
#include <string>

#include "pith/error.hpp"

namespace span {

struct Dialect {
    std::string key = "Marble-Key", try_id = "Marble-Try", deadline = "Marble-Deadline-Ms",
                attempt = "Marble-Attempt", customer = "Marble-Customer", leaving = "Marble-Leaving";
    // Sent to a server, which turns the request away (421) where it is another one. Empty: each new connection is
    // proved by an exchange of its own instead.
    std::string expect;
    std::string not_run;  // in a server's answer: it did not run the request and never will
    std::string seal;     // a success without it is not the server's
    std::string server_id;
    bool echoes = false;       // every answer to a request that ran names the try
    bool strict = true;          // strict: heads that leave something out are refused
    bool fractions = false;          // Retry-After may have fractions of a second
    std::string list_target = "/v1/servers", page_query = "page",
                zone_query = "locality";
    std::map<pith::Kind, int> status;  // where it differs from pith::kind_status

    int status_of(pith::Kind k) const {
        const auto i = status.find(k);
        return i == status.end() ? pith::kind_status(k) : i->second;
    }
};

const Dialect& own_dialect();

}  // namespace span
