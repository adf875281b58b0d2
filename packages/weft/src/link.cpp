#include "weft/link.hpp"

#include <zmq.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>

namespace weft {

namespace {

constexpr int kHighWater = 128;
constexpr std::size_t kMaxPartners = 256;
constexpr int kTurn = 64;  // messages taken before other work gets a turn

void set(void* s, int o, int v) { zmq_setsockopt(s, o, &v, sizeof v); }

class Zmq : public Carrier {
  public:
    explicit Zmq(boost::asio::io_context& i) : io_(i), fd_(i) {}
    ~Zmq() override { close(); }
    pith::Result<std::string> open(const std::string& address, Take t) override;
    bool send(const std::string& address, const std::string& frame, bool soft) override;
    void close() override;

  private:
    void wait();
    void drain();
    boost::asio::io_context& io_;
    void* ctx_ = nullptr;
    void* pull_ = nullptr;
    std::map<std::string, void*> push_;
    boost::asio::posix::stream_descriptor fd_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Take take_;
    bool open_ = false;
};

pith::Result<std::string> Zmq::open(const std::string& address, Take t) {
    take_ = std::move(t);
    ctx_ = zmq_ctx_new();
    zmq_ctx_set(ctx_, ZMQ_IO_THREADS, 1);
    pull_ = zmq_socket(ctx_, ZMQ_PULL);
    set(pull_, ZMQ_RCVHWM, 1024);
    set(pull_, ZMQ_LINGER, 0);
    std::int64_t mx = kMaxFrame;
    zmq_setsockopt(pull_, ZMQ_MAXMSGSIZE, &mx, sizeof mx);
    if (zmq_bind(pull_, ("tcp://" + address).c_str()) != 0)
        return pith::fail(pith::Kind::settings_wrong, "can't bind weft address " + address + ": " +
                                                          zmq_strerror(zmq_errno()) +
                                                          ": free it or set another");
    char ep[256];
    std::size_t n = sizeof ep;
    zmq_getsockopt(pull_, ZMQ_LAST_ENDPOINT, ep, &n);
    int fd = -1;
    n = sizeof fd;
    zmq_getsockopt(pull_, ZMQ_FD, &fd, &n);
    fd_.assign(fd);
    open_ = true;
    wait();
    boost::asio::post(io_, [this, a = alive_] {
        if (*a) drain();
    });
    return std::string(ep).substr(6);
}

// ZMQ_FD tells of a change once only: after each wake-up all is taken (docs/design.md 3.3).
void Zmq::wait() {
    fd_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                   [this, a = alive_](boost::system::error_code ec) {
                       if (ec || !*a) return;
                       wait();
                       drain();
                   });
}

void Zmq::drain() {
    for (int i = 0; i < kTurn; ++i) {
        zmq_msg_t m;
        zmq_msg_init(&m);
        if (zmq_msg_recv(&m, pull_, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&m);
            return;
        }
        take_(std::string_view(static_cast<char*>(zmq_msg_data(&m)), zmq_msg_size(&m)));
        zmq_msg_close(&m);
        if (!open_) return;
    }
    boost::asio::post(io_, [this, a = alive_] {
        if (*a) drain();
    });
}

bool Zmq::send(const std::string& address, const std::string& frame, bool) {
    if (!open_) return false;
    auto i = push_.find(address);
    if (i == push_.end()) {
        if (push_.size() >= kMaxPartners) return false;
        void* s = zmq_socket(ctx_, ZMQ_PUSH);
        set(s, ZMQ_SNDHWM, kHighWater);
        set(s, ZMQ_LINGER, 0);
        set(s, ZMQ_IMMEDIATE, 1);  // nothing is kept for one that is away
        set(s, ZMQ_RECONNECT_IVL, 100);
        set(s, ZMQ_RECONNECT_IVL_MAX, 1000);
        set(s, ZMQ_CONNECT_TIMEOUT, 1000);
        set(s, ZMQ_TCP_MAXRT, 3000);
        if (zmq_connect(s, ("tcp://" + address).c_str()) != 0) {
            zmq_close(s);
            return false;
        }
        i = push_.emplace(address, s).first;
    }
    return zmq_send(i->second, frame.data(), frame.size(), ZMQ_DONTWAIT) >= 0;
}

void Zmq::close() {
    if (!open_) return;
    open_ = false;
    *alive_ = false;
    fd_.release();
    for (auto& p : push_) zmq_close(p.second);
    zmq_close(pull_);
    zmq_ctx_term(ctx_);
}

// Told again within a second or asked for: a lost one costs little.
bool soft(const Msg& m) {
    if (const auto* said = std::get_if<FeedSaid>(&m)) return said->changes.empty();
    return std::holds_alternative<Heartbeat>(m) || std::holds_alternative<Counts>(m) ||
           std::holds_alternative<Probes>(m) || std::holds_alternative<Load>(m) || std::holds_alternative<FeedAsk>(m) ||
           std::holds_alternative<StateAsk>(m) || std::holds_alternative<ListingAsk>(m) ||
           std::holds_alternative<PrepareAsk>(m) || std::holds_alternative<PrepareSaid>(m) ||
           std::holds_alternative<AcceptSaid>(m) || std::holds_alternative<FoundingAsk>(m) ||
           std::holds_alternative<Decided>(m) || std::holds_alternative<BundleAsk>(m) ||
           std::holds_alternative<ContentAsk>(m) || std::holds_alternative<RelayAsk>(m) ||
           std::holds_alternative<RelayedCounts>(m) || std::holds_alternative<ListingDigest>(m) ||
           std::holds_alternative<ListingDigestAsk>(m) || std::holds_alternative<ListingChange>(m) ||
           std::holds_alternative<FleetSums>(m);
}

}  // namespace

bool goes_as_datagram(const Msg& message, std::size_t bytes) { return soft(message) && bytes <= kMostInDatagram; }

std::unique_ptr<Carrier> zmq_carrier(boost::asio::io_context& io) { return std::make_unique<Zmq>(io); }

Link::Link(boost::asio::io_context& io, std::string fleet, std::string secret, std::string name, bool plain,
           std::shared_ptr<budget::ProcessLimits> limits)
    : carrier_(plain ? plain_carrier(io, std::move(limits)) : zmq_carrier(io)),
      fleet_(std::move(fleet)),
      secret_(std::move(secret)),
      name_(std::move(name)) {}

Link::~Link() { close(); }

pith::Result<std::string> Link::open(const std::string& address, Hear h) {
    hear_ = std::move(h);
    return carrier_->open(address, [this](std::string_view b) { take(b); });
}

void Link::take(std::string_view b) {
    Envelope e;
    const Fault f = unpack(fleet_, secret_, b, &e);
    if (f == Fault::none && e.from != name_) {
        ++tally_.heard;
        tally_.heard_bytes += b.size();
        hear_(e);
    } else if (f != Fault::none) {
        ++tally_.dropped;
        std::uint64_t held = 0;
        if (seldom_.pass(pith::mono_now(), &held))
            pith::log_event(pith::Level::warn, "frame_dropped",
                            {{"why", fault_text(f)}, {"bytes", b.size()}, {"held", held}});
    }
}

void Link::send(const std::string& address, const Msg& m) {
    const Str b = pack(fleet_, secret_, Envelope{name_, inc_, ++seq_, m});
    if (!carrier_->send(address, b, soft(m))) {
        ++tally_.unsent;
    } else {
        ++tally_.sent;
        tally_.sent_bytes += b.size();
        auto& k = tally_.kinds[msg_name(m)];
        ++k.first;
        k.second += b.size();
    }
}

void Link::close() { carrier_->close(); }

}  // namespace weft
