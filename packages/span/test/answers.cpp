#define BOOST_TEST_MODULE span_answers
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_under_test.hpp"

// Whose answer goes where, and what is sent again: the rows of the table in docs/requests.md. Where a rule of
// the request path is what keeps a row true, the row is played once more without it and must come out wrong.

using namespace scripted;
using span::RequestRules;
namespace data = boost::unit_test::data;

namespace {

/// Bytes of a body that can't all lie between the gateway and a server that does not read.
constexpr std::size_t kMoreThanFits = 16 * 1024 * 1024;

using Rule = bool RequestRules::*;

RequestRules without(const std::vector<Rule>& rules) {
    RequestRules r;
    for (const Rule rule : rules) r.*rule = false;
    return r;
}

std::vector<Rule> all_but(const std::vector<Rule>& rules, Rule kept) {
    std::vector<Rule> others;
    for (const Rule rule : rules)
        if (rule != kept) others.push_back(rule);
    return others;
}

/// Reads the rest of the request and answers it whole with its own target.
bool serve(Connection& c, Request& q, const std::string& more = {}) {
    if (!c.read_body(&q)) return false;
    c.send(answer(200, q.field("Marble-Try"), "to " + q.field("Marble-Try"), more));
    return true;
}

std::string try_of(const Request& q) { return q.field("Marble-Try"); }

const Route kRoutes[] = {Route::read, Route::write};
const Speech kSpeeches[] = {Speech::expecting, Speech::proving};
std::ostream& print(std::ostream& o, bool first, const char* a, const char* b) {
    return o << (first ? a : b);
}

}  // namespace

namespace scripted {
std::ostream& operator<<(std::ostream& o, Route r) { return print(o, r == Route::read, "read", "write"); }
std::ostream& operator<<(std::ostream& o, Speech s) {
    return print(o, s == Speech::expecting, "expecting", "proving");
}
}  // namespace scripted

namespace {

/// A loss after the send: a read goes to another server, a write is told that it may have run.
void check_lost(Route route, const Told& told, Bed& bed, const std::string& kind = "answer_lost") {
    const int arrivals = bed.arrivals("t");
    if (route == Route::read) {
        BOOST_TEST(told.status == 200, told);
        BOOST_TEST(told.body == "to t");
        BOOST_TEST(arrivals == 2);
        return;
    }
    BOOST_TEST(told.status == (kind == "answer_late" ? 504 : 502), told);
    BOOST_TEST(told.kind == kind);
    BOOST_TEST(told.ran == "unknown");
    BOOST_TEST(arrivals == 1);
}

/// The first request is lost by `lose`; all later ones are served.
Script lose_first(std::function<void(Connection&, Request&)> lose) {
    return [lose = std::move(lose)](Connection& c, Request& q) {
        if (q.arrival > 0) return serve(c, q);
        lose(c, q);
        return false;
    };
}

}  // namespace

// ---- Resets and closes

BOOST_DATA_TEST_CASE(reset_before_the_send, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    const auto play = [&](const RequestRules& rules, bool reset) {
        Latch gone;
        Bed bed({speech, 1, kNoTimeout, true, 1, rules}, [&](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            serve(c, q);
            reset ? c.reset() : c.close();
            gone.open();
            return false;
        });
        Caller caller = bed.gateway->caller();
        BOOST_TEST(caller.ask(Route::read, "first").status == 200);
        gone.wait();
        const Told told = caller.ask(route, "t");
        BOOST_TEST(bed.arrivals("t") <= 1);
        return told.status == 200 && bed.arrivals("t") == 1 && bed.gateway->hall.tolls.own_retries == 0;
    };
    for (const bool reset : {true, false}) {
        BOOST_TEST(play({}, reset));
        BOOST_TEST(!play(without({&RequestRules::look_before_send}), reset));
    }
}

BOOST_DATA_TEST_CASE(reset_during_the_send, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    // The server reads the head alone.
    const std::string body(kMoreThanFits, 'x');
    Bed bed({speech}, lose_first([](Connection& c, Request&) { c.reset(); }));
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(route, "t", "", body));
    check_lost(route, caller.read(), bed);
}

