#pragma once

/** \file
 * Defines what all stand-ins share: an HTTP server, a history and faults.
 */

#include "wire/httpserver.h"
#include "wire/json.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujube::test {

using ExchangePtr = std::shared_ptr<wire::Exchange>;

/** Serves one stand-in on a single thread.
 *
 * Every stand-in answers GET /history (JSON lines) and POST /faults (a JSON object whose members
 * stay in force until they are set again). The faults known to all:
 * - delay_ms: every answer is held back this long.
 * - outage: requests are cut without an answer and without an effect.
 * - lose_answers: requests take effect, but the connection is cut instead of answered.
 * - silence: requests take effect, and their connections stay open without an answer for good.
 */
class FakeServer
{
public:
    using Handler = std::function<void(const wire::IncomingRequest &, const ExchangePtr &)>;

    FakeServer(std::string name, Handler handler);

    /** Serves until SIGTERM. \return the process's exit code. */
    int run(const std::string &address);

    /** Serves on a free port in the background and returns the address. */
    std::string start();
    /** Records of one kind so far. */
    size_t countOf(const std::string &kind) const;

    /** Adds a record to the history; members "at_us" and "kind" are set here. */
    void record(const std::string &kind, QJsonObject details);
    /** A fault's value, or the fallback when it is not set. */
    double fault(const char *name, double fallback = 0) const;
    void setFault(const char *name, double value);
    /** Called on the server's thread after faults were set. */
    void onFaults(std::function<void(const QJsonObject &)> callback);

    /** Answers, unless a fault delays or loses the answer. */
    void respond(const ExchangePtr &exchange, int status, const QJsonObject &body);

private:
    void dispatch(const wire::IncomingRequest &request, const ExchangePtr &exchange);

    std::string m_name;
    Handler m_handler;
    std::function<void(const QJsonObject &)> m_onFaults;
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_faults;
    std::string m_history;
    std::vector<ExchangePtr> m_unansweredExchanges;
    std::map<std::string, size_t> m_recordCounts;
    std::unique_ptr<wire::HttpServer> m_backgroundServer;
};

/** Wall-clock microseconds since the epoch. */
int64_t nowUs();

} // namespace jujube::test
