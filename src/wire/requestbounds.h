#pragma once

/** \file
 * Defines the size limits of requests, checked on their raw bytes before Qt parses them.
 */

#include <QByteArray>

#include <cstddef>

namespace jujube::wire {

/** Checks the bytes of a connection against the size limits of a request's head and body.
 *
 * Qt's HTTP server buffers requests of any size, so the raw bytes are checked before it reads them.
 */
class RequestBounds
{
public:
    enum class Verdict { Ok, HeaderTooLarge, BodyTooLarge };

    RequestBounds(size_t maxHeaderBytes, size_t maxBodyBytes);

    /** Checks the bytes that have arrived since the last call. */
    Verdict inspect(const QByteArray &bytes);
    /** Resets the state after a response; the next byte belongs to a new request. */
    void startNextRequest();

private:
    static size_t contentLength(const QByteArray &head);

    size_t m_maxHeaderBytes;
    size_t m_maxBodyBytes;
    QByteArray m_head;
    size_t m_receivedBytes = 0;
    size_t m_headBytes = 0;
    bool m_headComplete = false;
};

} // namespace jujube::wire
