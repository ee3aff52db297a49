#include "core/eventlog.h"

#include "core/clock.h"
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
#include <poll.h>
#include <unistd.h>

namespace jujube::core {

namespace {

// Lines are buffered for this long or up to this many bytes, so that a busy process makes few
// writes.
constexpr std::chrono::milliseconds FlushInterval{100};
constexpr size_t FlushThresholdBytes = 3'072;
// A write of at most this size to a pipe that polls as writable does not block.
constexpr size_t MaxWriteBytes = 4'096;
// Limit of the output buffered for a slow reader. Lines that arrive beyond it are dropped.
constexpr size_t MaxBufferedBytes = 256UL * 1024;

// Buffered standard output that never blocks on its reader.
class NonBlockingStdout
{
public:
    void add(const std::string &line)
    {
        if (m_buffer.size() + line.size() > MaxBufferedBytes) {
            ++m_dropped;
            return;
        }
        if (m_dropped > 0)
            m_buffer +=
                "event=log.dropped lines=" + std::to_string(std::exchange(m_dropped, 0)) + "\n";
        m_buffer += line;
        m_buffer += '\n';
        if (m_buffer.size() >= FlushThresholdBytes
            || BootClock::now() - m_flushedAt >= FlushInterval)
            flush();
    }

    void flush()
    {
        m_flushedAt = BootClock::now();
        size_t done = 0;
        while (done < m_buffer.size()) {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
                break;
            const ssize_t n = ::write(STDOUT_FILENO, m_buffer.data() + done,
                                      std::min(MaxWriteBytes, m_buffer.size() - done));
            if (n <= 0)
                break;
            done += static_cast<size_t>(n);
        }
        m_buffer.erase(0, done);
    }

private:
    std::string m_buffer;
    uint64_t m_dropped = 0;
    TimePoint m_flushedAt{};
};

struct EventStore
{
    std::mutex mutex;
    std::deque<LoggedEvent> events;
    std::string process = "unnamed";
    LogSettings settings{LogTarget::None};
    NonBlockingStdout output;
    boost::log::sources::logger_mt logger;
};

EventStore &eventStore()
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
    startEventLog(process, LogSettings{toStderr ? LogTarget::StandardError : LogTarget::None});
}

void flushEventLog()
{
    EventStore &log = eventStore();
    const std::lock_guard guard(log.mutex);
    log.output.flush();
}

void startEventLog(const std::string &process, LogSettings settings)
{
    EventStore &log = eventStore();
    log.process = process;
    log.settings = settings;
    boost::log::core::get()->remove_all_sinks();
    if (settings.target != LogTarget::StandardError) {
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
    EventStore &log = eventStore();
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
    with("process", std::string_view(eventStore().process));
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
    EventStore &log = eventStore();
    {
        const std::lock_guard guard(log.mutex);
        log.events.push_back(LoggedEvent{m_time, m_line});
        if (log.events.size() > log.settings.maxEvents)
            log.events.pop_front();
        if (log.settings.target == LogTarget::StandardOutput)
            log.output.add(m_line);
    }
    if (log.settings.target == LogTarget::StandardError)
        BOOST_LOG(log.logger) << m_line;
}

} // namespace jujube::core
