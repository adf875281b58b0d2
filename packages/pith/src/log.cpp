#include "pith/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace pith {

namespace {

log4cxx::LoggerPtr logger() {
    static log4cxx::LoggerPtr l = log4cxx::Logger::getLogger("marblesaddle");
    return l;
}

bool plain(const std::string& s) {
    if (s.empty()) return false;
    for (unsigned char c : s)
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 127) return false;
    return true;
}

std::string quoted(const std::string& s) {
    static const char* hex = "0123456789abcdef";
    std::string o = "\"";
    for (unsigned char c : s) {
        if (c == '"' || c == '\\') {
            o += '\\';
            o += static_cast<char>(c);
        } else if (c < ' ' || c == 127) {
            o += "\\x";
            o += hex[c >> 4];
            o += hex[c & 15];
        } else {
            o += static_cast<char>(c);
        }
    }
    return o + '"';
}

}  // namespace

bool log_level(const std::string& level) {
    if (level == "debug")
        logger()->setLevel(log4cxx::Level::getDebug());
    else if (level == "info")
        logger()->setLevel(log4cxx::Level::getInfo());
    else if (level == "warn")
        logger()->setLevel(log4cxx::Level::getWarn());
    else if (level == "error")
        logger()->setLevel(log4cxx::Level::getError());
    else
        return false;
    return true;
}

bool log_start(const std::string& level) {
    auto lay = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%p %m%n"));
    auto app = std::make_shared<log4cxx::ConsoleAppender>(lay, LOG4CXX_STR("System.err"));
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    log4cxx::Logger::getRootLogger()->addAppender(app);
    return log_level(level);
}

std::string log_line(std::string_view event, std::initializer_list<Pair> pairs) {
    std::string o = "event=";
    o += event;
    for (const auto& p : pairs) {
        o += ' ';
        o += p.key;
        o += '=';
        o += plain(p.value) ? p.value : quoted(p.value);
    }
    return o;
}

void log_event(Level l, std::string_view event, std::initializer_list<Pair> pairs) {
    auto lg = logger();
    switch (l) {
        case Level::debug:
            if (lg->isDebugEnabled()) LOG4CXX_DEBUG(lg, log_line(event, pairs));
            break;
        case Level::info:
            if (lg->isInfoEnabled()) LOG4CXX_INFO(lg, log_line(event, pairs));
            break;
        case Level::warn:
            LOG4CXX_WARN(lg, log_line(event, pairs));
            break;
        case Level::error:
            LOG4CXX_ERROR(lg, log_line(event, pairs));
            break;
    }
}

bool Seldom::pass(std::int64_t now, std::uint64_t* held) {
    if (now - last_ < period_) {
        ++held_;
        return false;
    }
    *held = held_;
    held_ = 0;
    last_ = now;
    return true;
}

}  // namespace pith
