#pragma once
// Bytes of the fleet's own messages: little endian, every length bounded (docs/design.md 3.1).
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

namespace weft {

constexpr std::size_t kMaxFrame = 16 * 1024 * 1024;
constexpr std::size_t kMaxItems = 4096;

class Writer {
  public:
    void put(std::uint8_t v) { s_.push_back(static_cast<char>(v)); }
    void put(std::uint32_t v) { raw(v, 4); }
    void put(std::uint64_t v) { raw(v, 8); }
    void put(std::int64_t v) { raw(static_cast<std::uint64_t>(v), 8); }
    void put(const std::string& v) {
        put(static_cast<std::uint32_t>(v.size()));
        s_ += v;
    }
    template <class T>
    void put(const std::vector<T>& v) {
        put(static_cast<std::uint32_t>(v.size()));
        for (const auto& e : v) put(e);
    }
    template <class T>
    auto put(const T& v) -> decltype(v.write(*this)) {
        v.write(*this);
    }
    // A record's length goes before it, so that a reader passes over fields that it does not know.
    std::size_t open() {
        put(std::uint32_t{0});
        return s_.size();
    }
    void close(std::size_t at) {
        const std::size_t n = s_.size() - at;
        for (std::size_t i = 0; i < 4; ++i) s_[at - 4 + i] = static_cast<char>(n >> (8 * i));
    }
    std::string& bytes() { return s_; }

  private:
    void raw(std::uint64_t v, int n) {
        for (int i = 0; i < n; ++i) s_.push_back(static_cast<char>(v >> (8 * i)));
    }
    std::string s_;
};

class Reader {
  public:
    explicit Reader(std::string_view s) : s_(s) {}
    void get(std::uint8_t& v) { v = static_cast<std::uint8_t>(raw(1)); }
    void get(std::uint32_t& v) { v = static_cast<std::uint32_t>(raw(4)); }
    void get(std::uint64_t& v) { v = raw(8); }
    void get(std::int64_t& v) { v = static_cast<std::int64_t>(raw(8)); }
    void get(std::string& v) {
        std::uint32_t n = 0;
        get(n);
        if (!ok_ || n > s_.size()) {
            ok_ = false;
            return;
        }
        v.assign(s_.substr(0, n));
        s_.remove_prefix(n);
    }
    template <class T>
    void get(std::vector<T>& v) {
        std::uint32_t n = 0;
        get(n);
        if (!ok_ || n > kMaxItems) {
            ok_ = false;
            return;
        }
        v.clear();
        for (std::uint32_t i = 0; i < n && ok_; ++i) {
            T t{};
            get(t);
            v.push_back(std::move(t));
        }
    }
    template <class T>
    auto get(T& v) -> decltype(v.read(*this)) {
        v.read(*this);
    }
    // A record as far as its own length goes.
    Reader record() {
        std::uint32_t n = 0;
        get(n);
        if (n > s_.size()) ok_ = false;
        Reader r(ok_ ? s_.substr(0, n) : std::string_view());
        r.ok_ = ok_;
        if (ok_) s_.remove_prefix(n);
        return r;
    }
    void done_with(const Reader& r) { ok_ = ok_ && r.ok_; }
    bool ok() const { return ok_; }
    bool done() const { return ok_ && s_.empty(); }

  private:
    std::uint64_t raw(std::size_t n) {
        if (!ok_ || s_.size() < n) {
            ok_ = false;
            return 0;
        }
        std::uint64_t v = 0;
        for (std::size_t i = 0; i < n; ++i)
            v |= static_cast<std::uint64_t>(static_cast<unsigned char>(s_[i])) << (8 * i);
        s_.remove_prefix(n);
        return v;
    }
    std::string_view s_;
    bool ok_ = true;
};

}  // namespace weft

// Tables of messages: a field is F(type, name). Each table makes a struct that writes and reads itself. New
// fields go to the end: an older reader passes over them, a newer one leaves them as they were made
// (docs/design.md 3.2).
#define WEFT_DECL(T, n) T n{};
#define WEFT_PUT(T, n) weft_w.put(n);
#define WEFT_GET(T, n) \
    if (!weft_in.done()) weft_in.get(n);
#define WEFT_STRUCT(Name, FIELDS)                      \
    struct Name {                                      \
        FIELDS(WEFT_DECL)                              \
        void write(weft::Writer& weft_w) const {       \
            const std::size_t weft_at = weft_w.open(); \
            FIELDS(WEFT_PUT)                           \
            weft_w.close(weft_at);                     \
        }                                              \
        void read(weft::Reader& weft_r) {              \
            weft::Reader weft_in = weft_r.record();    \
            FIELDS(WEFT_GET)                           \
            weft_r.done_with(weft_in);                 \
        }                                              \
    };