BOOST_DATA_TEST_CASE(reset_after_the_send, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    const auto script = lose_first([](Connection& c, Request& q) {
        c.read_body(&q);
        c.reset();
    });
    Bed bed({speech}, script);
    Caller caller = bed.gateway->caller();
    check_lost(route, caller.ask(route, "t"), bed);
    if (route == Route::read) return;
    Setup broken{speech};
    broken.rules = without({&RequestRules::write_once});
    Bed twice(broken, script);
    Caller other = twice.gateway->caller();
    other.ask(route, "t");
    BOOST_TEST(twice.arrivals("t") == 2);
}

// A connection that the server forgot while it rested looks no different: what was sent on it may have run.
BOOST_DATA_TEST_CASE(reset_of_a_reused_connection, data::make(kRoutes) * data::make(kSpeeches), route,
                     speech) {
    for (const bool reset : {true, false}) {
        Bed bed({speech, 1}, [&](Connection& c, Request& q) {
            if (q.arrival != 1) return serve(c, q);
            BOOST_TEST(q.on_connection == 1);  // reused
            c.read_body(&q);
            if (reset) c.reset();
            return false;
        });
        Caller caller = bed.gateway->caller();
        BOOST_TEST(caller.ask(Route::read, "first").status == 200);
        check_lost(route, caller.ask(route, "t"), bed);
        BOOST_TEST(caller.ask(Route::read, "last").body == "to last");
    }
}

BOOST_DATA_TEST_CASE(close_after_the_send, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    Bed bed({speech}, lose_first([](Connection& c, Request& q) { c.read_body(&q); }));
    Caller caller = bed.gateway->caller();
    check_lost(route, caller.ask(route, "t"), bed);
}

// A server that says that it closes is taken at its word.
BOOST_AUTO_TEST_CASE(close_announced) {
    for (const std::string more : {"Connection: close\r\n", "Keep-Alive: timeout=1\r\n"}) {
        Bed bed({Speech::expecting, 1}, [&](Connection& c, Request& q) { return serve(c, q, more); });
        Caller caller = bed.gateway->caller();
        BOOST_TEST(caller.ask(Route::write, "t1").body == "to t1");
        BOOST_TEST(caller.ask(Route::write, "t2").body == "to t2");
        BOOST_TEST(bed.connection_of("t1") != bed.connection_of("t2"));
    }
}

// The server says no before it has read all, and closes: its word counts, where it names the try.
BOOST_AUTO_TEST_CASE(answer_before_the_request_was_written) {
    const std::string body(kMoreThanFits, 'x');
    for (const bool named : {true, false}) {
        Bed bed({Speech::expecting}, [&](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            c.send(not_run(503, named ? try_of(q) : ""));
            return false;  // with the body unread: a reset follows
        });
        Caller caller = bed.gateway->caller();
        caller.send(caller.request(Route::write, "t", "", body));
        const Told told = caller.read();
        BOOST_TEST(told.status == (named ? 200 : 502), told);
        BOOST_TEST(bed.arrivals("t") == (named ? 2 : 1));
    }
}

// ---- Silence

// A read has time left for another server where the timeout is one server's; else its caller is told.
BOOST_DATA_TEST_CASE(silence, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    constexpr int kTimeout = 500;
    const auto script = lose_first([](Connection& c, Request& q) {
        c.read_body(&q);
        c.wait_for_close();
    });
    Bed bed({speech, 2, kTimeout}, script);
    Caller caller = bed.gateway->caller();
    const Told told = caller.ask(route, "t");
    bed.server.wait_for_end(0);  // the gateway closed the connection
    if (route == Route::read && speech == Speech::expecting) {
        BOOST_TEST(told.status == 504, told);
        BOOST_TEST(told.ran == "unknown");
        BOOST_TEST(bed.arrivals("t") == 1);
        return;
    }
    check_lost(route, told, bed, "answer_late");
    if (route == Route::read || speech == Speech::expecting) return;
    Setup broken{speech, 2, kTimeout};
    broken.rules = without({&RequestRules::write_once});
    Bed twice(broken, script);
    Caller other = twice.gateway->caller();
    other.ask(route, "t");
    BOOST_TEST(twice.arrivals("t") == 2);
}

