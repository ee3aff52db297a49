#include "agent/answerbuffer.h"

namespace jujube::agent {

void AnswerBuffer::acknowledge(uint64_t offset)
{
    if (offset <= m_begin || offset > end())
        return;
    m_bytes.erase(0, offset - m_begin);
    m_begin = offset;
}

std::string AnswerBuffer::read(uint64_t offset, size_t limit) const
{
    if (offset < m_begin || offset >= end())
        return {};
    return m_bytes.substr(offset - m_begin, limit);
}

} // namespace jujube::agent
