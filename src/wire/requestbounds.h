#pragma once

/** \file
 * Defines the bounds on the raw bytes of a request, checked before Qt parses them.
 */

#include <QByteArray>

#include <cstddef>

namespace jujube::wire {

/** Watches the bytes of one connection and tells when a request's head or body is too large.
 *
 * Qt's HTTP server buffers whatever arrives, so the check runs on the raw bytes ahead of it.
 */
class RequestBounds
{
public:
    enum class Verdict { Ok, HeaderTooLarge, BodyTooLarge };

    RequestBounds(size_t maxHeaderBytes, size_t maxBodyBytes);

    /** Takes the bytes that have arrived since the last call. */
    Verdict inspect(const QByteArray &bytes);
    /** The request has been answered; the next byte belongs to a new one. */
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