// The answer that was waited for in vain comes when another request is under way.
BOOST_AUTO_TEST_CASE(late_answer) {
    Latch told_late;
    Bed bed({Speech::expecting, 1, 500}, [&](Connection& c, Request& q) {
        if (q.arrival > 0) return serve(c, q);
        c.read_body(&q);
        told_late.wait();
        c.send(answer(200, "t1", "to t1"));
        return false;
    });
    Caller caller = bed.gateway->caller();
    const Told late = caller.ask(Route::write, "t1");
    BOOST_TEST(late.status == 504, late);
    BOOST_TEST(late.ran == "unknown");
    told_late.open();
    BOOST_TEST(caller.ask(Route::write, "t2").body == "to t2");
    BOOST_TEST(bed.connection_of("t2") == 1);
    BOOST_TEST(bed.arrivals("t1") == 1);
    BOOST_TEST(caller.unread() == 0u);
}

// ---- Answers that are not this request's

// More than the answer, in one piece with it. Any one of three rules keeps it from the next caller.
BOOST_DATA_TEST_CASE(surplus_answer, data::make(kRoutes), route) {
    const std::vector<Rule> layers = {&RequestRules::close_after_surplus, &RequestRules::look_before_send,
                                      &RequestRules::match_try_id};
    const auto play = [&](const RequestRules& rules) {
        Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            c.read_body(&q);
            const std::string whole = answer(200, try_of(q), "to " + try_of(q));
            c.send(whole + whole);
            return true;
        });
        Caller first = bed.gateway->caller(), second = bed.gateway->caller();
        BOOST_TEST(first.ask(Route::read, "t1").body == "to t1");
        const Told told = second.ask(route, "t2");
        return told.body == "to t2" && bed.arrivals("t2") == 1 && first.unread() == 0;
    };
    BOOST_TEST(play({}));
    for (const Rule kept : layers) BOOST_TEST(play(without(all_but(layers, kept))));
    BOOST_TEST(!play(without(layers)));
}

// A copy that comes while the connection rests.
BOOST_DATA_TEST_CASE(surplus_answer_while_idle, data::make(kRoutes), route) {
    const std::vector<Rule> layers = {&RequestRules::look_before_send, &RequestRules::match_try_id};
    const auto play = [&](const RequestRules& rules) {
        Latch had, sent;
        Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [&](Connection& c, Request& q) {
            serve(c, q);
            if (q.arrival > 0) return true;
            had.wait();
            c.send(answer(200, "t1", "to t1"));
            sent.open();
            return true;
        });
        Caller first = bed.gateway->caller(), second = bed.gateway->caller();
        BOOST_TEST(first.ask(Route::read, "t1").body == "to t1");
        had.open();
        sent.wait();
        return second.ask(route, "t2").body == "to t2" && bed.arrivals("t2") == 1 && first.unread() == 0;
    };
    BOOST_TEST(play({}));
    for (const Rule kept : layers) BOOST_TEST(play(without(all_but(layers, kept))));
    BOOST_TEST(!play(without(layers)));
}

// An earlier request's answer where this one's is expected: the try id alone tells.
BOOST_DATA_TEST_CASE(surplus_answer_after_the_send, data::make(kRoutes), route) {
    const auto play = [&](const RequestRules& rules) {
        Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            if (q.on_connection > 0) c.send(answer(200, "t1", "to t1"));
            return serve(c, q);
        });
        Caller first = bed.gateway->caller(), second = bed.gateway->caller();
        BOOST_TEST(first.ask(Route::read, "t1").body == "to t1");
        const bool right = second.ask(route, "t2").body == "to t2" && bed.arrivals("t2") == 1;
        if (right) {
            BOOST_TEST(bed.connection_of("t2") == 0);
            BOOST_TEST(second.ask(route, "t3").body == "to t3");
            BOOST_TEST(bed.connection_of("t3") == 1);  // not used again after it
        }
        return right;
    };
    BOOST_TEST(play({}));
    BOOST_TEST(!play(without({&RequestRules::match_try_id})));
}

