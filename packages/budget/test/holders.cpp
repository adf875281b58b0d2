#define BOOST_TEST_MODULE budget_holders
#include "budget/holders.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

// Who goes where there is no room. Moments are given: no test waits.

using namespace budget;
using pith::kSecond;
using pith::Micros;

namespace {

constexpr std::size_t kLimit = 1000 * 1000, kConnections = 8;

struct Port {
    Share share{kLimit, kConnections, nullptr, nullptr};
    Account& bytes = share.bytes;
    Account& connections = share.connections;
    Holders holders{share, 1, 1};
};

struct Connection {
    explicit Connection(Port& port) : holder(port.holders, [this] { closed = true; }) {}
    // As one whose peer has been waited for so long.
    void lags(Micros time) { holder.peer_waited_for(pith::mono_now() - time); }
    bool closed = false;
    Holder holder;
};

}  // namespace

BOOST_AUTO_TEST_CASE(what_a_connection_holds_is_counted_until_it_ends) {
    Port port;
    {
        Connection connection(port);
        BOOST_TEST(connection.holder.admitted());
        BOOST_TEST(connection.holder.take(1000));
        BOOST_TEST(port.bytes.held() == 1000u);
        connection.holder.give(400);
        BOOST_TEST(port.bytes.held() == 600u);
        BOOST_TEST(port.connections.held() == 1u);
    }
    BOOST_TEST(port.bytes.held() == 0u);
    BOOST_TEST(port.connections.held() == 0u);
}

BOOST_AUTO_TEST_CASE(the_one_goes_that_holds_the_most_for_the_longest) {
    Port port;
    Connection large(port), old(port), small(port), asking(port);
    BOOST_TEST(large.holder.take(400000));
    BOOST_TEST(old.holder.take(100000));
    BOOST_TEST(small.holder.take(10000));
    large.lags(kSecond);
    old.lags(2 * kSecond);
    small.lags(3 * kSecond);
    BOOST_TEST(asking.holder.take(500000));
    BOOST_TEST(large.closed);
    BOOST_TEST(!old.closed);
    BOOST_TEST(!small.closed);
    BOOST_TEST(!large.holder.take(1));
    BOOST_TEST(port.holders.evicted() == 1u);
    BOOST_TEST(port.bytes.held() == 610000u);
}

BOOST_AUTO_TEST_CASE(one_whose_peer_keeps_up_or_is_not_waited_for_stays) {
    Port port;
    Connection sends(port), served(port), asking(port);
    BOOST_TEST(sends.holder.take(300000));
    BOOST_TEST(served.holder.take(300000));
    sends.lags(4 * kSecond);
    sends.holder.peer_moved(4 * kLeastBytesPerSecond);
    served.lags(kSecond);
    served.holder.peer_done();
    BOOST_TEST(!asking.holder.take(500000));
    BOOST_TEST(!sends.closed);
    BOOST_TEST(!served.closed);
}

BOOST_AUTO_TEST_CASE(a_peer_that_only_drips_is_no_better_than_one_that_is_silent) {
    Port port;
    Connection drips(port), asking(port);
    BOOST_TEST(drips.holder.take(500000));
    drips.lags(4 * kSecond);
    drips.holder.peer_moved(100);
    BOOST_TEST(asking.holder.take(300000));
    BOOST_TEST(drips.closed);
}

BOOST_AUTO_TEST_CASE(the_one_that_asks_does_not_push_out_one_that_costs_less) {
    Port port;
    Connection cheap(port), asking(port);
    BOOST_TEST(cheap.holder.take(1000));
    BOOST_TEST(asking.holder.take(600000));
    cheap.lags(kSecond);
    asking.lags(kSecond);
    BOOST_TEST(!asking.holder.take(600000));
    BOOST_TEST(!cheap.closed);
    BOOST_TEST(!asking.closed);
}

BOOST_AUTO_TEST_CASE(large_holders_leave_a_quarter_of_the_room) {
    Port port;
    Connection large(port), small(port);
    BOOST_TEST(!large.holder.take(kLimit * 3 / 4 + 1));
    BOOST_TEST(large.holder.take(kLimit * 3 / 4));
    BOOST_TEST(!large.holder.take(1));
    BOOST_TEST(small.holder.take(kSmallHolder));
}

BOOST_AUTO_TEST_CASE(what_is_not_needed_leaves_half_of_the_room) {
    Port port;
    Connection lags(port), asking(port);
    BOOST_TEST(lags.holder.take(1000));
    lags.lags(kSecond);
    BOOST_TEST(asking.holder.take_spare(kLimit / 2 - 1000));
    BOOST_TEST(!asking.holder.take_spare(1));
    BOOST_TEST(!lags.closed);
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_take_the_place_of_those_that_lag) {
    Port port;
    std::vector<std::unique_ptr<Connection>> open;
    for (std::size_t i = 0; i < kConnections; ++i) open.push_back(std::make_unique<Connection>(port));
    {
        const Connection refused(port);
        BOOST_TEST(!refused.holder.admitted());
    }
    open[3]->lags(kSecond);
    const Connection admitted(port);
    BOOST_TEST(admitted.holder.admitted());
    BOOST_TEST(open[3]->closed);
    BOOST_TEST(port.connections.held() == kConnections);
}

BOOST_AUTO_TEST_CASE(threads_share_evenly) {
    Share share{kLimit, kConnections, nullptr, nullptr};
    Holders one(share, 2, 2), other(share, 2, 2);
    Holder first(one, [] {}), second(other, [] {});
    BOOST_TEST(!first.take(kLimit / 2));
    BOOST_TEST(first.take(kLimit / 4));
    BOOST_TEST(second.take(kLimit / 4));
    BOOST_TEST(share.bytes.held() == kLimit / 2);
}
