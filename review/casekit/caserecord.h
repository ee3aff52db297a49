#pragma once

/** \file
 * Defines the record of a case: what was sent, answered and run, and when.
 */

#include "core/clock.h"
#include "core/text.h"

#include <fstream>
#include <string>

namespace jujube::review {

/** Writes one line an event, with the milliseconds since the start. */
class CaseRecord
{
public:
    /** Overwrites the file at a path. */
    explicit CaseRecord(const std::string &path);

    template <typename... Args> void add(const Args &...args) { write(core::concat(args...)); }
    bool good() const { return m_file.good(); }

private:
    void write(const std::string &line);

    std::ofstream m_file;
    core::TimePoint m_startedAt;
};

} // namespace jujube::review
