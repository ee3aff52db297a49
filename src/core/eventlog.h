#pragma once

/** \file
 * Defines structured events, which are logged as key=value lines and kept in memory for the
 * timeline.
 */

#include <absl/strings/string_view.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::core {

/** One recorded event line and its hybrid logical time, see HybridClock. */
struct LoggedEvent
{
    uint64_t hybridTime = 0;
    std::string line;
};

/** Where event lines are written in addition to the in-memory timeline of the process. */
enum class LogTarget { None, StandardError, StandardOutput };

struct LogSettings
{
    LogTarget target = LogTarget::StandardError;
    size_t maxEvents = 20'000; ///< Limits the timeline to a few megabytes of memory.
};

/** Starts logging for this process. Call once, before the first event.
 *
 * Writes to standard output never block on a slow reader. Lines that exceed the buffer are dropped
 * and counted, and the next line that fits is preceded by a log.dropped line with their number.
 *
 * \param process name of the process in every line, such as "entry1".
 */
void startEventLog(const std::string &process, LogSettings settings);

/** Starts logging for this process. Call once, before the first event.
 *
 * \param process name of the process in every line, such as "entry1".
 * \param toStderr whether lines are also written to standard error.
 */
void startEventLog(const std::string &process, bool toStderr = true);

/** Writes as much buffered standard output as is possible without blocking. */
void flushEventLog();

/** The first \a limit events recorded after the given hybrid time, in the order of their times. */
std::vector<LoggedEvent> eventsAfter(uint64_t hybridTime, size_t limit = 5000);

/** Builds one event and logs it on destruction.
 *
 * \code
 * Event("lease.taken").with("scope", scope).with("term", term);
 * \endcode
 */
class Event
{
public:
    explicit Event(std::string_view name);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    Event &with(std::string_view key, std::string_view value);
    Event &with(std::string_view key, absl::string_view value)
    {
        return with(key, std::string_view(value.data(), value.size()));
    }
    Event &with(std::string_view key, const std::string &value)
    {
        return with(key, std::string_view(value));
    }
    Event &with(std::string_view key, const char *value)
    {
        return with(key, std::string_view(value));
    }
    Event &with(std::string_view key, bool value)
    {
        return with(key, std::string_view(value ? "true" : "false"));
    }
    template <std::integral T>
    requires(!std::same_as<T, bool>) Event &with(std::string_view key, T value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }
    Event &with(std::string_view key, double value);

private:
    uint64_t m_time = 0;
    std::string m_line;
};

} // namespace jujube::core
