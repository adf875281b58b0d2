#define BOOST_TEST_MODULE budget_counted_body
#include "budget/counted_body.hpp"

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

using budget::Account;
using budget::CountedBody;
using budget::CountedString;
namespace http = boost::beast::http;

namespace {
constexpr std::size_t kPiece = 1000;
const std::string kPieceText(kPiece, 'x');
}  // namespace

BOOST_AUTO_TEST_CASE(a_string_is_counted_as_it_grows_and_when_it_goes) {
    Account account(1000 * kPiece);
    {
        CountedString text;
        text.counted_by(&account);
        for (int i = 0; i < 100; ++i) BOOST_TEST(text.append(kPieceText.data(), kPiece));
        BOOST_TEST(account.held() >= 100 * kPiece);
        BOOST_TEST(account.held() < 250 * kPiece);
        const std::size_t held = account.held();
        CountedString moved = std::move(text);
        BOOST_TEST(moved.size() == 100 * kPiece);
        BOOST_TEST(account.held() == held);
        text.clear();
        BOOST_TEST(account.held() == held);
        moved.drop_contents();
        BOOST_TEST(account.held() == held);
    }
    BOOST_TEST(account.held() == 0u);
    BOOST_TEST(account.peak() < 400 * kPiece);
}

BOOST_AUTO_TEST_CASE(a_string_of_known_length_takes_no_more_than_that) {
    Account account(1000 * kPiece);
    CountedString text;
    text.counted_by(&account);
    for (int i = 0; i < 100; ++i) BOOST_TEST(text.append(kPieceText.data(), kPiece, 100 * kPiece));
    BOOST_TEST(account.held() == 100 * kPiece);
}

BOOST_AUTO_TEST_CASE(where_there_is_no_room_nothing_is_lost_or_counted) {
    Account account(10 * kPiece);
    CountedString text;
    text.counted_by(&account);
    std::size_t taken = 0;
    while (taken < 100 && text.append(kPieceText.data(), kPiece)) ++taken;
    BOOST_TEST(taken >= 4u);
    BOOST_TEST(taken <= 10u);
    BOOST_TEST(text.size() == taken * kPiece);
    text.clear();
    BOOST_TEST(account.held() == 0u);
}

BOOST_AUTO_TEST_CASE(a_lent_text_stays_counted) {
    Account account(10 * kPiece);
    CountedString text;
    text.counted_by(&account);
    BOOST_TEST(text.append(kPieceText.data(), kPiece));
    const std::size_t held = account.held();
    BOOST_TEST(text.lend() == kPieceText);
    BOOST_TEST(account.held() == held);
    text.clear();
    BOOST_TEST(account.held() == 0u);
}

BOOST_AUTO_TEST_CASE(a_parser_counts_a_body_in_chunks_and_stops_where_there_is_no_room) {
    for (const std::size_t room : {100 * kPiece, 5 * kPiece}) {
        Account account(room);
        http::request_parser<CountedBody> parser;
        parser.get().body().counted_by(&account);
        parser.eager(true);
        std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 20; ++i) text += "3e8\r\n" + kPieceText + "\r\n";
        text += "0\r\n\r\n";
        boost::system::error_code ec;
        std::size_t read = 0;
        while (!ec && read < text.size() && !parser.is_done())
            read += parser.put(boost::asio::buffer(text.data() + read, text.size() - read), ec);
        if (room == 100 * kPiece) {
            BOOST_TEST(!ec, ec.message());
            BOOST_TEST(parser.is_done());
            BOOST_TEST(parser.get().body().size() == 20 * kPiece);
        } else {
            BOOST_TEST((ec == budget::no_room()));
        }
        BOOST_TEST(account.peak() <= room);
    }
}