// A server that names no tries can't be told from one that mixes them up: one visit for each connection.
BOOST_DATA_TEST_CASE(server_that_names_no_tries, data::make(kRoutes), route) {
    const auto play = [&](const RequestRules& rules) {
        Bed bed({Speech::proving, 1, kNoTimeout, false, 1, rules}, [](Connection& c, Request& q) {
            if (q.on_connection > 0) c.send(answer(200, "", "to an earlier one"));
            c.read_body(&q);
            c.send(answer(200, "", "to " + try_of(q)));
            return true;
        });
        Caller caller = bed.gateway->caller();
        BOOST_TEST(caller.ask(Route::read, "t1").body == "to t1");
        return caller.ask(route, "t2").body == "to t2" && bed.arrivals("t2") == 1;
    };
    BOOST_TEST(play({}));
    BOOST_TEST(!play(without({&RequestRules::reuse_only_echoing})));
}

// Another's answer and then nothing more; two names; where names were promised, none.
BOOST_DATA_TEST_CASE(foreign_answer, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    const std::string two = "Marble-Try: t\r\n";
    const std::vector<std::string> answers = {
        answer(200, "other", "to other"), answer(200, "other", "to other", two),
        answer(200, "t", "to other", "Marble-Try: other\r\n"), answer(200, "", "to nobody")};
    for (const auto& foreign : answers) {
        const auto script = lose_first([&](Connection& c, Request& q) {
            c.read_body(&q);
            c.send(foreign);
        });
        Bed bed({speech}, script);
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(route, "t");
        const bool passed_over = speech == Speech::expecting && foreign == answers[0];
        check_lost(route, told, bed, passed_over ? "answer_lost" : "answer_garbled");
        Setup broken{speech};
        broken.rules = without({&RequestRules::match_try_id});
        Bed mixed(broken, script);
        Caller other = mixed.gateway->caller();
        if (foreign != answers[3]) BOOST_TEST(other.ask(route, "t").body == "to other");
    }
}

BOOST_DATA_TEST_CASE(cut_answer, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    const std::string head = "HTTP/1.1 200 OK\r\nMarble-Try: t\r\nTest-Seal: x\r\n";
    for (const std::string& cut : {head, head + "Content-Length: 1000\r\n\r\nbegun",
                                   head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"}) {
        Bed bed({speech}, lose_first([&](Connection& c, Request& q) {
                    c.read_body(&q);
                    c.send(cut);
                }));
        Caller caller = bed.gateway->caller();
        check_lost(route, caller.ask(route, "t"), bed);
    }
    // Cut where nothing shows it: an answer without a length is none.
    const auto script = lose_first([&](Connection& c, Request& q) {
        c.read_body(&q);
        c.send(head + "\r\nbegun");
    });
    Bed bed({speech}, script);
    Caller caller = bed.gateway->caller();
    check_lost(route, caller.ask(route, "t"), bed, "answer_garbled");
    Setup broken{speech};
    broken.rules = without({&RequestRules::need_length});
    Bed taken(broken, script);
    Caller other = taken.gateway->caller();
    BOOST_TEST(other.ask(route, "t").body == "begun");
}

BOOST_DATA_TEST_CASE(bytes_that_are_no_answer, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    for (const std::string noise : {"HTTP/1.1 2zz what\r\n\r\nnoise", "\x16\x03\x01 noise\r\n\r\n",
                                    "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"}) {
        Bed bed({speech}, lose_first([&](Connection& c, Request& q) {
                    c.read_body(&q);
                    c.send(noise);
                    c.wait_for_close();  // by the gateway, at once
                }));
        Caller caller = bed.gateway->caller();
        check_lost(route, caller.ask(route, "t"), bed, "answer_garbled");
    }
}

// Whole and named, and still not to be passed on: the connection goes too.
BOOST_DATA_TEST_CASE(success_without_seal, data::make(kRoutes), route) {
    const auto play = [&](const RequestRules& rules) {
        Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            c.read_body(&q);
            c.send("HTTP/1.1 200 OK\r\nMarble-Try: t1\r\nContent-Length: 2\r\n\r\nno");
            return true;
        });
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(Route::write, "t1");
        BOOST_TEST(told.kind == "answer_garbled");
        BOOST_TEST(caller.ask(route, "t2").body == "to t2");
        return bed.connection_of("t2") == 1;
    };
    BOOST_TEST(play({}));
    BOOST_TEST(!play(without({&RequestRules::close_after_doubt})));
}

