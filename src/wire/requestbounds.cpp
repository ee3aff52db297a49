#include "wire/requestbounds.h"

#include <limits>
#include <QList>

namespace jujube::wire {

RequestBounds::RequestBounds(size_t maxHeaderBytes, size_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes), m_maxBodyBytes(maxBodyBytes)
{
}

RequestBounds::Verdict RequestBounds::inspect(const QByteArray &bytes)
{
    m_receivedBytes += static_cast<size_t>(bytes.size());
    if (!m_headComplete) {
        m_head.append(bytes);
        const qsizetype end = m_head.indexOf("\r\n\r\n");
        if (end < 0) {
            return static_cast<size_t>(m_head.size()) > m_maxHeaderBytes ? Verdict::HeaderTooLarge
                                                                         : Verdict::Ok;
        }
        if (static_cast<size_t>(end) > m_maxHeaderBytes)
            return Verdict::HeaderTooLarge;
        m_headComplete = true;
        m_headBytes = static_cast<size_t>(end) + 4;
        if (contentLength(m_head.left(end)) > m_maxBodyBytes)
            return Verdict::BodyTooLarge;
        m_head.clear();
    }
    return m_receivedBytes > m_headBytes + m_maxBodyBytes ? Verdict::BodyTooLarge : Verdict::Ok;
}

void RequestBounds::startNextRequest()
{
    m_receivedBytes = 0;
    m_headComplete = false;
    m_head.clear();
}

size_t RequestBounds::contentLength(const QByteArray &head)
{
    for (const QByteArray &line : head.split('\n')) {
        if (!line.toLower().startsWith("content-length:"))
            continue;
        bool ok = false;
        const qulonglong length = line.mid(line.indexOf(':') + 1).trimmed().toULongLong(&ok);
        return ok ? length : std::numeric_limits<size_t>::max();
    }
    return 0;
}

} // namespace jujube::wire
