#pragma once

/** \file
 * Defines the record of a case: what was sent, answered and run.
 */

#include <chrono>
#include <fstream>
#include <string>

namespace jujube::review {

/** Writes one line for each event, with the time since the start in milliseconds. */
class Record
{
public:
    explicit Record(const std::string &path);

    void note(const std::string &line);
    std::chrono::milliseconds elapsed() const;

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
};

} // namespace jujube::review
