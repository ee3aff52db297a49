#include "core/eventlog.h"

#include "core/hybridclock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <iostream>
#include <mutex>

namespace jujube::core {

namespace {

// Bounds the memory of the time line in one process to a few megabytes.
constexpr size_t MaxKeptEvents = 20'000;

struct EventStore
{
    std::mutex mutex;
    std::deque<LoggedEvent> events;
    std::string process = "unnamed";
    bool toStderr = false;
    boost::log::sources::logger_mt logger;
};

EventStore &store()
{
    static EventStore instance;
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += (c == '\n' || c == '\t') ? ' ' : c;
    }
    line += '"';
}

} // namespace

void startEventLog(const std::string &process, bool toStderr)
{
    EventStore &log = store();
    log.process = process;
    log.toStderr = toStderr;
    boost::log::core::get()->remove_all_sinks();
    if (!toStderr) {
        boost::log::core::get()->set_logging_enabled(false);
        return;
    }
    namespace keywords = boost::log::keywords;
    boost::log::add_console_log(std::cerr,
                                keywords::format = boost::log::expressions::stream
                                    << boost::log::expressions::smessage,
                                keywords::auto_flush = true);
}

std::vector<LoggedEvent> eventsAfter(uint64_t hybridTime, size_t limit)
{
    EventStore &log = store();
    const std::lock_guard guard(log.mutex);
    std::vector<LoggedEvent> result;
    for (const LoggedEvent &event : log.events) {
        if (event.hybridTime > hybridTime && result.size() < limit)
            result.push_back(event);
    }
    std::sort(result.begin(), result.end(), [](const LoggedEvent &a, const LoggedEvent &b) {
        return a.hybridTime < b.hybridTime;
    });
    return result;
}

Event::Event(std::string_view name) : m_time(processClock().tick())
{
    m_line = "t=" + std::to_string(m_time);
    with("process", std::string_view(store().process));
    with("event", name);
}

Event &Event::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needsQuotes(value))
        appendQuoted(m_line, value);
    else
        m_line += value;
    return *this;
}

Event &Event::with(std::string_view key, double value)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.3f", value);
    return with(key, std::string_view(buf));
}

Event::~Event()
{
    EventStore &log = store();
    {
        const std::lock_guard guard(log.mutex);
        log.events.push_back(LoggedEvent{m_time, m_line});
        if (log.events.size() > MaxKeptEvents)
            log.events.pop_front();
    }
    if (log.toStderr)
        BOOST_LOG(log.logger) << m_line;
}

} // namespace jujube::core
