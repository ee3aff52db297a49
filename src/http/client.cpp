#include "http/client.h"

#include "http/transferrate.h"

#include <algorithm>

namespace jujube::http {

namespace {

using ErrorCode = boost::system::error_code;

// A response that has begun must not pause for longer than this.
constexpr core::Milliseconds MaxTransferPause{1'000};

// A call in progress. It ends with the response, a failure or the timeout, whichever is first.
class PendingCall : public std::enable_shared_from_this<PendingCall>
{
public:
    PendingCall(boost::asio::io_context &io, ConnectionPool &pool, ConnectionMode mode,
                std::function<void(CallResult)> done, std::function<void()> onProgress,
                size_t maxBodyBytes)
        : m_timer(io),
          m_pool(pool),
          m_mode(mode),
          m_done(std::move(done)),
          m_onProgress(std::move(onProgress)),
          m_maxBodyBytes(maxBodyBytes)
    {
    }

    void start(std::shared_ptr<ClientConnection> connection, std::string bytes,
               core::Milliseconds timeout)
    {
        m_connection = std::move(connection);
        m_timeout = timeout;
        m_startedAt = core::BootClock::now();
        const auto self = shared_from_this();
        waitUntil(m_startedAt + timeout);
        ExchangeHandler handler;
        handler.onHead = [self](const Head &head) {
            self->m_response.head = head;
            return true;
        };
        handler.onBody = [self](std::string &body) { self->appendBody(body); };
        handler.onEnd = [self]() {
            const auto connection = self->m_connection;
            self->finish({std::move(self->m_response), CallError::MaybeSent});
            if (self->m_mode == ConnectionMode::Pooled)
                self->m_pool.release(connection);
            else
                connection->close();
        };
        handler.onFailure = [self](Failure failure, const std::string &why) {
            self->finish({absl::UnavailableError(why),
                          failure == Failure::NotSent ? CallError::NotSent : CallError::MaybeSent});
        };
        m_connection->send(std::move(bytes), false, timeout, std::move(handler));
    }

private:
    void waitUntil(core::TimePoint at)
    {
        m_timer.expires_after(at - core::BootClock::now());
        m_timer.async_wait([self = shared_from_this()](const ErrorCode &ec) {
            if (ec || !self->m_done)
                return;
            if (const core::TimePoint due = self->deadline(); due > core::BootClock::now()) {
                self->waitUntil(due);
                return;
            }
            self->m_connection->reset();
            self->finish(
                {absl::DeadlineExceededError("no response in time"), CallError::MaybeSent});
        });
    }

    // A fixed limit would end the transfer of a large response over a slow link at every attempt.
    core::TimePoint deadline() const
    {
        if (m_receivedBytes == 0)
            return m_startedAt + m_timeout;
        return std::min(m_receivedAt + std::min(m_timeout, MaxTransferPause),
                        m_startedAt + m_timeout + transferAllowance(m_receivedBytes));
    }

    void appendBody(std::string &body)
    {
        m_response.body += body;
        m_receivedBytes += body.size();
        m_receivedAt = core::BootClock::now();
        body.clear();
        if (m_onProgress)
            m_onProgress();
        if (m_response.body.size() > m_maxBodyBytes) {
            m_connection->close();
            finish(
                {absl::ResourceExhaustedError("the response is too large"), CallError::MaybeSent});
        }
    }

    void finish(CallResult result)
    {
        m_timer.cancel();
        m_connection = nullptr;
        result.receivedBytes = m_receivedBytes;
        if (const auto done = std::exchange(m_done, {}))
            done(std::move(result));
    }

    boost::asio::steady_timer m_timer;
    ConnectionPool &m_pool;
    ConnectionMode m_mode;
    std::shared_ptr<ClientConnection> m_connection;
    std::function<void(CallResult)> m_done;
    std::function<void()> m_onProgress;
    size_t m_maxBodyBytes;
    Response m_response;
    core::Milliseconds m_timeout{};
    core::TimePoint m_startedAt{};
    core::TimePoint m_receivedAt{}; ///< Time of the last bytes of the body.
    size_t m_receivedBytes = 0;
};

} // namespace

std::shared_ptr<ClientConnection> ConnectionPool::acquire(const std::string &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        connection->onIdleClose({});
        if (connection->isReusable() && !connection->idlePeerActive())
            return connection;
        connection->close();
    }
    return ClientConnection::create(m_io, address, m_slowSends);
}

void ConnectionPool::release(std::shared_ptr<ClientConnection> connection)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    ClientConnection *key = connection.get();
    const std::string address = connection->address();
    connection->onIdleClose([this, key, address]() {
        std::erase_if(m_idle[address], [key](const auto &it) { return it.get() == key; });
    });
    m_idle[address].push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const std::string &address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    for (const auto &connection : it->second)
        connection->close();
    m_idle.erase(it);
}

void Client::call(const std::string &address, Request request, core::Milliseconds timeout,
                  std::function<void(CallResult)> done, ConnectionMode mode,
                  std::function<void()> onProgress, size_t maxBodyBytes)
{
    ++m_calls;
    request.head.fields.add("Host", address);
    const auto pending = std::make_shared<PendingCall>(m_io, m_pool, mode, std::move(done),
                                                       std::move(onProgress), maxBodyBytes);
    auto connection = mode == ConnectionMode::Pooled ? m_pool.acquire(address)
                                                     : ClientConnection::create(m_io, address);
    pending->start(std::move(connection), renderRequest(request.head, request.body), timeout);
}

} // namespace jujube::http
