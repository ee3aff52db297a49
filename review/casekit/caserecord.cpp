#include "caserecord.h"

#include <iostream>

namespace jujube::review {

CaseRecord::CaseRecord(const std::string &path)
    : m_file(path, std::ios::trunc), m_startedAt(core::BootClock::now())
{
}

void CaseRecord::write(const std::string &line)
{
    const auto ms =
        std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - m_startedAt);
    const std::string text = core::concat(ms.count(), " ms  ", line, "\n");
    m_file << text << std::flush;
    std::cout << text << std::flush;
}

} // namespace jujube::review
