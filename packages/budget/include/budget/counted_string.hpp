#pragma once
/// A string that is counted as it grows (docs/design.md 7.10).
#include <cstddef>
#include <string>

#include "budget/account.hpp"

namespace budget {

class CountedString {
  public:
    CountedString() = default;
    /// Uncounted: for short texts of our own.
    explicit CountedString(std::string text) : text_(std::move(text)) {}
    ~CountedString() { clear(); }
    CountedString(CountedString&& other) noexcept;
    CountedString& operator=(CountedString&& other) noexcept;
    CountedString(const CountedString&) = delete;
    CountedString& operator=(const CountedString&) = delete;

    /// What is appended from now on is counted there; the source must outlive the string, or its contents.
    void counted_by(Source* source) { source_ = source; }
    /// False: there is no room. `expected`: bytes that the whole is to have, 0: not known.
    bool append(const char* data, std::size_t size, std::size_t expected = 0);
    /// Room for so many bytes, taken at once. False: there is none.
    bool reserve(std::size_t size);
    /// Lets go of the contents and gives their bytes back.
    void clear();
    /// Lets go of the contents, and keeps the room for the next ones.
    void drop_contents() { text_.clear(); }

    /// The contents, which stay counted here until clear(), or the end.
    std::string lend() { return std::move(text_); }

    const std::string& text() const { return text_; }
    std::size_t size() const { return text_.size(); }
    bool empty() const { return text_.empty(); }

  private:
    std::string text_;
    Source* source_ = nullptr;
    std::size_t counted_ = 0;
};

}  // namespace budget
