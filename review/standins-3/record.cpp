#include "record.h"

namespace jujube::review {

Record::Record(const std::string &path) : m_file(path, std::ios::trunc)
{
}

std::chrono::milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_startedAt);
}

void Record::note(const std::string &line)
{
    m_file << elapsed().count() << ' ' << line << '\n';
}

} // namespace jujube::review