BOOST_DATA_TEST_CASE(interim_answers, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    const auto play = [&](const RequestRules& rules) {
        Bed bed({speech, 1, kNoTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            c.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
            return serve(c, q);
        });
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(route, "t1");
        if (told.body != "to t1") return false;
        BOOST_TEST(caller.ask(route, "t2").body == "to t2");
        return bed.connection_of("t1") == bed.connection_of("t2");
    };
    BOOST_TEST(play({}));
    BOOST_TEST(!play(without({&RequestRules::skip_interim})));
}

// Answers that have no body, whatever their heads say, and servers that send one all the same.
BOOST_AUTO_TEST_CASE(answers_without_a_body) {
    for (const int status : {200, 204, 304}) {
        for (const std::string body : {"", "xxxxx"}) {
            const bool head_only = status == 200;
            Bed bed({Speech::proving, 1}, [&](Connection& c, Request& q) {
                if (q.arrival > 0) return serve(c, q);
                c.send("HTTP/1.1 " + std::to_string(status) +
                       " Said\r\nMarble-Try: t1\r\nContent-Length: 5\r\n\r\n" + body);
                return true;
            });
            Caller caller = bed.gateway->caller();
            caller.send(caller.request(Route::read, "t1", "", "", head_only ? "HEAD" : "GET"));
            const Told told = caller.read(head_only);
            BOOST_TEST(told.status == status);
            BOOST_TEST(told.body.empty());
            BOOST_TEST(caller.unread() == 0u);
            BOOST_TEST(caller.ask(Route::read, "t2").body == "to t2");
            BOOST_TEST(bed.connection_of("t2") == (body.empty() ? 0 : 1));
        }
    }
}

// ---- Statuses

// Guards against a status that the HTTP library has no name for reaching the caller as 000.
BOOST_DATA_TEST_CASE(any_status_goes_back_unchanged, data::make(kRoutes) * data::make(kSpeeches), route,
                     speech) {
    for (const int status :
         {200, 226, 250, 299, 300, 308, 350, 399, 400, 409, 418, 425, 499, 500, 511, 520, 599, 600, 999}) {
        Bed bed({speech, 1}, [status](Connection& c, Request& q) {
            if (!c.read_body(&q)) return false;
            c.send(answer(status, try_of(q), "said"));
            return true;
        });
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(route, "t");
        BOOST_TEST(told.status == status, told);
        BOOST_TEST(told.body == "said");
        BOOST_TEST(bed.arrivals("t") == 1);
    }
}

// Guards against three digits that are no status being passed on as one.
BOOST_DATA_TEST_CASE(status_below_100_is_no_answer, data::make(kRoutes) * data::make(kSpeeches), route,
                     speech) {
    for (const std::string status : {"000", "007", "099"}) {
        Bed bed({speech}, lose_first([&](Connection& c, Request& q) {
                    c.read_body(&q);
                    c.send("HTTP/1.1 " + status +
                           " Said\r\nMarble-Try: t\r\nTest-Seal: x\r\nContent-Length: 2\r\n\r\nno");
                    c.wait_for_close();  // by the gateway, at once
                }));
        Caller caller = bed.gateway->caller();
        check_lost(route, caller.ask(route, "t"), bed, "answer_garbled");
    }
}

// Guards against a failure without a name in the HTTP library counting as served well.
BOOST_DATA_TEST_CASE(any_failed_status_sends_a_read_again, data::make(kRoutes) * data::make(kSpeeches), route,
                     speech) {
    for (const int status : {500, 509, 520, 599, 600}) {
        Bed bed({speech}, [status](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            if (!c.read_body(&q)) return false;
            c.send(answer(status, try_of(q), "failed"));
            return true;
        });
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(route, "t");
        const bool read = route == Route::read;
        BOOST_TEST(told.status == (read ? 200 : status), told);
        BOOST_TEST(bed.arrivals("t") == (read ? 2 : 1));
    }
}

// ---- "Not run"

