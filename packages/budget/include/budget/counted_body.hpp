#pragma once
/// A body of a message of Beast that is held whole and counted as it comes (docs/design.md 7.10).
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <utility>

#include "budget/counted_string.hpp"

namespace budget {

/// Why a body could not be held: there is no room for it.
inline boost::system::error_code no_room() { return make_error_code(boost::system::errc::not_enough_memory); }

struct CountedBody {
    using value_type = CountedString;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
      public:
        template <bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& body)
            : body_(body) {}
        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& ec) {
            if (length) expected_ = static_cast<std::size_t>(*length);
            ec = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
            std::size_t taken = 0;
            for (auto i = boost::asio::buffer_sequence_begin(buffers);
                 i != boost::asio::buffer_sequence_end(buffers); ++i) {
                const boost::asio::const_buffer buffer(*i);
                if (!body_.append(static_cast<const char*>(buffer.data()), buffer.size(), expected_)) {
                    ec = no_room();
                    return taken;
                }
                taken += buffer.size();
            }
            ec = {};
            return taken;
        }
        void finish(boost::system::error_code& ec) { ec = {}; }

      private:
        value_type& body_;
        std::size_t expected_ = 0;
    };

    class writer {
      public:
        using const_buffers_type = boost::asio::const_buffer;
        template <bool isRequest, class Fields>
        explicit writer(const boost::beast::http::header<isRequest, Fields>& /*head*/, const value_type& body)
            : body_(body) {}
        void init(boost::system::error_code& ec) { ec = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& ec) {
            ec = {};
            return {{const_buffers_type{body_.text().data(), body_.size()}, false}};
        }

      private:
        const value_type& body_;
    };
};

}  // namespace budget
