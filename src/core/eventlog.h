#pragma once

/** \file
 * Defines structured events: one key=value line each, kept for the time line as well.
 */

#include <absl/strings/string_view.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::core {

/** One recorded event line and its hybrid time. */
struct LoggedEvent
{
    uint64_t hybridTime = 0;
    std::string line;
};

/** Where event lines go besides the time line of the process. */
enum class LogTarget { None, StandardError, StandardOutput };

struct LogSettings
{
    LogTarget target = LogTarget::StandardError;
    size_t maxEvents = 20'000; ///< Bounds the memory of the time line to a few megabytes.
};

/** Starts logging for this process. Call once, before the first event.
 *
 * Output is written without ever waiting for its reader: lines that do not fit are dropped and
 * counted, and the next line that fits tells how many.
 *
 * \param process name that every line carries, such as "entry1".
 */
void startEventLog(const std::string &process, LogSettings settings);

/** Starts logging for this process. Call once, before the first event.
 *
 * \param process name that every line carries, such as "entry1".
 * \param toStderr whether lines are also written to standard error.
 */
void startEventLog(const std::string &process, bool toStderr = true);

/** Writes what waits for standard output, as far as that takes it now. */
void flushEventLog();

/** Events recorded after the given hybrid time, oldest first, at most \a limit of them. */
std::vector<LoggedEvent> eventsAfter(uint64_t hybridTime, size_t limit = 5000);

/** Builds one event and writes it when the object goes out of scope.
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