BOOST_DATA_TEST_CASE(not_run_goes_to_another_server, data::make(kRoutes), route) {
    for (const int status : {503, 429, 421}) {
        Bed bed({Speech::expecting}, [&](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            c.read_body(&q);
            c.send(not_run(status, try_of(q)));
            return true;
        });
        Caller caller = bed.gateway->caller();
        BOOST_TEST(caller.ask(route, "t").body == "to t");
        BOOST_TEST(bed.arrivals("t") == 2);
    }
}

// Without a name it may be an earlier request's. For a write it counts as the first answer of a connection
// only.
BOOST_DATA_TEST_CASE(not_run_without_a_name, data::make(kRoutes), route) {
    Bed fresh({Speech::expecting}, [&](Connection& c, Request& q) {
        if (q.arrival > 0) return serve(c, q);
        c.read_body(&q);
        c.send(not_run(503, ""));
        return true;
    });
    Caller caller = fresh.gateway->caller();
    BOOST_TEST(caller.ask(route, "t").body == "to t");

    const auto play = [&](const RequestRules& rules) {
        Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            if (q.arrival == 1) c.send(not_run(503, ""));  // of the request before it; this one runs
            return serve(c, q);
        });
        Caller other = bed.gateway->caller();
        BOOST_TEST(other.ask(Route::read, "t1").status == 200);
        const Told told = other.ask(route, "t2");
        if (route == Route::read) return told.status == 200;
        return told.status == 502 && told.ran == "unknown" && bed.arrivals("t2") == 1;
    };
    BOOST_TEST(play({}));
    if (route == Route::write) BOOST_TEST(!play(without({&RequestRules::named_or_first})));
}

// 408, 421, 429 and 503 promise something: they are not passed on from one who did not give the promise.
BOOST_AUTO_TEST_CASE(promise_without_the_mark) {
    for (const int status : {408, 429, 503}) {
        const auto play = [&](const RequestRules& rules) {
            Bed bed({Speech::expecting, 1, kNoTimeout, true, 1, rules}, [&](Connection& c, Request& q) {
                c.read_body(&q);
                c.send(answer(status, try_of(q), "ran"));
                return true;
            });
            Caller caller = bed.gateway->caller();
            const Told told = caller.ask(Route::write, "t");
            BOOST_TEST(bed.arrivals("t") == 1);
            return told.status == 502 && told.ran == "unknown";
        };
        BOOST_TEST(play({}));
        BOOST_TEST(!play(without({&RequestRules::need_mark})));
    }
}

// The same try at the same server again, as where there is no other: a copy of its first answer says nothing
// of the second send.
BOOST_AUTO_TEST_CASE(second_send_of_a_try_has_a_connection_of_its_own) {
    constexpr int kTimeout = 2000;  // reached without the rule only
    const auto play = [](const RequestRules& rules) {
        Bed bed({Speech::expecting, 1, kTimeout, true, 1, rules}, [](Connection& c, Request& q) {
            if (q.arrival == 0) {
                c.read_body(&q);
                c.send(not_run(503, try_of(q)));
                return true;
            }
            if (q.on_connection > 0) c.send(not_run(503, try_of(q)));  // the copy
            return serve(c, q);
        });
        Caller caller = bed.gateway->caller();
        const Told told = caller.ask(Route::write, "t");
        return told.body == "to t" && bed.arrivals("t") == 2;
    };
    BOOST_TEST(play({}));
    BOOST_TEST(!play(without({&RequestRules::one_send_of_a_try})));
}

// ---- Standing still

// The server answers and both ends of the connection are closed while the gateway stands still after its
// write.
BOOST_DATA_TEST_CASE(standstill_between_write_and_read, data::make(kRoutes) * data::make(kSpeeches), route,
                     speech) {
    for (const bool answered : {true, false}) {
        Latch arrived, go, gone;
        Bed bed({speech}, [&](Connection& c, Request& q) {
            if (q.arrival > 0) return serve(c, q);
            c.read_body(&q);
            arrived.open();
            go.wait();
            if (answered)
                c.send(answer(200, "t", "to t"));
            else
                c.reset();
            c.close();
            gone.open();
            return false;
        });
        Caller caller = bed.gateway->caller();
        caller.send(caller.request(route, "t"));
        arrived.wait();
        Standstill still(*bed.gateway->workers[0]);
        go.open();
        gone.wait();
        still.end();
        const Told told = caller.read();
        if (answered) {
            BOOST_TEST(told.body == "to t", told);
            BOOST_TEST(bed.arrivals("t") == 1);
        } else {
            check_lost(route, told, bed);
        }
    }
}

