#include "budget/counted_string.hpp"

#include <algorithm>
#include <utility>

namespace budget {

namespace {
constexpr std::size_t kLeastRoom = 512;  // bytes that a string grows by
}

CountedString::CountedString(CountedString&& other) noexcept
    : text_(std::move(other.text_)),
      source_(std::exchange(other.source_, nullptr)),
      counted_(std::exchange(other.counted_, 0)) {
    other.text_.clear();
}

CountedString& CountedString::operator=(CountedString&& other) noexcept {
    if (this == &other) return *this;
    clear();
    text_ = std::move(other.text_);
    source_ = std::exchange(other.source_, nullptr);
    counted_ = std::exchange(other.counted_, 0);
    other.text_.clear();
    return *this;
}

bool CountedString::append(const char* data, std::size_t size, std::size_t expected) {
    const std::size_t needed = text_.size() + size;
    if (needed > text_.capacity()) {
        const std::size_t doubled = std::max(2 * text_.capacity(), kLeastRoom);
        const std::size_t wanted = expected >= needed ? std::min(doubled, expected) : doubled;
        if (!reserve(std::max(needed, wanted)) && !reserve(needed)) return false;
    }
    text_.append(data, size);
    return true;
}

// While a string grows its old contents and the new ones are both there.
bool CountedString::reserve(std::size_t size) {
    if (size <= text_.capacity()) return true;
    if (source_ != nullptr && !source_->take(size)) return false;
    text_.reserve(size);
    if (source_ != nullptr) source_->give(counted_);
    counted_ = source_ != nullptr ? size : 0;
    return true;
}

void CountedString::clear() {
    std::string().swap(text_);
    if (source_ != nullptr) source_->give(counted_);
    counted_ = 0;
}

}  // namespace budget