// The same with the time out: what arrived in time is taken, or the caller is told that it may have run.
// Another worker's request, sent later with the same timeout, shows that it is out.
BOOST_DATA_TEST_CASE(standstill_beyond_the_timeout, data::make(kRoutes), route) {
    Latch arrived, go, gone;
    Bed bed({Speech::expecting, 2, 500, true, 2}, [&](Connection& c, Request& q) {
        c.read_body(&q);
        if (try_of(q) != "t") {
            c.wait_for_close();
            return false;
        }
        arrived.open();
        go.wait();
        c.send(answer(200, "t", "to t"));
        c.close();
        gone.open();
        return false;
    });
    Caller caller = bed.gateway->caller(), other = bed.gateway->caller();
    caller.send(caller.request(route, "t"));
    arrived.wait();
    Standstill still(*bed.gateway->workers[0]);
    go.open();
    gone.wait();
    BOOST_TEST(other.ask(Route::write, "silent").status == 504);
    still.end();
    const Told told = caller.read();
    BOOST_TEST(bed.arrivals("t") == 1);
    if (told.status != 200) {
        BOOST_TEST(told.status == 504, told);
        BOOST_TEST(told.ran == "unknown");
    } else {
        BOOST_TEST(told.body == "to t");
    }
    BOOST_TEST(caller.unread() == 0u);
}

// A write that lay unread while the gateway stood still, and whose caller has gone meanwhile, is not sent.
BOOST_DATA_TEST_CASE(caller_gone_before_the_send, data::make(kSpeeches), speech) {
    const auto play = [&](const RequestRules& rules) {
        Bed bed({speech, 1, kNoTimeout, true, 1, rules},
                [](Connection& c, Request& q) { return serve(c, q); });
        Standstill still(*bed.gateway->workers[0]);
        Caller caller = bed.gateway->caller();
        caller.send(caller.request(Route::write, "t"));
        caller.close();
        still.end();
        while (bed.gateway->hall.traces.find("t").empty()) std::this_thread::yield();
        return bed.arrivals("t") == 0;
    };
    BOOST_TEST(play({}));
    // Where it waits for its pass first, the queue looks whether the caller is there.
    if (speech == Speech::expecting)
        BOOST_TEST(!play(without({&RequestRules::send_needs_caller, &RequestRules::watch_caller})));
}

// The process that sent it is gone, and so is its caller's connection. The next life sends nothing again and
// takes nothing of the old one's.
BOOST_DATA_TEST_CASE(node_killed, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    Latch arrived, restarted;
    Bed bed({speech, 1}, [&](Connection& c, Request& q) {
        if (q.arrival > 0) return serve(c, q);
        c.read_body(&q);
        arrived.open();
        restarted.wait();
        c.send(answer(200, "t", "to t"));
        return false;
    });
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(route, "t"));
    arrived.wait();
    bed.gateway.reset();
    BOOST_TEST(caller.read().status == 0);  // closed: it promises nothing
    bed.gateway = std::make_unique<Gateway>(bed.setup, bed.server);
    restarted.open();
    Caller other = bed.gateway->caller();
    BOOST_TEST(other.ask(route, "t2").body == "to t2");
    BOOST_TEST(bed.arrivals("t") == 1);
}

// ---- Callers

BOOST_DATA_TEST_CASE(pipelined_requests_are_answered_in_turn, data::make(kRoutes) * data::make(kSpeeches),
                     route, speech) {
    Bed bed({speech}, [](Connection& c, Request& q) { return serve(c, q); });
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t1") + caller.request(route, "t2", "", "body") +
                caller.request(Route::read, "t3"));
    for (const std::string id : {"t1", "t2", "t3"}) BOOST_TEST(caller.read().body == "to " + id);
    BOOST_TEST(caller.unread() == 0u);
}

// Answers that come in the other order go each to its own caller.
BOOST_DATA_TEST_CASE(answers_that_overtake, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    Latch second;
    Bed bed({speech}, [&](Connection& c, Request& q) {
        c.read_body(&q);
        if (try_of(q) == "t1") second.wait();
        c.send(answer(200, try_of(q), "to " + try_of(q)));
        if (try_of(q) == "t2") second.open();
        return true;
    });
    Caller first = bed.gateway->caller(), other = bed.gateway->caller();
    first.send(first.request(route, "t1"));
    BOOST_TEST(other.ask(route, "t2").body == "to t2");
    BOOST_TEST(first.read().body == "to t1");
}

// A caller goes while a server works for it; the next one, on the same descriptor, gets its own answer.
BOOST_DATA_TEST_CASE(caller_gone_after_the_send, data::make(kRoutes) * data::make(kSpeeches), route, speech) {
    Latch arrived, go;
    Bed bed({speech, 1}, [&](Connection& c, Request& q) {
        if (q.arrival > 0) return serve(c, q);
        c.read_body(&q);
        arrived.open();
        go.wait();
        c.send(answer(200, "t", "to t"));
        return true;
    });
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(route, "t"));
    arrived.wait();
    caller.close();
    go.open();
    while (bed.gateway->hall.tolls.callers != 0) std::this_thread::yield();
    Caller next = bed.gateway->caller();
    BOOST_TEST(next.ask(route, "t2").body == "to t2");
    BOOST_TEST(next.unread() == 0u);
    BOOST_TEST(bed.arrivals("t") == 1);
}

// The same write again while it is under way, and after its answer was lost: never sent twice.
BOOST_DATA_TEST_CASE(same_write_again, data::make(kSpeeches), speech) {
    Latch arrived, go;
    Bed bed({speech, 2}, [&](Connection& c, Request& q) {
        c.read_body(&q);
        arrived.open();
        go.wait();
        return false;  // the answer is lost
    });
    Caller first = bed.gateway->caller(), second = bed.gateway->caller();
    first.send(first.request(Route::write, "t"));
    arrived.wait();
    BOOST_TEST(second.ask(Route::write, "t").kind == "try_seen");
    go.open();
    BOOST_TEST(first.read().kind == "answer_lost");
    const Told again = second.ask(Route::write, "t");
    BOOST_TEST(again.kind == "try_seen");
    BOOST_TEST(again.ran == "unknown");
    BOOST_TEST(bed.arrivals("t") == 1);
}

// What follows a chunked body names no try, no key and no host.
BOOST_DATA_TEST_CASE(fields_after_a_chunked_body, data::make(kSpeeches), speech) {
    Bed bed({speech, 1}, [](Connection& c, Request& q) { return serve(c, q); });
    Caller caller = bed.gateway->caller();
    caller.send(
        "POST /w/1 HTTP/1.1\r\nHost: h\r\nMarble-Key: abc\r\nMarble-Try: t\r\nMarble-Deadline-Ms: "
        "20000\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nHost: other\r\nMarble-Try: "
        "u\r\nX-Trailer: "
        "1\r\n\r\n");
    BOOST_TEST(caller.read().body == "to t");
    const auto requests = bed.server.requests();
    BOOST_REQUIRE(requests.size() == 1u);
    BOOST_TEST(requests[0].head.find("other") == std::string::npos);
    BOOST_TEST(requests[0].head.find("X-Trailer") == std::string::npos);
    BOOST_TEST(requests[0].head.find("Marble-Try: u") == std::string::npos);
}

// ---- The route changes while a request is under way

// A read that waits for another server's answer becomes a write: it is not sent again.
BOOST_AUTO_TEST_CASE(route_becomes_a_write_after_the_send) {
    Latch arrived, changed;
    Bed bed({Speech::expecting}, lose_first([&](Connection& c, Request& q) {
                c.read_body(&q);
                arrived.open();
                changed.wait();
            }));
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    arrived.wait();
    bed.gateway->hall.policy(Gateway::policy(bed.setup, 2, "write"));
    changed.open();
    const Told told = caller.read();
    BOOST_TEST(told.status == 502, told);
    BOOST_TEST(told.ran == "unknown");
    BOOST_TEST(bed.arrivals("t") == 1);
}
